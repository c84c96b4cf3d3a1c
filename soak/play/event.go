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
	// _kept is the number of versions whose paths stay.
	_kept = 2
	// _mostLost is the number of instances that may be lost in a run.
	_mostLost = 2
	// _versionStep is how far apart versions are.
	_versionStep = 3
	_routeTime   = 2 * time.Second
	_objective   = 500 * time.Millisecond
)

// do lets an event happen and returns when it is over.
func (r *run) do(e fault.Event) {
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
		r.lose(r.instances[e.Target])
	case fault.Freeze:
		r.instances[e.Target].freeze(e.For)
	case fault.Hangup:
		i := r.instances[e.Target]
		// The bound is lower from now on, which no promise forbids.
		r.fail(i.write(r.log.Bounds.RetryExtra / 2))
		i.signal(syscall.SIGHUP, false)
	case fault.StoreLink:
		i := r.instances[e.Target]
		r.harm(i.store, e, check.Trouble{Instance: i.name, What: "store link"})
	case fault.PeerLink:
		i := r.instances[e.Target]
		r.harm(i.peers, e, check.Trouble{Instance: i.name, What: "peer link"})
	case fault.WorkLink:
		p := r.places[e.Target]
		b, _, _ := p.current()
		r.harm(p.link, e, check.Trouble{Worker: b.ID, What: "worker link"})
	default:
		r.doOutside(e)
	}
}

// doOutside lets an event of the store, of workers or of the operator happen.
func (r *run) doOutside(e fault.Event) {
	switch e.Kind {
	case fault.Store:
		r.outage(e.How, e.For)
	case fault.StoreForget:
		r.kv.Compact()
	case fault.Drain:
		r.places[e.Target].leave(true)
	case fault.Replace:
		r.places[e.Target].leave(false)
	case fault.Crash:
		r.places[e.Target].crash()
	case fault.ColdAgain:
		r.places[e.Target].chill()
	case fault.Misbehave:
		r.places[e.Target].spoil(e.How, e.Share, e.For)
	case fault.Configure:
		r.configure()
	case fault.Evacuate:
		r.evacuate(_zones[e.Target], e.For)
	}
}

// lose kills an instance for good, as long as enough of them are left.
func (r *run) lose(i *instance) {
	r.mu.Lock()
	enough := r.lost < _mostLost
	r.lost++
	r.mu.Unlock()
	if !enough || i.busy() {
		return
	}
	r.trouble(check.Trouble{Instance: i.name, What: "lost"})
	<-i.signal(syscall.SIGKILL, true)
}

// harm makes a link misbehave for a while.
func (r *run) harm(l *link.Link, e fault.Event, t check.Trouble) {
	defer r.trouble(t)()
	switch e.How {
	case "reset":
		l.Reset()
	case "deaden":
		l.Deaden()
	default:
		l.Set(link.State(e.How))
		r.sleep(e.For)
		l.Set(link.Passing)
	}
}

// outage makes the store misbehave for a while.
func (r *run) outage(how string, d time.Duration) {
	r.mu.Lock()
	if !isClosed(r.served) {
		r.mu.Unlock()
		return
	}
	r.served = make(chan struct{})
	r.mu.Unlock()
	end := r.trouble(check.Trouble{What: "store " + how})
	r.kv.SetMode(how)
	r.sleep(d)
	r.kv.SetMode(standin.KVServes)
	end()
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.served)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// whenStoreServes waits until the store serves: operators and workers write
// through the same store.
func (r *run) whenStoreServes(f func()) {
	r.mu.Lock()
	served := r.served
	r.mu.Unlock()
	<-served
	f()
}

// ifStoreServes leaves out what the store would not take.
func (r *run) ifStoreServes(f func()) {
	r.mu.Lock()
	serves := isClosed(r.served)
	r.mu.Unlock()
	if serves {
		f()
	}
}

// configure writes the next version: it adds a path, drops an old one and moves
// a route to the other service.
func (r *run) configure() {
	r.whenStoreServes(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.version++
		a := check.Ack{Kind: check.AckConfig, Version: r.version, Added: markOf(r.version)}
		if r.version > _kept {
			a.Dropped = markOf(r.version - _kept)
		}
		r.kv.Configure(uint32(r.version*_versionStep), routesOf(r.version), _services, _coldRate)
		a.At = time.Now()
		r.log.Acks = append(r.log.Acks, a)
	})
}

// routesOf are the routes of a version.
func routesOf(version int) []standin.Route {
	line := func(name, kind, service string, attempts int, homes ...string) standin.Route {
		return standin.Route{
			Name: name, Host: _host, Kind: kind, Timeout: _routeTime, Objective: _objective, Service: service,
			MaxAttempts: attempts, Homes: homes,
		}
	}
	routes := []standin.Route{
		line("idem", "idempotent", "s1", 3),
		line("slow", "idempotent", "s1", 2),
		line("file", "download", "s1", 3),
		line("pay", "non_idempotent", "s2", 3),
		line("home", "idempotent", "s2", 3, "r1"),
		line("move", "idempotent", _services[version%len(_services)], 3),
		line("split", "non_idempotent", "", 2),
	}
	routes[1].Timeout = 2 * _routeTime
	routes[len(routes)-1].Split = map[string]int{"s1": 1, "s2": 3}
	for v := max(version-_kept+1, 1); v <= version; v++ {
		routes = append(routes, line(fmt.Sprintf("mark-%d", v), "idempotent", "s1", 2))
	}
	return routes
}

// evacuate empties a zone for a while.
func (r *run) evacuate(zone string, d time.Duration) {
	r.whenStoreServes(func() {
		r.kv.Evacuate(zone, true)
		r.ack(check.Ack{Kind: check.AckClosed, Zone: zone})
	})
	r.sleep(d)
	r.whenStoreServes(func() {
		r.ack(check.Ack{Kind: check.AckOpened, Zone: zone})
		r.kv.Evacuate(zone, false)
	})
}
