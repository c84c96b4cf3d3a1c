package check

import (
	"fmt"
	"net/http"
	"time"

	"github.com/wigeonlock/wigeonlock/standin"
)

// teamOf returns the team that a worker must be told of a request, or an empty string.
func (c *checker) teamOf(v standin.Visit) string {
	call := c.calls[v.RequestID]
	if call == nil || c.Open[firstSegment(v.Path)] {
		return ""
	}
	return call.Team
}

func teamNamed(c *checker) {
	for _, v := range c.Visits {
		if c.calls[v.RequestID] == nil {
			continue
		}
		if v.KeyPassed {
			c.report(v.At, v.RequestID, "worker "+v.Worker+" got the key")
		}
		if want := c.teamOf(v); v.Team != want {
			c.report(v.At, v.RequestID, fmt.Sprintf("worker %s was told team %q, the key is one of %q", v.Worker, v.Team, want))
		}
	}
}

// knownKey checks the calls with keys that no configuration held, and those with keys that
// all held.
func knownKey(c *checker) {
	changing := make(map[string]bool)
	for _, a := range c.Acks {
		changing[a.AddedKey], changing[a.RemovedKey] = true, true
	}
	for id, call := range c.calls {
		open := c.Open[firstSegment(call.Path)]
		if call.Status == http.StatusUnauthorized && (open || !call.UnknownKey && !changing[call.Key]) {
			c.report(call.Ended, id, "refused at "+call.Instance+" with a key that all configurations hold, or needed none")
		}
		for _, v := range c.visits[id] {
			if call.UnknownKey && !open && !v.Started.IsZero() {
				c.report(v.Started, id, "ran with a key that no configuration held, sent by "+call.Instance)
			}
		}
	}
}

// keysInForce checks that an added key is admitted and a removed one refused.
func keysInForce(c *checker) {
	for _, a := range c.Acks {
		if a.Kind != AckConfig {
			continue
		}
		from := a.At.Add(c.Limits.Config)
		removed := c.keyRemovedAt(a.AddedKey)
		for id, call := range c.calls {
			if call.Key == "" || c.Open[firstSegment(call.Path)] || !call.Sent.After(from) || !c.instanceStable(call.Instance, a.At, call.Ended, true) {
				continue
			}
			switch {
			case call.Key == a.AddedKey && call.Status == http.StatusUnauthorized && (removed.IsZero() || call.Ended.Before(removed)):
				c.report(call.Ended, id, fmt.Sprintf("key of version %d is refused at %s %s after it was accepted", a.Version, call.Instance, call.Sent.Sub(a.At)))
			case call.Key == a.RemovedKey && call.Served():
				c.report(call.Ended, id, fmt.Sprintf("key is admitted by %s %s after version %d removed it", call.Instance, call.Sent.Sub(a.At), a.Version))
			}
		}
	}
}

// keyRemovedAt returns when a key was removed, or zero.
func (c *checker) keyRemovedAt(key string) time.Time {
	for _, a := range c.Acks {
		if a.Kind == AckConfig && a.RemovedKey == key && key != "" {
			return a.At
		}
	}
	return time.Time{}
}

// keysNeverBack checks each incarnation of an instance: once it refused a key that was removed,
// it does not admit it again.
func keysNeverBack(c *checker) {
	type keyAt struct {
		process
		key string
	}
	refused := make(map[keyAt]time.Time)
	for _, call := range c.calls {
		removed := c.keyRemovedAt(call.Key)
		if call.Status != http.StatusUnauthorized || removed.IsZero() || !call.Sent.After(removed) {
			continue
		}
		at := keyAt{process{call.Instance, call.Incarnation}, call.Key}
		if first, known := refused[at]; !known || call.Ended.Before(first) {
			refused[at] = call.Ended
		}
	}
	for id, call := range c.calls {
		first, known := refused[keyAt{process{call.Instance, call.Incarnation}, call.Key}]
		if known && call.Served() && call.Sent.After(first.Add(c.Limits.Revert)) {
			c.report(call.Ended, id, call.Instance+" admits a removed key that it had refused")
		}
	}
}
