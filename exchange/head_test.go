package exchange_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/retry"
)

// namesWithNews returns _names with those of the headers that say what a worker intends.
func namesWithNews() exchange.HeaderNames {
	names := _names
	names.Leaving, names.Rest = "Leaving", "Retry-After"
	return names
}

// TestLeavingIsHeardInEveryAnswer has a worker say that it leaves in answers of each kind.
func TestLeavingIsHeardInEveryAnswer(t *testing.T) {
	tests := map[string]struct {
		answer string
		heard  bool
	}{
		"success":            {"HTTP/1.1 200 OK\r\nId: q\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", true},
		"refusal":            {"HTTP/1.1 503 No\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", true},
		"failure":            {"HTTP/1.1 500 No\r\nId: q\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", true},
		"broken off":         {"HTTP/1.1 200 OK\r\nId: q\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\nshort", true},
		"encoded":            {"HTTP/1.1 200 OK\r\nId: q\r\nLeaving: 1\r\nContent-Encoding: x\r\nContent-Length: 0\r\n\r\n", true},
		"interim":            {"HTTP/1.1 103 Early\r\nLeaving: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 0\r\n\r\n", true},
		"another worker":     {"HTTP/1.1 421 No\r\nId: q\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", false},
		"another value":      {"HTTP/1.1 200 OK\r\nId: q\r\nLeaving: 0\r\nContent-Length: 0\r\n\r\n", false},
		"unknown connection": {"HTTP/1.1 200 OK\r\nId: other\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", false},
		"head broken off":    {"HTTP/1.1 200 OK\r\nId: q\r\nLeaving: 1\r\n", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, func(_ int, _ *http.Request, c net.Conn) []byte {
				_, _ = c.Write([]byte(tt.answer))
				return nil
			})
			pool := &exchange.Pool{HeaderNames: namesWithNews()}
			result := pool.Do(t.Context(), w.target(), request("q"), true)
			assert.Equal(t, tt.heard, result.Leaving, "%+v", result)
		})
	}
}

// TestLeavingIsHeardAfterTheCallerLeft cancels an exchange in the middle of the body.
func TestLeavingIsHeardAfterTheCallerLeft(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	w := startWorker(t, func(_ int, _ *http.Request, c net.Conn) []byte {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nId: q\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\nshort"))
		time.Sleep(50 * time.Millisecond)
		cancel()
		time.Sleep(50 * time.Millisecond)
		return nil
	})
	pool := &exchange.Pool{HeaderNames: namesWithNews()}
	result := pool.Do(ctx, w.target(), request("q"), true)
	assert.Equal(t, exchange.CallerDisconnected, result.Fault)
	assert.True(t, result.Leaving)
}

// TestRestOfRefusal has a worker ask for a pause in each way that it can be written.
func TestRestOfRefusal(t *testing.T) {
	const refusal = "503 No\r\nNot-Run: 1"
	tests := map[string]struct {
		status string
		value  string
		rest   time.Duration
	}{
		"seconds":         {refusal, "2", 2 * time.Second},
		"fraction":        {refusal, "0.75", 750 * time.Millisecond},
		"zero":            {refusal, "0", 0},
		"very long":       {refusal, "1e300", 24 * time.Hour},
		"too large":       {refusal, "1e999", 24 * time.Hour},
		"negative":        {refusal, "-3", 0},
		"no number":       {refusal, "soon", 0},
		"NaN":             {refusal, "NaN", 0},
		"infinity":        {refusal, "+Inf", 0},
		"date":            {refusal + "\r\nDate: Tue, 01 Dec 2026 10:00:00 GMT", "Tue, 01 Dec 2026 10:00:07 GMT", 7 * time.Second},
		"past date":       {refusal + "\r\nDate: Tue, 01 Dec 2026 10:00:00 GMT", "Tue, 01 Dec 2026 09:00:00 GMT", 0},
		"date alone":      {refusal, "Tue, 01 Dec 2026 10:00:07 GMT", 0},
		"failure":         {"503 No\r\nId: q", "2", 2 * time.Second},
		"other refusal":   {"429 No\r\nNot-Run: 1", "2", 2 * time.Second},
		"other status":    {"200 OK\r\nId: q", "2", 0},
		"another request": {"503 No\r\nId: other", "2", 0},
		"another worker":  {"421 No\r\nId: q", "2", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, func(_ int, _ *http.Request, c net.Conn) []byte {
				_, _ = c.Write([]byte("HTTP/1.1 " + tt.status + "\r\nRetry-After: " + tt.value + "\r\nContent-Length: 0\r\n\r\n"))
				return nil
			})
			pool := &exchange.Pool{HeaderNames: namesWithNews()}
			assert.Equal(t, tt.rest, pool.Do(t.Context(), w.target(), request("q"), true).Rest)
		})
	}
}

// TestWithdrawnTargetGetsNothing withdraws the target while the connection is established.
func TestWithdrawnTargetGetsNothing(t *testing.T) {
	w := startWorker(t, func(int, *http.Request, net.Conn) []byte { return ok("q", "") })
	pool := &exchange.Pool{HeaderNames: namesWithNews()}
	target := w.target()
	target.Withdrawn = func() bool { return true }
	result := pool.Do(t.Context(), target, request("q"), true)
	assert.Equal(t, exchange.Withdrawn, result.Fault)
	assert.Equal(t, retry.NotRun, result.Answer.Outcome)
	assert.False(t, result.Sent)
	time.Sleep(20 * time.Millisecond)
	requests, _ := w.counts()
	assert.Zero(t, requests)
}

// TestShortageBlamesTheWorker has a pool use all its connections: the worker is not to blame,
// and an idle connection gives way.
func TestShortageBlamesTheWorker(t *testing.T) {
	hold := make(chan struct{})
	w := startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte {
		if r.Header.Get("Id") == "held" {
			<-hold
		}
		return ok(r.Header.Get("Id"), "")
	})
	other := startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte { return ok(r.Header.Get("Id"), "") })
	pool := &exchange.Pool{HeaderNames: namesWithNews(), MaxConns: 1}
	assert.Equal(t, exchange.None, pool.Do(t.Context(), w.target(), request("q"), true).Fault)
	assert.Equal(t, exchange.None, pool.Do(t.Context(), other.target(), request("q"), true).Fault, "an idle connection gives way")
	done := make(chan exchange.Result, 1)
	go func() { done <- pool.Do(t.Context(), w.target(), request("held"), true) }()
	assert.Eventually(t, func() bool { open, idle := pool.Connections(); return open == 1 && idle == 0 }, time.Second, time.Millisecond)
	result := pool.Do(t.Context(), other.target(), request("q2"), true)
	assert.Equal(t, exchange.Starved, result.Fault)
	assert.Equal(t, retry.NotRun, result.Answer.Outcome)
	close(hold)
	assert.Equal(t, exchange.None, (<-done).Fault)
	open, idle := pool.Connections()
	assert.Equal(t, 1, open)
	assert.Equal(t, 1, idle)
}
