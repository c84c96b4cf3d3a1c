package exchange_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

// TestStatusOfNoAnswer has a worker answer with a status that no answer has: the request may
// have run, nothing that the head says counts, and the connection is closed.
func TestStatusOfNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "199", "600", "999", "2000", "-1"} {
		t.Run(status, func(t *testing.T) {
			w := startWorker(t, func(n int, _ *http.Request, _ net.Conn) []byte {
				if n == 1 {
					return fmt.Appendf(nil, "HTTP/1.1 %s x\r\nId: one\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nbody", status)
				}
				return ok("two", "whole")
			})
			pool := &exchange.Pool{HeaderNames: namesWithNews()}
			result := do(t, pool, w, request("one"))
			assert.Equal(t, retry.Unknown, result.Answer.Outcome)
			assert.Contains(t, []relay.Reason{relay.ForeignAnswer, relay.WorkerBroken, relay.WorkerSilent}, result.Answer.Reason)
			assert.Equal(t, "whole", bodyOf(do(t, pool, w, request("two"))))
			_, conns := w.counts()
			assert.Equal(t, 2, conns)
		})
	}
}

// TestInterimAnswersEnd has a worker send interim answers without an end.
func TestInterimAnswersEnd(t *testing.T) {
	w := startWorker(t, func(_ int, _ *http.Request, _ net.Conn) []byte {
		return append([]byte(strings.Repeat("HTTP/1.1 102 x\r\n\r\n", 200)), ok("one", "body")...)
	})
	result := do(t, &exchange.Pool{HeaderNames: _names}, w, request("one"))
	assert.Equal(t, retry.Unknown, result.Answer.Outcome)
}

// FuzzAnswerHead has a worker answer with any status line and header: only one with a status of
// an answer counts as one.
func FuzzAnswerHead(f *testing.F) {
	for _, status := range []string{"200 OK", "000 x", "099 x", "101 x", "199 x", "600 x", "999 x", "2000 x", "-1 x", "100 x\r\n\r\nHTTP/1.1 204 x"} {
		f.Add(status, "Id: one")
	}
	f.Fuzz(func(t *testing.T, status, header string) {
		data := []byte("HTTP/1.1 " + status + "\r\n" + header + "\r\nContent-Length: 0\r\n\r\n")
		p := &exchange.Pool{HeaderNames: _names, BodyBudget: 1 << 20}
		p.Dial = func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			go func() {
				_, _ = io.Copy(far, bytes.NewReader(data))
				_ = far.Close()
			}()
			return near, nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		result := p.Do(ctx, exchange.Target{ID: "i", Address: "a"}, request("one"), false)
		if result.Answer.Outcome != retry.Run {
			return
		}
		if result.Answer.Status < 200 || result.Answer.Status > 599 {
			t.Fatalf("%q is the answer %d", data, result.Answer.Status)
		}
	})
}
