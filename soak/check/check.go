// Package check judges a soak by what callers, workers and the operator saw. It
// shares no code with the instances that it judges.
//
// A promise with a time bound is judged only for instances that were out of
// trouble for a while before; the others hold at any time.
//
// # Usage
//
//	for _, v := range check.Evaluate(log) {
//		fmt.Println(v.Invariant, v.Request, v.Detail)
//	}
package check

import (
	"sort"
	"time"

	"github.com/wigeonlock/wigeonlock/standin"
)

// Invariant is what must hold.
type Invariant string

// Promises that are judged.
const (
	// AtMostOnce: a request that must not be repeated runs at most once.
	AtMostOnce Invariant = "atMostOnce"
	// OwnAnswer: a success is the whole answer of the worker to this request.
	OwnAnswer Invariant = "ownAnswer"
	// NotRun: what was told not to have run has not, and never does.
	NotRun Invariant = "notRun"
	// Asked: workers get requests that callers sent, unchanged.
	Asked Invariant = "asked"
	// Allowed: a request runs at a service that its route leads to.
	Allowed Invariant = "allowed"
	// Home: a request with homes runs only there.
	Home Invariant = "home"
	// Drained: a leaving worker gets nothing new.
	Drained Invariant = "drained"
	// Evacuated: a closed zone gets nothing.
	Evacuated Invariant = "evacuated"
	// InForce: an accepted configuration is in force in time.
	InForce Invariant = "inForce"
	// NeverBack: an instance does not fall back to an older configuration.
	NeverBack Invariant = "neverBack"
	// Budget: what is sent again stays within the shared budget.
	Budget Invariant = "budget"
	// Cold: a cold worker gets no more than it bears.
	Cold Invariant = "cold"
	// Answered: a request that was taken is answered, also by an instance that
	// is told to stop.
	Answered Invariant = "answered"
	// InTime: no request is held past its time.
	InTime Invariant = "inTime"
	// Given up: a worker does not go on with what its caller gave up.
	GivenUp Invariant = "givenUp"
	// Directory: callers are not told of instances that are long gone.
	Directory Invariant = "directory"
	// Recovered: requests are served again at the end.
	Recovered Invariant = "recovered"
	// Stopped: an instance ends when told, in time, and not by itself.
	Stopped Invariant = "stopped"
)

// Call is what a caller saw of a request.
type Call struct {
	ID          string
	Instance    string
	Incarnation int
	Method      string
	Path        string
	Body        uint64
	// Repeatable tells whether it may run more than once.
	Repeatable bool
	// Timeout is the smaller of the caller's and the route's time.
	Timeout time.Duration
	// Sent is when its last byte was sent, Ended when the answer was whole, the
	// connection ended, or the caller left.
	Sent  time.Time
	Ended time.Time
	// Status is 0 if there was no answer.
	Status int
	// Complete is set if the answer is the expected one, Stamp is its worker's.
	Complete bool
	Stamp    string
	// ConnLost is set if the connection ended without a whole answer.
	ConnLost bool
	// Pipelined is set if another request of its connection was unanswered.
	Pipelined bool
	// DisconnectedAt is when the caller gave up, or zero.
	DisconnectedAt time.Time
}

// Served reports whether the call got its answer.
func (c Call) Served() bool { return c.Status >= 200 && c.Status < 300 && c.Complete }

// AckKind is what the store acknowledged.
type AckKind string

// Kinds of acknowledgements.
const (
	// AckConfig is a configuration, AckLeaving a worker that drains or is gone,
	// AckClosed and AckOpened a zone.
	AckConfig  AckKind = "config"
	AckLeaving AckKind = "leaving"
	AckClosed  AckKind = "closed"
	AckOpened  AckKind = "opened"
)

// Ack is a change that the store acknowledged.
type Ack struct {
	At   time.Time
	Kind AckKind
	// Version, Worker and Zone name what changed. Added and Removed are paths
	// that a configuration brought and took.
	Version int
	Worker  string
	Zone    string
	Added   string
	Removed string
}

// Disruption is a time in which something was harmed from outside.
type Disruption struct {
	// Instance or Worker is whom it hit; both empty means the store.
	Instance string
	Worker   string
	From     time.Time
	// Until is zero while it lasts.
	Until time.Time
	Cause string
}

// Stop is a planned stop of an instance.
type Stop struct {
	Instance string
	At       time.Time
	// Ended is when the process was gone, zero before; Killed is set when it
	// had to be killed.
	Ended  time.Time
	Killed bool
}

// DirectoryAnswer is what the directory told.
type DirectoryAnswer struct {
	At        time.Time
	Instance  string
	Instances []string
}

// Downtime is a time in which an instance did not run.
type Downtime struct {
	Instance string
	From     time.Time
	// Until is zero while it lasts.
	Until time.Time
}

// Limits are the stated ones.
type Limits struct {
	// SettleTime is how long an instance must be out of trouble.
	SettleTime time.Duration
	Config     time.Duration
	Revert     time.Duration
	Drain      time.Duration
	Evacuate   time.Duration
	// Tolerance is what may pass after a request's time, or after its caller left.
	Tolerance time.Duration
	// CloseRace is the time in which a close may cross a request.
	CloseRace time.Duration
	// RetryRatio and RetryExtra bound what is sent again in RetryWindow.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// ColdBurst is what a cold worker may get in a second.
	ColdBurst int
	// StopAccepting is how long after the request to stop a request is still taken.
	StopAccepting time.Duration
	// DirectoryStale is how long the directory may name an instance that is gone.
	DirectoryStale time.Duration
	// Tail is the time at the end in which requests must be served again.
	Tail time.Duration
}

// PlatformLimits are the bounds of the users' platform, but for the ratio of retries,
// which is a tenth of theirs so that a few workers that fail reach it.
func PlatformLimits() Limits {
	return Limits{
		SettleTime: 4 * time.Second, Config: 2500 * time.Millisecond, Revert: 250 * time.Millisecond,
		Drain: 2500 * time.Millisecond, Evacuate: 5 * time.Second, Tolerance: 500 * time.Millisecond,
		CloseRace: 200 * time.Millisecond, RetryRatio: 0.02, RetryExtra: 20, RetryWindow: 10 * time.Second,
		ColdBurst: 27, StopAccepting: 3 * time.Second, DirectoryStale: 7 * time.Second, Tail: 1500 * time.Millisecond,
	}
}

// Log is all that was seen.
type Log struct {
	Limits           Limits
	Calls            []Call
	Visits           []standin.Visit
	Acks             []Ack
	Disruptions      []Disruption
	Stops            []Stop
	DirectoryAnswers []DirectoryAnswer
	Downtimes        []Downtime
	// Services are those that a path's first part may lead to; Homes the zones
	// in which a path's first part may run.
	Services map[string][]string
	Homes    map[string][]string
	// UnexpectedExits are instances that ended by themselves.
	UnexpectedExits []string
	// Ended is the end of the run, zero before.
	Ended time.Time
	// SkipTimed leaves out the promises with a bound in time.
	SkipTimed bool
}

// Violation is a promise that was broken.
type Violation struct {
	Invariant Invariant
	At        time.Time
	// Request is the one concerned, or empty.
	Request string
	Detail  string
}

// judge finds violations of one promise.
type judge struct {
	promise Invariant
	timed   bool
	find    func(c *court)
}

var _judges = []judge{
	{AtMostOnce, false, atMostOnce},
	{OwnAnswer, false, ownAnswer},
	{NotRun, false, notRun},
	{Asked, false, asked},
	{Allowed, false, allowed},
	{Home, false, home},
	{NeverBack, false, neverBack},
	{Budget, false, budget},
	{Cold, true, cold},
	{Answered, false, answered},
	{Stopped, false, stopped},
	{Recovered, true, recovered},
	{Drained, true, drained},
	{Evacuated, true, evacuated},
	{InForce, true, inForce},
	{InTime, true, inTime},
	{GivenUp, true, givenUp},
	{Directory, true, named},
}

// court is a log with its indexes, and what was found.
type court struct {
	*Log
	calls   map[string]*Call
	visits  map[string][]*standin.Visit
	promise Invariant
	found   []Violation
}

// Evaluate returns what was broken, in the order of time.
func Evaluate(log *Log) []Violation {
	c := &court{Log: log, calls: make(map[string]*Call, len(log.Calls)), visits: make(map[string][]*standin.Visit)}
	for i := range log.Calls {
		c.calls[log.Calls[i].ID] = &log.Calls[i]
	}
	for i := range log.Visits {
		v := &log.Visits[i]
		c.visits[v.Request] = append(c.visits[v.Request], v)
	}
	for _, j := range _judges {
		if j.timed && log.SkipTimed {
			continue
		}
		c.promise = j.promise
		j.find(c)
	}
	sort.SliceStable(c.found, func(i, j int) bool { return c.found[i].At.Before(c.found[j].At) })
	return c.found
}

func (c *court) report(at time.Time, request, detail string) {
	c.found = append(c.found, Violation{Invariant: c.promise, At: at, Request: request, Detail: detail})
}

// calm reports whether neither the instance nor, if asked, the store was in
// trouble from the contact time before from until to.
func (c *court) calm(instance string, from, to time.Time, store bool) bool {
	return c.quiet(from.Add(-c.Limits.SettleTime), to, func(t Disruption) bool {
		return t.Instance == instance || store && t.Instance == "" && t.Worker == ""
	})
}

// reachable reports whether the link to a worker was out of trouble.
func (c *court) reachable(worker string, from, to time.Time) bool {
	return c.quiet(from.Add(-c.Limits.SettleTime), to, func(t Disruption) bool { return t.Worker == worker })
}

func (c *court) quiet(from, to time.Time, concerns func(Disruption) bool) bool {
	for _, t := range c.Disruptions {
		if concerns(t) && t.From.Before(to) && (t.Until.IsZero() || t.Until.After(from)) {
			return false
		}
	}
	return true
}
