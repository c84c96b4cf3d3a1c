package movefeed

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/placement"
	"github.com/wigeonlock/wigeonlock/seat"
)

const _waitTimeout = 10 * time.Second

// moves is a list of known moves.
type moves struct {
	mu    sync.Mutex
	known []placement.Move
	loads []placement.WorkerLoad
	seats []seat.Succession
}

func (m *moves) Successions(limit int) []seat.Succession {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]seat.Succession(nil), m.seats[:min(limit, len(m.seats))]...)
}

func (m *moves) AdoptSuccessions(list []seat.Succession) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seats = append(m.seats, list...)
}

func (m *moves) Moves(limit int) []placement.Move {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]placement.Move(nil), m.known[:min(limit, len(m.known))]...)
}

func (m *moves) AdoptMoves(list []placement.Move) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known = append(m.known, list...)
}

func (m *moves) AdoptLoads(list []placement.WorkerLoad) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loads = append(m.loads, list...)
}

func (m *moves) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.known)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}

func start(t *testing.T, listen string, known *moves, neighbours ...string) *Feed {
	t.Helper()
	f := New()
	f.Listen, f.Moves, f.Log = listen, known, zap.NewNop()
	f.Neighbours = func() []string { return neighbours }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	return f
}

func moveOf(object uint64) placement.Move {
	return placement.Move{Service: "s", Object: object, Worker: "i-1", Count: 1}
}

func TestNeighboursHearOfMoves(t *testing.T) {
	one, two := freeAddress(t), freeAddress(t)
	known := &moves{}
	start(t, two, known, one)
	f := start(t, one, &moves{}, two, "not an address")
	assert.Eventually(t, func() bool {
		f.Tell(moveOf(1 << 60))
		return known.count() > 0
	}, _waitTimeout, 10*time.Millisecond)
	assert.Equal(t, moveOf(1<<60), known.Moves(1)[0])
}

// TestStartAsksForMoves has an instance start after its neighbour moved more objects than
// fit into one datagram.
func TestStartAsksForMoves(t *testing.T) {
	one, two := freeAddress(t), freeAddress(t)
	old := &moves{}
	for n := range 3*_maxMoves + 1 {
		old.known = append(old.known, moveOf(uint64(n)))
	}
	start(t, one, old)
	fresh := &moves{}
	start(t, two, fresh, one)
	assert.Eventually(t, func() bool { return fresh.count() >= len(old.known) }, _waitTimeout, 10*time.Millisecond)
}

// TestMalformedDatagrams has anything else than moves arrive: the feed goes on.
func TestMalformedDatagrams(t *testing.T) {
	address := freeAddress(t)
	known := &moves{}
	start(t, address, known)
	conn, err := net.Dial("udp4", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	assert.Eventually(t, func() bool {
		for _, text := range []string{
			"", "{", "[]", "null", `{"moves":7}`, `{"moves":[{"object":-1}]}`, strings.Repeat("x", 8<<10),
			`{"moves":[` + strings.Repeat(`{"count":1},`, _maxMoves) + `{"count":1}]}`,
			`{"moves":[{"service":"s","object":"3","worker":"i","count":1}]}`,
		} {
			_, _ = conn.Write([]byte(text))
		}
		return known.count() > 0
	}, _waitTimeout, 10*time.Millisecond)
	assert.Equal(t, uint64(3), known.Moves(1)[0].Object)
}

// TestServesWithoutSocket has another process use the port: the instance goes on without
// the moves of others.
func TestServesWithoutSocket(t *testing.T) {
	address := freeAddress(t)
	other, err := net.ListenPacket("udp4", address)
	require.NoError(t, err)
	defer func() { _ = other.Close() }()
	f := New()
	f.Listen, f.Log = address, zap.NewNop()
	assert.NoError(t, f.Run(t.Context()))
	for range 2 * _queue {
		f.Tell(moveOf(1))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"ask":true}`))
	f.Add([]byte(`{"moves":[{"service":"s","object":"3","worker":"i","count":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, ok := decode(data)
		if ok && len(m.Moves) > _maxMoves {
			t.Fatal("too many moves")
		}
	})
}

func TestNeighboursHearOfLoads(t *testing.T) {
	one, two := freeAddress(t), freeAddress(t)
	known := &moves{}
	start(t, two, known, one)
	f := start(t, one, &moves{}, two, "not an address")
	want := placement.WorkerLoad{Worker: "i-1", Load: 9, Pace: 2.5}
	assert.Eventually(t, func() bool {
		f.TellLoad(placement.WorkerLoad{Worker: "i-1", Load: 3})
		f.TellLoad(want)
		known.mu.Lock()
		defer known.mu.Unlock()
		return len(known.loads) > 0 && known.loads[len(known.loads)-1] == want
	}, _waitTimeout, 10*time.Millisecond)
}
