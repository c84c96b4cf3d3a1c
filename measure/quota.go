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
	_quotaHolders = 10
	_quotaCap     = 40
	_quotaTime    = 60 * time.Second
	_quotaStep    = 5 * time.Millisecond
	_quotaDelay   = 35 * time.Millisecond
	_quotaWork    = 20 * time.Millisecond
	_quotaSettle  = 35 * time.Second
	_quotaTurn    = 10 * time.Second
)

// QuotaResult compares ways to divide a cap among entry instances.
type QuotaResult struct {
	Runs []QuotaRun `json:"runs"`
}

// QuotaRun is one way under demand that moves between instances.
type QuotaRun struct {
	// Way is escrow, equalSplit, or oneCounter: one swap per request.
	Way string `json:"way"`
	// Hot is the number of instances that the demand comes to at a time.
	Hot int `json:"hot"`
	Cap int `json:"cap"`
	// UsedShare is the mean share of the cap in use, with demand for all of it.
	UsedShare float64 `json:"usedShare"`
	// Breaches are the steps at which more than the cap was in use.
	Breaches int `json:"capBreaches"`
	// WritesPerSecond and CallsPerSecond are those of the store.
	WritesPerSecond float64 `json:"storeWritesPerSecond"`
	CallsPerSecond  float64 `json:"storeCallsPerSecond"`
}

// Quota measures, in virtual time, how much of a cap is of use when the demand
// comes to few of ten instances and moves every ten seconds.
func Quota(_ context.Context, o Options) (QuotaResult, error) {
	var r QuotaResult
	for _, hot := range []int{1, 2, 5, 10} {
		o.progress(fmt.Sprintf("%d hot instances", hot))
		r.Runs = append(r.Runs, quotaEscrow(o.Seed, hot), quotaEqual(o.Seed, hot), quotaCounter(hot))
	}
	return r, nil
}

// quotaNode is a holder with its requests and the store call under way.
type quotaNode struct {
	*quota.Holder
	ends []time.Time
	step quota.Step
	due  time.Time
	busy bool
}

// quotaWorld is the store and the demand.
type quotaWorld struct {
	now     time.Time
	record  quota.Record
	version uint64
	nodes   []*quotaNode
	rng     *rand.Rand
	calls   int
	writes  int
}

func quotaEscrow(seed uint64, hot int) QuotaRun {
	w := &quotaWorld{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 2))}
	for i := range _quotaHolders {
		s := &quota.Session{ID: fmt.Sprint(i)}
		s.Renewed(w.now, 2*_quotaTime)
		h := &quota.Holder{
			Name: fmt.Sprint(i), Session: s, ReclaimDelay: _quotaSettle, Base: quota.Base(_quotaCap, _quotaHolders, i),
		}
		h.Configure(1, _quotaCap)
		w.nodes = append(w.nodes, &quotaNode{Holder: h})
	}
	return w.run("escrow", hot, func(n *quotaNode) bool { return n.Admit(w.now, true) == quota.Admitted }, w.storeStep)
}

func quotaEqual(seed uint64, hot int) QuotaRun {
	w := &quotaWorld{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 2))}
	for range _quotaHolders {
		w.nodes = append(w.nodes, &quotaNode{})
	}
	return w.run("equalSplit", hot,
		func(n *quotaNode) bool { return len(n.ends) < _quotaCap/_quotaHolders }, func(*quotaNode) {})
}

// quotaCounter is one shared counter: each request costs two swaps, to take
// and to give back, one at a time since they are of one key.
func quotaCounter(hot int) QuotaRun {
	perSecond := float64(time.Second) / float64(_quotaDelay)
	used := min(perSecond/2*_quotaWork.Seconds()/_quotaCap, 1)
	return QuotaRun{
		Way: "oneCounter", Hot: hot, Cap: _quotaCap, UsedShare: used, WritesPerSecond: perSecond, CallsPerSecond: perSecond,
	}
}

func (w *quotaWorld) run(way string, hot int, admit func(*quotaNode) bool, store func(*quotaNode)) QuotaRun {
	r := QuotaRun{Way: way, Hot: hot, Cap: _quotaCap}
	steps, used := 0, 0
	for end := w.now.Add(_quotaTime); w.now.Before(end); w.now = w.now.Add(_quotaStep) {
		turn := int(w.now.Unix()/int64(_quotaTurn.Seconds())) * hot
		for i, n := range w.nodes {
			w.endRequests(n)
			store(n)
			if (i-turn%_quotaHolders+_quotaHolders)%_quotaHolders < hot {
				w.demand(n, hot, admit)
			}
		}
		inUse := 0
		for _, n := range w.nodes {
			inUse += len(n.ends)
		}
		if inUse > _quotaCap {
			r.Breaches++
		}
		used += inUse
		steps++
	}
	r.UsedShare = float64(used) / float64(steps) / _quotaCap
	r.WritesPerSecond = float64(w.writes) / _quotaTime.Seconds()
	r.CallsPerSecond = float64(w.calls) / _quotaTime.Seconds()
	return r
}

// demand offers a hot instance its part of twice what the cap takes.
func (w *quotaWorld) demand(n *quotaNode, hot int, admit func(*quotaNode) bool) {
	perStep := 2 * float64(_quotaCap) * float64(_quotaStep) / float64(_quotaWork) / float64(hot)
	arrivals := int(perStep)
	if w.rng.Float64() < perStep-float64(arrivals) {
		arrivals++
	}
	for range arrivals {
		if admit(n) {
			n.ends = append(n.ends, w.now.Add(time.Duration(w.rng.ExpFloat64()*float64(_quotaWork))))
		}
	}
}

func (w *quotaWorld) endRequests(n *quotaNode) {
	sort.Slice(n.ends, func(i, j int) bool { return n.ends[i].Before(n.ends[j]) })
	for len(n.ends) > 0 && !n.ends[0].After(w.now) {
		n.ends = n.ends[1:]
		if n.Holder != nil {
			n.Release()
		}
	}
}

// storeStep makes the store calls of a holder, each of which takes _quotaDelay.
func (w *quotaWorld) storeStep(n *quotaNode) {
	if n.busy && w.now.Before(n.due) {
		return
	}
	if n.busy {
		n.busy = false
		w.answer(n)
	}
	step := n.Next(w.now)
	switch step.Kind {
	case quota.Idle:
		return
	case quota.Probe:
		w.calls += len(step.Sessions) // all sessions live
	case quota.Swap:
		w.writes++
		w.calls++
		n.busy, n.step, n.due = true, step, w.now.Add(_quotaDelay)
	case quota.Read:
		w.calls++
		n.busy, n.step, n.due = true, step, w.now.Add(_quotaDelay)
	}
}

func (w *quotaWorld) answer(n *quotaNode) {
	if n.step.Kind == quota.Read {
		n.ReadDone(w.record, w.version, true)
		return
	}
	if n.step.Expected != w.version {
		n.SwapDone(0, false)
		return
	}
	w.version++
	w.record = n.step.Record
	n.SwapDone(w.version, true)
}
