package team

import (
	"cmp"
	"slices"
	"sync"
)

// _maxCounted limits the teams that are counted one by one; further ones are counted together.
const _maxCounted = 4096

// Count holds the requests of a team, or of several teams together.
type Count struct {
	Team string
	// Admitted are the requests with a key of the team, Withdrawn those with a key that the
	// team held before.
	Admitted  uint64
	Withdrawn uint64
}

// Usage counts the requests of teams. It is safe for concurrent use, and its zero value is empty.
type Usage struct {
	mu     sync.Mutex
	counts map[string]*Count
	rest   Count
}

// Admit counts a request with a key of a team.
func (u *Usage) Admit(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.of(name).Admitted++
}

// Refuse counts a request with a key that a team held before.
func (u *Usage) Refuse(name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.of(name).Withdrawn++
}

// of returns the count of a team. The caller holds mu.
func (u *Usage) of(name string) *Count {
	if c := u.counts[name]; c != nil {
		return c
	}
	if len(u.counts) >= _maxCounted {
		return &u.rest
	}
	if u.counts == nil {
		u.counts = make(map[string]*Count)
	}
	c := &Count{Team: name}
	u.counts[name] = c
	return c
}

// Largest returns the counts of the teams with the most requests, at most limit, and that of
// all others together.
func (u *Usage) Largest(limit int) (largest []Count, rest Count) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.counts {
		largest = append(largest, *c)
	}
	slices.SortFunc(largest, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Admitted+b.Withdrawn, a.Admitted+a.Withdrawn), cmp.Compare(a.Team, b.Team))
	})
	rest = u.rest
	for _, c := range largest[min(limit, len(largest)):] {
		rest.Admitted += c.Admitted
		rest.Withdrawn += c.Withdrawn
	}
	return largest[:min(limit, len(largest))], rest
}
