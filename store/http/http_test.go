package http_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/standin"
	"github.com/wigeonlock/wigeonlock/store"
	storehttp "github.com/wigeonlock/wigeonlock/store/http"
	"github.com/wigeonlock/wigeonlock/store/suite"
)

func newPlatform(t *testing.T) *standin.Platform {
	p := &standin.Platform{}
	require.NoError(t, p.Listen("127.0.0.1:0"))
	t.Cleanup(func() { _ = p.Close() })
	return p
}

func TestStore(t *testing.T) {
	suite.Run(t, func(t *testing.T) store.Store { return storehttp.New(newPlatform(t).URL()) })
}

func TestLostReplyIsUnknown(t *testing.T) {
	p := newPlatform(t)
	s := storehttp.New(p.URL())
	ctx := context.Background()
	p.SetBehaviour(standin.Behaviour{Mode: standin.LoseReplies})
	_, err := s.Swap(ctx, "k", 0, []byte("x"), "")
	require.ErrorIs(t, err, store.ErrUnknown)
	p.SetBehaviour(standin.Behaviour{Mode: standin.OK})
	got, err := s.Get(ctx, "k")
	require.NoError(t, err)
	assert.Equal(t, "x", string(got.Value))
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	p := newPlatform(t)
	s := storehttp.New(p.URL())
	require.NoError(t, p.Close())
	_, err := s.Swap(context.Background(), "k", 0, []byte("x"), "")
	require.ErrorIs(t, err, store.ErrUnavailable)
}

// While the store is down the circuit breaker fails most calls without calling it.
func TestCircuit(t *testing.T) {
	p := newPlatform(t)
	s := storehttp.New(p.URL())
	p.SetBehaviour(standin.Behaviour{Mode: standin.Down})
	const attempts = 200
	for range attempts {
		_, err := s.Get(context.Background(), "k")
		require.ErrorIs(t, err, store.ErrUnavailable)
	}
	calls, _ := p.Calls()
	assert.Less(t, calls, int64(attempts/2))

	p.SetBehaviour(standin.Behaviour{Mode: standin.OK})
	require.Eventually(t, func() bool {
		_, err := s.Swap(context.Background(), "k", 0, []byte("x"), "")
		return err == nil
	}, 10*time.Second, 20*time.Millisecond)
}

func TestSlowCallTimesOut(t *testing.T) {
	p := newPlatform(t)
	s := storehttp.New(p.URL())
	s.Timeout = 50 * time.Millisecond
	p.SetBehaviour(standin.Behaviour{Mode: standin.Slow, DelayMs: 60_000})
	_, err := s.Get(context.Background(), "k")
	require.ErrorIs(t, err, store.ErrUnavailable)
}
