// Package measure measures parts of the system on one machine.
//
// Each measurement returns a plain struct that is printed as text or JSON.
// Latencies are meant as ratios within one run; nothing here judges them.
//
// # Usage
//
//	result, err := measure.Forward(ctx, measure.Options{Seed: 1})
package measure

import (
	"context"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
)

const (
	_highestMicros = int64(60 * time.Second / time.Microsecond)
	_digits        = 3
	_half          = 50
	_ninetyNine    = 99
	_perMs         = 1000.0
)

// Options are common to all measurements.
type Options struct {
	// Seed makes a measurement repeatable, where it is one of decisions.
	Seed uint64
	// Progress, if set, is called with each phase.
	Progress func(phase string)
}

func (o Options) progress(phase string) {
	if o.Progress != nil {
		o.Progress(phase)
	}
}

// latencies collects times from many goroutines.
type latencies struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{hist: hdrhistogram.New(1, _highestMicros, _digits)}
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(max(d.Microseconds(), 1))
}

// quantile returns a percentile in milliseconds.
func (l *latencies) quantile(p float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.hist.ValueAtPercentile(p)) / _perMs
}

func (l *latencies) count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hist.TotalCount()
}

// usage is the processor time and the allocations of this process.
type usage struct {
	cpu     time.Duration
	mallocs uint64
}

func usageNow() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r) // never fails for the own process
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	cpu := time.Duration(r.Utime.Nano() + r.Stime.Nano())
	return usage{cpu: cpu, mallocs: m.Mallocs}
}

func (u usage) since(before usage) usage {
	return usage{cpu: u.cpu - before.cpu, mallocs: u.mallocs - before.mallocs}
}

// paced calls do at a rate from several goroutines until the time is over. A
// rate of zero means as fast as the answers come.
func paced(ctx context.Context, length time.Duration, callers int, rate float64, do func(caller int) error) error {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var (
		group conc.WaitGroup
		mu    sync.Mutex
		first error
	)
	interval := time.Duration(0)
	if rate > 0 {
		interval = time.Duration(float64(callers) / rate * float64(time.Second))
	}
	started := time.Now()
	for i := range callers {
		group.Go(func() {
			next := started.Add(interval * time.Duration(i) / time.Duration(callers))
			for ctx.Err() == nil {
				if interval > 0 {
					time.Sleep(time.Until(next))
					next = next.Add(interval)
				}
				if err := do(i); err != nil {
					mu.Lock()
					first = err
					mu.Unlock()
					return
				}
			}
		})
	}
	group.Wait()
	return first
}
