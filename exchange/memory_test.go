package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/bytebudget"
	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

// TestAnswerWaitsForMemory has an answer come while the memory of all answers is used up: it is
// read when one of them is given back, and the worker's answer is not lost.
func TestAnswerWaitsForMemory(t *testing.T) {
	memory := bytebudget.New(4<<20, bytebudget.Shares{Small: 64 << 10})
	w := startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte {
		return ok(r.Header.Get("Id"), strings.Repeat("x", 3<<20))
	})
	other, _ := memory.Acquire(t.Context(), bytebudget.Answers, 3<<20, 0)
	r := request("one")
	r.AnswerRoom = memory.Lease(bytebudget.Answers)
	time.AfterFunc(300*time.Millisecond, other.Release)
	result := do(t, &exchange.Pool{HeaderNames: _names}, w, r)
	assert.Equal(t, retry.Run, result.Answer.Outcome)
	assert.Len(t, bodyOf(result), 3<<20)
	assert.EqualValues(t, 3<<20, r.AnswerRoom.Held())
}

// TestWorkerAnswersEarlyAndReadsOn has a worker answer an upload before it has read its body: the
// answer counts, and nothing more is sent on the connection.
func TestWorkerAnswersEarlyAndReadsOn(t *testing.T) {
	w := startRaw(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = c.Write(ok(r.Header.Get("Id"), "early"))
		time.Sleep(50 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
	})
	p := &exchange.Pool{HeaderNames: _names}
	for _, id := range []string{"one", "two"} {
		r := request(id)
		r.Method, r.HasLength = http.MethodPost, true
		r.Body = &relay.Body{Bytes: make([]byte, 20<<20), Length: 20 << 20}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		result := p.Do(ctx, exchange.Target{ID: "i-1", Address: w}, r, false)
		cancel()
		assert.Equal(t, retry.Run, result.Answer.Outcome)
		assert.Equal(t, "early", bodyOf(result))
		assert.False(t, result.Reused)
	}
}

// startRaw starts a worker that serves each connection by a function.
func startRaw(t *testing.T, serve func(c net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}
