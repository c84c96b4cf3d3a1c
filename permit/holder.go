package permit

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	_granted    = metrics.NewCounter(`wigeonlock_permits_total{result="granted"}`)
	_denied     = metrics.NewCounter(`wigeonlock_permits_total{result="denied"}`)
	_unanswered = metrics.NewCounter(`wigeonlock_permits_total{result="unanswered"}`)
	_declined   = metrics.NewCounter(`wigeonlock_permits_total{result="declined"}`)
	_expired    = metrics.NewCounter(`wigeonlock_permits_total{result="unused"}`)
)

// Take uses a permit for a request to a worker. Without one it asks the issuer and returns
// Pending with a channel that is closed once the issuer has answered. first is false if Take
// was called for the same request before. A worker without a limit needs no permit.
func (b *Book) Take(now time.Time, w Worker, first bool) (Verdict, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holdingOf(w)
	if h == nil || !h.limit.Named {
		return Granted, nil
	}
	if first {
		h.demand++
	}
	if h.use(now) {
		b.askAhead(now, h)
		return Granted, nil
	}
	if now.Before(h.deniedUntil) {
		return Denied, nil
	}
	if h.question != nil && now.Sub(h.question.at) >= _askTimeout {
		b.endQuestion(now, h)
		return Denied, nil
	}
	if h.question == nil {
		b.ask(now, h, 1+h.ahead())
	}
	if h.question == nil {
		if !h.limit.Named || h.use(now) {
			return Granted, nil
		}
		return Denied, nil
	}
	if b.unanswered(h.question.to) > 0 {
		// The request does not wait for an instance that did not answer before.
		return Denied, nil
	}
	h.waiting++
	return Pending, h.question.done
}

// Return gives back a permit that was not used. It stays valid for a short time.
func (b *Book) Return(now time.Time, w Worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.holdingOf(w); h != nil && h.limit.Named {
		h.permits = append(h.permits, now.Add(_validTime))
	}
}

// use uses a held permit, if there is a valid one.
func (h *holding) use(now time.Time) bool {
	for len(h.permits) > 0 {
		valid := now.Before(h.permits[0])
		h.permits = h.permits[1:]
		if valid {
			return true
		}
		_expired.Inc()
	}
	return false
}

// ahead returns the number of permits to ask for in advance.
func (h *holding) ahead() int {
	return int(h.rate * _aheadTime.Seconds())
}

// updateRate updates the mean demand by the requests since the last question.
func (h *holding) updateRate(now time.Time) {
	elapsed := now.Sub(h.askedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed/_rateTime.Seconds())
	h.rate += weight * (float64(h.demand)/elapsed - h.rate)
}

// askAhead asks for further permits if the held ones are used up and the demand will need
// more within _aheadTime.
func (b *Book) askAhead(now time.Time, h *holding) {
	if n := h.ahead(); n > 0 && len(h.permits) == 0 && h.question == nil && !now.Before(h.deniedUntil) {
		b.ask(now, h, n)
	}
}

// ask asks the issuer of a worker for permits. If this instance is the issuer, the permits
// are held at once, and there is no question.
func (b *Book) ask(now time.Time, h *holding, want int) {
	h.updateRate(now)
	ask := Ask{Notice: noticeOf(now, h), Want: max(want, h.waiting), Demand: h.demand}
	ask.Share = grownShare(h.share, now.Sub(h.shareAt))
	h.demand, h.askedAt, h.waiting = 0, now, 0
	issuer, _ := b.issuer(now, h.worker)
	if issuer.Name == b.Self {
		b.apply(now, h, b.issue(now, ask))
		return
	}
	b.number++
	h.question = &question{number: b.number, to: issuer.Name, at: now, done: make(chan struct{})}
	b.Send(issuer.Address, Message{From: b.Self, Number: b.number, Ask: &ask})
}

// endQuestion gives up a question that was not answered in time.
func (b *Book) endQuestion(now time.Time, h *holding) {
	_unanswered.Inc()
	b.missed(now, h.question.to)
	h.deniedUntil, h.denial = now.Add(_askTimeout), Silent
	h.release()
}

// release lets the requests go on that wait for the answer to the question.
func (h *holding) release() {
	if h.question != nil {
		close(h.question.done)
		h.question = nil
	}
}

// apply applies the answer of an issuer.
func (b *Book) apply(now time.Time, h *holding, r Reply) {
	b.learn(h.worker, r.limit(now), "issuer")
	switch {
	case !h.limit.Named:
	case r.Declined:
		_declined.Inc()
		h.deniedUntil, h.denial = now.Add(_askTimeout), Declined
	default:
		h.share, h.shareAt = min(max(r.Share, _minShare), 1), now
		for range min(r.Granted, _maxGrant) {
			h.permits = append(h.permits, now.Add(_validTime))
		}
		_granted.Add(r.Granted)
		if r.RetryMs > 0 {
			_denied.Inc()
			h.denial = UsedUp
			h.deniedUntil = now.Add(min(time.Duration(r.RetryMs)*time.Millisecond, _maxDenied))
		}
	}
}

// tellIssuer tells the issuer of a worker of a change of its limit, without asking for
// permits.
func (b *Book) tellIssuer(now time.Time, h *holding) {
	if h.limit.Named && now.Sub(h.toldAt) < _tellInterval {
		return
	}
	h.toldAt = now
	issuer, _ := b.issuer(now, h.worker)
	ask := Ask{Notice: noticeOf(now, h)}
	if issuer.Name == b.Self {
		b.issue(now, ask)
		return
	}
	b.Send(issuer.Address, Message{From: b.Self, Ask: &ask})
}
