package exchange_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/retry"
)

// FuzzAnswer has a worker answer with any bytes and close: whatever they are, only a whole
// answer that names the request counts as one.
func FuzzAnswer(f *testing.F) {
	f.Add(ok("one", "body"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\nId: one\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: -1\r\nLoad: 1,2\r\nKeep-Alive: timeout=99999999999\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		p := &exchange.Pool{HeaderNames: _names, BodyBudget: 1 << 20}
		p.Dial = func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				go func() {
					_, _ = far.Write(data)
					_ = far.Close()
				}()
				_, _ = io.Copy(io.Discard, far)
			}()
			return near, nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		result := p.Do(ctx, exchange.Target{ID: "i", Address: "a"}, request("one"), false)
		if result.Answer == nil {
			t.Fatal("no answer")
		}
		if result.Answer.Outcome == retry.Run && !bytes.Contains(data, []byte("one")) {
			t.Fatalf("%q is the answer to no request", data)
		}
	})
}
