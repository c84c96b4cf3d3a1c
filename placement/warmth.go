package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// _warmTime is how long an object is thought warm on a worker that got no
	// other request for it from this instance.
	_warmTime = 10 * time.Second
	// _maxWarm bounds what is remembered.
	_maxWarm = 1 << 14
)

// warmth remembers which workers got requests for an object lately.
type warmth struct {
	last map[uint64]time.Time
}

func (m *warmth) note(now time.Time, object uint64, id string) {
	if m.last == nil || len(m.last) >= _maxWarm {
		m.forget(now)
	}
	m.last[mix(object^xxhash.Sum64String(id))] = now
}

func (m *warmth) holds(now time.Time, object uint64, id string) bool {
	at, ok := m.last[mix(object^xxhash.Sum64String(id))]
	return ok && now.Sub(at) < _warmTime
}

// forget drops what is over, or all if that does not help.
func (m *warmth) forget(now time.Time) {
	kept := make(map[uint64]time.Time)
	for key, at := range m.last {
		if now.Sub(at) < _warmTime {
			kept[key] = at
		}
	}
	if len(kept) >= _maxWarm {
		clear(kept)
	}
	m.last = kept
}
