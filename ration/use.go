package ration

import (
	"cmp"
	"slices"
	"time"
)

// _reportInterval is the shortest time between two reports that a team is over its quota.
const _reportInterval = 5 * time.Second

// Use is how an instance used the quota of a team.
type Use struct {
	Team      string
	PerSecond float64
	Burst     float64
	// Granted, Denied and Returned count requests, the last those that no worker ran. Expired counts
	// permits that were not used in time, Unanswered questions.
	Granted    int
	Denied     int
	Returned   int
	Expired    int
	Unanswered int
	// Since is when the quota was configured, and Issuers are the instances that issue its
	// permits, as far as the registrations tell.
	Since   time.Time
	Issuers []string
}

// report calls OverQuota.
func (b *Book) report(now time.Time, h *holding) {
	if b.OverQuota == nil || !h.reportedAt.IsZero() && now.Sub(h.reportedAt) < _reportInterval {
		return
	}
	h.reportedAt = now
	b.OverQuota(b.useOf(h))
}

func (b *Book) useOf(h *holding) Use {
	use := h.use
	use.Since = b.since[h.limit.Team]
	for _, place := range h.places {
		if owner, ok := b.owner(accountKey{h.limit.Team, place}); ok {
			use.Issuers = append(use.Issuers, owner.Name)
		}
	}
	return use
}

// Uses returns the use of the quotas that were used most, at most limit, and of the rest
// together, without a name.
func (b *Book) Uses(limit int) []Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	uses := make([]Use, 0, len(b.holdings))
	for _, h := range b.holdings {
		uses = append(uses, b.useOf(h))
	}
	slices.SortFunc(uses, func(x, y Use) int {
		return cmp.Or(cmp.Compare(y.Granted+y.Denied, x.Granted+x.Denied), cmp.Compare(x.Team, y.Team))
	})
	if len(uses) <= limit {
		return uses
	}
	rest := Use{}
	for _, use := range uses[limit:] {
		rest.Granted, rest.Denied, rest.Unanswered = rest.Granted+use.Granted, rest.Denied+use.Denied, rest.Unanswered+use.Unanswered
	}
	return append(uses[:limit], rest)
}

// Offices returns the number of places whose permits this instance issues.
func (b *Book) Offices(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.office.held(now) {
		return 0
	}
	return len(b.accounts)
}
