package payment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wigeonlock/wigeonlock/payment"
	platform "github.com/wigeonlock/wigeonlock/store"
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

// restorable is the store of a shard that can be restored from a copy, with the time.
type restorable struct {
	value, copied        []byte
	version, copiedCount uint64
	era                  platform.Era
	now                  time.Time
}

func (r *restorable) copy() {
	r.copied, r.copiedCount = r.value, platform.Version(r.version).Count()
}

func (r *restorable) restore() {
	r.era++
	r.value, r.version = r.copied, uint64(platform.VersionOf(r.era, r.copiedCount))
}

// step makes one store operation of a shard, whose reply may be lost.
func (r *restorable) step(t require.TestingT, s *payment.Shard, lost bool) payment.StepKind {
	s.EnterEra(r.now, r.era)
	step, err := s.Next(r.now)
	require.NoError(t, err)
	switch step.Kind {
	case payment.Read:
		require.NoError(t, s.ReadDone(r.value, r.version))
	case payment.Swap:
		applied := step.Expected == r.version
		if applied {
			r.value = step.Value
			r.version = uint64(platform.VersionOf(r.era, platform.Version(r.version).Count()+1))
		}
		s.SwapDone(step.Value, r.version, applied && !lost)
	case payment.Idle:
	}
	return step.Kind
}

func (r *restorable) run(t require.TestingT, s *payment.Shard) {
	for r.step(t, s, false) != payment.Idle {
		continue
	}
}

func (r *restorable) claim(t require.TestingT, s *payment.Shard, key payment.Key, attempt string) payment.Result {
	var got payment.Result
	s.Add(payment.Change{Kind: payment.ToClaim, Key: key, Attempt: attempt}, func(res payment.Result) { got = res })
	r.run(t, s)
	return got
}

// TestLostClaimIsNotGrantedAgain restores the store to before a payment was claimed, which then
// ran: neither an instance that lived through the restore nor one that starts after it grants it
// to another attempt, and its outcome is known.
func TestLostClaimIsNotGrantedAgain(t *testing.T) {
	r := &restorable{era: 1, now: _now}
	ran, other, started := &payment.Shard{}, &payment.Shard{}, &payment.Shard{}
	require.Equal(t, payment.Granted, r.claim(t, other, "before", "zero").Kind)
	r.copy()
	require.Equal(t, payment.Granted, r.claim(t, ran, "k", "one").Kind)
	r.restore()
	for _, s := range []*payment.Shard{other, started} {
		assert.Equal(t, payment.Full, r.claim(t, s, "k", "two").Kind, "nothing is claimed")
	}
	r.now = r.now.Add(2 * time.Second)
	ran.Add(payment.Change{Kind: payment.ToFinish, Key: "k", Attempt: "one", Outcome: payment.Outcome{Status: 201}}, nil)
	r.run(t, ran)
	r.now = r.now.Add(10 * time.Second)
	for _, s := range []*payment.Shard{other, started, {}} {
		got := r.claim(t, s, "k", "two")
		require.Equal(t, payment.Duplicate, got.Kind)
		assert.Equal(t, 201, got.Claim.Status)
	}
	assert.Equal(t, payment.Granted, r.claim(t, &payment.Shard{}, "new", "three").Kind, "the record is settled for all")
}

// TestAtMostOnceAcrossRestores draws restores of the store, which all instances notice within two
// seconds, beside lost replies. Instances do not crash: what only they know would be lost.
func TestAtMostOnceAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &restorable{era: 1, now: _now}
		shards := []*payment.Shard{{}, {}, {}}
		granted := make(map[payment.Key]map[string]bool)
		attempts := 0
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			r.now = r.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			s := shards[rapid.IntRange(0, len(shards)-1).Draw(t, "instance")]
			key := payment.Key(rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"}).Draw(t, "key"))
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0:
				r.copy()
			case 1:
				if r.copiedCount == 0 {
					continue
				}
				r.restore()
				for _, noticed := range shards {
					noticed.EnterEra(r.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "noticed ms"))*time.Millisecond), r.era)
					r.step(t, noticed, false)
					r.step(t, noticed, false)
				}
			case 2, 3, 4:
				attempts++
				attempt := fmt.Sprint(attempts)
				s.Add(payment.Change{Kind: payment.ToClaim, Key: key, Attempt: attempt}, func(res payment.Result) {
					if res.Kind != payment.Granted {
						return
					}
					if granted[key] == nil {
						granted[key] = make(map[string]bool)
					}
					granted[key][attempt] = true
					if len(granted[key]) > 1 {
						t.Fatalf("atMostOnce: attempts %v hold key %s", granted[key], key)
					}
				})
			default:
				r.step(t, s, rapid.IntRange(0, 4).Draw(t, "lost") == 0)
			}
		}
	})
}
