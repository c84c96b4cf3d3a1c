package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// _warmTime is the time for which an object counts as warm on a worker after
	// this instance last sent a request for it there.
	_warmTime = 30 * time.Second
	// _maxWarm limits the number of remembered pairs of object and worker.
	_maxWarm = 1 << 14
)

// warmObjects remembers which workers recently got requests for an object.
type warmObjects struct {
	last map[uint64]time.Time
}

func (m *warmObjects) record(now time.Time, object uint64, id string) {
	if m.last == nil || len(m.last) >= _maxWarm {
		m.forget(now)
	}
	m.last[mix(object^xxhash.Sum64String(id))] = now
}

func (m *warmObjects) contains(now time.Time, object uint64, id string) bool {
	at, ok := m.last[mix(object^xxhash.Sum64String(id))]
	return ok && now.Sub(at) < _warmTime
}

// forget deletes expired entries, or all if _maxWarm of them are not expired.
func (m *warmObjects) forget(now time.Time) {
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
