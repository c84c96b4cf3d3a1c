package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

var _names = exchange.HeaderNames{
	RequestID: "Id", TimeLeft: "Time-Left", Expect: "Expect-Worker", NotRun: "Not-Run", Load: "Load", Limit: "Limit",
	Team: "Team", Stamp: "Stamp",
}

// worker answers each request with the bytes that a script returns; a nil answer
// closes the connection.
type worker struct {
	listener net.Listener
	mu       sync.Mutex
	requests []*http.Request
	conns    int
	open     []net.Conn
}

// closeConns closes the open connections.
func (w *worker) closeConns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.open {
		_ = c.Close()
	}
}

func startWorker(t *testing.T, script func(n int, r *http.Request, c net.Conn) []byte) *worker {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w := &worker{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns++
			w.open = append(w.open, c)
			w.mu.Unlock()
			go w.serve(c, script)
		}
	}()
	return w
}

func (w *worker) serve(c net.Conn, script func(int, *http.Request, net.Conn) []byte) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.Header.Get("Early") == "" {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		w.mu.Lock()
		w.requests = append(w.requests, r)
		n := len(w.requests)
		w.mu.Unlock()
		answer := script(n, r, c)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

func (w *worker) target() exchange.Target {
	return exchange.Target{ID: "i-1", Address: w.listener.Addr().String()}
}

func (w *worker) counts() (requests, conns int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.requests), w.conns
}

func request(id string) *relay.Request {
	return &relay.Request{ID: id, Method: "GET", URI: "/a//b?c=%2F", Host: "h.example", Body: &relay.Body{}}
}

func ok(id, body string, more ...string) []byte {
	head := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + fmt.Sprint(len(body)) + "\r\n"
	for _, m := range more {
		head += m + "\r\n"
	}
	return []byte(head + "\r\n" + body)
}

func bodyOf(r exchange.Result) string {
	data, _ := relay.Bytes(r.Answer)
	return string(data)
}

func do(t *testing.T, p *exchange.Pool, w *worker, r *relay.Request) exchange.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return p.Do(ctx, w.target(), r, true)
}

func TestRequestReachesWorkerUnchanged(t *testing.T) {
	w := startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte {
		return ok(r.Header.Get("Id"), r.RequestURI, "Load: 3,1,8")
	})
	p := &exchange.Pool{HeaderNames: _names}
	result := do(t, p, w, request("one"))
	assert.Equal(t, retry.Run, result.Answer.Outcome)
	assert.Equal(t, "/a//b?c=%2F", bodyOf(result))
	assert.Equal(t, &exchange.Load{Running: 3, Waiting: 1, Slots: 8}, result.Load)
	r := w.requests[0]
	assert.Equal(t, "h.example", r.Host)
	assert.Equal(t, "i-1", r.Header.Get("Expect-Worker"))
	assert.NotEmpty(t, r.Header.Get("Time-Left"))
	assert.Empty(t, r.Header.Values("Team"))

	named := request("two")
	named.Team = "office"
	do(t, p, w, named)
	assert.Equal(t, []string{"office"}, w.requests[1].Header.Values("Team"))
}

func TestConnectionIsReusedOnlyWhenClean(t *testing.T) {
	tests := map[string]struct {
		answer func(id string) []byte
		conns  int
	}{
		"clean":         {func(id string) []byte { return ok(id, "x") }, 1},
		"surplus bytes": {func(id string) []byte { return append(ok(id, "x"), "more"...) }, 2},
		"second answer": {func(id string) []byte { return append(ok(id, "x"), ok(id, "x")...) }, 2},
		"close":         {func(id string) []byte { return ok(id, "x", "Connection: close") }, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte { return tt.answer(r.Header.Get("Id")) })
			p := &exchange.Pool{HeaderNames: _names}
			for n := range 2 {
				assert.Equal(t, retry.Run, do(t, p, w, request(fmt.Sprint("r", n))).Answer.Outcome)
			}
			_, conns := w.counts()
			assert.Equal(t, tt.conns, conns)
		})
	}
}

// TestLateAnswerOfAnotherRequest checks that a late answer to an earlier request is
// not taken for the answer to the next one.
func TestLateAnswerOfAnotherRequest(t *testing.T) {
	w := startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte {
		return append(ok("other", "wrong"), ok(r.Header.Get("Id"), "right")...)
	})
	result := do(t, &exchange.Pool{HeaderNames: _names}, w, request("one"))
	assert.Equal(t, "right", bodyOf(result))
}

func TestBadAnswersAreUnknown(t *testing.T) {
	tests := map[string]func(id string) []byte{
		"cut":         func(id string) []byte { return ok(id, "0123456789")[:50] },
		"no answer":   func(string) []byte { return nil },
		"no protocol": func(string) []byte { return []byte("hello\r\n\r\n") },
		"only others": func(string) []byte { return append(ok("a", ""), append(ok("b", ""), ok("c", "")...)...) },
		"encoded":     func(id string) []byte { return ok(id, "x", "Content-Encoding: gzip") },
		"unnamed":     func(string) []byte { return []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") },
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, func(_ int, r *http.Request, c net.Conn) []byte {
				_, _ = c.Write(answer(r.Header.Get("Id")))
				return nil
			})
			result := do(t, &exchange.Pool{HeaderNames: _names}, w, request("one"))
			assert.Equal(t, retry.Unknown, result.Answer.Outcome)
			assert.True(t, result.Sent)
			requests, _ := w.counts()
			assert.Equal(t, 1, requests, "the pool does not retry")
		})
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	w := startWorker(t, func(_ int, r *http.Request, c net.Conn) []byte {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nall of it", r.Header.Get("Id"))
		return nil
	})
	p := &exchange.Pool{HeaderNames: _names}
	assert.Equal(t, "all of it", bodyOf(do(t, p, w, request("one"))))

	reset := startWorker(t, func(_ int, r *http.Request, c net.Conn) []byte {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\npart", r.Header.Get("Id"))
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		return nil
	})
	assert.Equal(t, retry.Unknown, do(t, p, reset, request("two")).Answer.Outcome, "a reset does not end an answer without a length")
}

func TestRefusalsDidNotRun(t *testing.T) {
	tests := map[string]struct {
		answer string
		fault  exchange.Fault
	}{
		"full":    {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", exchange.Refused},
		"another": {"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", exchange.Misdirected},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, func(int, *http.Request, net.Conn) []byte { return []byte(tt.answer) })
			result := do(t, &exchange.Pool{HeaderNames: _names}, w, request("one"))
			assert.Equal(t, retry.NotRun, result.Answer.Outcome)
			assert.Equal(t, tt.fault, result.Fault)
			assert.True(t, result.Sent)
		})
	}
	// A request answered with 503 has run unless the answer says otherwise.
	w := startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte {
		return []byte("HTTP/1.1 503 Busy\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 0\r\n\r\n")
	})
	result := do(t, &exchange.Pool{HeaderNames: _names}, w, request("one"))
	assert.Equal(t, retry.Run, result.Answer.Outcome)
	assert.Equal(t, 503, result.Answer.Status)
}

// TestStampedAnswerRan guards against an order that runs twice: its worker ran and stamped it, and
// answered with the status of a worker that is not the one expected.
func TestStampedAnswerRan(t *testing.T) {
	w := startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte {
		return []byte("HTTP/1.1 421 Other\r\nId: " + r.Header.Get("Id") + "\r\nStamp: i-1\r\nContent-Length: 0\r\n\r\n")
	})
	result := do(t, &exchange.Pool{HeaderNames: _names}, w, request("one"))
	assert.Equal(t, retry.Run, result.Answer.Outcome)
	assert.Equal(t, exchange.None, result.Fault)

	w = startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte {
		return []byte("HTTP/1.1 421 Other\r\nId: " + r.Header.Get("Id") + "\r\nStamp: i-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	})
	result = do(t, &exchange.Pool{HeaderNames: _names}, w, request("one"))
	assert.Equal(t, retry.NotRun, result.Answer.Outcome, "the worker states that it did not run the request")
}

func TestUnreachableDidNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	p := &exchange.Pool{HeaderNames: _names}
	result := p.Do(context.Background(), exchange.Target{ID: "i", Address: address}, request("one"), true)
	assert.Equal(t, retry.NotRun, result.Answer.Outcome)
	assert.Equal(t, exchange.Unreachable, result.Fault)
	assert.False(t, result.Sent)
}

// TestClosedConnectionIsNotReused has a worker close an idle connection. The next
// request must use a new one, or it would be lost.
func TestClosedConnectionIsNotReused(t *testing.T) {
	w := startWorker(t, func(n int, r *http.Request, c net.Conn) []byte {
		if n == 1 {
			_, _ = c.Write(ok(r.Header.Get("Id"), "x"))
			return nil
		}
		return ok(r.Header.Get("Id"), "y")
	})
	p := &exchange.Pool{HeaderNames: _names}
	do(t, p, w, request("one"))
	time.Sleep(50 * time.Millisecond)
	result := do(t, p, w, request("two"))
	assert.Equal(t, "y", bodyOf(result))
	assert.False(t, result.Reused)
}

// TestEarlyAnswerToLongBody has a worker answer before it read a long body. The
// connection must not be reused, since the worker would take the next request for
// the rest of the body.
func TestEarlyAnswerToLongBody(t *testing.T) {
	w := startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte {
		return []byte("HTTP/1.1 413 Large\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 0\r\n\r\n")
	})
	p := &exchange.Pool{HeaderNames: _names}
	for n := range 2 {
		r := request(fmt.Sprint("r", n))
		r.Method = "POST"
		r.Header = []relay.Header{{Name: "Early", Value: "1"}}
		body := strings.Repeat("x", 8<<20)
		r.Body, r.HasLength = &relay.Body{Bytes: []byte(body), Length: int64(len(body))}, true
		assert.Equal(t, 413, do(t, p, w, r).Answer.Status)
	}
	requests, conns := w.counts()
	assert.Equal(t, 2, requests)
	assert.Equal(t, 2, conns)
}

func TestCallerDisconnectEndsExchange(t *testing.T) {
	closed := make(chan struct{})
	w := startWorker(t, func(_ int, _ *http.Request, c net.Conn) []byte {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	p := &exchange.Pool{HeaderNames: _names}
	result := p.Do(ctx, w.target(), request("one"), true)
	assert.Equal(t, exchange.CallerDisconnected, result.Fault)
	assert.Equal(t, retry.Unknown, result.Answer.Outcome)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection to the worker is still open")
	}
}

func TestSilentWorker(t *testing.T) {
	w := startWorker(t, func(_ int, _ *http.Request, c net.Conn) []byte {
		_, _ = c.Read(make([]byte, 1))
		return nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	p := &exchange.Pool{HeaderNames: _names}
	result := p.Do(ctx, w.target(), request("one"), true)
	assert.Equal(t, exchange.TimedOut, result.Fault)
	assert.Equal(t, retry.Unknown, result.Answer.Outcome)
}

func TestHeadHasLengthAndNoBody(t *testing.T) {
	w := startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte {
		return []byte("HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 10\r\n\r\n")
	})
	r := request("one")
	r.Method = "HEAD"
	result := do(t, &exchange.Pool{HeaderNames: _names}, w, r)
	assert.Equal(t, retry.Run, result.Answer.Outcome)
	assert.EqualValues(t, 10, result.Answer.Length)
}

// TestSweepWithoutIdleConnections has a worker close its only connection after an
// answer, so that its list of idle connections is empty when it is checked.
func TestSweepWithoutIdleConnections(t *testing.T) {
	w := startWorker(t, func(n int, r *http.Request, _ net.Conn) []byte {
		ends := ""
		if n > 0 {
			ends = "Connection: close\r\n"
		}
		return []byte("HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\n" + ends + "Keep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n")
	})
	pool := &exchange.Pool{HeaderNames: _names, OnIdleClose: func(string) { t.Error("OnIdleClose was called, but no idle connection was closed") }}
	for n := range 2 {
		require.Equal(t, exchange.None, do(t, pool, w, request(fmt.Sprint("q", n))).Fault)
	}
	pool.Sweep(time.Now())
}

// TestIdleCloseIsReported has one of five workers close its idle connection, which
// is reported, and then all of them, which is not: the cause is then local.
func TestIdleCloseIsReported(t *testing.T) {
	var workers []*worker
	for range 5 {
		workers = append(workers, startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte {
			return []byte("HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n")
		}))
	}
	var reported []string
	pool := &exchange.Pool{HeaderNames: _names, OnIdleClose: func(address string) { reported = append(reported, address) }}
	use := func() {
		for n, w := range workers {
			target := exchange.Target{ID: "w", Address: w.listener.Addr().String()}
			result := pool.Do(t.Context(), target, request(fmt.Sprint("q", n)), true)
			require.Equal(t, exchange.None, result.Fault)
		}
	}
	use()
	now := time.Now()
	pool.Sweep(now)
	assert.Empty(t, reported)

	first := workers[0].listener.Addr().String()
	workers[0].closeConns()
	require.Eventually(t, func() bool {
		now = now.Add(time.Second)
		pool.Sweep(now)
		return len(reported) > 0
	}, 10*time.Second, 10*time.Millisecond)
	assert.Equal(t, []string{first}, reported)

	use()
	for _, w := range workers {
		w.closeConns()
	}
	time.Sleep(100 * time.Millisecond)
	pool.Sweep(now.Add(time.Second))
	assert.Equal(t, []string{first}, reported, "a close by all workers at once is not reported")
}

// TestLimitOfAnotherWorkerIsIgnored has a worker that took over an address answer 421 and
// name a limit: it is not the limit of the worker that was asked.
func TestLimitOfAnotherWorkerIsIgnored(t *testing.T) {
	for name, tt := range map[string]struct {
		status string
		limit  string
		want   *float64
	}{
		"answer":    {"200 OK", "0.4", new(0.4)},
		"error":     {"500 Error", "12", new(12.0)},
		"421":       {"421 Misdirected", "0.4", nil},
		"none":      {"200 OK", "", nil},
		"negative":  {"200 OK", "-1", nil},
		"no number": {"200 OK", "NaN", nil},
		"text":      {"200 OK", "5 a second", nil},
	} {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte {
				return fmt.Appendf(nil, "HTTP/1.1 %s\r\nId: %s\r\nLimit: %s\r\nContent-Length: 0\r\n\r\n", tt.status, r.Header.Get("Id"), tt.limit)
			})
			pool := &exchange.Pool{HeaderNames: _names}
			assert.Equal(t, tt.want, pool.Do(t.Context(), w.target(), request("q"), true).Limit)
		})
	}
}

// TestIdleConnectionsAreLimited has several requests end at once: only as many connections
// are kept as the target allows.
func TestIdleConnectionsAreLimited(t *testing.T) {
	for maxIdle, want := range map[int]int{0: 16, 2: 2, exchange.NoIdle: 0, 40: 16} {
		t.Run(fmt.Sprint(maxIdle), func(t *testing.T) {
			const n = 20
			var arrived sync.WaitGroup
			arrived.Add(n)
			w := startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte {
				arrived.Done()
				arrived.Wait()
				return ok(r.Header.Get("Id"), "x")
			})
			target := w.target()
			target.MaxIdle = maxIdle
			pool := &exchange.Pool{HeaderNames: _names}
			var group sync.WaitGroup
			for i := range n {
				group.Go(func() { pool.Do(t.Context(), target, request(fmt.Sprint("q", i)), true) })
			}
			group.Wait()
			_, before := w.counts()
			assert.Equal(t, n, before)
			assert.Equal(t, want, pool.IdleConns(target.Address))
		})
	}
}

// TestLoadReports has workers that state more than running, waiting and slots: their reports
// were ignored, so that no load at all was known of them.
func TestLoadReports(t *testing.T) {
	tests := []struct {
		report string
		want   *exchange.Load
		bad    uint64
	}{
		{report: "3,1,8", want: &exchange.Load{Running: 3, Waiting: 1, Slots: 8}},
		{report: "3, 1, 8, 250", want: &exchange.Load{Running: 3, Waiting: 1, Slots: 8, Pace: 2.5}},
		{report: "3,1,8,100,new", want: &exchange.Load{Running: 3, Waiting: 1, Slots: 8, Pace: 1}},
		{report: "3,1,8,fast", want: &exchange.Load{Running: 3, Waiting: 1, Slots: 8}, bad: 1},
		{report: "3,1,-8,100", bad: 1},
		{report: "3,1", bad: 1},
	}
	for _, tt := range tests {
		before := exchange.BadLoads()
		w := startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte {
			return ok(r.Header.Get("Id"), "x", "Load: "+tt.report)
		})
		p := &exchange.Pool{HeaderNames: _names}
		assert.Equal(t, tt.want, do(t, p, w, request("one")).Load, tt.report)
		assert.Equal(t, tt.bad, exchange.BadLoads()-before, tt.report)
	}
}
