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
	// Freeze suspends it for a while and Hangup sends it SIGHUP to reload its settings.
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
	// Faults of the store. StoreCompact discards its change history.
	StoreFault   Kind = "store"
	StoreCompact Kind = "storeForget"
	// Restore has the store come back from an earlier copy after an outage.
	Restore Kind = "restore"
	// Events of workers. Drain announces that a worker leaves, which serves Duration
	// longer than it has to, Replace removes it unannounced and may give its address to another service.
	Drain       Kind = "drain"
	Replace     Kind = "replace"
	Crash       Kind = "crash"
	ColdAgain   Kind = "coldAgain"
	WorkerFault Kind = "misbehave"
	// Limit has a worker name a limit in its answers.
	Limit Kind = "limit"
	// Farewell has a worker say in its answers that it leaves, while its entry says nothing; it
	// restarts then. Rest has a worker refuse all requests for a moment and ask for a pause of
	// Duration.
	Farewell Kind = "farewell"
	Rest     Kind = "rest"
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
	// Age is how old the copy is from which the store is restored.
	Age time.Duration `json:"ageNs,omitempty"`
	// Share is the share of a worker's requests that are affected, or that it takes.
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
	if e.Age > 0 {
		text += fmt.Sprintf(" to %.2fs before", e.Age.Seconds())
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
	targetCount              func(t Topology) int
	hasShare                 bool
}

func instances(t Topology) int { return t.Instances }
func workers(t Topology) int   { return t.Workers }
func zones(t Topology) int     { return t.Zones }
func single(Topology) int      { return 1 }

// _kindSpecs lists the kinds with their weights. The order is part of the draw.
var _kindSpecs = []kindSpec{
	{Terminate, 4, nil, 0, 0, instances, false},
	{Kill, 3, nil, 0, 0, instances, false},
	{Freeze, 2, nil, 300 * time.Millisecond, 3 * time.Second, instances, false},
	{Hangup, 2, nil, 0, 0, instances, false},
	{KillAll, 1, nil, 0, 0, single, false},
	{Lose, 1, nil, 0, 0, instances, false},
	{StoreLink, 3, []string{"delayed", "cutUp", "cutDown", "silent", "refusing", "reset", "deaden"}, 500 * time.Millisecond, 5 * time.Second, instances, false},
	{PeerLink, 2, []string{"delayed", "cutUp", "cutDown", "silent", "refusing", "reset", "deaden"}, 500 * time.Millisecond, 5 * time.Second, instances, false},
	{WorkerLink, 3, []string{"delayed", "cutUp", "cutDown", "silent", "refusing", "reset", "deaden"}, 300 * time.Millisecond, 3 * time.Second, workers, false},
	{StoreFault, 3, []string{"busy", "losesWrites", "slow", "silent", "reset", "late"}, 500 * time.Millisecond, 4 * time.Second, single, false},
	{StoreCompact, 1, nil, 0, 0, single, false},
	{Drain, 3, nil, 0, 0, workers, false},
	{Replace, 2, nil, 0, 0, workers, false},
	{Crash, 2, nil, 0, 0, workers, false},
	{ColdAgain, 2, nil, 0, 0, workers, false},
	{WorkerFault, 5, []string{"loseAnswer", "truncate", "extra", "late", "shed", "fail", "slow", "encoded"}, time.Second, 5 * time.Second, workers, true},
	{Configure, 5, nil, 0, 0, single, false},
	{Evacuate, 2, nil, 3 * time.Second, 6 * time.Second, zones, false},
}

const (
	// _quietStart is the time at the start without events, and _lastStart the share
	// of the length after which no event starts, so that recovery can be observed.
	_quietStart = time.Second
	_lastStart  = 0.75
	// _eventsPerSecond is the mean rate of events.
	_eventsPerSecond = 0.8
	// _simultaneousShare is the share of events that start at the same time as the
	// previously drawn event.
	_simultaneousShare = 0.3
	// _maxLimits is the largest number of limits in a schedule, and _minLimitTime and
	// _maxLimitTime are the shortest and the longest time for which a worker names one.
	_maxLimits    = 3
	_minLimitTime = 5 * time.Second
	_maxLimitTime = 10 * time.Second
	// _maxRestores is the largest number of restores in a schedule, _minRestoreTime and
	// _maxRestoreTime are the shortest and longest outage, and _maxCopyAge is the age of
	// the oldest copy.
	_maxRestores    = 2
	_minRestoreTime = 300 * time.Millisecond
	_maxRestoreTime = 2500 * time.Millisecond
	_maxCopyAge     = 10 * time.Second
	// _maxNews is the largest number of farewells and rests in a schedule, and _minNewsTime and
	// _maxNewsTime are how long they last.
	_maxNews     = 4
	_minNewsTime = 700 * time.Millisecond
	_maxNewsTime = 5 * time.Second
	// _minShare is the smallest share of a worker's requests that are affected.
	_minShare = 0.05
)

// Draw returns the schedule of a seed, ordered by time. The same seed, length and
// topology always give the same schedule.
func Draw(seed uint64, length time.Duration, t Topology) []Event {
	r := rand.New(rand.NewPCG(seed, uint64(length)))
	window := time.Duration(float64(length)*_lastStart) - _quietStart
	count := max(int(window.Seconds()*_eventsPerSecond), 1)
	events := make([]Event, 0, count)
	for i := range count {
		e := drawEvent(r, t)
		e.At = _quietStart + time.Duration(r.Int64N(int64(window)))
		if i > 0 && r.Float64() < _simultaneousShare {
			e.At = events[i-1].At
		}
		events = append(events, e)
	}
	events = append(events, drawLimits(seed, window, t)...)
	events = append(events, drawRestores(seed, window)...)
	events = append(events, drawNews(seed, window, t)...)
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	return events
}

// drawLimits draws the limits that workers name, from numbers of their own, so that the other
// events of a seed do not depend on them. Most begin early, as an instance must keep one only
// after a while.
func drawLimits(seed uint64, window time.Duration, t Topology) []Event {
	r := rand.New(rand.NewPCG(seed, uint64(Limit[0])))
	events := make([]Event, r.IntN(_maxLimits+1))
	for i := range events {
		events[i] = Event{
			At: _quietStart + time.Duration(r.Float64()*r.Float64()*float64(window)), Kind: Limit, Target: r.IntN(t.Workers),
			Duration: _minLimitTime + time.Duration(r.Int64N(int64(_maxLimitTime-_minLimitTime))),
			Share:    _minShare + r.Float64()*(1-_minShare),
		}
	}
	return events
}

// drawRestores draws restores of the store, also from numbers of their own.
func drawRestores(seed uint64, window time.Duration) []Event {
	r := rand.New(rand.NewPCG(seed, uint64(Restore[0])))
	events := make([]Event, r.IntN(_maxRestores+1))
	for i := range events {
		events[i] = Event{
			At: _quietStart + time.Duration(r.Int64N(int64(window))), Kind: Restore, Mode: []string{"reset", "silent", "busy"}[r.IntN(3)],
			Duration: _minRestoreTime + time.Duration(r.Int64N(int64(_maxRestoreTime-_minRestoreTime))),
			Age:      time.Duration(r.Int64N(int64(_maxCopyAge))),
		}
	}
	return events
}

// drawNews draws what workers say in their answers of their intentions, also from numbers of
// its own.
func drawNews(seed uint64, window time.Duration, t Topology) []Event {
	r := rand.New(rand.NewPCG(seed, uint64(Rest[0])<<8|uint64(Farewell[0])))
	events := make([]Event, r.IntN(_maxNews+1))
	for i := range events {
		events[i] = Event{
			At: _quietStart + time.Duration(r.Float64()*r.Float64()*float64(window)), Kind: Farewell, Target: r.IntN(t.Workers),
			Duration: _minNewsTime + time.Duration(r.Int64N(int64(_maxNewsTime-_minNewsTime))),
		}
		if r.IntN(2) == 0 {
			events[i].Kind = Rest
		}
	}
	return events
}

// drawEvent draws everything of an event except its time.
func drawEvent(r *rand.Rand, t Topology) Event {
	total := 0
	for _, spec := range _kindSpecs {
		total += spec.weight
	}
	pick := r.IntN(total)
	for _, spec := range _kindSpecs {
		if pick -= spec.weight; pick >= 0 {
			continue
		}
		e := Event{Kind: spec.kind, Target: r.IntN(spec.targetCount(t))}
		if len(spec.modes) > 0 {
			e.Mode = spec.modes[r.IntN(len(spec.modes))]
		}
		if spec.maxDuration > 0 {
			e.Duration = spec.minDuration + time.Duration(r.Int64N(int64(spec.maxDuration-spec.minDuration)))
		}
		if spec.hasShare {
			e.Share = _minShare + r.Float64()*(1-_minShare)/2
		}
		return e
	}
	return Event{}
}

// Shrink removes events one at a time as long as the remaining schedule still fails,
// and returns that schedule. fails may be called several times for each event.
func Shrink(events []Event, fails func([]Event) bool) []Event {
	for changed := true; changed; {
		changed = false
		for i := 0; i < len(events); i++ {
			remaining := append(append([]Event(nil), events[:i]...), events[i+1:]...)
			if fails(remaining) {
				events, changed = remaining, true
				i--
			}
		}
	}
	return events
}
