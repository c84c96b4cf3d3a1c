package fault_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wigeonlock/wigeonlock/soak/fault"
)

var _topology = fault.Topology{Instances: 6, Workers: 12, Zones: 4}

func TestDrawIsDeterministic(t *testing.T) {
	const length = 15 * time.Second
	for seed := range uint64(50) {
		a, b := fault.Draw(seed, length, _topology), fault.Draw(seed, length, _topology)
		assert.Equal(t, a, b)
		assert.NotEmpty(t, a)
		for _, e := range a {
			assert.GreaterOrEqual(t, e.At, time.Second)
			assert.Less(t, e.At, length*3/4)
		}
	}
	assert.NotEqual(t, fault.Draw(1, length, _topology), fault.Draw(2, length, _topology))
}

// TestDrawReachesEveryKind checks that seeds draw events of every kind.
func TestDrawReachesEveryKind(t *testing.T) {
	seen := make(map[fault.Kind]bool)
	for seed := range uint64(200) {
		for _, e := range fault.Draw(seed, 20*time.Second, _topology) {
			seen[e.Kind] = true
		}
	}
	assert.Len(t, seen, 22)
}

func TestShrinkFindsMinimalSchedule(t *testing.T) {
	events := fault.Draw(7, 30*time.Second, _topology)
	cause := []fault.Event{events[3], events[9]}
	fails := func(list []fault.Event) bool {
		found := 0
		for _, e := range list {
			if e == cause[0] || e == cause[1] {
				found++
			}
		}
		return found == len(cause)
	}
	assert.Equal(t, cause, fault.Shrink(events, fails))
}
