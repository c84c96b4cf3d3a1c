package check

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/wigeonlock/wigeonlock/standin"
)

// process is an incarnation of an instance.
type process struct {
	instance    string
	incarnation int
}

// limited checks what reaches workers while they name a limit.
func limited(c *checker) {
	for _, l := range c.WorkerLimits {
		if l.Until.IsZero() {
			l.Until = c.Ended
		}
		heard := c.heardOf(l)
		var counted []*standin.Visit
		for i := range c.Visits {
			v := &c.Visits[i]
			call := c.calls[v.RequestID]
			if call == nil || !l.covers(v) || !c.workerStable(v.Worker, v.At, v.At) || !c.instanceStable(call.Instance, v.At, v.At, false) {
				continue
			}
			at, known := heard[process{call.Instance, call.Incarnation}]
			if known && v.At.Sub(at) >= c.Limits.LimitNotice {
				counted = append(counted, v)
			}
		}
		c.checkLimit(l, counted)
	}
}

// covers reports whether a request reached the worker while it named the limit.
func (l WorkerLimit) covers(v *standin.Visit) bool {
	return v.Worker == l.Worker && !v.Misdirected && !v.At.Before(l.From) && (l.Until.IsZero() || v.At.Before(l.Until))
}

// heardOf returns when each process first passed on an answer that named the limit.
func (c *checker) heardOf(l WorkerLimit) map[process]time.Time {
	heard := make(map[process]time.Time)
	for i := range c.Visits {
		v := &c.Visits[i]
		call := c.calls[v.RequestID]
		if call == nil || !v.LimitNamed || !l.covers(v) || !call.Served() || !strings.HasPrefix(call.Stamp, v.Worker+".") {
			continue
		}
		key := process{call.Instance, call.Incarnation}
		if at, known := heard[key]; !known || call.Ended.Before(at) {
			heard[key] = call.Ended
		}
	}
	return heard
}

func (c *checker) checkLimit(l WorkerLimit, visits []*standin.Visit) {
	sort.Slice(visits, func(i, j int) bool { return visits[i].At.Before(visits[j].At) })
	allowed := c.Limits.LimitFactor*l.PerSecond*c.Limits.LimitWindow.Seconds() + c.Limits.LimitSlack
	first := 0
	for i, v := range visits {
		for v.At.Sub(visits[first].At) >= c.Limits.LimitWindow {
			first++
		}
		n := i - first + 1
		if float64(n) > allowed && v.At.Sub(l.From) >= c.Limits.SettleTime {
			c.report(v.At, v.RequestID, fmt.Sprintf("worker %s named a limit of %.2f a second and got %d requests in %s, allowed are %.1f, from %v",
				l.Worker, l.PerSecond, n, c.Limits.LimitWindow, allowed, c.senders(visits[first:i+1])))
			return
		}
	}
}
