package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

// upload sends a request with a large body to a worker.
func upload(t *testing.T, p *exchange.Pool, address string) exchange.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r := request("one")
	r.Method, r.HasLength = http.MethodPost, true
	r.Body = &relay.Body{Bytes: make([]byte, 16<<20), Length: 16 << 20}
	return p.Do(ctx, exchange.Target{ID: "i-1", Address: address}, r, false)
}

// answerEarly reads the head of a request and writes the beginning of an answer without a length.
func answerEarly(c net.Conn, body string) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", r.Header.Get("Id"), body)
}

// TestResetDuringUploadEndsNoAnswer guards against a part of an answer that callers get as the
// whole: the write of the upload takes the error of a reset, and the read then sees the end of the
// connection, which is the end of an answer without a length.
func TestResetDuringUploadEndsNoAnswer(t *testing.T) {
	for n := range 60 {
		address := startRaw(t, func(c net.Conn) {
			answerEarly(c, "part")
			time.Sleep(time.Duration(n%6) * 5 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		})
		result := upload(t, &exchange.Pool{HeaderNames: _names}, address)
		assert.Equal(t, retry.Unknown, result.Answer.Outcome, "got %q", bodyOf(result))
	}
}

// TestEndDuringUploadEndsAnAnswer checks that an answer without a length is complete when the
// worker closes its direction while the upload is still being written.
func TestEndDuringUploadEndsAnAnswer(t *testing.T) {
	tests := map[string]func(c net.Conn){
		"worker reads no further": func(net.Conn) { time.Sleep(300 * time.Millisecond) },
		"worker reads on":         func(c net.Conn) { _, _ = io.Copy(io.Discard, c) },
		"worker resets after it": func(c net.Conn) {
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		},
	}
	for name, after := range tests {
		t.Run(name, func(t *testing.T) {
			address := startRaw(t, func(c net.Conn) {
				answerEarly(c, "all of it")
				_ = c.(*net.TCPConn).CloseWrite()
				after(c)
			})
			began := time.Now()
			result := upload(t, &exchange.Pool{HeaderNames: _names}, address)
			assert.Equal(t, retry.Run, result.Answer.Outcome)
			assert.Equal(t, "all of it", bodyOf(result))
			assert.Less(t, time.Since(began), 250*time.Millisecond, "the answer does not wait for the upload")
		})
	}
}
