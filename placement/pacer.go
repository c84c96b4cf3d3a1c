package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// _pacerOwners is the number of instances that may send to a cold worker. While
	// instances have different member lists, there may be twice as many.
	_pacerOwners = 4
	// _pacerMargin is the part of the limit that the owners use together, so that
	// twice as many owners stay below it.
	_pacerMargin = 0.45
)

// Pacer limits the rate at which all instances together send to a cold worker: a
// few instances own the worker, and each of them has a fixed rate. It is not safe
// for concurrent use.
type Pacer struct {
	// Self is the name of the instance.
	Self string

	last map[string]time.Time
}

// Allow reports whether a request may be sent to a cold worker now, and if so,
// records the request. perSecond is the limit for all instances together in any one
// second.
func (p *Pacer) Allow(now time.Time, id string, perSecond float64, instances []string) bool {
	if !p.Ready(now, id, perSecond, instances) {
		return false
	}
	if p.last == nil {
		p.last = make(map[string]time.Time)
	}
	p.last[id] = now
	return true
}

// Ready reports whether Allow would allow a request.
func (p *Pacer) Ready(now time.Time, id string, perSecond float64, instances []string) bool {
	if !p.owns(id, instances) {
		return false
	}
	pace := perSecond * _pacerMargin / _pacerOwners
	return pace >= 1 && now.Sub(p.last[id]) >= time.Duration(float64(time.Second)/pace)
}

// owns reports whether this instance is one of the owners of a worker.
func (p *Pacer) owns(id string, instances []string) bool {
	workerHash := xxhash.Sum64String(id)
	selfHash := mix(workerHash ^ xxhash.Sum64String(p.Self))
	higher := 0
	for _, name := range instances {
		if name != p.Self && mix(workerHash^xxhash.Sum64String(name)) > selfHash {
			higher++
		}
	}
	return higher < _pacerOwners
}

// Forget deletes workers to which nothing was sent for a minute.
func (p *Pacer) Forget(now time.Time) {
	for id, at := range p.last {
		if now.Sub(at) > time.Minute {
			delete(p.last, id)
		}
	}
}
