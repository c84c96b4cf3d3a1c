package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wigeonlock/wigeonlock/suspect"
)

var _start = time.Unix(1_800_000_000, 0)

const _deadly suspect.Content = 7

func at(ms int) time.Time {
	return _start.Add(time.Duration(ms) * time.Millisecond)
}

func newBook() *suspect.Book {
	return &suspect.Book{Tries: func(suspect.Content) bool { return true }}
}

// end records that a worker ended under a request that was sent at a time, in milliseconds.
func end(b *suspect.Book, c suspect.Content, worker string, sent, ended int) {
	b.Ended(at(ended), suspect.End{Content: c, Worker: worker, Born: 1, RanMs: int64(ended - sent)})
}

func verdict(b *suspect.Book, ms int, c suspect.Content) suspect.Verdict {
	v, _ := b.Verdict(at(ms), c)
	return v
}

// TestContentEndsThreeWorkersInTurn follows a content from the first worker that ended to the
// verdict and its end.
func TestContentEndsThreeWorkersInTurn(t *testing.T) {
	b := newBook()
	end(b, _deadly, "i-1", 0, 100)
	assert.Equal(t, suspect.Clear, verdict(b, 100, _deadly), "one worker may end by chance")
	end(b, _deadly, "i-2", 150, 200)
	assert.Equal(t, suspect.Trial, verdict(b, 210, _deadly))
	assert.Equal(t, suspect.Waits, verdict(b, 220, _deadly), "one request at a time")
	end(b, _deadly, "i-3", 210, 300)
	b.EndTrial(_deadly)
	assert.Equal(t, suspect.Refused, verdict(b, 310, _deadly))
	_, wait := b.Verdict(at(310), _deadly)
	assert.InDelta(t, time.Minute.Seconds(), wait.Seconds(), 0.1)
	assert.Equal(t, suspect.Trial, verdict(b, 60_300, _deadly), "a verdict ends with a trial")
	b.EndTrial(_deadly)
	end(b, _deadly, "i-4", 60_300, 60_400)
	assert.Equal(t, suspect.Refused, verdict(b, 60_410, _deadly))
	assert.Equal(t, suspect.Clear, verdict(b, 140_000, _deadly), "a suspicion ages")
}

// TestOneInstanceTries checks that an instance that is not to try a content does not send it.
func TestOneInstanceTries(t *testing.T) {
	b := &suspect.Book{Tries: func(suspect.Content) bool { return false }}
	end(b, _deadly, "i-1", 0, 100)
	end(b, _deadly, "i-2", 150, 200)
	assert.Equal(t, suspect.Waits, verdict(b, 210, _deadly))
}

// TestInnocentRequestsAreRefused plays ends of workers that no request caused.
func TestInnocentRequestsAreRefused(t *testing.T) {
	const hot suspect.Content = 1
	tests := map[string]func(b *suspect.Book){
		"a rack ends while it runs the same content": func(b *suspect.Book) {
			for n := range 20 {
				end(b, hot, fmt.Sprint("i-", n), 50, 100+n)
			}
		},
		"two racks end, and the content is served between": func(b *suspect.Book) {
			end(b, hot, "i-1", 0, 100)
			end(b, hot, "i-2", 0, 100)
			b.Served(hot)
			end(b, hot, "i-3", 150, 500)
			end(b, hot, "i-4", 150, 500)
		},
		"a worker ends again and again": func(b *suspect.Book) {
			for n := range 5 {
				end(b, hot, "i-1", n*100, n*100+50)
			}
		},
		"workers end far apart": func(b *suspect.Book) {
			for n := range 5 {
				end(b, hot, fmt.Sprint("i-", n), n*16_000, n*16_000+50)
			}
		},
		"it was beside a content that ended three workers": func(b *suspect.Book) {
			for n := range 3 {
				end(b, _deadly, fmt.Sprint("i-", n), n*100, n*100+90)
				if n < 2 {
					end(b, hot, fmt.Sprint("i-", n), n*100, n*100+90)
				}
			}
		},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBook()
			play(b)
			assert.Equal(t, suspect.Clear, verdict(b, 70_000, hot))
			assert.Equal(t, suspect.Clear, verdict(b, 520, hot))
		})
	}
}

// TestSuspectIsTriedAndCleared has an innocent content run on two workers that ended in turn.
func TestSuspectIsTriedAndCleared(t *testing.T) {
	b := newBook()
	end(b, 1, "i-1", 0, 100)
	end(b, 1, "i-2", 150, 200)
	assert.Equal(t, suspect.Trial, verdict(b, 210, 1))
	assert.True(t, b.Served(1))
	b.EndTrial(1)
	assert.Equal(t, suspect.Clear, verdict(b, 220, 1))
	assert.False(t, b.Any())
}

// TestSuspectsFillTheMemory records more suspects than are kept.
func TestSuspectsFillTheMemory(t *testing.T) {
	b := newBook()
	for n := range 5000 {
		end(b, suspect.Content(n), "i-1", n, n+1)
	}
	suspects, _ := b.Count()
	assert.LessOrEqual(t, suspects, 512)
	assert.True(t, b.Served(4999), "the newest are kept")
	b.Sweep(at(120_000))
	assert.False(t, b.Any())
}

func TestNewsIsChecked(t *testing.T) {
	good := suspect.End{Content: 1, Worker: "i-1", Born: 1, RanMs: 5, AgeMs: 5}
	assert.True(t, suspect.News{Ended: []suspect.End{good}}.Valid())
	for _, bad := range []suspect.End{
		{Content: 1, Born: 1},
		{Content: 1, Worker: "i-1", RanMs: -1},
		{Content: 1, Worker: "i-1", AgeMs: -1},
		{Content: 1, Worker: "i-1", AgeMs: 1 << 40},
	} {
		assert.False(t, suspect.News{Ended: []suspect.End{good, bad}}.Valid())
	}
	assert.False(t, suspect.News{Ended: make([]suspect.End, suspect.MaxNews+1)}.Valid())
}
