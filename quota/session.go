package quota

import (
	"time"
)

// Session is the lease of one start of an entry instance, as the instance may
// rely on it: it ends by the instance's own monotonic clock before the store
// ends the lease.
type Session struct {
	// ID names the session in records.
	ID string
	// Margin is taken off the time to live for differences between clocks.
	Margin time.Duration

	until time.Time
}

// Renewed records that a grant or renewal sent at the given time was confirmed.
func (s *Session) Renewed(sent time.Time, ttl time.Duration) {
	if until := sent.Add(ttl - s.Margin); until.After(s.until) {
		s.until = until
	}
}

// Expire ends the session at once.
func (s *Session) Expire() {
	s.until = time.Time{}
}

// Valid reports whether the session may be relied on.
func (s *Session) Valid(now time.Time) bool {
	return now.Before(s.until)
}
