package rollout_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/plan"
	"github.com/wigeonlock/wigeonlock/rollout"
	"github.com/wigeonlock/wigeonlock/store"
	"github.com/wigeonlock/wigeonlock/store/memory"
)

func lists(shiftSlots int) plan.Lists {
	return plan.Lists{Plans: []plan.Plan{{Name: "handel", Priority: 1, ShiftSlots: shiftSlots}}}
}

// faultyStore drops the reply of the next swap of a key. The swap itself is
// applied only if applied is set.
type faultyStore struct {
	store.Store
	mu      sync.Mutex
	key     string
	applied bool
	// between, if set, runs after the applied swap and before its error is returned.
	between func()
}

func (f *faultyStore) Swap(
	ctx context.Context, key string, expected store.Version, value []byte, lease store.Lease,
) (store.Version, error) {
	f.mu.Lock()
	lose := key == f.key
	if lose {
		f.key = ""
	}
	f.mu.Unlock()
	if lose && !f.applied {
		return 0, store.ErrUnknown
	}
	v, err := f.Store.Swap(ctx, key, expected, value, lease)
	if !lose {
		return v, err
	}
	if f.between != nil {
		f.between()
	}
	return 0, store.ErrUnknown
}

func TestEditorLostReply(t *testing.T) {
	ctx := context.Background()
	for _, applied := range []bool{true, false} {
		t.Run(fmt.Sprintf("applied %v", applied), func(t *testing.T) {
			s := &faultyStore{Store: memory.New(time.Now), key: rollout.HeadKey, applied: applied}
			head, err := (&rollout.Editor{Store: s, Name: "a"}).Apply(ctx, lists(1))
			require.NoError(t, err)
			assert.Equal(t, uint64(1), head.Version)
			now, _, err := rollout.ReadHead(ctx, s)
			require.NoError(t, err)
			assert.Equal(t, head.ID, now.ID)
		})
	}
}

// The reply of an applied edit is lost and another edit is accepted before the
// editor reads the head back. The editor finds its own edit in the history.
func TestEditorLostReplyThenAnotherEdit(t *testing.T) {
	ctx := context.Background()
	base := memory.New(time.Now)
	s := &faultyStore{Store: base, key: rollout.HeadKey, applied: true, between: func() {
		_, err := (&rollout.Editor{Store: base, Name: "b"}).Apply(ctx, lists(2))
		assert.NoError(t, err)
	}}
	head, err := (&rollout.Editor{Store: s, Name: "a"}).Apply(ctx, lists(1))
	require.NoError(t, err)
	assert.Equal(t, uint64(2), head.Version)
}

// Each of several concurrent edits is either accepted as a version of its own
// or rejected with an error that names the accepted edit.
func TestConcurrentEdits(t *testing.T) {
	ctx := context.Background()
	s := memory.New(time.Now)
	const editors = 12
	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		accepted = make(map[uint64]string)
		refused  int
	)
	for i := range editors {
		wg.Add(1)
		go func() {
			defer wg.Done()
			name := fmt.Sprint("editor ", i)
			head, err := (&rollout.Editor{Store: s, Name: name}).Apply(ctx, lists(i+1))
			mu.Lock()
			defer mu.Unlock()
			var conflict *rollout.ConflictError
			if errors.As(err, &conflict) {
				refused++
				assert.NotEmpty(t, conflict.Theirs.Editor)
				assert.Positive(t, conflict.Theirs.Version)
				return
			}
			assert.NoError(t, err)
			assert.Empty(t, accepted[head.Version], "a version is accepted once")
			accepted[head.Version] = name
		}()
	}
	wg.Wait()
	assert.Equal(t, editors, len(accepted)+refused)
	head, _, err := rollout.ReadHead(ctx, s)
	require.NoError(t, err)
	assert.Equal(t, uint64(len(accepted)), head.Version)
	assert.Equal(t, accepted[head.Version], head.Editor)
}

func TestEditorBase(t *testing.T) {
	ctx := context.Background()
	s := memory.New(time.Now)
	_, err := (&rollout.Editor{Store: s, Name: "a"}).Apply(ctx, lists(1))
	require.NoError(t, err)
	_, err = (&rollout.Editor{Store: s, Name: "b", Base: 7}).Apply(ctx, lists(2))
	var conflict *rollout.ConflictError
	require.ErrorAs(t, err, &conflict)
	assert.Equal(t, []plan.Change{{Kind: plan.Changed, Item: `plan "handel"`}}, conflict.Changes)
}

func heads(t *testing.T, n int) (*memory.Store, []rollout.Head) {
	s := memory.New(time.Now)
	var list []rollout.Head
	for i := range n {
		head, err := (&rollout.Editor{Store: s, Name: "a"}).Apply(context.Background(), lists(i+1))
		require.NoError(t, err)
		list = append(list, head)
	}
	return s, list
}

func install(t *testing.T, a *rollout.Acceptor, s store.Store, h rollout.Head) error {
	t.Helper()
	var parts [][]byte
	for _, d := range a.Missing(h) {
		e, err := s.Get(context.Background(), rollout.PartKey(d))
		require.NoError(t, err)
		parts = append(parts, e.Value)
	}
	return a.Install(h, parts)
}

// Checks invariant configForward: an older head is never installed.
func TestAcceptorRejectsOlderHeads(t *testing.T) {
	s, list := heads(t, 3)
	var a rollout.Acceptor
	require.NoError(t, install(t, &a, s, list[1]))
	require.ErrorIs(t, install(t, &a, s, list[0]), rollout.ErrOlder)
	require.ErrorIs(t, install(t, &a, s, list[1]), rollout.ErrOlder)
	require.NoError(t, install(t, &a, s, list[2]))
	p, ok := a.Index().Plan("handel")
	require.True(t, ok)
	assert.Equal(t, 3, p.ShiftSlots)
}

func TestAcceptorRequiresAllParts(t *testing.T) {
	_, list := heads(t, 1)
	var a rollout.Acceptor
	require.Error(t, a.Install(list[0], nil))
	assert.Zero(t, a.Version())
}

func TestConfirmOnlyActiveVersion(t *testing.T) {
	s, list := heads(t, 2)
	var a rollout.Acceptor
	require.NoError(t, install(t, &a, s, list[1]))
	at := time.Unix(100, 0)
	a.Confirm(list[0].Version, at)
	assert.True(t, a.ConfirmedAt().IsZero())
	a.Confirm(list[1].Version, at)
	a.Confirm(list[1].Version, at.Add(-time.Second))
	assert.Equal(t, at, a.ConfirmedAt())
}

// startFollower runs a follower until the test ends.
func startFollower(t *testing.T, s store.Store) *rollout.Follower {
	f := &rollout.Follower{Store: s, Log: zap.NewNop()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	k := &kernel.Kernel{Services: []kernel.Service{f}}
	go func() {
		defer close(done)
		assert.NoError(t, k.Run(ctx))
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

func waitVersion(t *testing.T, f *rollout.Follower, version uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		c := f.Current()
		return c != nil && c.Version >= version
	}, 10*time.Second, time.Millisecond)
}

func TestFollowerInstallsEdits(t *testing.T) {
	s, _ := heads(t, 1)
	f := startFollower(t, s)
	waitVersion(t, f, 1)
	assert.True(t, f.Confirmed(time.Now()))
	_, err := (&rollout.Editor{Store: s, Name: "a"}).Apply(context.Background(), lists(9))
	require.NoError(t, err)
	waitVersion(t, f, 2)
	p, _ := f.Current().Index.Plan("handel")
	assert.Equal(t, 9, p.ShiftSlots)
}

// An instance that cannot reach the store fetches lists from its peers.
func TestFollowerFetchesListsFromPeer(t *testing.T) {
	s, _ := heads(t, 2)
	peer := startFollower(t, s)
	waitVersion(t, peer, 2)
	isolated := startFollower(t, unreachableStore{})
	assert.Nil(t, isolated.Current())
	isolated.ObservePeer(context.Background(), time.Now(), 2, time.Second, peer)
	require.NotNil(t, isolated.Current())
	assert.Equal(t, uint64(2), isolated.Current().Version)
	assert.False(t, isolated.Confirmed(time.Now()), "confirmed only after a peer reports the age of its confirmation")
	isolated.ObservePeer(context.Background(), time.Now(), 2, time.Second, peer)
	assert.True(t, isolated.Confirmed(time.Now()))
	assert.False(t, isolated.Confirmed(time.Now().Add(rollout.ConfirmWindow)))
}

// A store restored from a backup holds older lists. They are not installed, and
// the active lists are written back.
func TestFollowerRepairsRestoredStore(t *testing.T) {
	s, list := heads(t, 3)
	f := startFollower(t, s)
	waitVersion(t, f, 3)
	ctx := context.Background()
	entry, err := s.Get(ctx, rollout.HeadKey)
	require.NoError(t, err)
	old, err := list[0].Encode()
	require.NoError(t, err)
	_, err = s.Swap(ctx, rollout.HeadKey, entry.Version, old, "")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		assert.Equal(t, uint64(3), f.Current().Version)
		head, _, err := rollout.ReadHead(ctx, s)
		return err == nil && head.Version == 3
	}, 20*time.Second, 10*time.Millisecond)
}

// unreachableStore is a store whose watches fail.
type unreachableStore struct{ store.Store }

func (unreachableStore) Watch(context.Context, string, store.Version, time.Duration) (store.Entry, error) {
	return store.Entry{}, store.ErrUnavailable
}
