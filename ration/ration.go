// Package ration keeps the quotas of teams: the number of requests per second that workers
// run for a team, over all instances together.
//
// A quota is divided into equal parts, its places: one for each zone, or one for each region
// if the quota is small. The permits of a place are issued by one instance of its region, from
// a bucket that only that place has. Nothing passes between places, so that their sum keeps
// the quota whichever instances can reach each other. An instance asks the places that are
// near it, in advance for the demand of a short time, and the next ones while those have no
// permits left, so that the quota is used where the demand is.
//
// An instance issues the permits of a place while it holds office: its registration was
// renewed within a term, its view of the other registrations is not older than that, and
// every instance that may have issued them before knows of it or has ended. See office.
//
// A permit is valid for a short time from the moment at which it was asked for, by the clock
// of the instance that asked.
//
// # Usage
//
//	b := &ration.Book{Self: "edge-1", Zones: zones, Send: feed.SendRation}
//	b.Configure(now, limits)
//	b.Tick(now, view) // several times per second
//	switch t := b.Take(now, limit, 0); t.Verdict {
//	case ration.Granted: // go on; Return(now, t.Permit) if no worker runs the request
//	case ration.Denied: // refuse the request, with t.RetryAfter
//	case ration.Pending: // wait for t.Answered, t.Wait at most, then call Take again
//	}
package ration

import (
	"slices"
	"sync"
	"time"
)

const (
	// _validTime is the time for which a permit may be used after it was asked for. What is
	// issued before a window of time and used in it is part of what a quota may be exceeded by:
	// a tenth of the requests of 5 s.
	_validTime = 300 * time.Millisecond
	// AnswerTimeout is the time within which an issuer answers: two round trips between
	// regions.
	AnswerTimeout = 150 * time.Millisecond
	// _aheadTime is the time for whose demand permits are asked for in advance.
	_aheadTime = 150 * time.Millisecond
	// _rateTime is the time over which demand is averaged, _ratePeriod the shortest time
	// between two updates.
	_rateTime   = time.Second
	_ratePeriod = 100 * time.Millisecond
	// _askInterval is the mean time between two questions for a team, _maxAsks the number of
	// questions that may follow each other faster: of a place that has no permits left and of
	// the next ones.
	_askInterval = 100 * time.Millisecond
	_maxAsks     = 3
	// _idleTime is the time without requests after which a team is forgotten by an instance.
	_idleTime = time.Minute
	// _maxReturn is the longest time that a refused caller is told to wait: further off, the
	// demand is not known.
	_maxReturn = 2 * time.Second
)

// Zone is an availability zone.
type Zone struct {
	Name   string
	Region string
}

// Member is an instance that is registered.
type Member struct {
	Name    string
	Zone    string
	Region  string
	Address string
	// Started identifies the incarnation, and Registration its last registration, counted
	// from 1.
	Started      int64
	Registration int64
}

// Limit is the quota of a team.
type Limit struct {
	Team      string
	PerSecond float64
	Burst     float64
}

// Verdict is the answer to a request for a permit.
type Verdict string

// Verdicts.
const (
	Granted Verdict = "granted"
	Denied  Verdict = "denied"
	// Pending means that an issuer was asked.
	Pending Verdict = "pending"
)

// Denial is why there is no permit.
type Denial string

// Reasons for a denial.
const (
	// UsedUp means that the quota is used up.
	UsedUp Denial = "usedUp"
	// Unanswered means that no issuer is known or answers.
	Unanswered Denial = "unanswered"
)

// Permit allows one request of a team.
type Permit struct {
	limit Limit
	place string
	until time.Time
}

// Taken is the result of Take.
type Taken struct {
	Verdict Verdict
	// Permit is set if the verdict is Granted.
	Permit Permit
	// Wait is the time after which Take is to be called again if the verdict is Pending, or
	// earlier, once Answered is closed. Answered may be nil.
	Answered <-chan struct{}
	Wait     time.Duration
	// Denial and RetryAfter, the time after which the caller may return, are set if the
	// verdict is Denied.
	Denial     Denial
	RetryAfter time.Duration
}

// Book keeps the quotas of all teams on one instance. The exported fields are set before the
// first use. It is safe for concurrent use.
type Book struct {
	// Self is the name of the instance, Zone and Region are its place, and Zones are all zones.
	Self   string
	Zone   string
	Region string
	Zones  []Zone
	// Send sends a message to the address of an instance. It must not block.
	Send func(address string, m Message)
	// Appointed, if set, is called when the instance takes office, with the number of places. It
	// must not block.
	Appointed func(places int)
	// OverQuota, if set, is called when the quota of a team is used up, at most once in
	// _reportInterval for a team. It must not block.
	OverQuota func(use Use)

	mu       sync.Mutex
	limits   map[string]Limit
	since    map[string]time.Time
	holdings map[string]*holding
	accounts map[accountKey]*account
	office   office
	order    order
	silent   map[string]*silence
	number   uint64
}

// Configure sets the quotas of all teams. A lower one takes effect at once, also for permits
// that were issued before.
func (b *Book) Configure(now time.Time, limits []Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	configured := make(map[string]Limit, len(limits))
	since := make(map[string]time.Time, len(limits))
	for _, l := range limits {
		if l.PerSecond <= 0 {
			continue
		}
		configured[l.Team], since[l.Team] = l, now
		if at, known := b.since[l.Team]; known && b.limits[l.Team] == l {
			since[l.Team] = at
		}
	}
	b.limits, b.since, b.order.places = configured, since, nil
	for team, h := range b.holdings {
		if _, limited := configured[team]; !limited {
			h.release()
			delete(b.holdings, team)
		}
	}
	b.appoint(now)
}

// Tick takes in what is known of the registrations, and ends what is overdue.
func (b *Book) Tick(now time.Time, v View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := b.observe(now, v)
	b.release(now, v)
	taken := b.claim(now, v)
	if taken || changed {
		b.appoint(now)
	}
	if taken && b.Appointed != nil {
		b.Appointed(len(b.accounts))
	}
	for team, h := range b.holdings {
		if h.question != nil && now.Sub(h.question.at) >= AnswerTimeout {
			b.endQuestion(now, h)
		}
		if now.Sub(h.usedAt) > _idleTime && h.question == nil {
			delete(b.holdings, team)
		}
	}
	for _, a := range b.accounts {
		a.forgetAskers(now)
	}
	b.probe(now)
	b.tellHolding(now, v)
	if (b.office.resigned || b.office.released) && b.office.told < _resignations {
		b.tellResigned()
	}
}

// Restored records that the store came back from a copy: registrations may be lost that other
// instances relied on.
func (b *Book) Restored(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.office.lose()
	b.office.clearAt = now.Add(_term)
	b.accounts = nil
}

// Resign ends the office of the instance, as it stops, and tells the others so that they need
// not wait.
func (b *Book) Resign() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.office.resigned = true
	b.accounts = nil
	b.tellResigned()
}

// regionOf returns the region of a zone.
func (b *Book) regionOf(zone string) string {
	if i := slices.IndexFunc(b.Zones, func(z Zone) bool { return z.Name == zone }); i >= 0 {
		return b.Zones[i].Region
	}
	return ""
}
