package placement

import (
	"math"
	"time"
)

const (
	// _healthWeight is the weight of a new sample in a worker's health.
	_healthWeight = 0.2
	// _healthDecayTime is the time constant with which observations decay, so that
	// an avoided worker gets requests again without a separate probe.
	_healthDecayTime = 5 * time.Second
	// _failuresWeight is the weight of a new sample in the failures of all workers of a
	// service. A single failing worker must not pass for all of them.
	_failuresWeight = 0.05
	// _maxSlowdown limits the slowdown that one run counts.
	_maxSlowdown = 10
	// _failureCost is the cost of a failure, in runs: the request runs again
	// elsewhere, if the shared retry budget allows it.
	_failureCost = 4
	// _slowThreshold is the slowdown from which a worker counts as slow: workers
	// differ, and so do requests.
	_slowThreshold = 1.8
)

// health tracks whether a worker is slow, or fails part of its requests while its
// health check succeeds. Load reports do not show this, but exchanges do.
type health struct {
	// slowdown is the time of a run relative to other workers, 0 if not known;
	// failureRate is the fraction of requests that fail.
	slowdown    float64
	failureRate float64
	at          time.Time
}

func (h *health) recordRun(now time.Time, ratio float64) {
	h.decay(now)
	if h.slowdown == 0 {
		h.slowdown = 1
	}
	h.slowdown += _healthWeight * (min(ratio, _maxSlowdown) - h.slowdown)
}

// recordResult records whether a request failed.
func (h *health) recordResult(now time.Time, failed bool) {
	h.decay(now)
	share := 0.0
	if failed {
		share = 1
	}
	h.failureRate += _healthWeight * (share - h.failureRate)
}

// failures is the part of the requests that fail on all workers of a service together.
type failures struct {
	rate float64
}

func (f *failures) record(failed bool) {
	share := 0.0
	if failed {
		share = 1
	}
	f.rate += _failuresWeight * (share - f.rate)
}

// decay moves the observations towards their initial values.
func (h *health) decay(now time.Time) {
	if h.slowdown > 0 {
		h.slowdown = 1 + (h.slowdown-1)*h.decayFactor(now)
	}
	h.failureRate *= h.decayFactor(now)
	h.at = now
}

func (h *health) decayFactor(now time.Time) float64 {
	return math.Exp(-now.Sub(h.at).Seconds() / _healthDecayTime.Seconds())
}

// cost returns the cost of a run, relative to one on a healthy worker.
func (h *health) cost(now time.Time) float64 {
	return h.costBeyond(now, 0)
}

// costBeyond is like cost, but counts failures as far as they exceed usual, the part that fails
// on all workers of the service: where all fail alike, another worker fails as well, and runs
// the object cold.
func (h *health) costBeyond(now time.Time, usual float64) float64 {
	decayFactor := h.decayFactor(now)
	slowdown := 1 + (h.slowdown-1)*decayFactor
	if h.slowdown == 0 || slowdown < _slowThreshold {
		slowdown = 1
	}
	return slowdown * (1 + _failureCost*max(h.failureRate*decayFactor-usual, 0))
}
