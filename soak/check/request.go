package check

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/wigeonlock/wigeonlock/standin"
)

const (
	// _maxLateArrivals is the number of requests that may reach a worker after their
	// callers disconnected, and _maxContinuedShare the share of the requests with
	// disconnected callers that workers may continue.
	_maxLateArrivals   = 3
	_maxContinuedShare = 0.25
	// _minCases is the number of requests with disconnected callers below which the
	// share is not checked.
	_minCases = 4
)

// _noSuccessFaults are the worker faults after which there is no successful answer
// to forward.
var _noSuccessFaults = []string{standin.FaultTruncate, standin.FaultLoseAnswer, standin.FaultFail, standin.FaultEncoded}

// firstSegment returns the first segment of a path.
func firstSegment(path string) string {
	part, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return part
}

func atMostOnce(c *checker) {
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

func ownAnswer(c *checker) {
	for id, call := range c.calls {
		if call.Status < http.StatusOK || call.Status >= http.StatusMultipleChoices {
			continue
		}
		if !call.Complete {
			c.report(call.Ended, id, "success with other bytes than the worker's")
			continue
		}
		worker, _, _ := strings.Cut(call.Stamp, ".")
		ran := false
		for _, v := range c.visits[id] {
			ran = ran || v.Worker == worker && !v.Started.IsZero() && !slices.Contains(_noSuccessFaults, v.Fault)
		}
		if !ran {
			c.report(call.Ended, id, fmt.Sprintf("success stamped %q, which no worker gave", call.Stamp))
		}
	}
}

// notRun checks the calls whose status states that the request did not run.
func notRun(c *checker) {
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

func asked(c *checker) {
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

func allowed(c *checker) {
	for _, v := range c.Visits {
		services, known := c.Services[firstSegment(v.Path)]
		if known && !v.Started.IsZero() && !slices.Contains(services, v.Service) {
			c.report(v.At, v.RequestID, "ran at service "+v.Service)
		}
	}
}

func home(c *checker) {
	for _, v := range c.Visits {
		zones, restricted := c.Homes[firstSegment(v.Path)]
		if restricted && !v.Misdirected && !slices.Contains(zones, v.Zone) {
			c.report(v.At, v.RequestID, "reached zone "+v.Zone)
		}
		if zones, restricted = c.TeamHomes[c.teamOf(v)]; restricted && !v.Misdirected && !slices.Contains(zones, v.Zone) {
			c.report(v.At, v.RequestID, "reached zone "+v.Zone+", which is no home of its team")
		}
	}
}

// answered checks the calls whose connection was lost although a worker received
// the request or the instance had time to read it.
func answered(c *checker) {
	for id, call := range c.calls {
		if !call.ConnLost || call.Pipelined || !c.instanceStable(call.Instance, call.Sent, call.Ended, false) && !c.duringStop(call) {
			continue
		}
		visited := len(c.visits[id]) > 0
		if visited || !c.SkipTimed && call.Ended.Sub(call.Sent) > c.Limits.CloseRace {
			c.report(call.Ended, id, fmt.Sprintf("connection to %s ended %s after the request was sent, reached a worker: %t",
				call.Instance, call.Ended.Sub(call.Sent).Round(time.Millisecond), visited))
		}
	}
}

// duringStop reports whether a call was sent during a planned stop of its instance
// while the instance still had to accept and answer requests, without any other
// disruption there.
func (c *checker) duringStop(call *Call) bool {
	for _, s := range c.Stops {
		if s.Instance != call.Instance || call.Ended.Before(s.At) || call.Sent.After(s.At.Add(c.Limits.StopAccepting)) {
			continue
		}
		if !s.Ended.IsZero() && call.Sent.After(s.Ended) {
			continue
		}
		return c.undisturbed(call.Sent.Add(-c.Limits.SettleTime), call.Ended, func(d Disruption) bool {
			return d.Instance == call.Instance && d.Cause != Stopping
		})
	}
	return false
}

// Stopping is the cause of the disruption of an instance during a planned stop.
const Stopping = "stopping"

// Freezing is the cause of the disruption of an instance while it is frozen.
const Freezing = "freeze"

func inTime(c *checker) {
	for id, call := range c.calls {
		if call.Ended.IsZero() || !call.DisconnectedAt.IsZero() || call.Pipelined || !c.instanceStable(call.Instance, call.Sent, call.Ended, false) {
			continue
		}
		if held := call.Ended.Sub(call.Sent); held > call.Timeout+c.Limits.Tolerance {
			c.report(call.Ended, id, fmt.Sprintf("ended after %s at %s, its timeout was %s", held.Round(time.Millisecond), call.Instance, call.Timeout))
		}
	}
}

func givenUp(c *checker) {
	cases, continued, late := 0, 0, 0
	var last *Call
	for id, call := range c.calls {
		if call.DisconnectedAt.IsZero() || !c.instanceStable(call.Instance, call.Sent, call.DisconnectedAt.Add(c.Limits.Tolerance), false) {
			continue
		}
		until := call.DisconnectedAt.Add(c.Limits.Tolerance)
		for _, v := range c.visits[id] {
			if !c.workerStable(v.Worker, call.Sent, until) {
				continue
			}
			if v.At.After(until) {
				late++
				last = call
			}
			if !call.Repeatable || v.Started.IsZero() || !v.Started.Add(v.ServiceTime).After(until) || v.Ended.IsZero() && c.Ended.IsZero() {
				continue
			}
			cases++
			if v.Ended.IsZero() || v.Ended.After(until) {
				continued++
				last = call
			}
		}
	}
	if late > _maxLateArrivals {
		c.report(last.DisconnectedAt, last.ID, fmt.Sprintf("%d requests reached workers after their callers disconnected", late))
	}
	if cases >= _minCases && float64(continued) > _maxContinuedShare*float64(cases) {
		c.report(last.DisconnectedAt, last.ID, fmt.Sprintf("workers continued %d of %d requests whose callers had disconnected", continued, cases))
	}
}
