package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestColdRateOverAllInstances has all instances, with two different member
// lists, request permits for the same cold worker at once.
func TestColdRateOverAllInstances(t *testing.T) {
	const perSecond = 7.9*1.5 + 5
	for _, n := range []int{1, 9, 11, 87, 540} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			var all, even []string
			for i := range n {
				name := fmt.Sprint("edge-", i)
				all = append(all, name)
				if i%2 == 0 {
					even = append(even, name)
				}
			}
			pacers := make([]*Pacer, n)
			for i, name := range all {
				pacers[i] = &Pacer{Self: name}
			}
			var sent []time.Time
			for at := time.Duration(0); at < 3*time.Second; at += 20 * time.Millisecond {
				now := _start.Add(at)
				for i, p := range pacers {
					view := all
					if i%2 == 0 {
						view = even
					}
					if p.Allow(now, "i-1", perSecond, view) {
						sent = append(sent, now)
					}
				}
			}
			assert.NotEmpty(t, sent, "some instance sends to it")
			for i, from := range sent {
				count := 0
				for _, at := range sent[i:] {
					if at.Before(from.Add(time.Second)) {
						count++
					}
				}
				assert.LessOrEqual(t, float64(count), perSecond)
			}
		})
	}
}

func TestPaceTooSlowToShare(t *testing.T) {
	p := &Pacer{Self: "a"}
	assert.False(t, p.Allow(_start, "i", 2, []string{"a"}))
}
