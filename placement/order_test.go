package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestOrderFindsTheHighest compares the order with the scores of all candidates.
func TestOrderFindsTheHighest(t *testing.T) {
	var candidates []Candidate
	for i := range 60 {
		candidates = append(candidates, Candidate{Seat: fmt.Sprint("w-", i), Size: 1 + i%5})
	}
	o := NewOrder(candidates)
	for n := range uint64(2000) {
		object := mix(n)
		best := 0
		for i, c := range candidates {
			if c.Score(object) > candidates[best].Score(object) {
				best = i
			}
		}
		assert.Equal(t, best, o.First(object))
	}
	assert.Equal(t, -1, NewOrder(nil).First(7))
}

func BenchmarkOrderFirst(b *testing.B) {
	for _, n := range []int{14, 216, 700, 5400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var candidates []Candidate
			for i := range n {
				candidates = append(candidates, Candidate{Seat: fmt.Sprint("w-", i), Size: 3 + i%4})
			}
			o := NewOrder(candidates)
			b.ReportAllocs()
			for i := range b.N {
				o.First(uint64(i))
			}
		})
	}
}
