package retry

import "time"

const (
	// _allowanceMargin is the part of the allowance that is used: others may
	// count the instances otherwise, and one that was killed forgets.
	_allowanceMargin = 0.7
	// _allowanceParts is the number of parts that a window is counted in.
	_allowanceParts = 10
)

// Allowance bounds what is sent to workers beyond the first sending of each
// request, summed over all instances: to Ratio of the requests in a window, and
// Extra for all instances together. It is not safe for concurrent use.
type Allowance struct {
	Ratio  float64
	Extra  float64
	Window time.Duration

	at    int64
	parts [_allowanceParts + 1]struct{ first, again float64 }
}

// RecordFirst records a request that is sent for the first time.
func (a *Allowance) RecordFirst(now time.Time) {
	a.part(now).first++
}

// Acquire permits one more sending, given how many instances share Extra.
func (a *Allowance) Acquire(now time.Time, instances int) bool {
	part := a.part(now)
	first, again := 0.0, 0.0
	for _, p := range a.parts {
		first += p.first
		again += p.again
	}
	limit := _allowanceMargin * (a.Ratio*first + a.Extra/float64(max(instances, 1)))
	if again+1 > limit {
		return false
	}
	part.again++
	return true
}

// part returns the current part of the window and forgets those that are over.
func (a *Allowance) part(now time.Time) *struct{ first, again float64 } {
	at := now.UnixNano() / int64(a.Window/_allowanceParts)
	n := int64(len(a.parts))
	for i := max(a.at+1, at-n+1); i <= at; i++ {
		a.parts[i%n] = struct{ first, again float64 }{}
	}
	a.at = max(a.at, at)
	return &a.parts[a.at%n]
}
