package retry

import "time"

const (
	// _allowanceMargin is the part of the allowance that is used: other instances may
	// count a different number of instances, and a restarted one starts at zero.
	_allowanceMargin = 0.7
	// _allowanceParts is the number of parts into which the window is divided.
	_allowanceParts = 10
)

// Allowance limits the attempts after the first of all requests, summed over all
// instances, to Ratio of the requests in a window plus Extra for all instances
// together. It is not safe for concurrent use.
type Allowance struct {
	Ratio  float64
	Extra  float64
	Window time.Duration

	at    int64
	parts [_allowanceParts + 1]struct{ first, retries float64 }
}

// RecordFirst records the first attempt of a request.
func (a *Allowance) RecordFirst(now time.Time) {
	a.part(now).first++
}

// Acquire permits one further attempt, or returns false if the allowance is used
// up. instances is the number of instances that share Extra.
func (a *Allowance) Acquire(now time.Time, instances int) bool {
	part := a.part(now)
	first, retries := 0.0, 0.0
	for _, p := range a.parts {
		first += p.first
		retries += p.retries
	}
	limit := _allowanceMargin * (a.Ratio*first + a.Extra/float64(max(instances, 1)))
	if retries+1 > limit {
		return false
	}
	part.retries++
	return true
}

// part returns the current part of the window and clears those that are older
// than the window.
func (a *Allowance) part(now time.Time) *struct{ first, retries float64 } {
	at := now.UnixNano() / int64(a.Window/_allowanceParts)
	n := int64(len(a.parts))
	for i := max(a.at+1, at-n+1); i <= at; i++ {
		a.parts[i%n] = struct{ first, retries float64 }{}
	}
	a.at = max(a.at, at)
	return &a.parts[a.at%n]
}
