package permitfeed

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/permit"
)

const (
	_waitTimeout = 10 * time.Second
	// _answerTimeout is how long a request waits for the answer of an issuer.
	_answerTimeout = 250 * time.Millisecond
	_pollInterval  = 10 * time.Millisecond
)

func freeAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}

// start starts the feed of an instance that knows the others by name and address.
func start(t *testing.T, name, listen string, others map[string]string) *permit.Book {
	t.Helper()
	f := New()
	book := &permit.Book{
		Self: name, RegionOf: func(string) string { return "r" }, Send: f.Send,
		Members: func() []permit.Instance {
			list := []permit.Instance{{Name: name, Zone: name, Region: "r", Address: listen}}
			for other, address := range others {
				list = append(list, permit.Instance{Name: other, Zone: other, Region: "r", Address: address})
			}
			return list
		},
	}
	f.Listen, f.Book, f.Log = listen, book, zap.NewNop()
	f.Neighbours = func() []string {
		var addresses []string
		for _, address := range others {
			addresses = append(addresses, address)
		}
		return addresses
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	return book
}

// TestPermitComesFromAnotherInstance has one instance ask another, in the worker's zone,
// which learns of the limit by that.
func TestPermitComesFromAnotherInstance(t *testing.T) {
	one, two := freeAddress(t), freeAddress(t)
	issuer := start(t, "b", two, map[string]string{"a": one})
	asker := start(t, "a", one, map[string]string{"b": two, "c": "not an address"})
	w := permit.Worker{ID: "i-1", Born: 1, Zone: "b"}
	asker.Named(time.Now(), w, 1000)
	assert.Eventually(t, func() bool {
		verdict, pending := asker.Take(time.Now(), w, true)
		if verdict == permit.Pending {
			// An answer may be lost, as the issuer's socket may not be open yet.
			select {
			case <-pending:
			case <-time.After(_answerTimeout):
			}
			verdict, _ = asker.Take(time.Now(), w, false)
		}
		return verdict == permit.Granted
	}, _waitTimeout, _pollInterval)
	assert.Equal(t, map[string]float64{"i-1": 1000}, issuer.Limits())
}

// TestStartAsksForLimits has an instance start after its neighbour heard of a limit.
func TestStartAsksForLimits(t *testing.T) {
	one, two := freeAddress(t), freeAddress(t)
	old := start(t, "a", one, nil)
	old.Named(time.Now(), permit.Worker{ID: "i-1", Born: 1, Zone: "a"}, 3)
	fresh := start(t, "b", two, map[string]string{"a": one})
	assert.Eventually(t, func() bool { return len(fresh.Limits()) == 1 }, _waitTimeout, _pollInterval)
}

// TestMalformedDatagrams has anything else than messages arrive: the feed goes on.
func TestMalformedDatagrams(t *testing.T) {
	address := freeAddress(t)
	book := start(t, "a", address, nil)
	conn, err := net.Dial("udp4", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	assert.Eventually(t, func() bool {
		for _, text := range []string{
			"", "{", "[]", "null", `{"from":7}`, `{"from":"e","ask":{"want":-1}}`, `{"from":"e","limits":[{"perSecond":-1}]}`,
			`{"from":"e","reply":{"worker":"i","granted":-5}}`, strings.Repeat("x", 8<<10),
			`{"from":"e","limits":[{"worker":"i-1","born":1,"named":true,"perSecond":3}]}`,
		} {
			_, _ = conn.Write([]byte(text))
		}
		return len(book.Limits()) > 0
	}, _waitTimeout, _pollInterval)
	assert.Equal(t, map[string]float64{"i-1": 3}, book.Limits())
}
