package forward

import "time"

// _returnShare is the part of a caller's usual time below which its request counts as
// a return: a caller that was refused waits before it returns, within the same time.
const _returnShare = 0.97

// returns recognizes callers that were refused and return. It is not safe for
// concurrent use.
type returns struct {
	// longest is the longest time that callers of each route wait for an answer.
	longest map[string]time.Duration
}

// recognize reports whether a request with the given time left is a return.
func (r *returns) recognize(route string, left time.Duration) bool {
	if left <= 0 {
		return false
	}
	if left > r.longest[route] {
		if r.longest == nil {
			r.longest = make(map[string]time.Duration)
		}
		r.longest[route] = left
	}
	return float64(left) < _returnShare*float64(r.longest[route])
}
