package check

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/wigeonlock/wigeonlock/standin"
)

// _maxStaleEntries is how often the directory may return an instance that ended, and
// _minServedShare the share of the requests that must be served at the end.
const (
	_maxStaleEntries = 3
	_minServedShare  = 0.25
)

func drained(c *checker) {
	for _, a := range c.Acks {
		if a.Kind != AckLeaving || !c.instanceStable("", a.At, a.At, true) {
			continue
		}
		for _, v := range c.Visits {
			if v.Worker != a.Worker || v.Misdirected || !v.At.After(a.At.Add(c.Limits.Drain)) {
				continue
			}
			if call := c.calls[v.RequestID]; call != nil && c.instanceStable(call.Instance, a.At, v.At, true) && c.workerStable(v.Worker, a.At, v.At) {
				c.report(v.At, v.RequestID, fmt.Sprintf("reached worker %s %s after its leaving was acknowledged", v.Worker, v.At.Sub(a.At)))
			}
		}
	}
}

func evacuated(c *checker) {
	for i, a := range c.Acks {
		if a.Kind != AckClosed {
			continue
		}
		opened := c.openedAfter(i)
		for _, v := range c.Visits {
			if v.Zone != a.Zone || v.Misdirected || !v.At.After(a.At.Add(c.Limits.Evacuate)) || !opened.IsZero() && !v.At.Before(opened) {
				continue
			}
			call := c.calls[v.RequestID]
			if call != nil && c.instanceStable(call.Instance, a.At, v.At, true) && c.workerStable(v.Worker, a.At, v.At) {
				c.report(v.At, v.RequestID, fmt.Sprintf("reached zone %s %s after it was closed", a.Zone, v.At.Sub(a.At)))
			}
		}
	}
}

// staysAway checks that no instance sends requests to a worker that leaves or a zone that is
// closed, once it had the time to hear of that while it and the store were undisturbed.
func staysAway(c *checker) {
	for i, a := range c.Acks {
		limit := c.Limits.Drain
		if a.Kind == AckClosed {
			limit = c.Limits.Evacuate
		} else if a.Kind != AckLeaving {
			continue
		}
		from := a.At.Add(limit)
		until := c.openedAfter(i)
		for _, v := range c.Visits {
			concerned := a.Kind == AckLeaving && v.Worker == a.Worker || a.Kind == AckClosed && v.Zone == a.Zone
			if !concerned || v.Misdirected || !v.At.After(from) || !until.IsZero() && !v.At.Before(until) {
				continue
			}
			call := c.calls[v.RequestID]
			if call == nil || !call.Sent.After(from) || !c.instanceStable(call.Instance, a.At, from, true) ||
				!c.workerStable(v.Worker, a.At, v.At) || c.restarted(call.Instance, a.At, v.At) {
				continue
			}
			if c.instanceStable(call.Instance, a.At, v.At, true) {
				continue // Drained and Evacuated report it
			}
			c.report(v.At, v.RequestID, fmt.Sprintf("%s sent it to worker %s in zone %s %s after that had ended there",
				call.Instance, v.Worker, v.Zone, v.At.Sub(from)))
		}
	}
}

// openedAfter returns when the zone of an acknowledgement was opened again, or zero.
func (c *checker) openedAfter(i int) time.Time {
	for _, b := range c.Acks[i:] {
		if b.Kind == AckOpened && b.Zone == c.Acks[i].Zone {
			return b.At
		}
	}
	return time.Time{}
}

// restarted reports whether an instance did not run at some time of a period.
func (c *checker) restarted(instance string, from, to time.Time) bool {
	for _, d := range c.Downtimes {
		if d.Instance == instance && d.From.Before(to) && (d.Until.IsZero() || d.Until.After(from)) {
			return true
		}
	}
	return false
}

// inForce checks which configuration the calls observe: an added path is found, a
// removed one is not.
func inForce(c *checker) {
	for _, a := range c.Acks {
		if a.Kind != AckConfig {
			continue
		}
		from := a.At.Add(c.Limits.Config)
		removed := c.removedAt(a.Added)
		for id, call := range c.calls {
			if !call.Sent.After(from) || !c.instanceStable(call.Instance, a.At, call.Ended, true) {
				continue
			}
			switch {
			case a.Added != "" && strings.HasPrefix(call.Path, a.Added) && call.Status == http.StatusNotFound &&
				(removed.IsZero() || call.Ended.Before(removed)):
				c.report(call.Ended, id, fmt.Sprintf("version %d is not active at %s %s after it was accepted", a.Version, call.Instance, call.Sent.Sub(a.At)))
			case a.Removed != "" && strings.HasPrefix(call.Path, a.Removed) && call.Served():
				c.report(call.Ended, id, fmt.Sprintf("path %s is served by %s %s after version %d removed it", a.Removed, call.Instance, call.Sent.Sub(a.At), a.Version))
			}
		}
	}
}

// removedAt returns when a path was removed, or zero.
func (c *checker) removedAt(path string) time.Time {
	for _, a := range c.Acks {
		if a.Kind == AckConfig && a.Removed == path && path != "" {
			return a.At
		}
	}
	return time.Time{}
}

// neverBack checks each incarnation of an instance: once it served a path of a
// version, it finds the paths of this version and of earlier ones, unless a later
// version removed them.
func neverBack(c *checker) {
	processes := make(map[process][]*Call)
	for i := range c.Calls {
		call := &c.Calls[i]
		if c.versionOf(call.Path) == 0 {
			continue
		}
		key := process{call.Instance, call.Incarnation}
		processes[key] = append(processes[key], call)
	}
	for _, calls := range processes {
		sort.Slice(calls, func(i, j int) bool { return calls[i].Sent.Before(calls[j].Sent) })
		for _, served := range calls {
			if !served.Served() {
				continue
			}
			version := c.versionOf(served.Path)
			for _, later := range calls {
				added := c.versionOf(later.Path)
				if added > version || later.Status != http.StatusNotFound || !later.Sent.After(served.Ended.Add(c.Limits.Revert)) {
					continue
				}
				if at := c.removedAt(prefixOf(later.Path)); !at.IsZero() && at.Add(-c.Limits.Config).Before(later.Ended) {
					continue
				}
				c.report(later.Ended, later.ID, fmt.Sprintf("%s had version %d active and does not find the path of version %d", later.Instance, version, added))
				break
			}
		}
	}
}

// versionOf returns the configuration version that added a path, or 0.
func (c *checker) versionOf(path string) int {
	for _, a := range c.Acks {
		if a.Kind == AckConfig && a.Added != "" && strings.HasPrefix(path, a.Added) {
			return a.Version
		}
	}
	return 0
}

// prefixOf returns the route prefix of a call's path.
func prefixOf(path string) string {
	return "/" + firstSegment(path) + "/"
}

// budget checks the number of retries, which are the requests that workers of a
// service received beyond the first of each call.
func budget(c *checker) {
	retries := make(map[string][]time.Time)
	firstSent := make(map[string][]time.Time)
	for id, visits := range c.visits {
		sort.Slice(visits, func(i, j int) bool { return visits[i].At.Before(visits[j].At) })
		for i, v := range visits {
			if i > 0 {
				retries[v.Service] = append(retries[v.Service], v.At)
			}
		}
		if call := c.calls[id]; call != nil && len(visits) > 0 {
			firstSent[visits[0].Service] = append(firstSent[visits[0].Service], call.Sent)
		}
	}
	window := c.Limits.RetryWindow
	for service, times := range retries {
		sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
		for i, at := range times {
			resent := 0
			for j := i; j >= 0 && at.Sub(times[j]) < window; j-- {
				resent++
			}
			requests := 0
			for _, offset := range []time.Duration{0, window / 2, window} {
				requests = max(requests, countWithin(firstSent[service], at.Add(-offset-window), at.Add(-offset)))
			}
			if limit := c.Limits.RetryRatio*float64(requests) + c.Limits.RetryExtra; float64(resent) > limit {
				c.report(at, "", fmt.Sprintf("service %s received %d retries in %s, for %d requests", service, resent, window, requests))
				break
			}
		}
	}
}

// countWithin returns the number of times after from and not after to.
func countWithin(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

func cold(c *checker) {
	arrivals := make(map[string][]*standin.Visit)
	for i := range c.Visits {
		if v := &c.Visits[i]; v.Cold && !v.Misdirected {
			arrivals[v.Worker] = append(arrivals[v.Worker], v)
		}
	}
	for worker, list := range arrivals {
		sort.Slice(list, func(i, j int) bool { return list[i].At.Before(list[j].At) })
		for i, v := range list {
			if n := i - c.Limits.ColdBurst; n >= 0 && v.At.Sub(list[n].At) < time.Second {
				c.report(v.At, v.RequestID, fmt.Sprintf("cold worker %s got more than %d requests in a second, from %v",
					worker, c.Limits.ColdBurst, c.senders(list[n:i+1])))
				break
			}
		}
	}
}

// senders counts requests by the instance that forwarded them.
func (c *checker) senders(visits []*standin.Visit) map[string]int {
	count := make(map[string]int)
	for _, v := range visits {
		if call := c.calls[v.RequestID]; call != nil {
			count[call.Instance]++
		}
	}
	return count
}

func stopped(c *checker) {
	for _, s := range c.Stops {
		if s.Killed && !c.SkipTimed && c.undisturbed(s.At, s.Ended, func(d Disruption) bool { return d.Instance == s.Instance && d.Cause != Stopping }) {
			c.report(s.Ended, "", "instance "+s.Instance+" did not stop in time")
		}
	}
	for _, instance := range c.UnexpectedExits {
		c.report(time.Time{}, "", "instance "+instance+" exited without being told to")
	}
}

func directory(c *checker) {
	count := 0
	for _, a := range c.DirectoryAnswers {
		if len(a.Instances) < 2 || !c.instanceStable(a.Instance, a.At, a.At, true) {
			continue
		}
		for _, name := range a.Instances {
			for _, d := range c.Downtimes {
				if d.Instance != name || !a.At.After(d.From.Add(c.Limits.DirectoryStale)) || !d.Until.IsZero() && a.At.After(d.Until) {
					continue
				}
				if count++; count == _maxStaleEntries+1 {
					c.report(a.At, "", fmt.Sprintf("directory of %s returned %s, which ended %s before", a.Instance, name, a.At.Sub(d.From)))
				}
			}
		}
	}
}

// recovered checks the end of a run, when all disruptions are over.
func recovered(c *checker) {
	if c.Ended.IsZero() {
		return
	}
	all, served := 0, 0
	for _, call := range c.Calls {
		if !call.DisconnectedAt.IsZero() || call.Sent.Before(c.Ended.Add(-c.Limits.Tail)) || c.versionOf(call.Path) > 0 {
			continue
		}
		all++
		if call.Served() {
			served++
		}
	}
	if all == 0 || float64(served) < _minServedShare*float64(all) {
		c.report(c.Ended, "", fmt.Sprintf("%d of %d requests were served at the end", served, all))
	}
}
