package forward

import "time"

const (
	// _returnShare is the part of a caller's usual time below which its request counts
	// as a return: a caller that was refused waits before it returns, within the same
	// time.
	_returnShare = 0.97
	// _usualStep is the relative change of the usual time with each request, and
	// _usualBelow the part of the requests that state less: single callers that wait
	// for long must not make all others pass for returns.
	_usualStep  = 0.01
	_usualBelow = 0.9
)

// isReturn reports whether the caller of a request was refused before and returns.
func (s *Service) isReturn(rs *requestState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.returns.recognize(rs.route.Name, rs.request.TimeLeft)
}

// returns recognizes callers that were refused and return. It is not safe for
// concurrent use.
type returns struct {
	// usual is, for each route, an estimate of the time that callers wait for an answer
	// from their first attempt on.
	usual map[string]time.Duration
}

// recognize reports whether a request with the given time left is a return.
func (r *returns) recognize(route string, left time.Duration) bool {
	if left <= 0 {
		return false
	}
	if r.usual == nil {
		r.usual = make(map[string]time.Duration)
	}
	usual, known := r.usual[route]
	switch {
	case !known:
		usual = left
	case left > usual:
		usual += min(time.Duration(_usualStep*_usualBelow*float64(usual)), left-usual)
	default:
		usual -= time.Duration(_usualStep * (1 - _usualBelow) * float64(usual))
	}
	r.usual[route] = usual
	return float64(left) < _returnShare*float64(usual)
}
