package payment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wigeonlock/wigeonlock/payment"
)

var _now = time.Unix(1_700_000_000, 0)

// storeEntry simulates the store's entry of one shard.
type storeEntry struct {
	value   []byte
	version uint64
}

func (e *storeEntry) swap(value []byte, expected uint64) (uint64, bool) {
	if e.version != expected {
		return 0, false
	}
	e.version++
	e.value = value
	return e.version, true
}

// runSteps runs steps until the shard is idle.
func runSteps(t require.TestingT, s *payment.Shard, e *storeEntry) {
	for range 100 {
		step, err := s.Next(_now)
		require.NoError(t, err)
		switch step.Kind {
		case payment.Idle:
			return
		case payment.Read:
			require.NoError(t, s.ReadDone(e.value, e.version))
		case payment.Swap:
			storeVersion, ok := e.swap(step.Value, step.Expected)
			s.SwapDone(step.Value, storeVersion, ok)
		}
	}
	require.Fail(t, "shard does not become idle")
}

func claim(t require.TestingT, s *payment.Shard, e *storeEntry, key payment.Key, attempt string) payment.Result {
	var got payment.Result
	s.Add(payment.Change{Kind: payment.ToClaim, Key: key, Attempt: attempt}, func(r payment.Result) { got = r })
	runSteps(t, s, e)
	return got
}

func TestSecondClaimIsDuplicate(t *testing.T) {
	var store storeEntry
	var a, b payment.Shard
	require.Equal(t, payment.Granted, claim(t, &a, &store, "k", "one").Kind)
	got := claim(t, &b, &store, "k", "two")
	assert.Equal(t, payment.Duplicate, got.Kind)
	assert.Equal(t, payment.Claimed, got.Claim.State)

	a.Add(payment.Change{
		Kind: payment.ToFinish, Key: "k", Attempt: "one",
		Outcome: payment.Outcome{Status: 200, Answer: []byte("paid"), Complete: true},
	}, nil)
	runSteps(t, &a, &store)
	got = claim(t, &b, &store, "k", "three")
	assert.Equal(t, payment.Duplicate, got.Kind)
	assert.Equal(t, payment.Finished, got.Claim.State)
	assert.Equal(t, "paid", string(got.Claim.Answer))
}

func TestReleasedKeyCanBeClaimed(t *testing.T) {
	var store storeEntry
	var a, b payment.Shard
	require.Equal(t, payment.Granted, claim(t, &a, &store, "k", "one").Kind)
	a.Add(payment.Change{Kind: payment.ToRelease, Key: "k", Attempt: "one"}, nil)
	runSteps(t, &a, &store)
	assert.Equal(t, payment.Granted, claim(t, &b, &store, "k", "two").Kind)
	a.Add(payment.Change{Kind: payment.ToRelease, Key: "k", Attempt: "one"}, nil) // a repeated release by the old attempt has no effect
	runSteps(t, &a, &store)
	assert.Equal(t, payment.Duplicate, claim(t, &a, &store, "k", "three").Kind)
}

// A claim whose swap was applied but whose reply was lost is granted after the
// record is read back.
func TestLostReplyIsReadBack(t *testing.T) {
	var store storeEntry
	var s payment.Shard
	var got payment.Result
	s.Add(payment.Change{Kind: payment.ToClaim, Key: "k", Attempt: "one"}, func(r payment.Result) { got = r })
	step, err := s.Next(_now)
	require.NoError(t, err)
	require.Equal(t, payment.Read, step.Kind)
	require.NoError(t, s.ReadDone(store.value, store.version))
	step, err = s.Next(_now)
	require.NoError(t, err)
	store.swap(step.Value, step.Expected)
	s.SwapDone(step.Value, 0, false)
	assert.Empty(t, got.Kind, "no result before the record is read back")
	runSteps(t, &s, &store)
	assert.Equal(t, payment.Granted, got.Kind)
}

func TestClaimsAreWrittenTogether(t *testing.T) {
	var store storeEntry
	var s payment.Shard
	granted := 0
	for i := range 100 {
		s.Add(payment.Change{Kind: payment.ToClaim, Key: payment.Key(fmt.Sprint(i)), Attempt: "one"}, func(r payment.Result) {
			if r.Kind == payment.Granted {
				granted++
			}
		})
	}
	runSteps(t, &s, &store)
	assert.Equal(t, 100, granted)
	assert.Equal(t, uint64(1), store.version)
}

func TestRetention(t *testing.T) {
	var store storeEntry
	var s payment.Shard
	require.Equal(t, payment.Granted, claim(t, &s, &store, "k", "one").Kind)
	record, err := payment.DecodeRecord(store.value)
	require.NoError(t, err)
	kept, err := record.Encode(_now.Add(payment.Retention - time.Second))
	require.NoError(t, err)
	assert.Contains(t, string(kept), "one")
	dropped, err := record.Encode(_now.Add(payment.Retention + time.Second))
	require.NoError(t, err)
	assert.NotContains(t, string(dropped), "one")
}

// A full shard refuses new claims and keeps the existing ones.
func TestFullShardRefuses(t *testing.T) {
	var store storeEntry
	var s payment.Shard
	kinds := make(map[payment.ResultKind]int)
	for i := 0; kinds[payment.Full] == 0; i++ {
		for j := range 500 {
			s.Add(payment.Change{
				Kind: payment.ToClaim, Key: payment.NewKey("c", "s", fmt.Sprint(i, j)), Attempt: "attempt",
			}, func(r payment.Result) { kinds[r.Kind]++ })
		}
		runSteps(t, &s, &store)
		require.Less(t, i, 100)
	}
	assert.Equal(t, payment.Duplicate, claim(t, &s, &store, payment.NewKey("c", "s", fmt.Sprint(0, 0)), "other").Kind)
}

// TestAtMostOnce runs several instances through lost, dropped and delayed swaps
// and crashes, and checks invariant atMostOnce: at any time at most one attempt
// on a key is granted and not released.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store storeEntry
		shards := make([]*payment.Shard, 3)
		for i := range shards {
			shards[i] = &payment.Shard{}
		}
		type swap struct {
			value    []byte
			expected uint64
		}
		var delayed []swap
		holders := make(map[payment.Key]map[string]bool)
		attempts := 0
		steps := rapid.IntRange(20, 150).Draw(t, "steps")
		for range steps {
			i := rapid.IntRange(0, len(shards)-1).Draw(t, "instance")
			s := shards[i]
			key := payment.Key(rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1:
				attempts++
				attempt := fmt.Sprint(attempts)
				s.Add(payment.Change{Kind: payment.ToClaim, Key: key, Attempt: attempt}, func(r payment.Result) {
					if r.Kind != payment.Granted {
						return
					}
					if holders[key] == nil {
						holders[key] = make(map[string]bool)
					}
					holders[key][attempt] = true
					if len(holders[key]) > 1 {
						t.Fatalf("atMostOnce: attempts %v hold key %s", holders[key], key)
					}
				})
			case 2:
				for attempt := range holders[key] { // the payment did not run: the attempt releases its claim
					delete(holders[key], attempt)
					s.Add(payment.Change{Kind: payment.ToRelease, Key: key, Attempt: attempt}, nil)
				}
			case 3:
				shards[i] = &payment.Shard{} // a crash: pending changes are lost
			case 4:
				if len(delayed) > 0 {
					store.swap(delayed[0].value, delayed[0].expected)
					delayed = delayed[1:]
				}
			default:
				step, err := s.Next(_now)
				require.NoError(t, err)
				switch step.Kind {
				case payment.Idle:
				case payment.Read:
					require.NoError(t, s.ReadDone(store.value, store.version))
				case payment.Swap:
					switch rapid.SampledFrom([]string{"ok", "ok", "lost", "dropped", "delayed"}).Draw(t, "fault") {
					case "ok":
						storeVersion, ok := store.swap(step.Value, step.Expected)
						s.SwapDone(step.Value, storeVersion, ok)
					case "lost":
						store.swap(step.Value, step.Expected)
						s.SwapDone(step.Value, 0, false)
					case "dropped":
						s.SwapDone(step.Value, 0, false)
					case "delayed":
						delayed = append(delayed, swap{step.Value, step.Expected})
						s.SwapDone(step.Value, 0, false)
					}
				}
			}
		}
	})
}
