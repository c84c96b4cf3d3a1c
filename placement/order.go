package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a worker in the ranking for an object.
type Candidate struct {
	// Seat is the seat of the worker, and Size its size, such as its number of slots.
	Seat string
	Size int
}

// Score returns the rank of the candidate for an object; the highest is first. The shares of
// candidates follow their sizes.
func (c Candidate) Score(object uint64) float64 {
	return score(object, xxhash.Sum64String(c.Seat), float64(max(c.Size, 1)))
}

// Order finds the candidate that ranks highest for an object. It is immutable.
type Order struct {
	classes []sizeClass
}

// sizeClass holds the candidates of one size, which rank by their hashes alone.
type sizeClass struct {
	size    float64
	hashes  []uint64
	indices []int
}

// NewOrder returns the order of candidates.
func NewOrder(candidates []Candidate) *Order {
	o := &Order{}
	of := make(map[int]int)
	for i, c := range candidates {
		size := max(c.Size, 1)
		n, ok := of[size]
		if !ok {
			n = len(o.classes)
			of[size] = n
			o.classes = append(o.classes, sizeClass{size: float64(size)})
		}
		class := &o.classes[n]
		class.hashes = append(class.hashes, xxhash.Sum64String(c.Seat))
		class.indices = append(class.indices, i)
	}
	return o
}

// First returns the index of the candidate that ranks highest for an object, or -1 without
// candidates.
func (o *Order) First(object uint64) int {
	best, highest := -1, 0.0
	for i := range o.classes {
		class := &o.classes[i]
		first, most := 0, uint64(0)
		for n, hash := range class.hashes {
			if h := mix(object ^ hash); h >= most {
				first, most = n, h
			}
		}
		if s := -class.size / math.Log(unit(most)); best < 0 || s > highest {
			best, highest = class.indices[first], s
		}
	}
	return best
}
