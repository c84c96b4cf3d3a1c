package forward_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/bytebudget"
	"github.com/wigeonlock/wigeonlock/catalog"
	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/forward"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

const _mb = 1 << 20

// documents answers with bodies of a size, for which it takes room as exchange does.
type documents struct {
	exchanger
	size int
}

func (d *documents) Do(ctx context.Context, t exchange.Target, r *relay.Request, repeatable bool) exchange.Result {
	result := d.exchanger.Do(ctx, t, r, repeatable)
	a := &relay.Answer{Outcome: retry.Run, Reason: relay.Served, Status: http.StatusOK}
	if !r.AnswerRoom.Grow(ctx, int64(d.size), 0) {
		return broken()
	}
	relay.SetBytes(a, make([]byte, d.size))
	result.Answer = a
	return result
}

func newDocuments(t *testing.T, size int) (*forward.Service, *documents) {
	t.Helper()
	d := &documents{exchanger: exchanger{results: []exchange.Result{ran(200)}}, size: size}
	s := newService(t, &d.exchanger, 4)
	s.Exchange, s.Memory = d, bytebudget.New(100*_mb, bytebudget.Shares{Small: 64 << 10})
	s.Update(func(st *forward.State) {
		c, err := catalog.New(4, []catalog.Route{
			route("doc", catalog.Download, 2), route("pay", catalog.NonIdempotent, 2), route("read", catalog.Idempotent, 2),
		}, nil, catalog.Limits{})
		require.NoError(t, err)
		st.Catalog = c
	})
	return s, d
}

// TestSlowCallersBeyondMemory has callers ask for more documents than there is memory for, and
// read none of them: no request that ran loses its answer, the others are refused before they
// run, with a pause, and are served when the first have theirs.
func TestSlowCallersBeyondMemory(t *testing.T) {
	s, d := newDocuments(t, 10*_mb)
	for range 20 {
		s.Handle(t.Context(), request("/doc/x")).Close()
	}
	d.sent = nil
	var mu sync.Mutex
	var unread []*relay.Answer
	refused := 0
	var group sync.WaitGroup
	for range 24 {
		group.Go(func() {
			began := time.Now()
			a := s.Handle(t.Context(), request("/doc/x"))
			mu.Lock()
			defer mu.Unlock()
			if a.Outcome == retry.Run {
				unread = append(unread, a)
				return
			}
			refused++
			assert.Equal(t, relay.NoMemory, a.Reason)
			assert.Equal(t, http.StatusServiceUnavailable, a.Status)
			assert.Less(t, time.Since(began), 100*time.Millisecond)
			pause, err := strconv.ParseFloat(relay.Get(a.Header, relay.HeaderRetryAfter), 64)
			assert.NoError(t, err)
			assert.Positive(t, pause)
		})
	}
	group.Wait()
	assert.Len(t, unread, len(d.sent), "what was sent has its answer")
	assert.GreaterOrEqual(t, len(unread), 8)
	assert.Equal(t, 24, len(unread)+refused)
	d.size = 100
	small := s.Handle(t.Context(), request("/read/x"))
	assert.Equal(t, retry.Run, small.Outcome, "a small answer is not behind them")
	small.Close()
	d.size = 10 * _mb
	for _, a := range unread {
		a.Close()
	}
	a := s.Handle(t.Context(), request("/doc/x"))
	assert.Equal(t, retry.Run, a.Outcome)
	a.Close()
	assert.Zero(t, s.Memory.State(bytebudget.Answers).Held)
}

// TestStopRefusesWhatLastsTooLong has callers take a while to read documents: an instance that
// stops accepts them only while there is that long left.
func TestStopRefusesWhatLastsTooLong(t *testing.T) {
	s, d := newDocuments(t, 100<<10)
	for range 10 {
		a := s.Handle(t.Context(), request("/doc/x"))
		time.Sleep(30 * time.Millisecond)
		a.Close()
	}
	d.sent = nil
	tests := map[string]struct {
		path    string
		left    time.Duration
		outcome retry.Outcome
	}{
		"document in time":  {"/doc/x", 500 * time.Millisecond, retry.Run},
		"document too late": {"/doc/x", 20 * time.Millisecond, retry.NotRun},
		"small answer":      {"/read/x", 20 * time.Millisecond, retry.Run},
		"payment too late":  {"/pay/x", 500 * time.Millisecond, retry.NotRun},
		"payment in time":   {"/pay/x", 2 * time.Second, retry.Run},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s.Update(func(st *forward.State) { st.StopsAt = time.Now().Add(tt.left) })
			a := s.Handle(t.Context(), request(tt.path))
			assert.Equal(t, tt.outcome, a.Outcome)
			if tt.outcome == retry.NotRun {
				assert.Equal(t, "0.000", relay.Get(a.Header, relay.HeaderRetryAfter), "another instance takes it at once")
			}
			a.Close()
		})
	}
}
