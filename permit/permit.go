// Package permit keeps the limits that workers name: the number of requests per second
// that a worker takes from all instances together.
//
// For each limited worker one instance, the issuer, issues permits at the rate of the
// limit, and every request that any instance sends to the worker uses one. The issuer is
// chosen by hash among the instances of the worker's zone, so that a zone that is cut off
// keeps its issuers, and no instance beyond the cut reaches its workers. A permit is asked
// for when a request needs it and is valid for a short time, so that the limit is used
// where the demand is, by however many instances, and at any rate.
//
// An instance hears of a limit from an answer of the worker, from the issuer, or, when it
// starts, from its neighbours. A limit holds until a request that was sent after the last
// answer that named it is answered without one, or the worker starts anew.
//
// If an issuer does not answer, the next instance in the order takes its place at a part of
// the rate, after it has found the issuer silent itself. An issuer whose registration may
// have ended, because the store turns it away, is replaced at the full rate without hearing
// of it: it issues a small part from then on, and for a while after it is registered again.
// Should all of them issue, because they cannot reach each other, the worker gets at most
// one and a half times its limit.
//
// The issuer also adapts the share of its objects that a limited worker keeps, by the
// demand for permits, so that requests which would get none are placed elsewhere at once.
//
// # Usage
//
//	b := &permit.Book{Self: "edge-1", RegionOf: regionOf, Members: members, Send: feed.Send}
//	b.Named(now, w, 5.2)
//	switch verdict, wait := b.Take(now, w, true); verdict {
//	case permit.Granted: // send the request
//	case permit.Denied: // choose another worker
//	case permit.Pending: // wait for the channel, then call Take again
//	}
package permit

import (
	"fmt"
	"math"
	"sync"
	"time"
)

const (
	// _validTime is the time for which a permit may be used after it arrived.
	_validTime = 500 * time.Millisecond
	// _askTimeout is the time within which an issuer answers: several round trips
	// between regions.
	_askTimeout = 250 * time.Millisecond
	// _aheadTime is the time for whose demand permits are asked for in advance.
	_aheadTime = 150 * time.Millisecond
	// _maxDenied is the longest time for which a denial holds.
	_maxDenied = 2 * time.Second
	// _tellInterval is the shortest time between two messages to the issuer about a
	// changed limit.
	_tellInterval = 100 * time.Millisecond
	// _rateTime is the time over which demand is averaged.
	_rateTime = time.Second
	// _liftedTime is the time for which a lifted limit is remembered, so that an older
	// message does not restore it.
	_liftedTime = 30 * time.Second
	// _maxNotices is the number of limits in one message: about 1200 bytes.
	_maxNotices = 10
	// _reportedChange is the relative change of a limit that is reported.
	_reportedChange = 0.1
	// _maxAge is the largest age of a limit in a message.
	_maxAge = time.Hour
)

// Instance is an instance that may issue permits.
type Instance struct {
	Name    string
	Zone    string
	Region  string
	Address string
}

// Worker identifies an incarnation of a worker by its ID and the time of its start, in Unix
// milliseconds.
type Worker struct {
	ID   string
	Born int64
	Zone string
}

// Verdict is the answer to a request for a permit.
type Verdict string

// Verdicts.
const (
	Granted Verdict = "granted"
	Denied  Verdict = "denied"
	// Pending means that the issuer was asked.
	Pending Verdict = "pending"
)

// Denial is why there is no permit.
type Denial string

// Reasons for a denial.
const (
	// UsedUp means that the issuer had no permit left.
	UsedUp Denial = "usedUp"
	// Silent means that the issuer did not answer.
	Silent Denial = "issuerSilent"
	// Declined means that the instance that was asked is not the issuer by its own view.
	Declined Denial = "declined"
)

// Hold describes why a request was not sent to a worker.
type Hold struct {
	Worker    string
	PerSecond float64
	Issuer    string
	Denial    Denial
}

// String formats a hold for a log line.
func (h Hold) String() string {
	return fmt.Sprintf("%s limit=%g issuer=%s %s", h.Worker, h.PerSecond, h.Issuer, h.Denial)
}

// Limit is what a worker named last, as far as known.
type Limit struct {
	PerSecond float64
	// Named is false if the worker names no limit any more.
	Named bool
	// At is when the answer that named the limit arrived, or when the request was sent
	// that was answered without one.
	At time.Time
}

// Book keeps the limits of all workers on one instance: it asks for permits, and issues
// those of the workers whose issuer the instance is. The exported fields are set before
// the first use. It is safe for concurrent use.
type Book struct {
	// Self is the name of the instance.
	Self string
	// RegionOf returns the region of a zone.
	RegionOf func(zone string) string
	// Members returns the instances that the store lists, this one included only if it
	// is listed.
	Members func() []Instance
	// Send sends a message to the address of an instance. It must not block.
	Send func(address string, m Message)
	// Changed, if set, is called when the limit of a worker changes, with the source
	// of the news. It must not block.
	Changed func(w Worker, l Limit, source string)
	// Silent, if set, is called when an instance is found silent or answers again. It must
	// not block.
	Silent func(name string, silent bool)

	// Held, if set, returns until when the store lists this instance at least; zero if it is
	// not registered. It must not block.
	Held func() time.Time

	mu       sync.Mutex
	holdings map[string]*holding
	accounts map[string]*account
	// heldSince is since when the instance is registered without a gap.
	heldSince time.Time
	order     order
	contacts  map[string]*contact
	number    uint64
}

// holding is what the instance knows of a worker that named a limit, and the permits that
// it holds for it.
type holding struct {
	worker Worker
	limit  Limit
	// knownAt is since when the instance knows that there is a limit.
	knownAt time.Time
	// share is the part of its objects that the worker keeps, as of shareAt.
	share   float64
	shareAt time.Time
	// permits are the times at which the held permits become invalid, the next first.
	permits     []time.Time
	deniedUntil time.Time
	// denial is why there was no permit last.
	denial Denial
	// question is the question that the issuer has not answered yet, or nil; waiting
	// requests wait for the answer.
	question *question
	waiting  int
	toldAt   time.Time
	// announcedAt is when the limit was announced to all instances, if announced is set.
	announced   bool
	announcedAt time.Time
	// reported is the limit in the last call of Changed.
	reported Limit
	// demand is the number of requests since askedAt, rate the mean per second before.
	demand  int
	askedAt time.Time
	rate    float64
}

type question struct {
	number uint64
	to     string
	at     time.Time
	done   chan struct{}
}

// Named records that an answer of a worker, which arrived at now, names a limit. It reports
// whether that is news.
func (b *Book) Named(now time.Time, w Worker, perSecond float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.learn(w, Limit{PerSecond: perSecond, Named: true, At: now}, _answer) {
		return false
	}
	b.tellIssuer(now, b.holdings[w.ID])
	return true
}

// Unnamed records that a request which was sent at sentAt and run by a worker was answered
// without a limit. It reports whether that lifts the limit.
func (b *Book) Unnamed(now time.Time, w Worker, sentAt time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holdingOf(w)
	if h == nil || !h.limit.Named || !b.learn(w, Limit{At: sentAt}, _answer) {
		return false
	}
	b.tellIssuer(now, h)
	return true
}

// _answer is the source of what the instance itself learned from a worker.
const _answer = "answer"

// learn applies what is known of a limit, unless it is older than what was known before or
// of an earlier incarnation of the worker. It reports whether the limit changed.
//
// The age in a message leaves out the time that the message took. What is known already is
// therefore not made newer by it: passed to and fro, a limit would never be older than its
// end.
func (b *Book) learn(w Worker, l Limit, source string) bool {
	h := b.holdings[w.ID]
	if h == nil || w.Born > h.worker.Born {
		if !l.Named {
			return false
		}
		if h != nil {
			h.release()
		}
		h = &holding{worker: w, share: 1, denial: UsedUp}
		if b.holdings == nil {
			b.holdings = make(map[string]*holding)
		}
		b.holdings[w.ID] = h
		delete(b.accounts, w.ID)
	}
	changed := l.Named != h.limit.Named || l.Named && l.PerSecond != h.limit.PerSecond
	if w.Born < h.worker.Born || !l.At.After(h.limit.At) || !changed && source != _answer {
		return false
	}
	if l.Named && !h.limit.Named {
		h.knownAt = l.At
	}
	h.limit = l
	if !l.Named {
		h.share, h.permits, h.deniedUntil = 1, nil, time.Time{}
		delete(b.accounts, w.ID)
	}
	if changed {
		b.report(h, source)
	}
	return changed
}

// report calls Changed, but not for a small change of the figure.
func (b *Book) report(h *holding, source string) {
	small := h.limit.Named && h.reported.Named &&
		math.Abs(h.limit.PerSecond-h.reported.PerSecond) < _reportedChange*h.reported.PerSecond
	if small || b.Changed == nil {
		return
	}
	h.reported = h.limit
	b.Changed(h.worker, h.limit, source)
}

// holdingOf returns what is known of the limit of a worker, or nil if nothing is known of
// this incarnation.
func (b *Book) holdingOf(w Worker) *holding {
	h := b.holdings[w.ID]
	if h == nil || h.worker.Born < w.Born {
		return nil
	}
	return h
}

// Shares returns the part of its objects that each limited worker keeps, from 0 to 1, by
// the ID of the worker. It returns nil if no worker is limited.
func (b *Book) Shares(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var shares map[string]float64
	for id, h := range b.holdings {
		if !h.limit.Named {
			continue
		}
		if shares == nil {
			shares = make(map[string]float64)
		}
		shares[id] = grownShare(h.share, now.Sub(h.shareAt))
	}
	return shares
}

// Hold returns why there was no permit for a worker last.
func (b *Book) Hold(now time.Time, w Worker) Hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holdingOf(w)
	if h == nil {
		return Hold{Worker: w.ID, Denial: UsedUp}
	}
	issuer, _ := b.issuer(now, w)
	return Hold{Worker: w.ID, PerSecond: h.limit.PerSecond, Issuer: issuer.Name, Denial: h.denial}
}

// Limits returns the known limits of workers.
func (b *Book) Limits() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := make(map[string]float64)
	for id, h := range b.holdings {
		if h.limit.Named {
			limits[id] = h.limit.PerSecond
		}
	}
	return limits
}

// Sweep ends questions that were not answered in time, and deletes the limits of workers
// that ended and those that were lifted long ago.
func (b *Book) Sweep(now time.Time, ended func(w Worker) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, h := range b.holdings {
		if h.question != nil && now.Sub(h.question.at) >= _askTimeout {
			b.endQuestion(now, h)
		}
		if ended(h.worker) || !h.limit.Named && now.Sub(h.limit.At) > _liftedTime {
			h.release()
			delete(b.holdings, id)
			delete(b.accounts, id)
		}
	}
	b.leaveOffices(now)
	b.askSilent(now)
	b.order.forget(func(id string) bool { return b.holdings[id] == nil })
}
