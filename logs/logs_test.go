package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/wigeonlock/wigeonlock/logs"
)

// blockingWriter blocks writes until open is closed, like a full pipe.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func (w *blockingWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.String()
}

// TestFullPipeDoesNotBlock writes far more than the queue holds to a pipe that
// nobody reads. It ends only if no call to the logger waits for the pipe.
func TestFullPipeDoesNotBlock(t *testing.T) {
	w := &blockingWriter{open: make(chan struct{})}
	log, stop := logs.New(w, zapcore.InfoLevel)
	defer stop()
	for n := range 20_000 {
		log.Warn("decision", zap.Int("n", n), zap.String("text", strings.Repeat("x", 100)))
	}
	close(w.open)
	require.Eventually(t, func() bool { return strings.Contains(w.text(), "log lines dropped") }, 10*time.Second, time.Millisecond)
	assert.Contains(t, w.text(), `"n":0`)
	assert.Less(t, len(w.text()), 1<<20)
}

func TestBudget(t *testing.T) {
	b := &logs.Budget{PerSecond: 3}
	now := time.Unix(100, 0)
	allowed := 0
	for range 10 {
		if ok, _ := b.Allow(now); ok {
			allowed++
		}
	}
	assert.Equal(t, 3, allowed)
	ok, dropped := b.Allow(now.Add(time.Second))
	assert.True(t, ok)
	assert.Equal(t, 7, dropped)
	_, dropped = b.Allow(now.Add(time.Second))
	assert.Zero(t, dropped, "reported once")
}

func TestWarningsIgnoreBudget(t *testing.T) {
	w := &blockingWriter{open: make(chan struct{})}
	close(w.open)
	log, stop := logs.New(w, zapcore.InfoLevel)
	with := log.With(zap.String("instance", "e"))
	for range 2000 {
		with.Info("much")
	}
	with.Warn("matters")
	stop()
	assert.Contains(t, w.text(), "matters")
	assert.Less(t, strings.Count(w.text(), "much"), 1500)
}

// chunkWriter records the chunks that are written to it. Writes block until hold
// is closed.
type chunkWriter struct {
	mu     sync.Mutex
	chunks []string
	hold   chan struct{}
}

func (w *chunkWriter) Write(b []byte) (int, error) {
	<-w.hold
	w.mu.Lock()
	defer w.mu.Unlock()
	w.chunks = append(w.chunks, string(b))
	return len(b), nil
}

// TestChunksHoldCompleteLines queues many lines and checks that each write has only
// complete lines and is small enough to be atomic on a pipe.
func TestChunksHoldCompleteLines(t *testing.T) {
	w := &chunkWriter{hold: make(chan struct{})}
	log, stop := logs.New(w, zapcore.InfoLevel)
	for n := range 200 {
		log.Info("decision", zap.Int("n", n), zap.String("text", strings.Repeat("x", 200)))
	}
	close(w.hold)
	stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	require.NotEmpty(t, w.chunks)
	for _, chunk := range w.chunks {
		assert.LessOrEqual(t, len(chunk), 4096)
		assert.True(t, strings.HasPrefix(chunk, "{") && strings.HasSuffix(chunk, "}\n"))
	}
}
