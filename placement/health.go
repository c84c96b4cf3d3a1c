package placement

import (
	"math"
	"time"
)

const (
	// _healthWeight is the weight of one more exchange in what is known of a
	// worker's health.
	_healthWeight = 0.2
	// _healthTime is the time in which what is known fades: a worker that is
	// avoided is tried again, without a probe of its own.
	_healthTime = 5 * time.Second
	// _slowest bounds what one run counts.
	_slowest = 10
	// _failureCost is what a failure costs, in runs: the request runs again
	// elsewhere, if the shared budget allows it.
	_failureCost = 4
	// _slowFrom is how slow a worker must be, against the others, for that to
	// count: workers differ, and so do requests.
	_slowFrom = 1.8
)

// health is what exchanges tell of a worker that its own word does not: that it
// is slow, or fails part of its requests while it seems well.
type health struct {
	// slow is the time of a run against that of others, 0 if not known; fails is
	// the share of requests that fail.
	slow  float64
	fails float64
	at    time.Time
}

func (h *health) ran(now time.Time, ratio float64) {
	h.fade(now)
	if h.slow == 0 {
		h.slow = 1
	}
	h.slow += _healthWeight * (min(ratio, _slowest) - h.slow)
}

func (h *health) failed(now time.Time, failed bool) {
	h.fade(now)
	share := 0.0
	if failed {
		share = 1
	}
	h.fails += _healthWeight * (share - h.fails)
}

// fade moves what is known towards nothing known.
func (h *health) fade(now time.Time) {
	if h.slow > 0 {
		h.slow = 1 + (h.slow-1)*h.left(now)
	}
	h.fails *= h.left(now)
	h.at = now
}

func (h *health) left(now time.Time) float64 {
	return math.Exp(-now.Sub(h.at).Seconds() / _healthTime.Seconds())
}

// cost is what a run there costs, against one on a healthy worker.
func (h *health) cost(now time.Time) float64 {
	left := h.left(now)
	slow := 1 + (h.slow-1)*left
	if h.slow == 0 || slow < _slowFrom {
		slow = 1
	}
	return slow * (1 + _failureCost*h.fails*left)
}
