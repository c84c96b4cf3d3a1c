package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/wigeonlock/wigeonlock/quota"
)

const (
	_quotaHolders      = 10
	_quotaCap          = 40
	_quotaDuration     = 60 * time.Second
	_quotaStep         = 5 * time.Millisecond
	_quotaStoreDelay   = 35 * time.Millisecond
	_quotaServiceTime  = 20 * time.Millisecond
	_quotaReclaimDelay = 35 * time.Second
	_quotaMoveInterval = 10 * time.Second
)

// QuotaResult compares strategies to divide a shift cap among entry instances.
type QuotaResult struct {
	Runs []QuotaRun `json:"runs"`
}

// QuotaRun is one strategy under demand that moves between instances.
type QuotaRun struct {
	// Strategy is escrow, equalSplit, or oneCounter: a shared counter in the store.
	Strategy string `json:"way"`
	// Hot is the number of instances that receive the demand at a time.
	Hot int `json:"hot"`
	Cap int `json:"cap"`
	// UsedShare is the mean share of the cap in use under demand for twice the cap.
	UsedShare float64 `json:"usedShare"`
	// Breaches counts the steps at which more than the cap was in use.
	Breaches int `json:"capBreaches"`
	// WritesPerSecond and CallsPerSecond are the writes and calls to the store.
	WritesPerSecond float64 `json:"storeWritesPerSecond"`
	CallsPerSecond  float64 `json:"storeCallsPerSecond"`
}

// Quota measures, in virtual time, which share of a cap is used if only some of ten
// instances receive the demand and these instances change every ten seconds.
func Quota(_ context.Context, o Options) (QuotaResult, error) {
	var r QuotaResult
	for _, hot := range []int{1, 2, 5, 10} {
		o.progress(fmt.Sprintf("%d hot instances", hot))
		r.Runs = append(r.Runs, quotaEscrow(o.Seed, hot), quotaEqualSplit(o.Seed, hot), quotaCounter(hot))
	}
	return r, nil
}

// quotaInstance is a holder with its running requests and pending store call.
type quotaInstance struct {
	*quota.Holder
	endTimes []time.Time
	step     quota.Step
	due      time.Time
	pending  bool
}

// quotaWorld is the state of the instances and of the store.
type quotaWorld struct {
	now       time.Time
	record    quota.Record
	version   uint64
	instances []*quotaInstance
	rng       *rand.Rand
	calls     int
	writes    int
}

func quotaEscrow(seed uint64, hot int) QuotaRun {
	w := &quotaWorld{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 2))}
	for i := range _quotaHolders {
		s := &quota.Session{ID: fmt.Sprint(i)}
		s.Renewed(w.now, 2*_quotaDuration)
		h := &quota.Holder{
			Name: fmt.Sprint(i), Session: s, ReclaimDelay: _quotaReclaimDelay, Base: quota.Base(_quotaCap, _quotaHolders, i),
		}
		h.Configure(1, _quotaCap)
		w.instances = append(w.instances, &quotaInstance{Holder: h})
	}
	return w.run("escrow", hot, func(inst *quotaInstance) bool { return inst.Admit(w.now, true) == quota.Admitted }, w.storeStep)
}

func quotaEqualSplit(seed uint64, hot int) QuotaRun {
	w := &quotaWorld{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 2))}
	for range _quotaHolders {
		w.instances = append(w.instances, &quotaInstance{})
	}
	return w.run("equalSplit", hot,
		func(inst *quotaInstance) bool { return len(inst.endTimes) < _quotaCap/_quotaHolders }, func(*quotaInstance) {})
}

// quotaCounter calculates the figures of one shared counter. Each request needs
// two swaps, to acquire and to return a slot, and the swaps of one key run one at
// a time.
func quotaCounter(hot int) QuotaRun {
	perSecond := float64(time.Second) / float64(_quotaStoreDelay)
	used := min(perSecond/2*_quotaServiceTime.Seconds()/_quotaCap, 1)
	return QuotaRun{
		Strategy: "oneCounter", Hot: hot, Cap: _quotaCap, UsedShare: used, WritesPerSecond: perSecond, CallsPerSecond: perSecond,
	}
}

func (w *quotaWorld) run(strategy string, hot int, admit func(*quotaInstance) bool, store func(*quotaInstance)) QuotaRun {
	r := QuotaRun{Strategy: strategy, Hot: hot, Cap: _quotaCap}
	steps, used := 0, 0
	for end := w.now.Add(_quotaDuration); w.now.Before(end); w.now = w.now.Add(_quotaStep) {
		firstHot := int(w.now.Unix()/int64(_quotaMoveInterval.Seconds())) * hot
		for i, inst := range w.instances {
			w.endRequests(inst)
			store(inst)
			if (i-firstHot%_quotaHolders+_quotaHolders)%_quotaHolders < hot {
				w.demand(inst, hot, admit)
			}
		}
		inUse := 0
		for _, inst := range w.instances {
			inUse += len(inst.endTimes)
		}
		if inUse > _quotaCap {
			r.Breaches++
		}
		used += inUse
		steps++
	}
	r.UsedShare = float64(used) / float64(steps) / _quotaCap
	r.WritesPerSecond = float64(w.writes) / _quotaDuration.Seconds()
	r.CallsPerSecond = float64(w.calls) / _quotaDuration.Seconds()
	return r
}

// demand adds the arrivals of a hot instance. All hot instances together receive
// twice the load that the cap can serve.
func (w *quotaWorld) demand(inst *quotaInstance, hot int, admit func(*quotaInstance) bool) {
	perStep := 2 * float64(_quotaCap) * float64(_quotaStep) / float64(_quotaServiceTime) / float64(hot)
	arrivals := int(perStep)
	if w.rng.Float64() < perStep-float64(arrivals) {
		arrivals++
	}
	for range arrivals {
		if admit(inst) {
			inst.endTimes = append(inst.endTimes, w.now.Add(time.Duration(w.rng.ExpFloat64()*float64(_quotaServiceTime))))
		}
	}
}

func (w *quotaWorld) endRequests(inst *quotaInstance) {
	sort.Slice(inst.endTimes, func(i, j int) bool { return inst.endTimes[i].Before(inst.endTimes[j]) })
	for len(inst.endTimes) > 0 && !inst.endTimes[0].After(w.now) {
		inst.endTimes = inst.endTimes[1:]
		if inst.Holder != nil {
			inst.Release()
		}
	}
}

// storeStep makes the store calls of a holder. Reads and swaps take
// _quotaStoreDelay.
func (w *quotaWorld) storeStep(inst *quotaInstance) {
	if inst.pending && w.now.Before(inst.due) {
		return
	}
	if inst.pending {
		inst.pending = false
		w.finishStep(inst)
	}
	step := inst.Next(w.now)
	switch step.Kind {
	case quota.Idle:
		return
	case quota.Probe:
		w.calls += len(step.Sessions) // all sessions are live
	case quota.Swap:
		w.writes++
		w.calls++
		inst.pending, inst.step, inst.due = true, step, w.now.Add(_quotaStoreDelay)
	case quota.Read:
		w.calls++
		inst.pending, inst.step, inst.due = true, step, w.now.Add(_quotaStoreDelay)
	}
}

func (w *quotaWorld) finishStep(inst *quotaInstance) {
	if inst.step.Kind == quota.Read {
		inst.ReadDone(w.record, w.version, true)
		return
	}
	if inst.step.Expected != w.version {
		inst.SwapDone(0, false)
		return
	}
	w.version++
	w.record = inst.step.Record
	inst.SwapDone(w.version, true)
}
