package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wigeonlock/wigeonlock/catalog"
	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/forward"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/store"
	"github.com/wigeonlock/wigeonlock/worker"
)

// exchanger returns the n-th of its results for the n-th exchange, and the last
// one for further exchanges.
type exchanger struct {
	mu      sync.Mutex
	results []exchange.Result
	sent    []string
	left    []time.Duration
	wait    func(ctx context.Context)
}

func (e *exchanger) Do(ctx context.Context, t exchange.Target, _ *relay.Request, _ bool) exchange.Result {
	e.mu.Lock()
	n := min(len(e.sent), len(e.results)-1)
	e.sent = append(e.sent, t.ID)
	at, _ := ctx.Deadline()
	e.left = append(e.left, time.Until(at))
	result := e.results[n]
	result.SentAt = time.Now()
	e.mu.Unlock()
	if e.wait != nil {
		e.wait(ctx)
	}
	return result
}

func (e *exchanger) CloseIdle(string) {}

func ran(status int) exchange.Result {
	a := &relay.Answer{
		Outcome: retry.Run, Reason: relay.Served, Status: status,
		Header: []relay.Header{{Name: "Stamp", Value: "i-0"}, {Name: "Retry-After", Value: "1"}},
	}
	relay.SetBytes(a, []byte("body"))
	return exchange.Result{Answer: a, Sent: true}
}

func refused() exchange.Result {
	return exchange.Result{Answer: relay.NotRun(relay.WorkerRefused), Fault: exchange.Refused, Sent: true}
}

func broken() exchange.Result {
	return exchange.Result{Answer: relay.Unknown(relay.WorkerBroken), Fault: exchange.Broken, Sent: true}
}

func unreachable() exchange.Result {
	return exchange.Result{Answer: relay.NotRun(relay.WorkerUnreachable), Fault: exchange.Unreachable}
}

func route(name string, kind catalog.Kind, attempts int) catalog.Route {
	return catalog.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Timeout: time.Second,
		Shares: []catalog.Share{{Service: "s", Weight: 1}},
	}
}

func newService(t *testing.T, e *exchanger, workers int) *forward.Service {
	t.Helper()
	s := &forward.Service{
		Exchange: e, Instance: "edge-1", Region: "r", Zones: map[string]string{"a": "r"}, Log: zap.NewNop(),
	}
	s.Prepare(forward.SharedLimits{RetryRatio: 0.2, RetryExtra: 58, RetryWindow: 10 * time.Second, ColdOverrun: 1.5, ColdSlack: 5})
	c, err := catalog.New(3, []catalog.Route{
		route("read", catalog.Idempotent, 3), route("pay", catalog.NonIdempotent, 3), route("once", catalog.Idempotent, 1),
	}, nil, catalog.Limits{})
	require.NoError(t, err)
	s.Update(func(st *forward.State) {
		st.Catalog = c
		for n := range workers {
			st.Workers.Put(time.Now(), worker.Entry{
				ID: fmt.Sprint("i-", n), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", n), Zone: "a", Slots: 4, Born: 1, Heartbeat: 1,
			}, 1)
		}
	})
	return s
}

func request(path string) *relay.Request {
	return &relay.Request{
		ID: "id", Method: "GET", URI: path, Host: "h:8080", TimeLeft: time.Second, Received: time.Now(), Body: &relay.Body{},
	}
}

// TestNoRetryReasonIsLogged checks that the log line of a request states why it
// was not retried.
func TestNoRetryReasonIsLogged(t *testing.T) {
	tests := map[string]struct {
		path    string
		results []exchange.Result
		workers int
		reason  string
	}{
		"payment may have run": {"/pay/x", []exchange.Result{broken()}, 4, "mayHaveRun"},
		"attempts used up":     {"/once/x", []exchange.Result{refused()}, 4, "maxAttempts"},
		"nobody reachable":     {"/read/x", []exchange.Result{unreachable()}, 9, "unreachableWorkers"},
		"no other worker":      {"/read/x", []exchange.Result{broken()}, 1, "noWorker"},
		"served":               {"/read/x", []exchange.Result{refused(), ran(200)}, 4, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newService(t, &exchanger{results: tt.results}, tt.workers)
			core, lines := observer.New(zap.InfoLevel)
			s.Log = zap.New(core)
			s.Handle(t.Context(), request(tt.path))
			ended := lines.FilterMessage("request ended").All()
			require.Len(t, ended, 1)
			assert.Equal(t, tt.reason, ended[0].ContextMap()["notAgain"])
		})
	}
}

// TestConditionsAreLogged checks that a worker that fails gets a log line for each
// condition that the placer detects.
func TestConditionsAreLogged(t *testing.T) {
	s := newService(t, &exchanger{results: []exchange.Result{unreachable()}}, 1)
	core, lines := observer.New(zap.InfoLevel)
	s.Log = zap.New(core)
	s.Handle(t.Context(), request("/read/x"))
	for _, message := range []string{"worker avoided", "worker may have started anew"} {
		logged := lines.FilterMessage(message).All()
		require.Len(t, logged, 1, message)
		assert.Equal(t, "i-0", logged[0].ContextMap()["worker"])
		assert.Equal(t, "unreachable", logged[0].ContextMap()["outcome"])
	}
}

func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		path    string
		results []exchange.Result
		sent    int
		status  int
	}{
		"served":                               {"/read/x", []exchange.Result{ran(200)}, 1, 200},
		"server error of a worker is returned": {"/pay/x", []exchange.Result{ran(500)}, 1, 500},
		"a failed read is retried":             {"/read/x", []exchange.Result{ran(500), ran(200)}, 2, 200},
		"failed read, then refused":            {"/read/x", []exchange.Result{ran(500), refused()}, 3, 500},
		"refused, then served":                 {"/read/x", []exchange.Result{refused(), ran(200)}, 2, 200},
		"refused everywhere":                   {"/read/x", []exchange.Result{refused()}, 3, 503},
		"unreachable, then served":             {"/pay/x", []exchange.Result{unreachable(), ran(200)}, 2, 200},
		"payment refused, then served":         {"/pay/x", []exchange.Result{refused(), ran(200)}, 2, 200},
		"broken payment is not retried":        {"/pay/x", []exchange.Result{broken(), ran(200)}, 1, 502},
		"payment refused, then broken":         {"/pay/x", []exchange.Result{refused(), broken(), ran(200)}, 2, 502},
		"broken read is retried":               {"/read/x", []exchange.Result{broken(), ran(200)}, 2, 200},
		"read broken everywhere":               {"/read/x", []exchange.Result{broken()}, 3, 502},
		"at most as many workers as allowed":   {"/once/x", []exchange.Result{refused(), ran(200)}, 1, 503},
		"no route":                             {"/none/x", []exchange.Result{ran(200)}, 0, 404},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := &exchanger{results: tt.results}
			s := newService(t, e, 4)
			a := s.Handle(context.Background(), request(tt.path))
			assert.Equal(t, tt.status, a.Status)
			assert.Len(t, e.sent, tt.sent)
			seen := map[string]bool{}
			for _, id := range e.sent {
				assert.False(t, seen[id], "a worker gets a request once")
				seen[id] = true
			}
			if tt.status == 503 {
				pause, err := strconv.ParseFloat(relay.Get(a.Header, "Retry-After"), 64)
				require.NoError(t, err)
				assert.Greater(t, pause, 0.0)
				assert.Less(t, pause, 1.0/3, "within a third of the time left")
			}
		})
	}
}

func TestNotReadyWithoutState(t *testing.T) {
	e := &exchanger{results: []exchange.Result{ran(200)}}
	s := &forward.Service{Exchange: e, Zones: map[string]string{"a": "r"}, Log: zap.NewNop()}
	s.Prepare(forward.SharedLimits{RetryWindow: time.Second})
	assert.Equal(t, http.StatusServiceUnavailable, s.Handle(context.Background(), request("/read/x")).Status,
		"without a configuration, a request without a route is refused, not answered with 404")
	require.ErrorIs(t, s.Ready(), forward.ErrNoCatalog)

	s = newService(t, e, 0)
	require.ErrorIs(t, s.Ready(), forward.ErrNoWorkers)
	assert.Equal(t, http.StatusServiceUnavailable, s.Handle(context.Background(), request("/read/x")).Status)
	assert.Empty(t, e.sent)
	assert.NoError(t, newService(t, e, 1).Ready())
}

// TestSharedRetryBudget checks that retries stay within the budget when all
// workers fail every request.
func TestSharedRetryBudget(t *testing.T) {
	e := &exchanger{results: []exchange.Result{ran(500)}}
	s := newService(t, e, 4)
	const n = 300
	for range n {
		s.Handle(context.Background(), request("/read/x"))
	}
	retries := len(e.sent) - n
	assert.Positive(t, retries)
	assert.LessOrEqual(t, float64(retries), 0.2*n+58)
}

// TestLimitsChangeWhileRunning checks that changed limits apply to the next
// request.
func TestLimitsChangeWhileRunning(t *testing.T) {
	e := &exchanger{results: []exchange.Result{ran(500)}}
	s := newService(t, e, 4)
	s.Handle(context.Background(), request("/read/x"))
	before := len(e.sent)
	assert.Greater(t, before, 1)
	s.Update(func(st *forward.State) { st.SharedLimits.RetryRatio, st.SharedLimits.RetryExtra = 0, 0 })
	s.Handle(context.Background(), request("/read/x"))
	assert.Len(t, e.sent, before+1, "no retry is allowed")
}

func TestClosedZoneAndHomes(t *testing.T) {
	e := &exchanger{results: []exchange.Result{ran(200)}}
	s := newService(t, e, 4)
	s.Update(func(st *forward.State) { st.Closed["a"] = true })
	assert.Equal(t, 503, s.Handle(context.Background(), request("/read/x")).Status)
	assert.Empty(t, e.sent)
	s.Update(func(st *forward.State) { st.Closed["a"] = false })
	assert.Equal(t, 200, s.Handle(context.Background(), request("/read/x")).Status)

	bound := route("bound", catalog.Idempotent, 3)
	bound.Homes = []string{"elsewhere"}
	c, err := catalog.New(4, []catalog.Route{bound}, nil, catalog.Limits{})
	require.NoError(t, err)
	s.Update(func(st *forward.State) { st.Catalog = c })
	assert.Equal(t, 503, s.Handle(context.Background(), request("/bound/x")).Status)
	assert.Equal(t, []string{"elsewhere"}, s.Homes("h:80"))
}

// TestTimeLimits checks that both the caller's deadline and the timeout of the
// route limit a request.
func TestTimeLimits(t *testing.T) {
	e := &exchanger{results: []exchange.Result{ran(200)}}
	s := newService(t, e, 4)
	short := request("/read/x")
	short.TimeLeft = 300 * time.Millisecond
	s.Handle(context.Background(), short)
	long := request("/read/x")
	long.TimeLeft = time.Minute
	s.Handle(context.Background(), long)
	assert.LessOrEqual(t, e.left[0], 300*time.Millisecond)
	assert.Greater(t, e.left[1], 300*time.Millisecond)
	assert.LessOrEqual(t, e.left[1], time.Second)
}

// TestDeadlinePasses checks that a request ends with 504 if it may have run when
// its deadline passes, and with 503 if it has not.
func TestDeadlinePasses(t *testing.T) {
	untilDone := func(ctx context.Context) { <-ctx.Done() }
	silent := exchange.Result{Answer: relay.Unknown(relay.WorkerSilent), Fault: exchange.TimedOut, Sent: true}
	for _, path := range []string{"/read/x", "/pay/x"} {
		e := &exchanger{results: []exchange.Result{silent}, wait: untilDone}
		s := newService(t, e, 4)
		r := request(path)
		r.TimeLeft = 50 * time.Millisecond
		assert.Equal(t, http.StatusGatewayTimeout, s.Handle(context.Background(), r).Status)
		assert.Len(t, e.sent, 1)
	}
	e := &exchanger{results: []exchange.Result{unreachable()}, wait: untilDone}
	s := newService(t, e, 4)
	r := request("/pay/x")
	r.TimeLeft = 50 * time.Millisecond
	assert.Equal(t, http.StatusServiceUnavailable, s.Handle(context.Background(), r).Status, "it has not run")
}

// TestPaymentSurvivesDisconnect checks that a request that must not run twice goes
// on when its caller disconnects, while any other one is cancelled.
func TestPaymentSurvivesDisconnect(t *testing.T) {
	for path, cancelled := range map[string]bool{"/pay/x": false, "/read/x": true} {
		ctx, cancel := context.WithCancel(context.Background())
		ended := false
		e := &exchanger{results: []exchange.Result{ran(200)}, wait: func(ctx context.Context) {
			cancel()
			select {
			case <-ctx.Done():
				ended = true
			case <-time.After(50 * time.Millisecond):
			}
		}}
		newService(t, e, 1).Handle(ctx, request(path))
		assert.Equal(t, cancelled, ended, path)
	}
}

func TestExclusive(t *testing.T) {
	s := newService(t, &exchanger{}, 1)
	assert.True(t, s.Exclusive(request("/pay/x")))
	assert.False(t, s.Exclusive(request("/read/x")))
	assert.False(t, s.Exclusive(request("/none/x")))
}

// TestEntriesChangeWhileRequestsRun has workers write their entries while requests
// are sent to them: the race detector reports an entry that is read without the lock.
func TestEntriesChangeWhileRequestsRun(t *testing.T) {
	s := newService(t, &exchanger{results: []exchange.Result{refused(), ran(200)}}, 4)
	stopped := make(chan struct{})
	var writers sync.WaitGroup
	writers.Add(1)
	go func() {
		defer writers.Done()
		for n := int64(2); ; n++ {
			select {
			case <-stopped:
				return
			default:
			}
			s.Update(func(st *forward.State) {
				for i := range 4 {
					st.Workers.Put(time.Now(), worker.Entry{
						ID: fmt.Sprint("i-", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "a", Slots: 4, Born: 1, Heartbeat: n,
					}, store.Revision(n))
				}
			})
		}
	}()
	for range 500 {
		s.Handle(t.Context(), request("/read/x"))
	}
	close(stopped)
	writers.Wait()
}
