package check

import (
	"fmt"
	"strings"
	"time"

	"github.com/wigeonlock/wigeonlock/standin"
)

const (
	// _restGrace is the time after which a worker that asked for a pause takes only _restSlack
	// more requests of an instance in it.
	_restGrace = 500 * time.Millisecond
	_restSlack = 2
)

// sender is a process that sends to an incarnation of a worker.
type sender struct {
	process
	worker string
	born   int64
}

func (c *checker) senderOf(v *standin.Visit) (sender, *Call) {
	call := c.calls[v.RequestID]
	if call == nil {
		return sender{}, nil
	}
	return sender{process{call.Instance, call.Incarnation}, v.Worker, v.Born}, call
}

// frozen reports whether an instance was frozen in a period.
func (c *checker) frozen(instance string, from, to time.Time) bool {
	return !c.undisturbed(from, to, func(d Disruption) bool { return d.Instance == instance && d.Cause == Freezing })
}

// farewell checks that a worker gets no requests from a process that passed on that the worker
// leaves, whatever is disrupted but the process itself.
func farewell(c *checker) {
	heard := make(map[sender]time.Time)
	for i := range c.Visits {
		v := &c.Visits[i]
		from, call := c.senderOf(v)
		if call == nil || !v.SaidLeaving || !call.Served() || !strings.HasPrefix(call.Stamp, v.Worker+".") {
			continue
		}
		if at, known := heard[from]; !known || call.Ended.Before(at) {
			heard[from] = call.Ended
		}
	}
	for i := range c.Visits {
		v := &c.Visits[i]
		from, call := c.senderOf(v)
		if call == nil || v.Misdirected {
			continue
		}
		at, known := heard[from]
		if known && call.Sent.Sub(at) > c.Limits.Drain && !c.frozen(call.Instance, at, v.At) {
			c.report(v.At, v.RequestID, fmt.Sprintf("worker %s had said to %s %s before the request that it leaves",
				v.Worker, call.Instance, call.Sent.Sub(at).Round(time.Millisecond)))
		}
	}
}

// rested checks that a worker gets hardly any requests from a process in a pause that it
// asked it for.
func rested(c *checker) {
	bySender := make(map[sender][]*standin.Visit)
	for i := range c.Visits {
		v := &c.Visits[i]
		if from, call := c.senderOf(v); call != nil && !v.Misdirected {
			bySender[from] = append(bySender[from], v)
		}
	}
	for from, visits := range bySender {
		for _, asked := range visits {
			end := asked.At.Add(asked.RestAsked)
			disturbs := func(d Disruption) bool { return d.Instance == from.instance || d.Worker == from.worker }
			if asked.RestAsked == 0 {
				continue
			}
			n := 0
			for _, v := range visits {
				if !v.At.After(asked.At.Add(_restGrace)) || !v.At.Before(end) {
					continue
				}
				if n++; n > _restSlack && c.undisturbed(asked.At, v.At, disturbs) {
					c.report(v.At, v.RequestID, fmt.Sprintf("worker %s had asked %s %s before for a pause of %s",
						from.worker, from.instance, v.At.Sub(asked.At).Round(time.Millisecond), asked.RestAsked))
					return
				}
			}
		}
	}
}
