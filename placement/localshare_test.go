package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestBoundRequestsDoNotChangeTheShare checks that requests that only one region may serve are
// not taken for a change of the local share: each would be a line in the log.
func TestBoundRequestsDoNotChangeTheShare(t *testing.T) {
	p := newPlacer()
	changes := 0
	p.Changed = func(c Condition) {
		if c.Kind == LocalShare {
			changes++
		}
	}
	workers := workersOf(map[string]int{"a": 4, "b": 4, "c": 4}, 4)
	for n := range 300 {
		now := _start.Add(time.Duration(n) * time.Millisecond)
		r := requestFor(fmt.Sprint(n))
		if n%3 > 0 {
			only := []string{p.Region, "far"}[n%3-1]
			r.Bound, r.MayServe = true, func(region string) bool { return (region == p.Region) == (only == p.Region) }
		}
		c := p.Choose(now, r, workers)
		assert.NotNil(t, c.Worker)
		if c.Worker != nil && n%3 > 0 {
			assert.Equal(t, n%3 == 1, p.RegionOf(c.Worker.Zone) == p.Region)
		}
	}
	assert.LessOrEqual(t, changes, 1)
}
