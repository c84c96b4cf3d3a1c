package forward_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/forward"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/worker"
)

// TestCallersWaitWhileAllWorkersRest has all workers of a service ask for a pause: callers
// are refused at once and told when there is capacity, spread.
func TestCallersWaitWhileAllWorkersRest(t *testing.T) {
	rested := refused()
	rested.Rest = 3 * time.Second
	e := &exchanger{results: []exchange.Result{rested}}
	s := newService(t, e, 2)
	s.Handle(t.Context(), request("/read/x"))
	require.Len(t, e.sent, 2)
	pauses := make(map[string]bool)
	for range 10 {
		began := time.Now()
		a := s.Handle(t.Context(), request("/pay/x"))
		assert.Less(t, time.Since(began), 100*time.Millisecond)
		assert.Equal(t, http.StatusServiceUnavailable, a.Status)
		assert.Equal(t, retry.NotRun, a.Outcome)
		assert.Equal(t, relay.WorkersResting, a.Reason)
		text := relay.Get(a.Header, relay.HeaderRetryAfter)
		pauses[text] = true
		pause, err := strconv.ParseFloat(text, 64)
		require.NoError(t, err)
		assert.Greater(t, pause, 2.5)
		assert.Less(t, pause, 4.5)
	}
	assert.Greater(t, len(pauses), 5, "callers do not return at the same time")
	assert.Len(t, e.sent, 2, "nothing is sent in the pause")
}

// TestLeavingIsHeardInASecondTry has the worker of the second attempt say that it leaves, in
// an answer that breaks off.
func TestLeavingIsHeardInASecondTry(t *testing.T) {
	leaving := broken()
	leaving.Leaving = true
	e := &exchanger{results: []exchange.Result{refused(), leaving, ran(200)}}
	s := newService(t, e, 4)
	core, lines := observer.New(zap.InfoLevel)
	s.Log = zap.New(core)
	var told []worker.Leaving
	s.Left = func(l worker.Leaving) { told = append(told, l) }
	assert.Equal(t, 200, s.Handle(t.Context(), request("/read/x")).Status)
	for range 20 {
		s.Handle(t.Context(), request("/read/x"))
	}
	require.Len(t, e.sent, 23)
	assert.NotContains(t, e.sent[2:], e.sent[1])
	assert.Equal(t, []worker.Leaving{{Worker: e.sent[1], Born: 1}}, told, "the neighbours are told once")
	heard := lines.FilterMessage("worker says that it leaves").All()
	require.Len(t, heard, 1)
	assert.Equal(t, "answer", heard[0].ContextMap()["source"])
	assert.Equal(t, "broken", heard[0].ContextMap()["fault"])
}

// TestWorkerLeavesWhileARequestConnects adopts the news of a neighbour between the choice of
// a worker and the request.
func TestWorkerLeavesWhileARequestConnects(t *testing.T) {
	var s *forward.Service
	e := &withdrawing{t: t, adopt: func(id string) { s.AdoptLeaving("edge-2", worker.Leaving{Worker: id, Born: 1, AgeMs: 5}) }}
	s = newService(t, &exchanger{results: []exchange.Result{ran(200)}}, 2)
	e.results = []exchange.Result{ran(200)}
	s.Exchange = e
	assert.Equal(t, 200, s.Handle(t.Context(), request("/pay/x")).Status)
	assert.Len(t, e.sent, 1, "only the other worker gets the request")
}

// withdrawing has the first target leave before the request is sent to it.
type withdrawing struct {
	exchanger
	t     *testing.T
	adopt func(id string)
	asked bool
}

func (e *withdrawing) Do(ctx context.Context, target exchange.Target, r *relay.Request, repeatable bool) exchange.Result {
	if !e.asked {
		e.asked = true
		e.adopt(target.ID)
		assert.True(e.t, target.Withdrawn())
		return exchange.Result{Answer: relay.NotRun(relay.WorkerRefused), Fault: exchange.Withdrawn}
	}
	assert.False(e.t, target.Withdrawn())
	return e.exchanger.Do(ctx, target, r, repeatable)
}
