package play

import (
	"fmt"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/wigeonlock/wigeonlock/soak/check"
	"github.com/wigeonlock/wigeonlock/soak/fault"
	"github.com/wigeonlock/wigeonlock/soak/link"
	"github.com/wigeonlock/wigeonlock/standin"
)

const (
	// _keptVersions is the number of versions whose paths are kept.
	_keptVersions = 2
	// _maxLost is the number of instances that may be lost in a run.
	_maxLost = 2
	// _versionStep is the difference between successive version numbers.
	_versionStep  = 3
	_routeTimeout = 2 * time.Second
	_objective    = 500 * time.Millisecond
)

// inject runs an event and returns when it is over.
func (r *run) inject(e fault.Event) {
	switch e.Kind {
	case fault.Terminate:
		r.instances[e.Target].terminate(true)
	case fault.Kill:
		r.instances[e.Target].kill()
	case fault.KillAll:
		var group conc.WaitGroup
		for _, i := range r.instances {
			group.Go(i.kill)
		}
		group.Wait()
	case fault.Lose:
		r.loseInstance(r.instances[e.Target])
	case fault.Freeze:
		r.instances[e.Target].freeze(e.Duration)
	case fault.Hangup:
		i := r.instances[e.Target]
		// The retry limit is lower from now on, which no invariant forbids.
		r.fail(i.writeSettings(r.log.Limits.RetryExtra / 2))
		i.signal(syscall.SIGHUP, false)
	case fault.StoreLink:
		i := r.instances[e.Target]
		r.disturbLink(i.store, e, check.Disruption{Instance: i.name, Cause: "store link"})
	case fault.PeerLink:
		i := r.instances[e.Target]
		i.permits.Set(link.State(e.Mode))
		r.disturbLink(i.peers, e, check.Disruption{Instance: i.name, Cause: "peer link"})
		i.permits.Set(link.Passing)
	case fault.WorkerLink:
		h := r.workerHosts[e.Target]
		b, _, _ := h.current()
		r.disturbLink(h.link, e, check.Disruption{Worker: b.ID, Cause: "worker link"})
	default:
		r.injectExternal(e)
	}
}

// injectExternal runs an event of the store, of a worker or of the operator.
func (r *run) injectExternal(e fault.Event) {
	switch e.Kind {
	case fault.StoreFault:
		r.storeOutage(e.Mode, e.Duration, func() {})
	case fault.Restore:
		r.storeOutage(e.Mode, e.Duration, func() { r.restore(e) })
	case fault.StoreCompact:
		r.kv.Compact()
	case fault.Drain:
		r.workerHosts[e.Target].retire(true, e.Duration)
	case fault.Replace:
		r.workerHosts[e.Target].retire(false, e.Duration)
	case fault.Crash:
		r.workerHosts[e.Target].crash()
	case fault.ColdAgain:
		r.workerHosts[e.Target].makeCold()
	case fault.WorkerFault:
		r.workerHosts[e.Target].injectFaults(e.Mode, e.Share, e.Duration)
	case fault.Limit:
		r.workerHosts[e.Target].nameLimit(e.Share, e.Duration)
	case fault.Farewell:
		r.workerHosts[e.Target].sayFarewell(e.Duration)
	case fault.Rest:
		r.workerHosts[e.Target].askForRest(e.Duration)
	case fault.Configure:
		r.configure()
	case fault.Evacuate:
		r.evacuate(_zones[e.Target], e.Duration)
	}
}

// loseInstance kills an instance without a restart, unless _maxLost were lost
// already.
func (r *run) loseInstance(i *instance) {
	r.mu.Lock()
	mayLose := r.lost < _maxLost
	r.lost++
	r.mu.Unlock()
	if !mayLose || !i.mayEnd() {
		return
	}
	r.recordDisruption(check.Disruption{Instance: i.name, Cause: "lost"})
	<-i.signal(syscall.SIGKILL, true)
}

// disturbLink injects a fault into a link and removes it when the event is over.
func (r *run) disturbLink(l *link.Link, e fault.Event, d check.Disruption) {
	defer r.recordDisruption(d)()
	switch e.Mode {
	case "reset":
		l.Reset()
	case "deaden":
		l.Blackhole()
	default:
		l.Set(link.State(e.Mode))
		r.sleep(e.Duration)
		l.Set(link.Passing)
	}
}

// storeOutage makes the store fail in a mode for a while, unless another outage is
// in progress. whenOver is called before the store serves again.
func (r *run) storeOutage(mode string, d time.Duration, whenOver func()) {
	r.mu.Lock()
	if !isClosed(r.storeServes) {
		r.mu.Unlock()
		return
	}
	r.storeServes = make(chan struct{})
	r.mu.Unlock()
	end := r.recordDisruption(check.Disruption{Cause: "store " + mode})
	r.kv.SetMode(mode)
	r.sleep(d)
	whenOver()
	r.kv.SetMode(standin.KVServes)
	r.writeAgain()
	end()
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.storeServes)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// whenStoreServes waits until the store serves, then calls f: the operator and the
// workers write to the same store.
func (r *run) whenStoreServes(f func()) {
	r.mu.Lock()
	storeServes := r.storeServes
	r.mu.Unlock()
	<-storeServes
	f()
}

// ifStoreServes calls f unless the store currently fails.
func (r *run) ifStoreServes(f func()) {
	r.mu.Lock()
	serves := isClosed(r.storeServes)
	r.mu.Unlock()
	if serves {
		f()
	}
}

// configure writes the next configuration version, which adds a path, removes an
// old one and moves a route to the other service.
func (r *run) configure() {
	r.whenStoreServes(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.version++
		a := check.Ack{Kind: check.AckConfig, Version: r.version, Added: markPath(r.version), AddedKey: turningKey(r.version)}
		if r.version > _keptVersions {
			a.Removed, a.RemovedKey = markPath(r.version-_keptVersions), turningKey(r.version-_keptVersions)
		}
		r.writeConfiguration()
		a.At = time.Now()
		r.log.Acks = append(r.log.Acks, a)
	})
}

// writeConfiguration writes the current version. The caller holds mu.
func (r *run) writeConfiguration() {
	r.kv.Configure(uint32(r.version*_versionStep), routesOf(r.version), _services, _coldRate, teamsOf(r.version)...)
}

// routesOf returns the routes of a configuration version.
func routesOf(version int) []standin.Route {
	newRoute := func(name, kind, service string, attempts int, homes ...string) standin.Route {
		return standin.Route{
			Name: name, Host: _host, Kind: kind, Timeout: _routeTimeout, Objective: _objective, Service: service,
			MaxAttempts: attempts, Homes: homes,
		}
	}
	routes := []standin.Route{
		newRoute("idem", "idempotent", "s1", 3),
		newRoute("slow", "idempotent", "s1", 2),
		newRoute("file", "download", "s1", 3),
		newRoute("pay", "non_idempotent", "s2", 3),
		newRoute("home", "idempotent", "s2", 3, "r1"),
		newRoute("move", "idempotent", _services[version%len(_services)], 3),
		newRoute("split", "non_idempotent", "", 2),
	}
	routes[1].Timeout, routes[1].Open = 2*_routeTimeout, true
	routes[len(routes)-1].Split = map[string]int{"s1": 1, "s2": 3}
	for v := max(version-_keptVersions+1, 1); v <= version; v++ {
		routes = append(routes, newRoute(fmt.Sprintf("mark-%d", v), "idempotent", "s1", 2))
	}
	return routes
}

// evacuate closes a zone for a while.
func (r *run) evacuate(zone string, d time.Duration) {
	r.whenStoreServes(func() {
		r.setClosed(zone, true)
		r.kv.Evacuate(zone, true)
		r.ack(check.Ack{Kind: check.AckClosed, Zone: zone})
	})
	r.sleep(d)
	r.whenStoreServes(func() {
		r.ack(check.Ack{Kind: check.AckOpened, Zone: zone})
		r.setClosed(zone, false)
		r.kv.Evacuate(zone, false)
	})
}
