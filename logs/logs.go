// Package logs is an asynchronous JSON logger: writing a line never blocks the
// caller.
//
// Lines pass through a queue of limited size to a goroutine that writes them.
// When the queue is full, or more lines arrive in a second than the budget
// allows, lines are dropped and counted, and a later line reports how many.
// Warnings and errors do not count against the budget.
//
// # Usage
//
//	log, stop := logs.New(os.Stdout, zapcore.InfoLevel)
//	defer stop()
package logs

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// _queueBytes limits the size of the lines that wait to be written.
	_queueBytes = 256 << 10
	// _linesPerSecond is the budget of lines below the warning level. A line
	// costs about ten microseconds, so this is about half a percent of a core.
	_linesPerSecond = 400
	// _pipeBytes is the largest write that a pipe takes atomically; a longer one
	// may be interleaved with those of other writers.
	_pipeBytes = 4096
	// _stopTimeout limits how long stopping waits for the queue to be written.
	_stopTimeout = 200 * time.Millisecond
)

var (
	_queueFull  = metrics.NewCounter(`wigeonlock_log_lines_dropped_total{reason="queueFull"}`)
	_overBudget = metrics.NewCounter(`wigeonlock_log_lines_dropped_total{reason="overBudget"}`)
)

// New returns a logger that writes lines of at least the given level to w, and a
// function that flushes the queue and stops the logger. The function gives up
// after 200 ms if w blocks.
func New(w io.Writer, level zapcore.Level) (*zap.Logger, func()) {
	q := &queue{w: w, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	config.TimeKey = "time"
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), q, level)
	log := zap.New(&budgetCore{Core: core, budget: &Budget{PerSecond: _linesPerSecond}})
	q.mu.Lock()
	q.log = log
	q.mu.Unlock()
	return log, q.stop
}

// Budget limits the lines of each second to PerSecond. It is not safe for
// concurrent use.
type Budget struct {
	PerSecond int

	second  int64
	count   int
	dropped int
}

// Allow reports whether a line may be written at now. The first call after a
// second with dropped lines also returns their number.
func (b *Budget) Allow(now time.Time) (ok bool, dropped int) {
	if s := now.Unix(); s != b.second {
		dropped, b.dropped = b.dropped, 0
		b.second, b.count = s, 0
	}
	if b.count >= b.PerSecond {
		b.dropped++
		return false, dropped
	}
	b.count++
	return true, dropped
}

// budgetCore applies a budget to lines below the warning level.
type budgetCore struct {
	zapcore.Core
	mu     sync.Mutex
	budget *Budget
	parent *budgetCore
}

// With returns a core that adds fields and shares the budget.
func (c *budgetCore) With(fields []zapcore.Field) zapcore.Core {
	root := c.root()
	return &budgetCore{Core: c.Core.With(fields), parent: root}
}

func (c *budgetCore) root() *budgetCore {
	if c.parent != nil {
		return c.parent
	}
	return c
}

// Check adds the core to checked if the level is enabled and the budget allows the
// line.
func (c *budgetCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return checked
	}
	if e.Level < zapcore.WarnLevel {
		root := c.root()
		root.mu.Lock()
		ok, dropped := root.budget.Allow(e.Time)
		root.mu.Unlock()
		if dropped > 0 {
			warning := zapcore.Entry{Level: zapcore.WarnLevel, Time: e.Time, Message: "log lines dropped"}
			_ = c.Write(warning, []zapcore.Field{zap.Int("lines", dropped), zap.String("reason", "overBudget")})
		}
		if !ok {
			_overBudget.Inc()
			return checked
		}
	}
	return checked.AddCore(e, c)
}

// queue buffers lines, up to a limit, for a writer that may block.
type queue struct {
	w    io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	log     *zap.Logger
	pending []byte
	dropped int
	stopped bool
}

// Write queues a line, or drops it if the queue is full. It never blocks on the
// writer and never fails.
func (q *queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	if len(q.pending)+len(line) > _queueBytes {
		q.dropped++
		q.mu.Unlock()
		_queueFull.Inc()
		return len(line), nil
	}
	q.pending = append(q.pending, line...)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync does nothing: queued lines are written as soon as the writer accepts them.
func (q *queue) Sync() error { return nil }

func (q *queue) run() {
	defer close(q.done)
	for range q.wake {
		for q.flush() {
		}
		q.mu.Lock()
		stopped := q.stopped
		q.mu.Unlock()
		if stopped {
			return
		}
	}
}

// flush writes the pending lines and reports whether there were any.
func (q *queue) flush() bool {
	q.mu.Lock()
	lines, dropped := q.pending, q.dropped
	q.pending, q.dropped = nil, 0
	log := q.log
	q.mu.Unlock()
	if len(lines) == 0 {
		return false
	}
	for len(lines) > 0 {
		n := chunkLen(lines)
		_, _ = q.w.Write(lines[:n])
		lines = lines[n:]
	}
	if dropped > 0 {
		log.Warn("log lines dropped", zap.Int("lines", dropped), zap.String("reason", "queueFull"))
	}
	return true
}

// chunkLen returns the length of the complete lines that fit into one atomic write
// to a pipe, or of the first line if that is longer.
func chunkLen(lines []byte) int {
	if len(lines) <= _pipeBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:_pipeBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

// stop flushes the pending lines; it gives up after _stopTimeout.
func (q *queue) stop() {
	q.mu.Lock()
	q.stopped = true
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	select {
	case <-q.done:
	case <-time.After(_stopTimeout):
	}
}
