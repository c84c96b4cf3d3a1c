package exchange_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wigeonlock/wigeonlock/bytebudget"
	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/retry"
)

// TestEndlessAnswers has a worker send bytes without end, in a head or a body, until the
// connection closes: memory stays bounded, the connection is closed well before the
// deadline, and the caller is told that the request may have run.
func TestEndlessAnswers(t *testing.T) {
	const (
		budget   = 16 << 20
		deadline = 10 * time.Second
	)
	line := strings.Repeat("x", 1<<10)
	tests := map[string]struct{ start, rest string }{
		"no line end":        {"", line},
		"status line":        {"HTTP/1.1 200 ", line},
		"header line":        {"HTTP/1.1 200 OK\r\nA: ", line},
		"header lines":       {"HTTP/1.1 200 OK\r\n", "A: " + line + "\r\n"},
		"interim answers":    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"without a length":   {"HTTP/1.1 200 OK\r\nId: one\r\n\r\n", line},
		"chunks":             {"HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + line + "\r\n"},
		"chunk extension":    {"HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n1;", line},
		"trailers":           {"HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + line + "\r\n"},
		"a length beyond it": {"HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 60000000\r\n\r\n", line},
		"other answers":      {"", "HTTP/1.1 200 OK\r\nId: two\r\nContent-Length: 1024\r\n\r\n" + line},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			closed := make(chan struct{})
			w := startWorker(t, func(_ int, _ *http.Request, c net.Conn) []byte {
				defer close(closed)
				chunk := bytes.Repeat([]byte(tt.rest), 1+(32<<10)/len(tt.rest))
				_, err := c.Write([]byte(tt.start))
				for err == nil {
					var n int
					n, err = c.Write(chunk)
					sent.Add(int64(n))
				}
				return nil
			})
			p := &exchange.Pool{HeaderNames: _names, BodyBudget: budget}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			started := time.Now()
			result := p.Do(ctx, w.target(), request("one"), true)
			took := time.Since(started)
			runtime.ReadMemStats(&after)
			assert.Equal(t, retry.Unknown, result.Answer.Outcome)
			assert.NotEqual(t, exchange.TimedOut, result.Fault)
			assert.Less(t, took, deadline/2)
			assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(5*budget), "bytes allocated")
			select {
			case <-closed:
			case <-time.After(deadline):
				t.Fatal("the connection stays open")
			}
		})
	}
}

// TestTrickleEndsAtTheDeadline has a worker send a byte now and then, without end.
func TestTrickleEndsAtTheDeadline(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\nId: one\r\n\r\n"} {
		w := startWorker(t, func(_ int, _ *http.Request, c net.Conn) []byte {
			_, err := c.Write([]byte(start))
			for err == nil {
				_, err = c.Write([]byte("x"))
				time.Sleep(10 * time.Millisecond)
			}
			return nil
		})
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		started := time.Now()
		result := (&exchange.Pool{HeaderNames: _names}).Do(ctx, w.target(), request("one"), true)
		cancel()
		assert.Equal(t, retry.Unknown, result.Answer.Outcome)
		assert.Equal(t, exchange.TimedOut, result.Fault)
		assert.Less(t, time.Since(started), 2*time.Second)
	}
}

// TestBodiesShareBudget has answers without a length use up the budget: small answers of
// other workers are read all the same.
func TestBodiesShareBudget(t *testing.T) {
	written, release := make(chan struct{}, 8), make(chan struct{})
	endless := startWorker(t, func(_ int, _ *http.Request, c net.Conn) []byte {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nId: one\r\n\r\n"))
		_, _ = c.Write(make([]byte, 1500<<10))
		written <- struct{}{}
		<-release
		return nil
	})
	small := startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte { return ok(r.Header.Get("Id"), "x") })
	p := &exchange.Pool{HeaderNames: _names, BodyBudget: 4 << 20}
	first := make(chan exchange.Result, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		first <- p.Do(ctx, endless.target(), request("one"), true)
	}()
	<-written
	time.Sleep(100 * time.Millisecond)
	for range 3 {
		assert.Equal(t, exchange.InvalidAnswer, do(t, p, endless, request("one")).Fault, "the budget has room for one of them")
	}
	assert.Equal(t, retry.Run, do(t, p, small, request("two")).Answer.Outcome)
	close(release)
	assert.Equal(t, retry.Run, (<-first).Answer.Outcome)
	assert.Equal(t, retry.Run, do(t, p, endless, request("one")).Answer.Outcome, "the budget is free again")
}

// TestLateCopyIsNoAnswer has a worker send a second copy of an answer when the next
// request is already on the connection. The next caller must get neither that answer nor,
// from a refusal that does not say whose it is, the promise that its request did not run.
func TestLateCopyIsNoAnswer(t *testing.T) {
	refusal := "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]struct {
		first, copied string
		outcome       retry.Outcome
		body          string
	}{
		"answer":             {string(ok("r1", "one")), string(ok("r1", "one")), retry.Run, "two"},
		"refusal":            {"HTTP/1.1 503 Full\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 Full\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", retry.Run, "two"},
		"refusal without ID": {refusal, refusal, retry.Unknown, ""},
		"no content":         {"HTTP/1.1 204 No\r\nId: r1\r\n\r\n", "HTTP/1.1 204 No\r\nId: r1\r\n\r\n", retry.Run, "two"},
		"not modified":       {"HTTP/1.1 304 Not\r\nId: r1\r\n\r\n", "HTTP/1.1 304 Not\r\nId: r1\r\n\r\n", retry.Run, "two"},
		"after HEAD":         {"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 3\r\n\r\n", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 3\r\n\r\none", retry.Run, "two"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, func(n int, r *http.Request, _ net.Conn) []byte {
				if n == 1 {
					return []byte(tt.first)
				}
				return append([]byte(tt.copied), ok(r.Header.Get("Id"), "two")...)
			})
			p := &exchange.Pool{HeaderNames: _names}
			first := request("r1")
			if name == "after HEAD" {
				first.Method = http.MethodHead
			}
			do(t, p, w, first)
			result := do(t, p, w, request("r2"))
			assert.Equal(t, tt.outcome, result.Answer.Outcome)
			if tt.outcome == retry.Run {
				assert.Equal(t, tt.body, bodyOf(result))
			}
		})
	}
}

// TestAnswersThatBreakOffAreIncomplete breaks an answer off at each of its bytes, by a
// close or a reset: none is taken for a complete one.
func TestAnswersThatBreakOffAreIncomplete(t *testing.T) {
	tests := map[string]string{
		"length":     string(ok("one", "0123456789")),
		"chunks":     "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nA: b\r\n\r\n",
		"no length":  "HTTP/1.1 200 OK\r\nId: one\r\nContent-Type: text/plain\r\n\r\nabc",
		"no content": "HTTP/1.1 204 No\r\nId: one\r\nA: b\r\n\r\n",
		"interim":    "HTTP/1.1 103 Early\r\nA: b\r\n\r\n" + string(ok("one", "0123456789")),
	}
	// bodies are what may end anywhere, as the end of the connection is theirs.
	bodies := map[string]string{"no length": "abc"}
	for name, whole := range tests {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " reset ", reset), func(t *testing.T) {
				var end atomic.Int64
				w := startWorker(t, func(_ int, _ *http.Request, c net.Conn) []byte {
					_, _ = c.Write([]byte(whole[:end.Load()]))
					if reset {
						time.Sleep(5 * time.Millisecond)
						_ = c.(*net.TCPConn).SetLinger(0)
					}
					return nil
				})
				p := &exchange.Pool{HeaderNames: _names}
				for n := range len(whole) - len(bodies[name]) {
					end.Store(int64(n))
					result := do(t, p, w, request("one"))
					assert.Equal(t, retry.Unknown, result.Answer.Outcome, "%q", whole[:n])
				}
			})
		}
	}
}

// TestEndlessAnswersShareMemory has many workers answer without end at once, for requests that
// bring room for their answer: together they hold no more than the memory, beside the small piece
// that each answer may always have, and the answers to others are read meanwhile.
func TestEndlessAnswersShareMemory(t *testing.T) {
	const (
		limit    = 32 << 20
		small    = 64 << 10
		requests = 32
	)
	memory := bytebudget.New(limit, bytebudget.Shares{
		Most: map[bytebudget.Use]float64{bytebudget.Answers: 0.8}, Free: 4 << 10, Small: small, Reserve: 0.1,
	})
	endless := startWorker(t, func(_ int, _ *http.Request, c net.Conn) []byte {
		_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nId: one\r\n\r\n"))
		for err == nil {
			_, err = c.Write(make([]byte, 32<<10))
		}
		return nil
	})
	other := startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte {
		return ok(r.Header.Get("Id"), strings.Repeat("x", 3<<10))
	})
	p := &exchange.Pool{HeaderNames: _names}
	send := func(w *worker, id string) exchange.Result {
		r := request(id)
		r.AnswerRoom = memory.Lease(bytebudget.Answers)
		defer r.AnswerRoom.Release()
		return do(t, p, w, r)
	}
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() { assert.Equal(t, retry.Unknown, send(endless, "one").Answer.Outcome) })
	}
	for range 200 {
		assert.Equal(t, retry.Run, send(other, "two").Answer.Outcome)
	}
	wg.Wait()
	state := memory.State(bytebudget.Answers)
	assert.LessOrEqual(t, state.Peak, int64(limit+(requests+1)*small))
	assert.Zero(t, state.Held, "all is given back")
}
