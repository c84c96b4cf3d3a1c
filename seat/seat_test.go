package seat

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var _start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const _group = "orders/tunis-a/6"

// TestSuccessorTakesSeat replaces a worker, with the successor before or after it.
func TestSuccessorTakesSeat(t *testing.T) {
	tests := []struct {
		name   string
		events func(b *Book)
		want   string
	}{
		{"starts first", func(b *Book) {
			b.Started(_start, "new", _group, true)
			b.Left(_start.Add(time.Second), "old", _group)
		}, "old"},
		{"starts afterwards", func(b *Book) {
			b.Left(_start, "old", _group)
			b.Started(_start.Add(time.Second), "new", _group, true)
		}, "old"},
		{"leaves and is removed", func(b *Book) {
			b.Left(_start, "old", _group)
			b.Left(_start, "old", _group)
			b.Started(_start.Add(time.Second), "new", _group, true)
			b.Left(_start.Add(2*time.Second), "old", _group)
		}, "old"},
		{"of another size", func(b *Book) {
			b.Left(_start, "old", _group)
			b.Started(_start, "new", "orders/tunis-a/3", true)
		}, "new"},
		{"long after", func(b *Book) {
			b.Left(_start, "old", _group)
			b.Started(_start.Add(_pairTime), "new", _group, true)
		}, "new"},
		{"known for long", func(b *Book) {
			b.Started(_start, "new", _group, false)
			b.Left(_start, "old", _group)
		}, "new"},
		{"the old one returns before", func(b *Book) {
			b.Left(_start, "old", _group)
			b.Started(_start, "old", _group, true)
			b.Started(_start, "new", _group, true)
		}, "new"},
		{"the old one was a successor too", func(b *Book) {
			b.Left(_start, "older", _group)
			b.Started(_start, "old", _group, true)
			b.Left(_start, "old", _group)
			b.Started(_start, "new", _group, true)
		}, "older"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &Book{}
			tt.events(b)
			assert.Equal(t, tt.want, b.Of("new"))
		})
	}
}

// TestReturningWorkerSharesNoSeat has a worker come back whose seat another one took.
func TestReturningWorkerSharesNoSeat(t *testing.T) {
	b := &Book{}
	b.Left(_start, "old", _group)
	b.Started(_start, "new", _group, true)
	b.Started(_start, "old", _group, true)
	assert.Equal(t, "old", b.Of("new"))
	assert.NotEqual(t, "old", b.Of("old"))
}

// TestInstancesAgree has instances learn of the starts and leavings of a rolling replacement in
// different orders, and of each other's successions.
func TestInstancesAgree(t *testing.T) {
	const workers, instances = 24, 5
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		books := make([]*Book, instances)
		var told []Succession
		for i := range books {
			books[i] = &Book{Taken: func(s Succession) { told = append(told, s) }}
			events := make([]func(b *Book), 0, 2*workers)
			for n := range workers {
				events = append(events,
					func(b *Book) { b.Started(_start, fmt.Sprintf("new-%d", n), _group, true) },
					func(b *Book) { b.Left(_start, fmt.Sprintf("old-%d", n), _group) })
			}
			r.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
			for _, event := range events {
				event(books[i])
			}
		}
		// Each message arrives, twice, in any order.
		for range 2 {
			for _, b := range books {
				r.Shuffle(len(told), func(i, j int) { told[i], told[j] = told[j], told[i] })
				for _, s := range told {
					b.Adopt(_start, s)
				}
			}
		}
		disagree := 0
		for n := range workers {
			name := fmt.Sprintf("new-%d", n)
			seats := make(map[string]struct{})
			for _, b := range books {
				seats[b.Of(name)] = struct{}{}
			}
			if len(seats) > 1 {
				disagree++
			}
		}
		assert.Zero(t, disagree, "seed %d", seed)
		for _, b := range books {
			taken := make(map[string]string)
			for n := range workers {
				name := fmt.Sprintf("new-%d", n)
				assert.Empty(t, taken[b.Of(name)], "seed %d: one worker for a seat", seed)
				taken[b.Of(name)] = name
			}
		}
	}
}
