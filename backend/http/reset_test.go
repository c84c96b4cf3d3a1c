package http_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	backendhttp "github.com/wigeonlock/wigeonlock/backend/http"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

// upload sends a request with a large body to a worker that answers it early, without a length,
// and then ends the connection. It returns what of the answer seemed complete.
func upload(t *testing.T, body string, end func(c *net.TCPConn)) (*relay.Answer, string) {
	t.Helper()
	w := workerOf(t, func(_ int, r *http.Request, c net.Conn) string {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n%s", relay.HeaderRequestID, r.Header.Get(relay.HeaderRequestID), body)
		end(c.(*net.TCPConn))
		_ = c.Close()
		return ""
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	a, _ := (&backendhttp.Transport{Connections: 1}).Handle(ctx, w, &relay.Request{
		ID: "one", Method: http.MethodPost, URI: "/", Body: &relay.Body{Bytes: make([]byte, 16<<20), Length: 16 << 20},
	})
	if a.Body == nil {
		return a, ""
	}
	a = relay.Buffer(a)
	data, _ := relay.Bytes(a)
	return a, string(data)
}

// TestResetDuringUploadEndsNoAnswer guards against a part of an answer that callers get as the
// whole: the write of the upload takes the error of a reset, and the read then sees the end of the
// connection, which is the end of an answer without a length.
func TestResetDuringUploadEndsNoAnswer(t *testing.T) {
	for n := range 60 {
		a, got := upload(t, "part", func(c *net.TCPConn) {
			time.Sleep(time.Duration(n%6) * 5 * time.Millisecond)
			_ = c.SetLinger(0)
		})
		assert.Equal(t, retry.Unknown, a.Outcome, "got %q", got)
	}
}

// TestEndDuringUploadEndsAnAnswer checks that an answer without a length is complete when the
// worker closes its direction while the upload is still being written.
func TestEndDuringUploadEndsAnAnswer(t *testing.T) {
	tests := map[string]func(c *net.TCPConn){
		"worker reads no further": func(*net.TCPConn) { time.Sleep(300 * time.Millisecond) },
		"worker reads on":         func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
	}
	for name, after := range tests {
		t.Run(name, func(t *testing.T) {
			a, got := upload(t, "all of it", func(c *net.TCPConn) {
				_ = c.CloseWrite()
				after(c)
			})
			assert.Equal(t, retry.Run, a.Outcome)
			assert.Equal(t, "all of it", got)
		})
	}
}
