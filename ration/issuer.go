package ration

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// _extraBurst is the number of permits that all places together may issue at once beyond the
	// burst: a place has none left while others have some. It is part of what a quota may be
	// exceeded by: 20 requests and a tenth.
	_extraBurst = 14.0
	// _burstTime is the time whose permits may be issued at once, beyond a burst and its tenth, and
	// _minBurstTime that of a quota without a burst: questions for a team arrive that far apart.
	_burstTime    = 100 * time.Millisecond
	_minBurstTime = 150 * time.Millisecond
	_burstFactor  = 1.1
	// _maxGrant is the largest number of permits in one answer.
	_maxGrant = 512
	// _askerTime is the time for which an instance that asked counts as one that will ask
	// again.
	_askerTime = time.Second
	// _minRetry and _maxRetry limit the time after which an instance asks a place again that had
	// no permits left.
	_minRetry = 50 * time.Millisecond
	_maxRetry = 2 * time.Second
)

var (
	_issued   = metrics.NewCounter(`wigeonlock_team_permits_total{result="issued"}`)
	_declined = metrics.NewCounter(`wigeonlock_team_permits_total{result="declined"}`)
)

type accountKey struct {
	team, place string
}

// account holds the permits of a place at its issuer.
type account struct {
	// rate and most are the permits per second and the largest number that may be left.
	rate, most float64
	left       float64
	refilledAt time.Time
	// wanted is the number of permits that were asked for within about _askerTime.
	wanted float64
	// askers are the instances that asked within _askerTime.
	askers map[string]asker
}

type asker struct {
	at     time.Time
	number uint64
}

// set sets the quota of which the account is one of several equal parts. What was saved is cut
// to what the quota allows.
func (a *account) set(now time.Time, l Limit, places int) {
	a.refill(now)
	a.rate = l.PerSecond / float64(places)
	burst := max(l.Burst*_burstFactor+l.PerSecond*_burstTime.Seconds(), l.PerSecond*_minBurstTime.Seconds())
	a.most = (burst + _extraBurst) / float64(places)
	a.left = min(a.left, a.most)
}

func (a *account) refill(now time.Time) {
	if now.After(a.refilledAt) {
		elapsed := now.Sub(a.refilledAt).Seconds()
		a.left = min(a.left+a.rate*elapsed, a.most)
		a.wanted *= math.Exp(-elapsed / _askerTime.Seconds())
		a.refilledAt = now
	}
}

// take takes up to want permits.
func (a *account) take(want int) int {
	if want <= 0 || a.left < 1 {
		return 0
	}
	n := min(want, int(a.left), _maxGrant)
	a.left -= float64(n)
	return n
}

// retry returns the time after which an instance that did not get all that it wanted asks
// again: when there is one, and if more are wanted than there are, after half of the others had
// their turn, as not all of them ask.
func (a *account) retry() time.Duration {
	excess := min(max(a.wanted/_askerTime.Seconds()/a.rate-1, 0), 1)
	turns := max(1-a.left, 0) + excess*float64(max(len(a.askers)-1, 0))/2
	return min(max(time.Duration(turns/a.rate*float64(time.Second)), _minRetry), _maxRetry)
}

func (a *account) forgetAskers(now time.Time) {
	for name, last := range a.askers {
		if now.Sub(last.at) >= _askerTime {
			delete(a.askers, name)
		}
	}
}

// issue issues permits of a place, if this instance is its issuer. ok is false for a question
// that was answered before.
func (b *Book) issue(now time.Time, from string, number uint64, q Ask) (r Reply, ok bool) {
	a := b.accounts[accountKey{q.Team, q.Place}]
	r = Reply{Team: q.Team, Place: q.Place, Declined: a == nil || !b.office.held(now)}
	if r.Declined {
		_declined.Inc()
		return r, true
	}
	if last, known := a.askers[from]; known && number != 0 && last.number == number {
		return r, false
	}
	if a.askers == nil {
		a.askers = make(map[string]asker)
	}
	a.askers[from] = asker{now, number}
	a.refill(now)
	a.left = min(a.left+float64(min(q.Unused, _maxGrant)), a.most)
	a.wanted += float64(min(q.Want, _maxGrant))
	r.Granted = a.take(q.Want)
	_issued.Add(r.Granted)
	if r.Granted < q.Want {
		r.RetryMs = a.retry().Milliseconds()
	}
	return r, true
}
