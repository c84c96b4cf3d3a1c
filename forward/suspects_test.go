package forward_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/forward"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/worker"
)

// TestLostAnswersCondemnRequests breaks requests at workers that did not end, or were to end,
// or cannot be reached: the same request is sent again each time.
func TestLostAnswersCondemnRequests(t *testing.T) {
	leave := func(s *forward.Service) {
		s.Update(func(st *forward.State) {
			st.Workers.Each(func(w *worker.Worker) { w.SaidLeavingAt = time.Now() })
		})
	}
	tests := map[string]struct {
		ended  bool
		during func(s *forward.Service)
		reason string
	}{
		"answers are lost, connections reset":    {false, func(*forward.Service) {}, "workerBroken"},
		"workers leave as they had said":         {true, leave, "noWorkers"},
		"workers end under it, one by one":       {true, func(*forward.Service) {}, "endsWorkers"},
		"nothing is known of the end of workers": {false, func(*forward.Service) { time.Sleep(200 * time.Millisecond) }, "workerBroken"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := &exchanger{results: []exchange.Result{broken()}}
			s := newService(t, e, 12)
			e.wait = func(context.Context) { time.Sleep(2 * time.Millisecond); tt.during(s) }
			s.HasEnded = func(context.Context, exchange.Target) bool { return tt.ended }
			var last string
			for range 6 {
				a := s.Handle(t.Context(), request("/pay/x"))
				last = string(a.Reason)
			}
			assert.Equal(t, tt.reason, last)
		})
	}
}

// TestRefusedContentIsNotRun checks that a refusal by content says not run only of requests
// that were not sent.
func TestRefusedContentIsNotRun(t *testing.T) {
	e := &exchanger{results: []exchange.Result{broken()}}
	s := newService(t, e, 12)
	e.wait = func(context.Context) { time.Sleep(2 * time.Millisecond) }
	s.HasEnded = func(context.Context, exchange.Target) bool { return true }
	first := s.Handle(t.Context(), request("/read/x"))
	assert.Equal(t, retry.Unknown, first.Outcome, "workers ended while they ran it")
	assert.Len(t, e.sent, 3)
	second := s.Handle(t.Context(), request("/read/x"))
	assert.Equal(t, retry.NotRun, second.Outcome)
	assert.Equal(t, 503, second.Status)
	assert.Len(t, e.sent, 3)
	e.results = []exchange.Result{ran(200)}
	other := request("/read/x?other")
	other.Object = "same"
	assert.Equal(t, 200, s.Handle(t.Context(), other).Status)
}
