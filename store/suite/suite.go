// Package suite tests that an implementation of store.Store fulfils the contract of
// the interface.
//
// # Usage
//
//	func TestStore(t *testing.T) {
//		suite.Run(t, func(t *testing.T) store.Store { return memory.New(time.Now) })
//	}
package suite

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/store"
)

const _waitTimeout = 5 * time.Second

// Run tests the implementation that newStore returns, with a new store for each
// test.
func Run(t *testing.T, newStore func(t *testing.T) store.Store) {
	tests := map[string]func(*testing.T, store.Store){
		"SwapExpectsVersion":    swapExpectsVersion,
		"VersionsAreNotReused":  versionsAreNotReused,
		"WatchSeesChange":       watchSeesChange,
		"WatchEndsAfterWait":    watchEndsAfterWait,
		"RevokedLeaseDropsKeys": revokedLeaseDropsKeys,
		"LeaseEnds":             leaseExpires,
		"LargeValue":            largeValue,
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(t, newStore(t)) })
	}
}

func swapExpectsVersion(t *testing.T, s store.Store) {
	ctx := context.Background()
	_, err := s.Get(ctx, "a/b")
	require.ErrorIs(t, err, store.ErrNotFound)
	v, err := s.Swap(ctx, "a/b", 0, []byte("one"), "")
	require.NoError(t, err)
	_, err = s.Swap(ctx, "a/b", 0, []byte("two"), "")
	require.ErrorIs(t, err, store.ErrConflict)
	next, err := s.Swap(ctx, "a/b", v, []byte("two"), "")
	require.NoError(t, err)
	assert.Greater(t, next, v)
	got, err := s.Get(ctx, "a/b")
	require.NoError(t, err)
	assert.Equal(t, store.Entry{Value: []byte("two"), Version: next}, got)
}

func versionsAreNotReused(t *testing.T, s store.Store) {
	ctx := context.Background()
	v, err := s.Swap(ctx, "k", 0, []byte("one"), "")
	require.NoError(t, err)
	require.ErrorIs(t, s.Delete(ctx, "k", v+7), store.ErrConflict)
	require.NoError(t, s.Delete(ctx, "k", v))
	require.ErrorIs(t, s.Delete(ctx, "k", v), store.ErrNotFound)
	again, err := s.Swap(ctx, "k", 0, []byte("one"), "")
	require.NoError(t, err)
	assert.Greater(t, again, v)
}

func watchSeesChange(t *testing.T, s store.Store) {
	ctx := context.Background()
	v, err := s.Swap(ctx, "k", 0, []byte("one"), "")
	require.NoError(t, err)
	got := make(chan store.Entry, 1)
	go func() {
		e, watchErr := s.Watch(ctx, "k", v, _waitTimeout)
		assert.NoError(t, watchErr)
		got <- e
	}()
	_, err = s.Swap(ctx, "other", 0, []byte("x"), "")
	require.NoError(t, err)
	next, err := s.Swap(ctx, "k", v, []byte("two"), "")
	require.NoError(t, err)
	assert.Equal(t, store.Entry{Value: []byte("two"), Version: next}, <-got)
}

func watchEndsAfterWait(t *testing.T, s store.Store) {
	ctx := context.Background()
	e, err := s.Watch(ctx, "absent", 0, time.Millisecond)
	require.NoError(t, err)
	assert.Zero(t, e.Version)
}

func revokedLeaseDropsKeys(t *testing.T, s store.Store) {
	ctx := context.Background()
	lease, err := s.Grant(ctx, time.Minute)
	require.NoError(t, err)
	_, err = s.Swap(ctx, "bound", 0, []byte("x"), lease)
	require.NoError(t, err)
	_, err = s.Swap(ctx, "free", 0, []byte("x"), "")
	require.NoError(t, err)
	require.NoError(t, s.Renew(ctx, lease))
	require.NoError(t, s.Revoke(ctx, lease))
	_, err = s.Get(ctx, "bound")
	require.ErrorIs(t, err, store.ErrNotFound)
	_, err = s.Get(ctx, "free")
	require.NoError(t, err)
	require.ErrorIs(t, s.Renew(ctx, lease), store.ErrNotFound)
}

func leaseExpires(t *testing.T, s store.Store) {
	ctx := context.Background()
	lease, err := s.Grant(ctx, 30*time.Millisecond)
	require.NoError(t, err)
	_, err = s.Swap(ctx, "bound", 0, []byte("x"), lease)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, err := s.Get(ctx, "bound")
		return err != nil
	}, _waitTimeout, 5*time.Millisecond)
}

func largeValue(t *testing.T, s store.Store) {
	ctx := context.Background()
	_, err := s.Swap(ctx, "k", 0, make([]byte, store.MaxValueBytes), "")
	require.NoError(t, err)
	_, err = s.Swap(ctx, "l", 0, make([]byte, store.MaxValueBytes+1), "")
	require.ErrorIs(t, err, store.ErrTooLarge)
}
