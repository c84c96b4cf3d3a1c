// Package check verifies invariants on the log of a soak run, which records what
// callers, workers and the operator observed. It shares no code with the
// instances under test.
//
// An invariant with a time limit is checked only for instances that were
// undisturbed for a while before; the others must hold at any time.
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

// Invariant names a property that must hold during a run.
type Invariant string

// Invariants that are checked.
const (
	// AtMostOnce: a request that is not repeatable runs at most once.
	AtMostOnce Invariant = "atMostOnce"
	// OwnAnswer: a success is the complete answer of a worker to this request.
	OwnAnswer Invariant = "ownAnswer"
	// NotRun: a request that is reported as not run has not run and never runs.
	NotRun Invariant = "notRun"
	// Asked: workers receive only requests that callers sent, unchanged.
	Asked Invariant = "asked"
	// Allowed: a request runs only at a service that its route names.
	Allowed Invariant = "allowed"
	// Home: a request whose route has home regions is sent only to their zones.
	Home Invariant = "home"
	// TeamNamed: workers are told the team that holds the caller's key, and never the key.
	TeamNamed Invariant = "teamNamed"
	// KnownKey: a request runs only with a key that some configuration held, and is not refused
	// with one that all held.
	KnownKey Invariant = "knownKey"
	// KeyInForce: an added key is admitted and a removed one refused in time.
	KeyInForce Invariant = "keyInForce"
	// Drained: a leaving worker receives no new requests.
	Drained Invariant = "drained"
	// Evacuated: the workers of a closed zone receive no requests.
	Evacuated Invariant = "evacuated"
	// StaysAway: what took effect at an instance, a worker that leaves or a closed zone,
	// holds there until it ends, also while the store is disrupted.
	StaysAway Invariant = "staysAway"
	// InForce: an accepted configuration becomes active in time.
	InForce Invariant = "inForce"
	// NeverBack: an instance does not revert to an older configuration.
	NeverBack Invariant = "neverBack"
	// Budget: retries stay within the shared retry budget.
	Budget Invariant = "budget"
	// Cold: a cold worker receives no more requests per second than it tolerates.
	Cold Invariant = "cold"
	// Limited: a worker that names a limit receives no more from all instances together.
	Limited Invariant = "limited"
	// Farewell: a worker that said in an answer that it leaves receives nothing more from the
	// instance that passed it on.
	Farewell Invariant = "farewell"
	// Rested: a worker that asked an instance for a pause receives hardly anything from it.
	Rested Invariant = "rested"
	// Answered: an accepted request is answered, also by an instance that is
	// shutting down.
	Answered Invariant = "answered"
	// InTime: no request is pending for longer than its timeout allows.
	InTime Invariant = "inTime"
	// GivenUp: a worker stops a request whose caller disconnected.
	GivenUp Invariant = "givenUp"
	// Directory: the directory does not return instances that ended long ago.
	Directory Invariant = "directory"
	// Recovered: requests are served again at the end of the run.
	Recovered Invariant = "recovered"
	// Stopped: an instance exits in time when stopped, and does not exit otherwise.
	Stopped Invariant = "stopped"
)

// Call records a request as its caller observed it.
type Call struct {
	ID          string
	Instance    string
	Incarnation int
	Method      string
	Path        string
	// Body is the hash of the request body.
	Body uint64
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// Timeout is the smaller of the caller's and the route's timeout.
	Timeout time.Duration
	// Sent is when the last byte was sent; Ended when the answer was complete, the
	// connection ended, or the caller disconnected.
	Sent  time.Time
	Ended time.Time
	// Status is 0 if there was no answer.
	Status int
	// Complete is set if the answer has the expected bytes and request ID; Stamp is
	// the stamp of the worker that sent it.
	Complete bool
	Stamp    string
	// ConnLost is set if the connection ended without a complete answer.
	ConnLost bool
	// Pipelined is set if the request followed an unanswered one on its connection.
	Pipelined bool
	// DisconnectedAt is when the caller gave up and closed the connection, or zero.
	DisconnectedAt time.Time
	// Key is the key that the caller sent, and Team the team that holds it in the configurations
	// that contain it. UnknownKey is set if none contains it.
	Key        string
	Team       string
	UnknownKey bool
}

// Served reports whether the call received its complete, successful answer.
func (c Call) Served() bool { return c.Status >= 200 && c.Status < 300 && c.Complete }

// AckKind is the kind of change that the store acknowledged.
type AckKind string

// Kinds of acknowledgements.
const (
	// AckConfig is a new configuration, AckLeaving a worker that drains or was
	// removed, AckClosed a closed zone and AckOpened a reopened one.
	AckConfig  AckKind = "config"
	AckLeaving AckKind = "leaving"
	AckClosed  AckKind = "closed"
	AckOpened  AckKind = "opened"
)

// Ack records a change that the store acknowledged.
type Ack struct {
	At   time.Time
	Kind AckKind
	// Version, Worker and Zone identify what changed. Added and Removed are the
	// path prefixes that a configuration added and removed.
	Version int
	Worker  string
	Zone    string
	Added   string
	Removed string
	// AddedKey and RemovedKey are the keys that a configuration added and removed.
	AddedKey   string
	RemovedKey string
}

// Disruption is a period in which a fault or a planned stop was injected.
type Disruption struct {
	// Instance or Worker is the affected one; if both are empty, it is the store.
	Instance string
	Worker   string
	From     time.Time
	// Until is zero while the disruption lasts.
	Until time.Time
	Cause string
}

// Stop records a planned stop of an instance.
type Stop struct {
	Instance string
	At       time.Time
	// Ended is when the process exited, zero before; Killed is set if it had to
	// be killed.
	Ended  time.Time
	Killed bool
}

// DirectoryAnswer records the instances that the directory of an instance returned.
type DirectoryAnswer struct {
	At        time.Time
	Instance  string
	Instances []string
}

// Downtime is a period in which an instance did not run.
type Downtime struct {
	Instance string
	From     time.Time
	// Until is zero while the downtime lasts.
	Until time.Time
}

// WorkerLimit is a period in which a worker names a limit.
type WorkerLimit struct {
	Worker    string
	PerSecond float64
	From      time.Time
	// Until is zero while the limit holds.
	Until time.Time
}

// Limits holds the time limits, rates and budgets that the invariants allow.
type Limits struct {
	// SettleTime is how long an instance must have been undisturbed before
	// invariants with a time limit apply to it.
	SettleTime time.Duration
	// Config is how long a configuration may take to become active.
	Config time.Duration
	// Revert is how long after a request was served under a version the instance
	// may still answer another one under an older version.
	Revert time.Duration
	// Drain is how long a leaving worker, and Evacuate how long a closed zone, may
	// still receive requests.
	Drain    time.Duration
	Evacuate time.Duration
	// Tolerance is the delay allowed after a request's timeout, or after its caller
	// disconnected.
	Tolerance time.Duration
	// CloseRace is the time within which the close of a connection may race with a
	// request sent on it.
	CloseRace time.Duration
	// Within RetryWindow, at most RetryRatio times the requests plus RetryExtra
	// retries are allowed.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// ColdBurst is the number of requests that a cold worker may receive in a
	// second.
	ColdBurst int
	// Within LimitWindow, a worker that names a limit takes LimitFactor times as many
	// requests as that allows, plus LimitSlack, from the instances that heard of it
	// LimitNotice before. That begins SettleTime after the first naming.
	LimitWindow time.Duration
	LimitNotice time.Duration
	LimitFactor float64
	LimitSlack  float64
	// StopAccepting is how long an instance accepts requests after a stop was
	// requested.
	StopAccepting time.Duration
	// DirectoryStale is how long the directory may return an instance that ended.
	DirectoryStale time.Duration
	// Tail is the time at the end of a run in which requests must be served again.
	Tail time.Duration
}

// PlatformLimits returns the limits of the users' platform, except for the retry
// ratio, which is a tenth of theirs so that a few failing workers reach it.
func PlatformLimits() Limits {
	return Limits{
		SettleTime: 4 * time.Second, Config: 2500 * time.Millisecond, Revert: 250 * time.Millisecond,
		Drain: 2500 * time.Millisecond, Evacuate: 5 * time.Second, Tolerance: 500 * time.Millisecond,
		CloseRace: 200 * time.Millisecond, RetryRatio: 0.02, RetryExtra: 20, RetryWindow: 10 * time.Second,
		LimitWindow: 4 * time.Second, LimitNotice: 500 * time.Millisecond, LimitFactor: 1.5, LimitSlack: 5,
		ColdBurst: 27, StopAccepting: 3 * time.Second, DirectoryStale: 7 * time.Second, Tail: 1500 * time.Millisecond,
	}
}

// Log records everything that was observed during a run.
type Log struct {
	Limits           Limits
	Calls            []Call
	Visits           []standin.Visit
	Acks             []Ack
	Disruptions      []Disruption
	WorkerLimits     []WorkerLimit
	Stops            []Stop
	DirectoryAnswers []DirectoryAnswer
	Downtimes        []Downtime
	// Services maps the first segment of a path to the services that may run it,
	// and Homes to the zones that it may be sent to.
	Services map[string][]string
	Homes    map[string][]string
	// Open holds the first segments of paths for which callers need no key, and TeamHomes maps
	// teams to the zones that their other requests may be sent to.
	Open      map[string]bool
	TeamHomes map[string][]string
	// UnexpectedExits are the instances that exited although no stop was requested.
	UnexpectedExits []string
	// Ended is the end of the run, or zero while it lasts.
	Ended time.Time
	// SkipTimed skips the invariants with a time limit.
	SkipTimed bool
}

// Violation is one observed violation of an invariant.
type Violation struct {
	Invariant Invariant
	At        time.Time
	// Request is the ID of the affected request, or empty.
	Request string
	Detail  string
}

// rule checks one invariant.
type rule struct {
	invariant Invariant
	timed     bool
	check     func(c *checker)
}

var _rules = []rule{
	{AtMostOnce, false, atMostOnce},
	{OwnAnswer, false, ownAnswer},
	{NotRun, false, notRun},
	{Asked, false, asked},
	{Allowed, false, allowed},
	{Home, false, home},
	{NeverBack, false, neverBack},
	{NeverBack, false, keysNeverBack},
	{TeamNamed, false, teamNamed},
	{KnownKey, false, knownKey},
	{Budget, false, budget},
	{Cold, true, cold},
	{Limited, true, limited},
	{Farewell, true, farewell},
	{Rested, true, rested},
	{Answered, false, answered},
	{Stopped, false, stopped},
	{Recovered, true, recovered},
	{Drained, true, drained},
	{Evacuated, true, evacuated},
	{StaysAway, true, staysAway},
	{InForce, true, inForce},
	{KeyInForce, true, keysInForce},
	{InTime, true, inTime},
	{GivenUp, true, givenUp},
	{Directory, true, directory},
}

// checker holds a log with its indexes and the violations found so far.
type checker struct {
	*Log
	calls      map[string]*Call
	visits     map[string][]*standin.Visit
	invariant  Invariant
	violations []Violation
}

// Evaluate checks all invariants on a log and returns the violations, ordered by
// time.
func Evaluate(log *Log) []Violation {
	c := &checker{Log: log, calls: make(map[string]*Call, len(log.Calls)), visits: make(map[string][]*standin.Visit)}
	for i := range log.Calls {
		c.calls[log.Calls[i].ID] = &log.Calls[i]
	}
	for i := range log.Visits {
		v := &log.Visits[i]
		c.visits[v.RequestID] = append(c.visits[v.RequestID], v)
	}
	for _, r := range _rules {
		if r.timed && log.SkipTimed {
			continue
		}
		c.invariant = r.invariant
		r.check(c)
	}
	sort.SliceStable(c.violations, func(i, j int) bool { return c.violations[i].At.Before(c.violations[j].At) })
	return c.violations
}

func (c *checker) report(at time.Time, request, detail string) {
	c.violations = append(c.violations, Violation{Invariant: c.invariant, At: at, Request: request, Detail: detail})
}

// instanceStable reports whether the instance and, if store is set, the store were
// undisturbed from SettleTime before from until to.
func (c *checker) instanceStable(instance string, from, to time.Time, store bool) bool {
	return c.undisturbed(from.Add(-c.Limits.SettleTime), to, func(d Disruption) bool {
		return d.Instance == instance || store && d.Instance == "" && d.Worker == ""
	})
}

// workerStable reports whether the link to a worker was undisturbed from SettleTime
// before from until to.
func (c *checker) workerStable(worker string, from, to time.Time) bool {
	return c.undisturbed(from.Add(-c.Limits.SettleTime), to, func(d Disruption) bool { return d.Worker == worker })
}

// undisturbed reports whether no disruption selected by concerns overlaps the time
// between from and to.
func (c *checker) undisturbed(from, to time.Time, concerns func(Disruption) bool) bool {
	for _, d := range c.Disruptions {
		if concerns(d) && d.From.Before(to) && (d.Until.IsZero() || d.Until.After(from)) {
			return false
		}
	}
	return true
}
