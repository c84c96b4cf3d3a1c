package forward_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wigeonlock/wigeonlock/exchange"
)

// TestLimitsAreLogged has a worker name a limit, change it and take it back: the log and
// the status tell who heard of it, when and by which request.
func TestLimitsAreLogged(t *testing.T) {
	limited := func(perSecond float64) exchange.Result {
		r := ran(200)
		r.Limit = &perSecond
		return r
	}
	s := newService(t, &exchanger{results: []exchange.Result{ran(200), limited(900), limited(900), limited(800), ran(200)}}, 1)
	core, lines := observer.New(zap.InfoLevel)
	s.Log = zap.New(core)
	for range 5 {
		s.Handle(t.Context(), request("/read/x"))
	}
	named := lines.FilterMessage("worker names a limit").All()
	require.Len(t, named, 2)
	assert.Equal(t, "i-0", named[0].ContextMap()["worker"])
	assert.InDelta(t, 900, named[0].ContextMap()["perSecond"], 0)
	assert.InDelta(t, 800, named[1].ContextMap()["perSecond"], 0)
	assert.Len(t, lines.FilterMessage("worker names no limit any more").All(), 1)
}
