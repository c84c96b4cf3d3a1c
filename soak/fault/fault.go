// Package fault draws the schedule of a soak from its seed, and makes a
// schedule that fails smaller.
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

// Kind is what happens.
type Kind string

// Kinds of events. Those of the operator and planned stops are no faults: they
// happen beside them.
const (
	// Of instances.
	Terminate Kind = "terminate"
	Kill      Kind = "kill"
	Freeze    Kind = "freeze"
	Hangup    Kind = "hangup"
	KillAll   Kind = "killAll"
	// Lose kills an instance for good.
	Lose Kind = "lose"
	// Of links: from an instance to the store, to an instance's neighbours'
	// port, to a worker.
	StoreLink  Kind = "storeLink"
	PeerLink   Kind = "peerLink"
	WorkerLink Kind = "workerLink"
	// Of the store.
	Store       Kind = "store"
	StoreForget Kind = "storeForget"
	// Of workers.
	Drain     Kind = "drain"
	Replace   Kind = "replace"
	Crash     Kind = "crash"
	ColdAgain Kind = "coldAgain"
	Misbehave Kind = "misbehave"
	// Of the operator.
	Configure Kind = "configure"
	Evacuate  Kind = "evacuate"
)

// Event is one entry of a schedule.
type Event struct {
	At   time.Duration `json:"atNs"`
	Kind Kind          `json:"kind"`
	// Duration is how long it lasts, zero for a moment.
	Duration time.Duration `json:"forNs,omitempty"`
	// Target is the index of the instance, worker or zone.
	Target int `json:"target,omitempty"`
	// Mode is the variant.
	Mode string `json:"how,omitempty"`
	// Share is the part of the requests concerned, of those of a worker.
	Share float64 `json:"share,omitempty"`
}

// String tells an event in one line.
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

// Topology is what events may concern.
type Topology struct {
	Instances int
	Workers   int
	Zones     int
}

// variant describes how events of a kind are drawn.
type variant struct {
	kind   Kind
	weight int
	hows   []string
	// shortest and longest bound Duration.
	shortest, longest time.Duration
	target            func(p Topology) int
	share             bool
}

func instances(p Topology) int { return p.Instances }
func workers(p Topology) int   { return p.Workers }
func zones(p Topology) int     { return p.Zones }
func none(Topology) int        { return 1 }

// _variants are the kinds with their weights.
var _variants = []variant{
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
	// _settle is the calm at the begin, and _last the part of the length after
	// which nothing begins, so that recovery shows.
	_settle = time.Second
	_last   = 0.75
	// _density is the mean number of events a second.
	_density = 0.8
	// _together is the share of events that begin with the one before.
	_together = 0.3
	// _leastShare is the smallest part of requests that a worker spoils.
	_leastShare = 0.05
)

// Draw draws a schedule. The same seed, length and place give the same one.
func Draw(seed uint64, length time.Duration, p Topology) []Event {
	r := rand.New(rand.NewPCG(seed, uint64(length)))
	window := time.Duration(float64(length)*_last) - _settle
	count := max(int(window.Seconds()*_density), 1)
	events := make([]Event, 0, count)
	for i := range count {
		e := one(r, p)
		e.At = _settle + time.Duration(r.Int64N(int64(window)))
		if i > 0 && r.Float64() < _together {
			e.At = events[i-1].At
		}
		events = append(events, e)
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	return events
}

func one(r *rand.Rand, p Topology) Event {
	total := 0
	for _, v := range _variants {
		total += v.weight
	}
	at := r.IntN(total)
	for _, v := range _variants {
		if at -= v.weight; at >= 0 {
			continue
		}
		e := Event{Kind: v.kind, Target: r.IntN(v.target(p))}
		if len(v.hows) > 0 {
			e.Mode = v.hows[r.IntN(len(v.hows))]
		}
		if v.longest > 0 {
			e.Duration = v.shortest + time.Duration(r.Int64N(int64(v.longest-v.shortest)))
		}
		if v.share {
			e.Share = _leastShare + r.Float64()*(1-_leastShare)/2
		}
		return e
	}
	return Event{}
}

// Shrink drops events one by one as long as the rest still fails. fails may be
// called for each event several times.
func Shrink(events []Event, fails func([]Event) bool) []Event {
	for again := true; again; {
		again = false
		for i := 0; i < len(events); i++ {
			rest := append(append([]Event(nil), events[:i]...), events[i+1:]...)
			if fails(rest) {
				events, again = rest, true
				i--
			}
		}
	}
	return events
}
