package forward_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/catalog"
	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/forward"
	"github.com/wigeonlock/wigeonlock/worker"
)

// TestColdWorkerIsHeardWithoutTheStore has a worker become cold while the store can't be read:
// it tells itself, and one that does not answer counts as cold.
func TestColdWorkerIsHeardWithoutTheStore(t *testing.T) {
	s := newService(t, &exchanger{results: []exchange.Result{ran(200)}}, 1)
	var readAgo, cold atomic.Int64
	var silent atomic.Bool
	var probes atomic.Int32
	s.ReadAt = func() time.Time { return time.Now().Add(-time.Duration(readAgo.Load())) }
	told := make(chan worker.Cold, 100)
	s.TellCold = func(c worker.Cold) { told <- c }
	s.Probe = func(_ context.Context, target exchange.Target, path string) (time.Duration, error) {
		probes.Add(1)
		assert.Equal(t, exchange.Target{ID: "i-0", Address: "10.0.0.0:80"}, target)
		assert.Equal(t, "/health", path)
		if silent.Load() {
			return 0, errors.New("silent")
		}
		return time.Duration(cold.Load()), nil
	}
	s.Update(func(st *forward.State) {
		c, err := catalog.New(4, []catalog.Route{route("read", catalog.Idempotent, 3)}, []catalog.Service{{Name: "s", HealthPath: "/health"}}, catalog.Limits{})
		require.NoError(t, err)
		st.Catalog = c
	})
	isCold := func(after time.Duration) (cold bool) {
		for end := time.Now().Add(after); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			s.Handle(t.Context(), request("/read/x"))
			s.ProbeCold(t.Context(), time.Now())
		}
		s.Update(func(st *forward.State) { cold = st.Workers.Get("i-0").Cold(time.Now()) })
		return cold
	}
	assert.False(t, isCold(500*time.Millisecond))
	assert.Zero(t, probes.Load(), "the store tells")
	readAgo.Store(int64(5 * time.Second))
	assert.False(t, isCold(time.Second))
	assert.InDelta(t, 5, probes.Load(), 2)
	assert.Zero(t, (<-told).LeftMs)
	cold.Store(int64(700 * time.Millisecond))
	assert.True(t, isCold(400*time.Millisecond))
	cold.Store(0)
	assert.False(t, isCold(time.Second))
	silent.Store(true)
	assert.True(t, isCold(700*time.Millisecond), "it does not tell")
	silent.Store(false)
	assert.False(t, isCold(500*time.Millisecond))
	s.AdoptCold("edge-2", worker.Cold{Worker: "i-0", Born: 1, LeftMs: 60_000})
	assert.True(t, isCold(100*time.Millisecond), "a neighbour heard it")
}
