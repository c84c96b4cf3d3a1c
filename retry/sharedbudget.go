package retry

import "time"

const (
	// _sharedMargin is the part of the budget that is used: other instances may
	// count a different number of instances, and a restarted one starts at zero.
	_sharedMargin = 0.7
	// _windowParts is the number of parts into which the window is divided.
	_windowParts = 10
)

// SharedBudget limits the retries of all instances together to Ratio of the requests
// within Window, plus Extra. Each instance has a SharedBudget of its own and uses its
// part. It is not safe for concurrent use.
type SharedBudget struct {
	Ratio  float64
	Extra  float64
	Window time.Duration

	at    int64
	parts [_windowParts + 1]struct{ first, retries float64 }
}

// RecordFirst records the first attempt of a request.
func (b *SharedBudget) RecordFirst(now time.Time) {
	b.part(now).first++
}

// Acquire permits one retry, or returns false if this instance's part of the budget
// is used up. instances is the number of instances that share Extra.
func (b *SharedBudget) Acquire(now time.Time, instances int) bool {
	part := b.part(now)
	first, retries := 0.0, 0.0
	for _, p := range b.parts {
		first += p.first
		retries += p.retries
	}
	limit := _sharedMargin * (b.Ratio*first + b.Extra/float64(max(instances, 1)))
	if retries+1 > limit {
		return false
	}
	part.retries++
	return true
}

// part returns the current part of the window and clears those that are older
// than the window.
func (b *SharedBudget) part(now time.Time) *struct{ first, retries float64 } {
	at := now.UnixNano() / int64(b.Window/_windowParts)
	n := int64(len(b.parts))
	for i := max(b.at+1, at-n+1); i <= at; i++ {
		b.parts[i%n] = struct{ first, retries float64 }{}
	}
	b.at = max(b.at, at)
	return &b.parts[b.at%n]
}
