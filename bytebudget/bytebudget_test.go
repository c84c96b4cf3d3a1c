package bytebudget_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wigeonlock/wigeonlock/bytebudget"
)

const _mb = 1 << 20

func newLedger() *bytebudget.Ledger {
	return &bytebudget.Ledger{Limit: 100 * _mb, Shares: bytebudget.Shares{
		Most:  map[bytebudget.Use]float64{bytebudget.Requests: 0.7, bytebudget.Answers: 0.7},
		Small: 64 << 10, Reserve: 0.1,
	}}
}

func ask(l *bytebudget.Ledger, use bytebudget.Use, n int64, urgent bool) *bytebudget.Claim {
	c := &bytebudget.Claim{Use: use, Bytes: n, Urgent: urgent}
	l.Ask(c)
	return c
}

// TestUploadsLeaveRoom has more uploads than fit: answers, orders and answers that grow still
// get theirs.
func TestUploadsLeaveRoom(t *testing.T) {
	l := newLedger()
	granted := 0
	for range 15 {
		if ask(l, bytebudget.Requests, 24*_mb, false).Granted() {
			granted++
		}
	}
	assert.Equal(t, 2, granted)
	assert.True(t, ask(l, bytebudget.Requests, 4000, false).Granted(), "an order does not wait behind uploads")
	answer := ask(l, bytebudget.Answers, 40*_mb, false)
	assert.True(t, answer.Granted())
	assert.False(t, ask(l, bytebudget.Answers, 5*_mb, false).Granted(), "large pieces leave the reserve")
	assert.True(t, ask(l, bytebudget.Answers, 5*_mb, true).Granted(), "what ran uses it")
}

// TestOrderOfClaims has room come back bit by bit: the first large claim gets it, not a later
// one that needs less; what holds bytes already goes before both.
func TestOrderOfClaims(t *testing.T) {
	l, now := newLedger(), time.Unix(0, 0)
	require.True(t, ask(l, bytebudget.Answers, 70*_mb, false).Granted())
	first, second := ask(l, bytebudget.Answers, 30*_mb, false), ask(l, bytebudget.Answers, 5*_mb, false)
	more := ask(l, bytebudget.Answers, 40*_mb, true)
	assert.Empty(t, l.Give(now, bytebudget.Answers, 5*_mb))
	assert.Equal(t, []*bytebudget.Claim{more}, l.Give(now, bytebudget.Answers, 5*_mb))
	assert.Empty(t, l.Give(now, bytebudget.Answers, 50*_mb))
	assert.Equal(t, []*bytebudget.Claim{first, second}, l.Give(now, bytebudget.Answers, 50*_mb))
}

// TestWithdrawnClaimBlocksNobody has the first waiting claim give up.
func TestWithdrawnClaimBlocksNobody(t *testing.T) {
	l := newLedger()
	ask(l, bytebudget.Answers, 60*_mb, false)
	first, second := ask(l, bytebudget.Answers, 30*_mb, false), ask(l, bytebudget.Answers, 5*_mb, false)
	assert.Equal(t, []*bytebudget.Claim{second}, l.Withdraw(first))
}

// TestPauseFollowsTheRate has a use give back 10 MB a second.
func TestPauseFollowsTheRate(t *testing.T) {
	l, now := newLedger(), time.Unix(0, 0)
	ask(l, bytebudget.Answers, 70*_mb, false)
	assert.Equal(t, bytebudget.MaxPause, l.Pause(bytebudget.Answers, _mb), "the rate is not known")
	for range 11 {
		l.Give(now, bytebudget.Answers, _mb)
		l.Take(bytebudget.Answers, _mb)
		now = now.Add(100 * time.Millisecond)
	}
	assert.InDelta(t, 0.9, l.Pause(bytebudget.Answers, 10*_mb).Seconds(), 0.1)
	assert.Equal(t, bytebudget.MinPause, l.Pause(bytebudget.Requests, _mb), "there is room")
}

// TestLimitHolds plays claims and returns in any order: granted claims stay within the limit, and
// no claim waits while nothing is held.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		var granted, waiting []*bytebudget.Claim
		uses := []bytebudget.Use{bytebudget.Requests, bytebudget.Answers}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(granted) > 0 && rapid.Bool().Draw(t, "give") {
				i := rapid.IntRange(0, len(granted)-1).Draw(t, "which")
				c := granted[i]
				granted = append(granted[:i], granted[i+1:]...)
				l.Give(time.Unix(0, 0), c.Use, c.Bytes)
			} else {
				c := ask(l, rapid.SampledFrom(uses).Draw(t, "use"), rapid.Int64Range(1, 100*_mb).Draw(t, "bytes"), rapid.Bool().Draw(t, "more"))
				waiting = append(waiting, c)
			}
			rest := waiting[:0]
			for _, c := range waiting {
				if c.Granted() {
					granted = append(granted, c)
				} else {
					rest = append(rest, c)
				}
			}
			waiting = rest
			assert.LessOrEqual(t, l.Held(bytebudget.Requests)+l.Held(bytebudget.Answers), l.Limit)
			assert.False(t, len(granted) == 0 && len(waiting) > 0, "a claim waits while all is free")
		}
	})
}

func TestAcquireWaits(t *testing.T) {
	b := bytebudget.New(10*_mb, bytebudget.Shares{})
	lease, ok := b.Acquire(t.Context(), bytebudget.Requests, 8*_mb, 0)
	require.True(t, ok)
	_, ok = b.Acquire(t.Context(), bytebudget.Requests, 8*_mb, 10*time.Millisecond)
	assert.False(t, ok)
	_, ok = b.Acquire(t.Context(), bytebudget.Requests, 11*_mb, time.Hour)
	assert.False(t, ok, "it never fits, so it does not wait")
	time.AfterFunc(20*time.Millisecond, lease.Release)
	second, ok := b.Acquire(t.Context(), bytebudget.Requests, 8*_mb, 5*time.Second)
	require.True(t, ok)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.False(t, second.Grow(ctx, 10*_mb+1, time.Hour))
	assert.True(t, second.Grow(ctx, 10*_mb, time.Hour))
	second.Release()
	assert.Equal(t, bytebudget.State{Peak: 10 * _mb, Most: 10 * _mb}, b.State(bytebudget.Requests))
}

// TestNoBudget has a process without a limit.
func TestNoBudget(t *testing.T) {
	var b *bytebudget.Budget
	lease, ok := b.Acquire(t.Context(), bytebudget.Requests, 1<<40, 0)
	assert.True(t, ok)
	assert.True(t, lease.Grow(t.Context(), 1<<50, 0))
	lease.Release()
}
