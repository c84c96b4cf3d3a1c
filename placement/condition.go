package placement

import "time"

const (
	// _shareStep is the smallest change of a local share that is notified. A worker
	// is notified as unhealthy from a cost of _unhealthyCost, and as recovered below
	// _healthyCost.
	_shareStep     = 0.1
	_unhealthyCost = 2
	_healthyCost   = 1.3
)

// Condition is a change of the known state of a worker, or of the local share of
// a service, with its cause.
type Condition struct {
	Kind    ConditionKind
	Worker  string
	Service string
	// Outcome is the outcome of the exchange that caused the change, Faults the
	// number of consecutive failures and AvoidFor the time for which the worker is
	// avoided.
	Outcome  Outcome
	Faults   int
	AvoidFor time.Duration
	// Slowdown is the time of runs relative to other workers, FailureRate the
	// fraction of requests that fail.
	Slowdown    float64
	FailureRate float64
	// Share is the local share, Demand the number of slots that the region's
	// requests need and Slots the number that it has.
	Share  float64
	Demand float64
	Slots  int
}

// ConditionKind identifies a kind of condition.
type ConditionKind string

// Kinds of conditions.
const (
	Avoided    ConditionKind = "avoided"
	MayBeCold  ConditionKind = "may have started anew"
	Displaced  ConditionKind = "has another worker at its address"
	Unhealthy  ConditionKind = "slow or failing"
	Recovered  ConditionKind = "recovered"
	Rests      ConditionKind = "asked for a pause"
	LocalShare ConditionKind = "home share"
)

func (p *Placer) notify(c Condition) {
	if p.Changed != nil {
		p.Changed(c)
	}
}
