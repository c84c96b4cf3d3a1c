// Package logs writes one JSON line for each decision, without ever making a
// decision wait.
//
// Lines go through a bounded queue to a writer of their own. When the queue is
// full, or more lines come in a second than the budget allows, lines are
// dropped and counted; a line tells how many as soon as there is room.
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
	// _queueBytes bounds the lines that wait for the writer.
	_queueBytes = 256 << 10
	// _linesPerSecond is the budget of lines below warnings: a line costs some
	// ten microseconds, so that this is about half a percent of a core.
	_linesPerSecond = 400
	// _pipeBytes is what a pipe takes in one piece: a longer write may be mixed
	// with those of others.
	_pipeBytes = 4096
	// _stopTime bounds the wait for the writer at the end.
	_stopTime = 200 * time.Millisecond
)

var (
	_queueFull  = metrics.NewCounter(`wigeonlock_log_lines_dropped_total{reason="queueFull"}`)
	_overBudget = metrics.NewCounter(`wigeonlock_log_lines_dropped_total{reason="overBudget"}`)
)

// New returns a logger that writes to w, and a function that writes what
// waits and ends it.
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

// Budget bounds lines to PerSecond in each second. It is not safe for
// concurrent use.
type Budget struct {
	PerSecond int

	second  int64
	count   int
	dropped int
}

// Take permits a line. When a second with dropped lines is over, it returns
// their number once.
func (b *Budget) Take(now time.Time) (ok bool, dropped int) {
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

// budgetCore applies a budget to lines below warnings.
type budgetCore struct {
	zapcore.Core
	mu     sync.Mutex
	budget *Budget
	parent *budgetCore
}

// With returns a core with more fields and the same budget.
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

// Check adds the core if the line is to be written.
func (c *budgetCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return checked
	}
	if e.Level < zapcore.WarnLevel {
		root := c.root()
		root.mu.Lock()
		ok, dropped := root.budget.Take(e.Time)
		root.mu.Unlock()
		if dropped > 0 {
			note := zapcore.Entry{Level: zapcore.WarnLevel, Time: e.Time, Message: "lines were dropped"}
			_ = c.Write(note, []zapcore.Field{zap.Int("lines", dropped), zap.String("reason", "overBudget")})
		}
		if !ok {
			_overBudget.Inc()
			return checked
		}
	}
	return checked.AddCore(e, c)
}

// queue is a bounded buffer of lines before a writer that may block.
type queue struct {
	w    io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	log     *zap.Logger
	waiting []byte
	dropped int
	ended   bool
}

// Write queues a line or drops it; it never blocks.
func (q *queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	if len(q.waiting)+len(line) > _queueBytes {
		q.dropped++
		q.mu.Unlock()
		_queueFull.Inc()
		return len(line), nil
	}
	q.waiting = append(q.waiting, line...)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync does nothing: lines are written as soon as the writer takes them.
func (q *queue) Sync() error { return nil }

func (q *queue) run() {
	defer close(q.done)
	for range q.wake {
		for q.flush() {
		}
		q.mu.Lock()
		ended := q.ended
		q.mu.Unlock()
		if ended {
			return
		}
	}
}

// flush writes what waits and reports whether there was anything.
func (q *queue) flush() bool {
	q.mu.Lock()
	lines, dropped := q.waiting, q.dropped
	q.waiting, q.dropped = nil, 0
	log := q.log
	q.mu.Unlock()
	if len(lines) == 0 {
		return false
	}
	for len(lines) > 0 {
		n := pieceOf(lines)
		_, _ = q.w.Write(lines[:n])
		lines = lines[n:]
	}
	if dropped > 0 {
		log.Warn("lines were dropped", zap.Int("lines", dropped), zap.String("reason", "queueFull"))
	}
	return true
}

// pieceOf returns the length of the whole lines that a pipe takes at once, or of
// the first line if that is longer.
func pieceOf(lines []byte) int {
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

// stop writes what waits, if the writer takes it soon.
func (q *queue) stop() {
	q.mu.Lock()
	q.ended = true
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	select {
	case <-q.done:
	case <-time.After(_stopTime):
	}
}
