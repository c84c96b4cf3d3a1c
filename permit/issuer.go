package permit

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// _burst and _burstTime limit the permits that may be issued at once after a pause:
	// _burst, and those of _burstTime.
	_burst     = 2
	_burstTime = 250 * time.Millisecond
	// _trialRate is the number of requests per second that a worker with a limit of 0
	// gets: without any, its limit would never be known to have ended.
	_trialRate = 0.1
	// _standInShare is the part of a limit that the second instance issues while the
	// issuer does not answer it. The issuer may be there for others, and workers take
	// one and a half times what they name. _pastLeaseShare is the part that an instance
	// issues which others may have replaced: both fit beside an issuer.
	_standInShare   = 0.4
	_pastLeaseShare = 0.1
	// _standInBurst and _pastLeaseBurst limit the permits that they issue at once after a pause.
	_standInBurst   = 2
	_pastLeaseBurst = 1
	// _leaseMargin is the time before the end of the lease from which an instance issues
	// less: permits are used until _validTime after they were issued.
	_leaseMargin = _validTime
	// _takeoverTime is the time from a registration on in which others may not have read it
	// and go on issuing.
	_takeoverTime = 3 * time.Second
	// _newTime is the time for which a limit is new: no other instance has issued permits.
	_newTime = time.Second
	// _maxGrant is the largest number of permits in one answer.
	_maxGrant = 256
	// _announceInterval is the shortest time between two announcements of a limit to all
	// instances.
	_announceInterval = 5 * time.Second
	// _minShare is the smallest share of its objects that a worker keeps: with none left, its
	// permits would be used by no one.
	_minShare = 0.25
	// The share changes at most once in _minPeriod, and from _minOffered requests on, or
	// after the time of as many permits; not if the change is below _shareTolerance.
	_minPeriod      = 500 * time.Millisecond
	_minOffered     = 8
	_shareTolerance = 0.15
	// _demandWeight is the weight of a new period in the mean demand.
	_demandWeight = 0.5
	// _maxOthers is the largest number of permits that an instance leaves to others before it
	// asks again.
	_maxOthers = 8
	// _quietTime is the time without news of the share from which it grows, by a factor of
	// _quietGrowth a second.
	_quietTime   = 2 * time.Second
	_quietGrowth = 1.3
)

// term is on what terms an instance issues permits.
type term string

const (
	_inOffice  term = "inOffice"
	_standIn   term = "standIn"
	_pastLease term = "pastLease"
)

var (
	_issuedPast = metrics.NewCounter("wigeonlock_permits_issued_past_lease_total")

	_issued    = metrics.NewCounter("wigeonlock_permits_issued_total")
	_announced = metrics.NewCounter("wigeonlock_limits_announced_total")
)

// account holds the permits of a limited worker at its issuer.
type account struct {
	left       float64
	refilledAt time.Time
	term       term
	// share is the part of its objects that the worker keeps.
	share float64
	// offered counts the requests for it since periodStart, and natural those that there
	// would be if it kept all objects. demand is the mean of the latter per second.
	offered     int
	natural     float64
	periodStart time.Time
	demand      float64
}

// issue issues permits for a worker, as its issuer.
func (b *Book) issue(now time.Time, a Ask) Reply {
	h := b.holdings[a.Worker]
	if h == nil || !h.limit.Named {
		return Reply{Notice: knownNotice(now, a.Notice, h)}
	}
	acc := b.accounts[a.Worker]
	if acc == nil {
		acc = &account{refilledAt: now, share: min(max(a.Share, _minShare), 1), periodStart: now}
		if now.Sub(h.knownAt) < _newTime {
			acc.left = 1
		}
		if b.accounts == nil {
			b.accounts = make(map[string]*account)
		}
		b.accounts[a.Worker] = acc
		b.announce(now, h)
	}
	rate := h.limit.PerSecond
	if rate <= 0 {
		rate = _trialRate
	}
	terms := b.termOf(now, h.worker)
	burst := _burst + rate*_burstTime.Seconds()
	switch terms {
	case _standIn:
		rate, burst = rate*_standInShare, _standInBurst
	case _pastLease:
		rate, burst = rate*_pastLeaseShare, _pastLeaseBurst
	}
	acc.refill(now, rate, burst)
	if acc.term != terms {
		if acc.term != "" {
			acc.left = 0
		}
		acc.term = terms
	}
	acc.offer(a)
	acc.adjustShare(now, rate)
	granted := acc.take(min(a.Want, _maxGrant))
	_issued.Add(granted)
	if terms == _pastLease {
		_issuedPast.Add(granted)
	}
	reply := Reply{Notice: noticeOf(now, h), Granted: granted}
	reply.Share = acc.share
	if granted < a.Want {
		reply.RetryMs = max(acc.nextPermit(rate).Milliseconds(), 1)
	}
	return reply
}

// termOf returns on what terms the instance issues the permits of a worker.
func (b *Book) termOf(now time.Time, w Worker) term {
	if !b.holdsOffice(now) {
		return _pastLease
	}
	if _, standIn := b.issuer(now, w); standIn {
		return _standIn
	}
	return _inOffice
}

// holdsOffice reports whether the store lists the instance and the others can know of it, so
// that no other one is the issuer in its place. An instance whose lease may have ended can be
// out of reach of the news that it was replaced.
func (b *Book) holdsOffice(now time.Time) bool {
	if b.Held == nil {
		return true
	}
	until := b.Held()
	if !now.Before(until) {
		b.heldSince = time.Time{}
		return false
	}
	if b.heldSince.IsZero() {
		b.heldSince = now
	}
	return now.Before(until.Add(-_leaseMargin)) && now.Sub(b.heldSince) >= _takeoverTime
}

// leaveOffices forgets the accounts of the workers whose issuer is another instance now: it
// uses what is left of them.
func (b *Book) leaveOffices(now time.Time) {
	b.holdsOffice(now)
	for id, acc := range b.accounts {
		if acc.term == _standIn {
			continue
		}
		if issuer, _ := b.issuer(now, b.holdings[id].worker); issuer.Name != b.Self {
			delete(b.accounts, id)
		}
	}
}

func (a *account) refill(now time.Time, rate, burst float64) {
	elapsed := max(now.Sub(a.refilledAt).Seconds(), 0)
	a.left = min(a.left+rate*elapsed, burst)
	a.refilledAt = now
}

// take takes up to want permits, one or at most half of those that are left, which leaves
// some for the other instances.
func (a *account) take(want int) int {
	if want <= 0 || a.left < 1 {
		return 0
	}
	n := min(want, max(int(a.left/2), 1))
	a.left -= float64(n)
	return n
}

// nextPermit returns the time until an instance should ask again. It is the time until there
// is a permit, and longer if others will have taken that one: requests that wait for an
// answer in vain are refused later than need be.
func (a *account) nextPermit(rate float64) time.Duration {
	others := min(max(a.demand*a.share/wantedDemand(rate)-1, 0), _maxOthers)
	return time.Duration((max(1-a.left, 0) + others) / rate * float64(time.Second))
}

// offer records the requests that an instance had since its last question. It may not know
// the current share yet.
func (a *account) offer(from Ask) {
	n := max(min(from.Demand, _maxGrant), 0)
	a.offered += n
	a.natural += float64(n) / min(max(from.Share, _minShare), 1)
}

// adjustShare adapts the share to the demand: objects for which there are no permits move
// to other workers, and return while permits are left over.
func (a *account) adjustShare(now time.Time, rate float64) {
	elapsed := now.Sub(a.periodStart)
	if elapsed < _minPeriod || max(float64(a.offered), rate*elapsed.Seconds()) < _minOffered {
		return
	}
	demand := a.natural / elapsed.Seconds()
	if a.demand > 0 {
		demand = a.demand + _demandWeight*(demand-a.demand)
	}
	a.periodStart, a.offered, a.natural, a.demand = now, 0, 0, demand
	share := min(max(wantedDemand(rate)/max(demand, rate*_minShare), _minShare), 1)
	if math.Abs(share-a.share) > _shareTolerance*a.share {
		a.share = share
	}
}

// wantedDemand returns the demand, in requests per second, that uses a limit. Requests arrive
// at random, so that a demand equal to the limit would leave permits unused, the more the
// lower the limit is.
func wantedDemand(rate float64) float64 {
	return rate * (1.15 + 1/(1+rate))
}

// grownShare returns the share after a time without news of it: with few objects left,
// the issuer hears of no demand and cannot raise it.
func grownShare(share float64, since time.Duration) float64 {
	if since <= _quietTime {
		return share
	}
	return min(share*math.Pow(_quietGrowth, (since-_quietTime).Seconds()), 1)
}

// announce tells all instances of a limit, so that none sends to the worker unaware of it.
func (b *Book) announce(now time.Time, h *holding) {
	if h.announced && now.Sub(h.announcedAt) < _announceInterval {
		return
	}
	h.announced, h.announcedAt = true, now
	_announced.Inc()
	m := Message{From: b.Self, Limits: []Notice{noticeOf(now, h)}}
	for _, member := range b.order.membersAt(now, b.Members) {
		if member.Name != b.Self && member.Address != "" {
			b.Send(member.Address, m)
		}
	}
}
