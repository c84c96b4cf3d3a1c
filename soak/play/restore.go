package play

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonlock/wigeonlock/soak/fault"
)

// _rewriteTime is the time within which the operator and the workers write again what
// the store lost.
const _rewriteTime = time.Second

// restore restores the store from a copy of a time before its outage.
func (r *run) restore(e fault.Event) {
	r.kv.Restore(e.Duration + e.Age)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rewrite = true
}

// setClosed records whether the operator wants a zone to be closed.
func (r *run) setClosed(zone string, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if closed {
		r.closed[zone]++
	} else {
		r.closed[zone]--
	}
}

// writeAgain writes what the operator and the workers have written, after a restore: each
// after a while, before they write anything else. Entries of workers that ended are removed.
func (r *run) writeAgain() {
	r.mu.Lock()
	rewrite := r.rewrite
	r.rewrite = false
	r.mu.Unlock()
	if !rewrite {
		return
	}
	r.sleep(time.Duration(rand.Float64() * float64(_rewriteTime)))
	alive := make(map[string]bool)
	for _, h := range r.workerHosts {
		if b, state, _ := h.current(); state != "" {
			b.Register(r.kv, state)
			alive[b.ID] = true
		}
	}
	for _, id := range r.kv.Workers() {
		if !alive[id] {
			r.kv.RemoveWorker(id)
		}
	}
	r.sleep(time.Duration(rand.Float64() * float64(_rewriteTime)))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeConfiguration()
	for _, zone := range r.kv.ClosedZones() {
		if r.closed[zone] == 0 {
			r.kv.Evacuate(zone, false)
		}
	}
	for zone, n := range r.closed {
		if n > 0 {
			r.kv.Evacuate(zone, true)
		}
	}
}
