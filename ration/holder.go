package ration

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// _declinedTime is the time for which an instance that is not the issuer is not asked
	// again.
	_declinedTime = 500 * time.Millisecond
	// _missesUntilSilent is the number of questions in a row that an instance leaves unanswered
	// before it is not asked for permits any more, but only whether it is there, every
	// _probeInterval.
	_missesUntilSilent = 2
	_probeInterval     = 500 * time.Millisecond
	// _maxWaits is the number of questions that a request waits for, as long as the quota does not
	// seem to be used up; it seems so for _overTime after all places had no permits left, or after
	// a denial while the demand is _overRate times what was granted.
	_maxWaits = 3
	_overTime = 500 * time.Millisecond
	_overRate = 1.5
	// _firstShare is the part of a quota that an instance takes for its demand until it knows
	// better.
	_firstShare = 1.0 / 16
	// _grantWeight is the weight of a new answer in the mean number of granted permits.
	_grantWeight = 0.2
	// _unansweredRetry is the time after which a caller may return if no issuer answers.
	_unansweredRetry = 500 * time.Millisecond
)

var (
	_granted    = metrics.NewCounter(`wigeonlock_team_permits_total{result="granted"}`)
	_expired    = metrics.NewCounter(`wigeonlock_team_permits_total{result="expired"}`)
	_asked      = metrics.NewCounter(`wigeonlock_team_permits_total{result="asked"}`)
	_unanswered = metrics.NewCounter(`wigeonlock_team_permits_total{result="unanswered"}`)
)

// holding is what an instance holds and knows of the quota of a team.
type holding struct {
	limit Limit
	// places are asked in this order, but not those that are resting.
	places []string
	rests  map[string]rest
	// permits are sorted by the time until which they are valid. unused counts, by place,
	// those that became invalid.
	permits []Permit
	unused  map[string]int
	// question is the question that no issuer has answered yet, or nil; waiting requests wait
	// for the answer.
	question *question
	waiting  int
	// demand and granted count the requests and the granted permits since countedAt; rate and
	// grantRate are their means per second before.
	demand    int
	granted   int
	countedAt time.Time
	rate      float64
	grantRate float64
	// deniedAt is when the quota seemed to be used up last, usualGrant the mean number of permits in the
	// last answers.
	deniedAt   time.Time
	usualGrant float64
	// asks is the number of questions that may be asked, as of asksAt.
	asks   float64
	asksAt time.Time
	usedAt time.Time
	// returnAt is when the next refused caller may return.
	returnAt time.Time
	use      Use
	// reportedAt is when the last call of OverQuota was.
	reportedAt time.Time
}

// rest is until when a place is not asked: it had no permits left, or the instance that was
// asked did not issue any, in which case it is not known whether there are some.
type rest struct {
	until    time.Time
	declined bool
}

type question struct {
	number uint64
	to     string
	place  string
	want   int
	at     time.Time
	done   chan struct{}
}

// silence is what is known of an instance that did not answer.
type silence struct {
	misses   int
	probedAt time.Time
}

// Take takes a permit for a request of the team of a quota, which was Pending waits times
// before. A quota without a rate needs no permit.
func (b *Book) Take(now time.Time, l Limit, waits int) Taken {
	if l.PerSecond <= 0 {
		return Taken{Verdict: Granted}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holdingOf(now, l)
	h.usedAt = now
	if waits == 0 {
		h.demand++
	}
	if p, ok := h.take(now); ok {
		b.askAhead(now, h)
		return Taken{Verdict: Granted, Permit: p}
	}
	if h.question != nil && now.Sub(h.question.at) >= AnswerTimeout {
		b.endQuestion(now, h)
	}
	paused := time.Duration(0)
	if h.question == nil {
		paused = b.ask(now, h, 1+h.waiting+h.ahead())
		if p, ok := h.take(now); ok {
			return Taken{Verdict: Granted, Permit: p}
		}
	}
	switch {
	case h.question == nil && paused == 0:
		h.deniedAt = now
	case waits >= _maxWaits:
		if h.rate > _overRate*h.grantRate+1 {
			h.deniedAt = now
		}
	case h.waitsInVain(now, waits):
	case h.question != nil:
		h.waiting++
		return Taken{Verdict: Pending, Answered: h.question.done, Wait: AnswerTimeout}
	case paused > 0:
		return Taken{Verdict: Pending, Wait: paused}
	}
	return b.deny(now, h)
}

// waitsInVain reports whether a request is refused without a further wait, as the quota was
// used up just before: it waits for one question at most, and only if that may bring a permit
// for it.
func (h *holding) waitsInVain(now time.Time, waits int) bool {
	if now.Sub(h.deniedAt) >= _overTime {
		return false
	}
	return waits > 0 || h.question == nil || float64(h.waiting) > 1+2*h.usualGrant
}

// Return gives back a permit whose request no worker ran. It is valid as long as before.
func (b *Book) Return(now time.Time, p Permit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holdings[p.limit.Team]
	if h == nil || h.limit != p.limit {
		return
	}
	h.use.Returned++
	if now.Before(p.until) {
		h.permits = slices.Insert(h.permits, 0, p)
	}
}

// holdingOf returns the holding of a quota. Permits of another quota of the team are dropped.
func (b *Book) holdingOf(now time.Time, l Limit) *holding {
	h := b.holdings[l.Team]
	if h != nil && h.limit == l {
		return h
	}
	if h == nil {
		h = &holding{countedAt: now, rate: l.PerSecond * _firstShare, asks: _maxAsks, asksAt: now, use: Use{Team: l.Team}}
		if b.holdings == nil {
			b.holdings = make(map[string]*holding)
		}
		b.holdings[l.Team] = h
	}
	h.release()
	h.limit, h.places, h.permits, h.returnAt = l, b.preferred(l, b.Zone), nil, time.Time{}
	h.rests, h.unused = make(map[string]rest), make(map[string]int)
	h.use.PerSecond, h.use.Burst = l.PerSecond, l.Burst
	return h
}

// take takes a held permit that is valid.
func (h *holding) take(now time.Time) (Permit, bool) {
	for len(h.permits) > 0 {
		p := h.permits[0]
		h.permits = h.permits[1:]
		if now.Before(p.until) {
			h.use.Granted++
			return p, true
		}
		h.use.Expired++
		h.unused[p.place]++
		_expired.Inc()
	}
	return Permit{}, false
}

// ahead returns the number of permits to hold in advance.
func (h *holding) ahead() int {
	return int(h.rate * _aheadTime.Seconds())
}

// updateRate updates the mean demand, and the mean number of granted permits.
func (h *holding) updateRate(now time.Time) {
	elapsed := now.Sub(h.countedAt)
	if elapsed < _ratePeriod {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/_rateTime.Seconds())
	h.rate += weight * (float64(h.demand)/elapsed.Seconds() - h.rate)
	h.grantRate += weight * (float64(h.granted)/elapsed.Seconds() - h.grantRate)
	h.demand, h.granted, h.countedAt = 0, 0, now
}

// askAhead asks for further permits if those that are held last for less than half of
// _aheadTime.
func (b *Book) askAhead(now time.Time, h *holding) {
	if h.question != nil {
		return
	}
	h.updateRate(now)
	if n := h.ahead(); n > 0 && len(h.permits) <= n/2 {
		b.ask(now, h, n-len(h.permits))
	}
}

// ask asks the issuer of the first place that may have permits. If this instance is the issuer,
// they are held at once, and the next place is asked only if there was none. paused is the time
// after which another question may be asked, if that is why there is none.
func (b *Book) ask(now time.Time, h *holding, want int) (paused time.Duration) {
	h.updateRate(now)
	for _, place := range h.openPlaces(now) {
		owner, ok := b.owner(accountKey{h.limit.Team, place})
		if !ok || b.isSilent(owner.Name) {
			continue
		}
		q := Ask{Team: h.limit.Team, Place: place, Want: want, Unused: h.unused[place]}
		if owner.Name == b.Self {
			delete(h.unused, place)
			reply, _ := b.issue(now, b.Self, 0, q)
			b.apply(now, h, now, want, reply)
			if reply.Granted > 0 {
				return 0
			}
			continue
		}
		if paused := h.countAsk(now); paused > 0 {
			return paused
		}
		delete(h.unused, place)
		b.number++
		h.waiting = 0
		h.question = &question{number: b.number, to: owner.Name, place: place, want: want, at: now, done: make(chan struct{})}
		_asked.Inc()
		b.Send(owner.Address, Message{Number: b.number, Ask: &q})
		return 0
	}
	return 0
}

// openPlaces returns the places that do not rest in the order in which they are asked. Among those
// whose rest ended just now, the first to end comes first: asked at even intervals, no place fills
// up while others are asked.
func (h *holding) openPlaces(now time.Time) []string {
	open := make([]string, 0, len(h.places))
	for _, place := range h.places {
		if !now.Before(h.rests[place].until) {
			open = append(open, place)
		}
	}
	rank := func(place string) int64 {
		if until := h.rests[place].until; now.Sub(until) < _overTime {
			return until.UnixNano()
		}
		return 0
	}
	slices.SortStableFunc(open, func(x, y string) int { return cmp.Compare(rank(x), rank(y)) })
	return open
}

// countAsk counts another question for the team, or returns the time after which it may be
// asked.
func (h *holding) countAsk(now time.Time) time.Duration {
	h.asks = min(h.asks+now.Sub(h.asksAt).Seconds()/_askInterval.Seconds(), _maxAsks)
	h.asksAt = now
	if h.asks < 1 {
		return max(time.Duration((1-h.asks)*float64(_askInterval)), time.Millisecond)
	}
	h.asks--
	return 0
}

// apply takes in the answer to a question for want permits that was asked at askedAt. A place that
// granted less than half of them rests until the other places were asked.
func (b *Book) apply(now time.Time, h *holding, askedAt time.Time, want int, r Reply) {
	if r.Declined {
		h.rests[r.Place] = rest{now.Add(_declinedTime), true}
		return
	}
	p := Permit{limit: h.limit, place: r.Place, until: askedAt.Add(_validTime)}
	for range min(r.Granted, _maxGrant) {
		h.permits = append(h.permits, p)
	}
	h.granted += r.Granted
	h.usualGrant += _grantWeight * (float64(r.Granted) - h.usualGrant)
	_granted.Add(r.Granted)
	if r.RetryMs > 0 {
		pause := min(time.Duration(r.RetryMs)*time.Millisecond, _maxRetry)
		if 2*r.Granted < want {
			pause = max(pause, _askInterval*time.Duration(len(h.places)-1))
		}
		h.rests[r.Place] = rest{until: now.Add(pause)}
	}
}

// receiveReply takes in the answer to the question that is open. Late ones are dropped.
func (b *Book) receiveReply(now time.Time, m Message) {
	h := b.holdings[m.Reply.Team]
	if h == nil || h.question == nil || h.question.number != m.Number || h.question.place != m.Reply.Place {
		return
	}
	if now.Sub(h.question.at) >= AnswerTimeout {
		b.endQuestion(now, h)
		return
	}
	b.apply(now, h, h.question.at, h.question.want, *m.Reply)
	h.release()
}

// release lets the requests go on that wait for the answer to the question.
func (h *holding) release() {
	if h.question != nil {
		close(h.question.done)
		h.question = nil
	}
}

// endQuestion gives up a question that was not answered in time.
func (b *Book) endQuestion(now time.Time, h *holding) {
	_unanswered.Inc()
	h.use.Unanswered++
	if b.silent == nil {
		b.silent = make(map[string]*silence)
	}
	s := b.silent[h.question.to]
	if s == nil {
		s = &silence{probedAt: now}
		b.silent[h.question.to] = s
	}
	s.misses++
	h.rests[h.question.place] = rest{now.Add(_askInterval), true}
	h.release()
}

func (b *Book) isSilent(name string) bool {
	s := b.silent[name]
	return s != nil && s.misses >= _missesUntilSilent
}

// probe asks the silent instances whether they are there.
func (b *Book) probe(now time.Time) {
	for name, s := range b.silent {
		m, listed := b.order.byName[name]
		switch {
		case !listed:
			delete(b.silent, name)
		case s.misses >= _missesUntilSilent && now.Sub(s.probedAt) >= _probeInterval:
			s.probedAt = now
			b.Send(m.Address, Message{Probe: true})
		}
	}
}

// deny returns the refusal of a request. Callers return when a place may have permits again,
// one after the other at the rate at which this instance was granted permits.
func (b *Book) deny(now time.Time, h *holding) Taken {
	h.use.Denied++
	denial, roomAt := Unanswered, time.Time{}
	for _, place := range h.places {
		owner, ok := b.owner(accountKey{h.limit.Team, place})
		if !ok || b.isSilent(owner.Name) {
			continue
		}
		r, asked := h.rests[place]
		if asked && !r.declined {
			denial = UsedUp
		}
		if at := latest(r.until, now.Add(_minRetry)); roomAt.IsZero() || at.Before(roomAt) {
			roomAt = at
		}
	}
	if denial == UsedUp {
		b.report(now, h)
	} else {
		roomAt = now.Add(_unansweredRetry)
	}
	if h.returnAt.Before(roomAt) || h.returnAt.Sub(now) > _maxReturn {
		h.returnAt = roomAt
	}
	pause := h.returnAt.Sub(now)
	h.returnAt = h.returnAt.Add(time.Duration(float64(time.Second) / max(h.grantRate, 1)))
	return Taken{Verdict: Denied, Denial: denial, RetryAfter: pause}
}
