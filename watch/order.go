package watch

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// _distrust is how long a neighbour that fell silent is not asked again.
const _distrust = 8 * time.Second

// Neighbour is an instance that passes its reading of the store on.
type Neighbour struct {
	Name    string
	Address string
}

// ReaderSelector decides which neighbour reads the store for an instance: the first in
// an order that all of them share, unless that one fell silent lately. It is
// not safe for concurrent use.
type ReaderSelector struct {
	// Self is the name of the instance.
	Self string

	until map[string]time.Time
}

// Exclude passes a neighbour over for a while.
func (o *ReaderSelector) Exclude(now time.Time, name string) {
	if o.until == nil {
		o.until = make(map[string]time.Time)
	}
	for known, until := range o.until {
		if now.After(until) {
			delete(o.until, known)
		}
	}
	o.until[name] = now.Add(_distrust)
}

// Reader returns the neighbour to follow, or false if the instance is to read
// the store itself.
func (o *ReaderSelector) Reader(now time.Time, neighbours []Neighbour) (Neighbour, bool) {
	sorted := append([]Neighbour(nil), neighbours...)
	sort.Slice(sorted, func(i, j int) bool { return rank(sorted[i].Name) < rank(sorted[j].Name) })
	for _, n := range sorted {
		if n.Name == o.Self {
			return Neighbour{}, false
		}
		if now.After(o.until[n.Name]) {
			return n, true
		}
	}
	return Neighbour{}, false
}

func rank(name string) uint64 {
	return xxhash.Sum64String(name)
}
