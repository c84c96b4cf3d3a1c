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

// gate is a writer that takes nothing until it is opened, like a full pipe.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(p)
}

func (g *gate) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

// TestFullPipeBlocksNobody writes far more than the queue holds to a pipe that
// nobody reads. The test ends by itself only if no line waits for the pipe.
func TestFullPipeBlocksNobody(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	log, stop := logs.New(g, zapcore.InfoLevel)
	defer stop()
	for n := range 20_000 {
		log.Warn("decision", zap.Int("n", n), zap.String("text", strings.Repeat("x", 100)))
	}
	close(g.open)
	require.Eventually(t, func() bool { return strings.Contains(g.text(), "lines were dropped") }, 10*time.Second, time.Millisecond)
	assert.Contains(t, g.text(), `"n":0`)
	assert.Less(t, len(g.text()), 1<<20)
}

func TestBudget(t *testing.T) {
	b := &logs.Budget{PerSecond: 3}
	now := time.Unix(100, 0)
	taken := 0
	for range 10 {
		if ok, _ := b.Take(now); ok {
			taken++
		}
	}
	assert.Equal(t, 3, taken)
	ok, dropped := b.Take(now.Add(time.Second))
	assert.True(t, ok)
	assert.Equal(t, 7, dropped)
	_, dropped = b.Take(now.Add(time.Second))
	assert.Zero(t, dropped, "told once")
}

func TestWarningsAreBeyondTheBudget(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	log, stop := logs.New(g, zapcore.InfoLevel)
	with := log.With(zap.String("instance", "e"))
	for range 2000 {
		with.Info("much")
	}
	with.Warn("matters")
	stop()
	assert.Contains(t, g.text(), "matters")
	assert.Less(t, strings.Count(g.text(), "much"), 1500)
}

// pieces is a writer that notes what it gets at once.
type pieces struct {
	mu   sync.Mutex
	list []string
	hold chan struct{}
}

func (p *pieces) Write(b []byte) (int, error) {
	<-p.hold
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, string(b))
	return len(b), nil
}

// TestLinesAreNotTorn has many lines wait: each piece that is written must be
// whole lines that a pipe takes at once.
func TestLinesAreNotTorn(t *testing.T) {
	p := &pieces{hold: make(chan struct{})}
	log, stop := logs.New(p, zapcore.InfoLevel)
	for n := range 200 {
		log.Info("decision", zap.Int("n", n), zap.String("text", strings.Repeat("x", 200)))
	}
	close(p.hold)
	stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	require.NotEmpty(t, p.list)
	for _, piece := range p.list {
		assert.LessOrEqual(t, len(piece), 4096)
		assert.True(t, strings.HasPrefix(piece, "{") && strings.HasSuffix(piece, "}\n"))
	}
}
