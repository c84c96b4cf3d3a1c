package watch

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// _excludeTime is how long a neighbour that stopped sending is not followed.
	_excludeTime = 8 * time.Second
	// _maxStandIns is the number of neighbours, after the instance itself in the order,
	// that it follows in turn while the store turns it away. In an outage of the store,
	// none of them has news.
	_maxStandIns = 3
)

// Neighbour is an instance of the region that can forward what it reads from the
// store.
type Neighbour struct {
	Name    string
	Address string
	// Capacity ranks the neighbours: the reader sends what it reads to all others, for
	// which the link of the smallest machines does not suffice in a large region.
	Capacity float64
}

// ReaderSelector selects the neighbour that an instance follows: the first that is not
// excluded, by capacity and then by the hash of the names, an order that all instances
// share. It is not safe for concurrent use.
type ReaderSelector struct {
	// Self is the name of the instance itself. Refused is set while the store turns it
	// away.
	Self    string
	Refused bool

	excludedUntil map[string]time.Time
}

// Exclude excludes a neighbour from selection for _excludeTime.
func (s *ReaderSelector) Exclude(now time.Time, name string) {
	if s.excludedUntil == nil {
		s.excludedUntil = make(map[string]time.Time)
	}
	for known, until := range s.excludedUntil {
		if now.After(until) {
			delete(s.excludedUntil, known)
		}
	}
	s.excludedUntil[name] = now.Add(_excludeTime)
}

// Reset includes all neighbours again, this instance among them.
func (s *ReaderSelector) Reset() {
	s.Refused = false
	clear(s.excludedUntil)
}

// Reader returns the neighbour to follow, or false if the instance has to read
// the store itself.
func (s *ReaderSelector) Reader(now time.Time, neighbours []Neighbour) (Neighbour, bool) {
	sorted := append([]Neighbour(nil), neighbours...)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Capacity != sorted[j].Capacity {
			return sorted[i].Capacity > sorted[j].Capacity
		}
		return rank(sorted[i].Name) < rank(sorted[j].Name)
	})
	for i, n := range sorted {
		if n.Name == s.Self {
			if !s.Refused {
				return Neighbour{}, false
			}
			after := sorted[i+1:]
			return s.firstIncluded(now, after[:min(len(after), _maxStandIns)])
		}
		if now.After(s.excludedUntil[n.Name]) {
			return n, true
		}
	}
	return Neighbour{}, false
}

func (s *ReaderSelector) firstIncluded(now time.Time, neighbours []Neighbour) (Neighbour, bool) {
	for _, n := range neighbours {
		if now.After(s.excludedUntil[n.Name]) {
			return n, true
		}
	}
	return Neighbour{}, false
}

func rank(name string) uint64 {
	return xxhash.Sum64String(name)
}
