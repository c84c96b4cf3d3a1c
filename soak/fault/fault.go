// Package fault generates the fault schedule of a soak run from a seed, and shrinks
// a failing schedule to the events that are needed.
//
// # Usage
//
//	events := fault.Draw(seed, 15*time.Second, fault.Topology{Instances: 6, Workers: 12, Zones: 4})
//	small := fault.Shrink(events, func(e []fault.Event) bool { return fails(e) })
package fault

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Kind is the kind of an event.
type Kind string

// Kinds of events. Operator events and planned stops are not faults: they are
// scheduled along with them.
const (
	// Events of instances. Terminate is a planned stop, Kill ends a process at once,
	// Freeze stops it for a while and Hangup makes it reload its settings.
	Terminate Kind = "terminate"
	Kill      Kind = "kill"
	Freeze    Kind = "freeze"
	Hangup    Kind = "hangup"
	KillAll   Kind = "killAll"
	// Lose kills an instance without a restart.
	Lose Kind = "lose"
	// Faults of links: from an instance to the store, to the peer port of an
	// instance, and to a worker.
	StoreLink  Kind = "storeLink"
	PeerLink   Kind = "peerLink"
	WorkerLink Kind = "workerLink"
	// Faults of the store. StoreForget discards its change history.
	Store       Kind = "store"
	StoreForget Kind = "storeForget"
	// Events of workers. Drain announces that a worker leaves, Replace removes it
	// unannounced and may give its address to another service.
	Drain     Kind = "drain"
	Replace   Kind = "replace"
	Crash     Kind = "crash"
	ColdAgain Kind = "coldAgain"
	Misbehave Kind = "misbehave"
	// Operator events.
	Configure Kind = "configure"
	Evacuate  Kind = "evacuate"
)

// Event is one entry of a schedule.
type Event struct {
	At   time.Duration `json:"atNs"`
	Kind Kind          `json:"kind"`
	// Duration is how long the event lasts, or zero if it is instantaneous.
	Duration time.Duration `json:"forNs,omitempty"`
	// Target is the index of the affected instance, worker or zone.
	Target int `json:"target,omitempty"`
	// Mode selects how a link, the store or a worker fails.
	Mode string `json:"how,omitempty"`
	// Share is the share of a worker's requests that are affected.
	Share float64 `json:"share,omitempty"`
}

// String formats an event in one line.
func (e Event) String() string {
	text := fmt.Sprintf("%6.2fs %s", e.At.Seconds(), e.Kind)
	if e.Mode != "" {
		text += " " + e.Mode
	}
	text += fmt.Sprintf(" #%d", e.Target)
	if e.Duration > 0 {
		text += fmt.Sprintf(" for %.2fs", e.Duration.Seconds())
	}
	if e.Share > 0 {
		text += fmt.Sprintf(" share %.2f", e.Share)
	}
	return text
}

// Topology holds the numbers of instances, workers and zones that events may target.
type Topology struct {
	Instances int
	Workers   int
	Zones     int
}

// kindSpec describes how events of a kind are drawn.
type kindSpec struct {
	kind   Kind
	weight int
	modes  []string
	// minDuration and maxDuration limit Duration.
	minDuration, maxDuration time.Duration
	targets                  func(p Topology) int
	hasShare                 bool
}

func instances(p Topology) int { return p.Instances }
func workers(p Topology) int   { return p.Workers }
func zones(p Topology) int     { return p.Zones }
func none(Topology) int        { return 1 }

// _kindSpecs lists the kinds with their weights. The order is part of the draw.
var _kindSpecs = []kindSpec{
	{Terminate, 4, nil, 0, 0, instances, false},
	{Kill, 3, nil, 0, 0, instances, false},
	{Freeze, 2, nil, 300 * time.Millisecond, 3 * time.Second, instances, false},
	{Hangup, 2, nil, 0, 0, instances, false},
	{KillAll, 1, nil, 0, 0, none, false},
	{Lose, 1, nil, 0, 0, instances, false},
	{StoreLink, 3, []string{"delayed", "cutUp", "cutDown", "silent", "refusing", "reset", "deaden"}, 500 * time.Millisecond, 5 * time.Second, instances, false},
	{PeerLink, 2, []string{"delayed", "cutUp", "cutDown", "silent", "refusing", "reset", "deaden"}, 500 * time.Millisecond, 5 * time.Second, instances, false},
	{WorkerLink, 3, []string{"delayed", "cutUp", "cutDown", "silent", "refusing", "reset", "deaden"}, 300 * time.Millisecond, 3 * time.Second, workers, false},
	{Store, 3, []string{"busy", "losesWrites", "slow", "silent", "reset", "late"}, 500 * time.Millisecond, 4 * time.Second, none, false},
	{StoreForget, 1, nil, 0, 0, none, false},
	{Drain, 3, nil, 0, 0, workers, false},
	{Replace, 2, nil, 0, 0, workers, false},
	{Crash, 2, nil, 0, 0, workers, false},
	{ColdAgain, 2, nil, 0, 0, workers, false},
	{Misbehave, 5, []string{"loseAnswer", "truncate", "extra", "late", "shed", "fail", "slow", "encoded"}, time.Second, 5 * time.Second, workers, true},
	{Configure, 5, nil, 0, 0, none, false},
	{Evacuate, 2, nil, 3 * time.Second, 6 * time.Second, zones, false},
}

const (
	// _quietStart is the time at the start without events, and _lastStart the share
	// of the length after which no event starts, so that recovery can be observed.
	_quietStart = time.Second
	_lastStart  = 0.75
	// _eventsPerSecond is the mean rate of events.
	_eventsPerSecond = 0.8
	// _simultaneousShare is the share of events that start together with the one
	// drawn before.
	_simultaneousShare = 0.3
	// _minShare is the smallest share of a worker's requests that are affected.
	_minShare = 0.05
)

// Draw returns the schedule of a seed, ordered by time. The same seed, length and
// topology always give the same schedule.
func Draw(seed uint64, length time.Duration, p Topology) []Event {
	r := rand.New(rand.NewPCG(seed, uint64(length)))
	window := time.Duration(float64(length)*_lastStart) - _quietStart
	count := max(int(window.Seconds()*_eventsPerSecond), 1)
	events := make([]Event, 0, count)
	for i := range count {
		e := drawEvent(r, p)
		e.At = _quietStart + time.Duration(r.Int64N(int64(window)))
		if i > 0 && r.Float64() < _simultaneousShare {
			e.At = events[i-1].At
		}
		events = append(events, e)
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	return events
}

// drawEvent draws an event without its time.
func drawEvent(r *rand.Rand, p Topology) Event {
	total := 0
	for _, v := range _kindSpecs {
		total += v.weight
	}
	pick := r.IntN(total)
	for _, v := range _kindSpecs {
		if pick -= v.weight; pick >= 0 {
			continue
		}
		e := Event{Kind: v.kind, Target: r.IntN(v.targets(p))}
		if len(v.modes) > 0 {
			e.Mode = v.modes[r.IntN(len(v.modes))]
		}
		if v.maxDuration > 0 {
			e.Duration = v.minDuration + time.Duration(r.Int64N(int64(v.maxDuration-v.minDuration)))
		}
		if v.hasShare {
			e.Share = _minShare + r.Float64()*(1-_minShare)/2
		}
		return e
	}
	return Event{}
}

// Shrink removes events one at a time as long as the rest still fails, and returns
// the remaining ones. fails may be called several times for each event.
func Shrink(events []Event, fails func([]Event) bool) []Event {
	for changed := true; changed; {
		changed = false
		for i := 0; i < len(events); i++ {
			rest := append(append([]Event(nil), events[:i]...), events[i+1:]...)
			if fails(rest) {
				events, changed = rest, true
				i--
			}
		}
	}
	return events
}
