package frontend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/frontend"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

// headers answers with the key and the other headers of a request.
type headers struct{}

func (headers) Exclusive(*relay.Request) bool { return false }

func (headers) Handle(_ context.Context, r *relay.Request) *relay.Answer {
	text := "key=" + r.Key
	for _, h := range r.Header {
		text += " " + h.Name + "=" + h.Value
	}
	a := &relay.Answer{Outcome: retry.Run, Status: http.StatusOK}
	relay.SetBytes(a, []byte(text))
	return a
}

// TestKeyIsNotPassedOn checks that neither the key nor a team that the caller names are among
// the headers that workers get.
func TestKeyIsNotPassedOn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &frontend.Server{
		HeaderNames: frontend.HeaderNames{RequestID: "Id", TimeLeft: "Time-Left", Object: "Object", Key: "The-Key", Team: "The-Team"},
		Handler:     headers{}, Limits: func() frontend.Limits { return _limits },
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		s.Shutdown(ctx)
	})
	c, reader := dial(t, l.Addr().String())
	for fields, want := range map[string]string{
		"":                   "key=",
		"the-KEY: k1\r\n":    "key=k1",
		"The-Key:  k1 \r\n":  "key=k1",
		"The-Team: boss\r\n": "key=",
		"The-Key: k1\r\nThe-Team: boss\r\nthe-team: two\r\nOther: o\r\n": "key=k1 Other=o",
		"The-Key: k1\r\nThe-Key: k2\r\n":                                 "key=",
	} {
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nId: x\r\n"+fields+"\r\n")
		require.NoError(t, err)
		_, body := read(t, reader)
		assert.Equal(t, want, body)
	}
}
