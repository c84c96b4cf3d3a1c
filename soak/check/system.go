package check

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/wigeonlock/wigeonlock/standin"
)

// _oldNames is how often the directory may name an instance that is gone, and
// _leastServed the part of the requests that must be served at the end.
const (
	_oldNames    = 3
	_leastServed = 0.25
)

func drained(c *court) {
	for _, a := range c.Acks {
		if a.Kind != AckLeaving || !c.calm("", a.At, a.At, true) {
			continue
		}
		for _, v := range c.Visits {
			if v.Worker != a.Worker || v.Misdirected || !v.At.After(a.At.Add(c.Bounds.Drain)) {
				continue
			}
			if call := c.calls[v.RequestID]; call != nil && c.calm(call.Instance, a.At, v.At, true) && c.reachable(v.Worker, a.At, v.At) {
				c.report(v.At, v.RequestID, fmt.Sprintf("reached worker %s %s after it was to leave", v.Worker, v.At.Sub(a.At)))
			}
		}
	}
}

func evacuated(c *court) {
	for i, a := range c.Acks {
		if a.Kind != AckClosed {
			continue
		}
		var opened time.Time
		for _, b := range c.Acks[i:] {
			if b.Kind == AckOpened && b.Zone == a.Zone {
				opened = b.At
				break
			}
		}
		for _, v := range c.Visits {
			if v.Zone != a.Zone || v.Misdirected || !v.At.After(a.At.Add(c.Bounds.Evacuate)) || !opened.IsZero() && !v.At.Before(opened) {
				continue
			}
			call := c.calls[v.RequestID]
			if call != nil && c.calm(call.Instance, a.At, v.At, true) && c.reachable(v.Worker, a.At, v.At) {
				c.report(v.At, v.RequestID, fmt.Sprintf("reached zone %s %s after it was closed", a.Zone, v.At.Sub(a.At)))
			}
		}
	}
}

// inForce judges what calls show of the configuration: an added path is found,
// a dropped one is not.
func inForce(c *court) {
	for _, a := range c.Acks {
		if a.Kind != AckConfig {
			continue
		}
		from := a.At.Add(c.Bounds.Config)
		dropped := c.droppedAt(a.Added)
		for id, call := range c.calls {
			if !call.Sent.After(from) || !c.calm(call.Instance, a.At, call.Ended, true) {
				continue
			}
			switch {
			case a.Added != "" && strings.HasPrefix(call.Path, a.Added) && call.Status == http.StatusNotFound &&
				(dropped.IsZero() || call.Ended.Before(dropped)):
				c.report(call.Ended, id, fmt.Sprintf("version %d is not in force at %s %s after it was accepted", a.Version, call.Instance, call.Sent.Sub(a.At)))
			case a.Dropped != "" && strings.HasPrefix(call.Path, a.Dropped) && call.Served():
				c.report(call.Ended, id, fmt.Sprintf("path %s runs at %s %s after version %d dropped it", a.Dropped, call.Instance, call.Sent.Sub(a.At), a.Version))
			}
		}
	}
}

// droppedAt returns when a path was dropped, or zero.
func (c *court) droppedAt(path string) time.Time {
	for _, a := range c.Acks {
		if a.Kind == AckConfig && a.Dropped == path && path != "" {
			return a.At
		}
	}
	return time.Time{}
}

// neverBack judges each incarnation of an instance: once a path of a version
// was served, the paths of that version and of those before are found, unless a
// later one dropped them.
func neverBack(c *court) {
	type life struct {
		instance    string
		incarnation int
	}
	lives := make(map[life][]*Call)
	for i := range c.Calls {
		call := &c.Calls[i]
		if c.versionOf(call.Path) == 0 {
			continue
		}
		key := life{call.Instance, call.Incarnation}
		lives[key] = append(lives[key], call)
	}
	for _, calls := range lives {
		sort.Slice(calls, func(i, j int) bool { return calls[i].Sent.Before(calls[j].Sent) })
		for _, seen := range calls {
			if !seen.Served() {
				continue
			}
			version := c.versionOf(seen.Path)
			for _, later := range calls {
				added := c.versionOf(later.Path)
				if added > version || later.Status != http.StatusNotFound || !later.Sent.After(seen.Ended.Add(c.Bounds.Revert)) {
					continue
				}
				if at := c.droppedAt(pathOf(later.Path)); !at.IsZero() && at.Add(-c.Bounds.Config).Before(later.Ended) {
					continue
				}
				c.report(later.Ended, later.ID, fmt.Sprintf("%s had version %d and knows nothing of version %d", later.Instance, version, added))
				break
			}
		}
	}
}

// versionOf returns the version that added a path, or 0.
func (c *court) versionOf(path string) int {
	for _, a := range c.Acks {
		if a.Kind == AckConfig && a.Added != "" && strings.HasPrefix(path, a.Added) {
			return a.Version
		}
	}
	return 0
}

// pathOf returns the prefix of a call's path.
func pathOf(path string) string {
	return "/" + first(path) + "/"
}

// budget judges what workers of a service got beyond the first of each request.
func budget(c *court) {
	again := make(map[string][]time.Time)
	firsts := make(map[string][]time.Time)
	for id, visits := range c.visits {
		sort.Slice(visits, func(i, j int) bool { return visits[i].At.Before(visits[j].At) })
		for i, v := range visits {
			if i > 0 {
				again[v.Service] = append(again[v.Service], v.At)
			}
		}
		if call := c.calls[id]; call != nil && len(visits) > 0 {
			firsts[visits[0].Service] = append(firsts[visits[0].Service], call.Sent)
		}
	}
	window := c.Bounds.RetryWindow
	for service, times := range again {
		sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
		for i, at := range times {
			resent := 0
			for j := i; j >= 0 && at.Sub(times[j]) < window; j-- {
				resent++
			}
			requests := 0
			for _, back := range []time.Duration{0, window / 2, window} {
				requests = max(requests, within(firsts[service], at.Add(-back-window), at.Add(-back)))
			}
			if limit := c.Bounds.RetryRatio*float64(requests) + c.Bounds.RetryExtra; float64(resent) > limit {
				c.report(at, "", fmt.Sprintf("service %s got %d requests again in %s, for %d requests", service, resent, window, requests))
				break
			}
		}
	}
}

func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

func cold(c *court) {
	arrivals := make(map[string][]*standin.Visit)
	for i := range c.Visits {
		if v := &c.Visits[i]; v.Cold && !v.Misdirected {
			arrivals[v.Worker] = append(arrivals[v.Worker], v)
		}
	}
	for worker, list := range arrivals {
		sort.Slice(list, func(i, j int) bool { return list[i].At.Before(list[j].At) })
		for i, v := range list {
			if n := i - c.Bounds.ColdBurst; n >= 0 && v.At.Sub(list[n].At) < time.Second {
				c.report(v.At, v.RequestID, fmt.Sprintf("cold worker %s got more than %d requests in a second, from %v",
					worker, c.Bounds.ColdBurst, c.senders(list[n:i+1])))
				break
			}
		}
	}
}

// senders counts requests by the instance that they were sent to.
func (c *court) senders(visits []*standin.Visit) map[string]int {
	count := make(map[string]int)
	for _, v := range visits {
		if call := c.calls[v.RequestID]; call != nil {
			count[call.Instance]++
		}
	}
	return count
}

func stopped(c *court) {
	for _, s := range c.Stops {
		if s.Killed && !c.Untimed && c.quiet(s.At, s.Ended, func(t Trouble) bool { return t.Instance == s.Instance && t.What != Stopping }) {
			c.report(s.Ended, "", "instance "+s.Instance+" did not stop in time")
		}
	}
	for _, instance := range c.Deaths {
		c.report(time.Time{}, "", "instance "+instance+" ended by itself")
	}
}

func named(c *court) {
	count := 0
	for _, a := range c.Answers {
		if len(a.Named) < 2 || !c.calm(a.Instance, a.At, a.At, true) {
			continue
		}
		for _, name := range a.Named {
			for _, d := range c.Downs {
				if d.Instance != name || !a.At.After(d.From.Add(c.Bounds.Gone)) || !d.Until.IsZero() && a.At.After(d.Until) {
					continue
				}
				if count++; count == _oldNames+1 {
					c.report(a.At, "", fmt.Sprintf("directory of %s names %s, gone for %s", a.Instance, name, a.At.Sub(d.From)))
				}
			}
		}
	}
}

// recovered judges the end of a run, when all troubles are over.
func recovered(c *court) {
	if c.Ended.IsZero() {
		return
	}
	all, served := 0, 0
	for _, call := range c.Calls {
		if !call.Left.IsZero() || call.Sent.Before(c.Ended.Add(-c.Bounds.Tail)) || c.versionOf(call.Path) > 0 {
			continue
		}
		all++
		if call.Served() {
			served++
		}
	}
	if all == 0 || float64(served) < _leastServed*float64(all) {
		c.report(c.Ended, "", fmt.Sprintf("%d of %d requests were served at the end", served, all))
	}
}
