package standin_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/plan"
	"github.com/wigeonlock/wigeonlock/rollout"
	"github.com/wigeonlock/wigeonlock/standin"
	"github.com/wigeonlock/wigeonlock/store"
	storehttp "github.com/wigeonlock/wigeonlock/store/http"
)

func listsOf(slots int) plan.Lists {
	return plan.Lists{
		Plans:      []plan.Plan{{Name: "p", Priority: 1, ShiftSlots: slots}},
		Allowances: []plan.Allowance{{Plan: "p", Region: "r", Service: "s", Slots: slots}},
	}
}

// TestEditAfterRestoredStoreIsActive restores the store to before an edit of the lists. Another
// edit gets the same number, and must be active; the lost one must stay until then.
func TestEditAfterRestoredStoreIsActive(t *testing.T) {
	p := &standin.Platform{}
	require.NoError(t, p.Listen("127.0.0.1:0"))
	defer func() { _ = p.Close() }()
	s := storehttp.New(p.URL())
	editor := &rollout.Editor{Store: s, Name: "one"}
	f := &rollout.Follower{Store: s, Log: zap.NewNop()}
	k := &kernel.Kernel{Services: []kernel.Service{f}, StopTimeout: time.Second}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	defer func() { cancel(); assert.NoError(t, <-done) }()
	slots := func() int {
		current := f.Current()
		if current == nil {
			return 0
		}
		plan, _ := current.Index.Plan("p")
		return plan.ShiftSlots
	}
	active := func(n int) func() bool { return func() bool { return slots() == n } }

	_, err := editor.Apply(ctx, listsOf(5))
	require.NoError(t, err)
	require.Eventually(t, active(5), 5*time.Second, 10*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	_, err = editor.Apply(ctx, listsOf(6))
	require.NoError(t, err)
	require.Eventually(t, active(6), 5*time.Second, 10*time.Millisecond)
	p.Restore(200 * time.Millisecond)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		require.Equal(t, 6, slots())
	}
	_, err = editor.Apply(ctx, listsOf(7))
	require.NoError(t, err)
	require.Eventually(t, active(7), 5*time.Second, 10*time.Millisecond)
	time.Sleep(4 * time.Second)
	assert.Equal(t, 7, slots())
	head, _, err := rollout.ReadHead(ctx, s)
	require.NoError(t, err)
	lists, err := rollout.ReadLists(ctx, s, head)
	require.NoError(t, err)
	assert.Equal(t, 7, lists.Plans[0].ShiftSlots, "the lost edit is not written back over it")
}

// TestSwapOfEarlierEraConflicts restores the store so that a key has again the count that was
// read before: a swap that expects it would overwrite another write.
func TestSwapOfEarlierEraConflicts(t *testing.T) {
	p := &standin.Platform{}
	require.NoError(t, p.Listen("127.0.0.1:0"))
	defer func() { _ = p.Close() }()
	s := storehttp.New(p.URL())
	ctx := t.Context()
	first, err := s.Swap(ctx, "k", 0, []byte("1"), "")
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	lost, err := s.Swap(ctx, "k", first, []byte("2"), "")
	require.NoError(t, err)
	p.Restore(50 * time.Millisecond)
	other := storehttp.New(p.URL())
	entry, err := other.Get(ctx, "k")
	require.NoError(t, err)
	require.Equal(t, "1", string(entry.Value))
	_, err = other.Swap(ctx, "k", entry.Version, []byte("3"), "")
	require.NoError(t, err)
	_, err = s.Get(ctx, "k")
	require.NoError(t, err)
	_, err = s.Swap(ctx, "k", lost, []byte("4"), "")
	require.ErrorIs(t, err, store.ErrConflict)
	entry, err = s.Watch(ctx, "k", lost, time.Minute)
	require.NoError(t, err)
	assert.Equal(t, "3", string(entry.Value))
	assert.Greater(t, entry.Version, lost)
}
