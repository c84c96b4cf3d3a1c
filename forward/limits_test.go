package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/forward"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/worker"
)

// TestLimitsAreLogged has a worker name a limit, change it and take it back: the log and
// the status tell who heard of it, when and by which request.
func TestLimitsAreLogged(t *testing.T) {
	s := newService(t, &exchanger{results: []exchange.Result{ran(200), limited(900), limited(900), limited(800), ran(200)}}, 1)
	core, lines := observer.New(zap.InfoLevel)
	s.Log = zap.New(core)
	for range 5 {
		s.Handle(t.Context(), request("/read/x"))
		// Permits for the next request are issued meanwhile.
		time.Sleep(5 * time.Millisecond)
	}
	named := lines.FilterMessage("worker names a limit").All()
	require.Len(t, named, 2)
	assert.Equal(t, "i-0", named[0].ContextMap()["worker"])
	assert.InDelta(t, 900, named[0].ContextMap()["perSecond"], 0)
	assert.InDelta(t, 800, named[1].ContextMap()["perSecond"], 0)
	assert.Len(t, lines.FilterMessage("worker names no limit any more").All(), 1)
}

// limited returns the answer of a worker that names a limit.
func limited(perSecond float64) exchange.Result {
	r := ran(200)
	r.Limit = &perSecond
	return r
}

// TestWithoutPermitRefusedAtOnce has the only worker name a limit: what it does not take is
// refused at once, with the reason, and does not reach it.
func TestWithoutPermitRefusedAtOnce(t *testing.T) {
	e := &exchanger{results: []exchange.Result{limited(0.5)}}
	s := newService(t, e, 1)
	core, lines := observer.New(zap.InfoLevel)
	s.Log = zap.New(core)
	refusals := 0
	for range 20 {
		started := time.Now()
		a := s.Handle(t.Context(), request("/read/x"))
		if a.Status == 503 {
			refusals++
			assert.Equal(t, relay.WorkerLimit, a.Reason)
			assert.NotEmpty(t, relay.Get(a.Header, "Retry-After"))
			assert.Less(t, time.Since(started), 100*time.Millisecond)
		}
	}
	ended := lines.FilterMessage("request ended").All()
	require.NotEmpty(t, ended)
	assert.Equal(t, []any{"i-0 limit=0.5 issuer=edge-1 usedUp"}, ended[len(ended)-1].ContextMap()["heldBack"])
	assert.Len(t, e.sent, 20-refusals)
	assert.GreaterOrEqual(t, refusals, 17)
}

// TestSecondTryNeedsPermit has workers refuse requests while the others have named limits:
// neither payments nor reads are sent to a second worker beyond its limit.
func TestSecondTryNeedsPermit(t *testing.T) {
	for _, path := range []string{"/read/x", "/pay/x"} {
		perSecond := 0.5
		shed := refused()
		shed.Limit = &perSecond
		e := &exchanger{results: []exchange.Result{shed}}
		s := newService(t, e, 4)
		for range 30 {
			assert.Equal(t, 503, s.Handle(t.Context(), request(path)).Status)
		}
		perWorker := make(map[string]int)
		for _, id := range e.sent {
			perWorker[id]++
		}
		for id, n := range perWorker {
			assert.LessOrEqual(t, n, 3, "worker %s", id)
		}
	}
}

// TestColdWorkerNeedsBothPermits has a cold worker name a limit far above the rate that it
// takes while it is cold.
func TestColdWorkerNeedsBothPermits(t *testing.T) {
	e := &exchanger{results: []exchange.Result{limited(1000)}}
	s := newService(t, e, 1)
	s.Update(func(st *forward.State) {
		st.Instances, st.SharedLimits.ColdSlack = []string{"edge-1"}, 30
		st.Workers.Get("i-0").ColdUntil = time.Now().Add(time.Minute)
	})
	started := time.Now()
	for time.Since(started) < 500*time.Millisecond {
		s.Handle(t.Context(), request("/read/x"))
		time.Sleep(time.Millisecond)
	}
	assert.NotEmpty(t, e.sent)
	assert.LessOrEqual(t, len(e.sent), 5)
}

// TestLimitOutlivesASpoiledEntry has the entry of a worker with a limit be spoiled and written
// again by the worker: its limit holds. It ends with the worker.
func TestLimitOutlivesASpoiledEntry(t *testing.T) {
	named := ran(200)
	perSecond := 3.0
	named.Limit = &perSecond
	s := newService(t, &exchanger{results: []exchange.Result{named}}, 1)
	s.Handle(t.Context(), request("/read/x"))
	require.Len(t, s.Permits.Limits(), 1)
	now := time.Now()
	s.Update(func(st *forward.State) { st.Workers.Delete("i-0", 2) })
	s.Sweep(now)
	s.Sweep(now.Add(time.Second))
	assert.Len(t, s.Permits.Limits(), 1)
	s.Update(func(st *forward.State) {
		st.Workers.Put(now, worker.Entry{ID: "i-0", Service: "s", Address: "10.0.0.0:80", Zone: "a", Slots: 4, Born: 1, Heartbeat: 2}, 3)
	})
	s.Sweep(now.Add(20 * time.Second))
	assert.Len(t, s.Permits.Limits(), 1)
	s.Update(func(st *forward.State) { st.Workers.Delete("i-0", 4) })
	s.Sweep(now.Add(21 * time.Second))
	s.Sweep(now.Add(32 * time.Second))
	assert.Empty(t, s.Permits.Limits())
}
