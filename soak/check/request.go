package check

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/wigeonlock/wigeonlock/standin"
)

// _strayed is how many requests may reach a worker after their callers left,
// and _goneShare the part of the given up ones that may go on.
const (
	_strayed   = 3
	_goneShare = 0.25
	// _fewest is the number of cases from which a share counts.
	_fewest = 4
)

// _noAnswer are the ways of spoiling that leave no answer to pass on as a success.
var _noAnswer = []string{standin.FaultTruncate, standin.FaultLoseAnswer, standin.FaultFail, standin.FaultEncoded}

// first returns the first part of a path.
func first(path string) string {
	part, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return part
}

func atMostOnce(c *court) {
	for id, call := range c.calls {
		if call.Repeatable {
			continue
		}
		runs := 0
		for _, v := range c.visits[id] {
			if v.Started.IsZero() {
				continue
			}
			if runs++; runs == 2 {
				c.report(v.Started, id, "ran again at worker "+v.Worker)
			}
		}
	}
}

func ownAnswer(c *court) {
	for id, call := range c.calls {
		if call.Status < http.StatusOK || call.Status >= http.StatusMultipleChoices {
			continue
		}
		if !call.Whole {
			c.report(call.Ended, id, "success with other bytes than the worker's")
			continue
		}
		worker, _, _ := strings.Cut(call.Stamp, ".")
		ran := false
		for _, v := range c.visits[id] {
			ran = ran || v.Worker == worker && !v.Started.IsZero() && !slices.Contains(_noAnswer, v.Fault)
		}
		if !ran {
			c.report(call.Ended, id, fmt.Sprintf("success stamped %q, which no worker gave", call.Stamp))
		}
	}
}

// notRun judges the statuses that promise it.
func notRun(c *court) {
	for id, call := range c.calls {
		switch call.Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		default:
			continue
		}
		for _, v := range c.visits[id] {
			if !v.Started.IsZero() {
				c.report(v.Started, id, fmt.Sprintf("answered %d at %s, ran at worker %s", call.Status, call.Ended, v.Worker))
			}
		}
	}
}

func asked(c *court) {
	for id, visits := range c.visits {
		call := c.calls[id]
		for _, v := range visits {
			switch {
			case call == nil:
				c.report(v.At, id, "no caller sent it")
			case call.Method != v.Method || call.Path != v.Path || call.Body != v.Body:
				c.report(v.At, id, fmt.Sprintf("sent %s %s, arrived as %s %s, or with another body", call.Method, call.Path, v.Method, v.Path))
			}
		}
	}
}

func allowed(c *court) {
	for _, v := range c.Visits {
		services, known := c.Services[first(v.Path)]
		if known && !v.Started.IsZero() && !slices.Contains(services, v.Service) {
			c.report(v.At, v.RequestID, "ran at service "+v.Service)
		}
	}
}

func home(c *court) {
	for _, v := range c.Visits {
		zones, bound := c.Homes[first(v.Path)]
		if bound && !v.Misdirected && !slices.Contains(zones, v.Zone) {
			c.report(v.At, v.RequestID, "reached zone "+v.Zone)
		}
	}
}

// answered judges requests that an instance had read.
func answered(c *court) {
	for id, call := range c.calls {
		if !call.Cut || call.Behind || !c.calm(call.Instance, call.Sent, call.Ended, false) && !c.stopping(call) {
			continue
		}
		visited := len(c.visits[id]) > 0
		if visited || !c.Untimed && call.Ended.Sub(call.Sent) > c.Bounds.Crossing {
			c.report(call.Ended, id, fmt.Sprintf("connection to %s ended %s after it was sent, visited %t",
				call.Instance, call.Ended.Sub(call.Sent).Round(time.Millisecond), visited))
		}
	}
}

// stopping reports whether a call was sent while its instance was to take and
// answer it before a planned stop, with nothing else wrong there.
func (c *court) stopping(call *Call) bool {
	for _, s := range c.Stops {
		if s.Instance != call.Instance || call.Ended.Before(s.At) || call.Sent.After(s.At.Add(c.Bounds.StopTaking)) {
			continue
		}
		if !s.Ended.IsZero() && call.Sent.After(s.Ended) {
			continue
		}
		return c.quiet(call.Sent.Add(-c.Bounds.Contact), call.Ended, func(t Trouble) bool {
			return t.Instance == call.Instance && t.What != Stopping
		})
	}
	return false
}

// Stopping names the trouble of an instance that was told to stop.
const Stopping = "stopping"

func inTime(c *court) {
	for id, call := range c.calls {
		if call.Ended.IsZero() || !call.Left.IsZero() || call.Behind || !c.calm(call.Instance, call.Sent, call.Ended, false) {
			continue
		}
		if held := call.Ended.Sub(call.Sent); held > call.Limit+c.Bounds.Late {
			c.report(call.Ended, id, fmt.Sprintf("held for %s by %s, its time was %s", held.Round(time.Millisecond), call.Instance, call.Limit))
		}
	}
}

func givenUp(c *court) {
	judged, went, strayed := 0, 0, 0
	var last *Call
	for id, call := range c.calls {
		if call.Left.IsZero() || !c.calm(call.Instance, call.Sent, call.Left.Add(c.Bounds.Late), false) {
			continue
		}
		until := call.Left.Add(c.Bounds.Late)
		for _, v := range c.visits[id] {
			if !c.reachable(v.Worker, call.Sent, until) {
				continue
			}
			if v.At.After(until) {
				strayed++
				last = call
			}
			if !call.Repeatable || v.Started.IsZero() || !v.Started.Add(v.ServiceTime).After(until) || v.Ended.IsZero() && c.Ended.IsZero() {
				continue
			}
			judged++
			if v.Ended.IsZero() || v.Ended.After(until) {
				went++
				last = call
			}
		}
	}
	if strayed > _strayed {
		c.report(last.Left, last.ID, fmt.Sprintf("%d requests reached workers after their callers left", strayed))
	}
	if judged >= _fewest && float64(went) > _goneShare*float64(judged) {
		c.report(last.Left, last.ID, fmt.Sprintf("workers went on with %d of %d requests that were given up", went, judged))
	}
}
