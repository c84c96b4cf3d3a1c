package quota

import (
	"time"
)

// Session tracks how long an instance may rely on its lease. Each start of an
// instance begins a new session. By the instance's monotonic clock the session
// ends before the store expires the lease.
type Session struct {
	// ID identifies the session in records.
	ID string
	// Margin is subtracted from the time to live to allow for clock differences.
	Margin time.Duration

	until time.Time
}

// Renewed records that the store confirmed a grant or renewal sent at the given
// time. It never shortens the session.
func (s *Session) Renewed(sent time.Time, ttl time.Duration) {
	if until := sent.Add(ttl - s.Margin); until.After(s.until) {
		s.until = until
	}
}

// Expire ends the session immediately.
func (s *Session) Expire() {
	s.until = time.Time{}
}

// Valid reports whether the session has not ended at the given time.
func (s *Session) Valid(now time.Time) bool {
	return now.Before(s.until)
}
