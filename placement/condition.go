package placement

import "time"

const (
	// _shareTold is the change of a home share that is told, _unhealthyCost and
	// _healthyCost are the costs at which a worker is told unhealthy, and well.
	_shareTold     = 0.1
	_unhealthyCost = 2
	_healthyCost   = 1.3
)

// Condition is what the placer came to think of a worker or of a service's home
// share, with what made it think so.
type Condition struct {
	Kind    ConditionKind
	Worker  string
	Service string
	// Outcome is the exchange that made the difference, Faults how many failed
	// in a row, For how long it is avoided.
	Outcome  Outcome
	Faults   int
	AvoidFor time.Duration
	// Slowdown is the time of runs against that of others, Fails the share of
	// requests that fail.
	Slowdown    float64
	FailureRate float64
	// Share is the home share, Demand what the region's requests need in slots.
	Share  float64
	Demand float64
	Slots  int
}

// ConditionKind names a condition.
type ConditionKind string

// Kinds of conditions.
const (
	Avoided    ConditionKind = "avoided"
	MayBeCold  ConditionKind = "may have started anew"
	Displaced  ConditionKind = "has another worker at its address"
	Unhealthy  ConditionKind = "slow or failing"
	Recovered  ConditionKind = "recovered"
	LocalShare ConditionKind = "home share"
)

func (p *Placer) tell(c Condition) {
	if p.Changed != nil {
		p.Changed(c)
	}
}
