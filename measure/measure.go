// Package measure runs benchmarks of parts of the system on one machine.
//
// Each measurement returns a plain struct that is printed as text or JSON.
// Latencies are comparable only within one run. The package checks no limits.
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
	_maxLatencyMicros  = int64(60 * time.Second / time.Microsecond)
	_significantDigits = 3
	_p50               = 50
	_p99               = 99
	// _kilo converts between adjacent units of time.
	_kilo = 1000.0
)

// Options are the options common to all measurements.
type Options struct {
	// Seed seeds the random generators. Measurements in virtual time return the
	// same figures for the same seed.
	Seed uint64
	// Progress, if set, is called at the start of each phase.
	Progress func(phase string)
}

func (o Options) progress(phase string) {
	if o.Progress != nil {
		o.Progress(phase)
	}
}

// latencies is a histogram of latencies that is safe for concurrent use.
type latencies struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{hist: hdrhistogram.New(1, _maxLatencyMicros, _significantDigits)}
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(max(d.Microseconds(), 1))
}

// percentileMs returns a percentile in milliseconds; p is from 0 to 100.
func (l *latencies) percentileMs(p float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.hist.ValueAtPercentile(p)) / _kilo
}

func (l *latencies) count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hist.TotalCount()
}

// usage is the processor time and the number of allocations of this process.
type usage struct {
	cpu     time.Duration
	mallocs uint64
}

func readUsage() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r) // never fails for the current process
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	cpu := time.Duration(r.Utime.Nano() + r.Stime.Nano())
	return usage{cpu: cpu, mallocs: m.Mallocs}
}

func (u usage) since(before usage) usage {
	return usage{cpu: u.cpu - before.cpu, mallocs: u.mallocs - before.mallocs}
}

// runLoad calls do from several goroutines until length has passed. The rate is
// in calls per second of all callers together; zero means without pauses. An error
// of do stops the goroutine that called it; runLoad returns the last of these errors.
func runLoad(ctx context.Context, length time.Duration, callers int, rate float64, do func(caller int) error) error {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var (
		group   conc.WaitGroup
		mu      sync.Mutex
		lastErr error
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
					lastErr = err
					mu.Unlock()
					return
				}
			}
		})
	}
	group.Wait()
	return lastErr
}
