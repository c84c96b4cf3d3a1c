package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// issuerOf returns the node that issues the permits of the worker in the view of a node.
func (m *model) issuerOf(viewer *node) *node {
	issuer, _ := viewer.book.issuer(m.now, m.worker)
	for _, n := range m.nodes {
		if n.name == issuer.Name {
			return n
		}
	}
	return nil
}

// limited returns a model whose worker has named a limit of a third of its demand for a
// while.
func limited(seed uint64, n int, perSecond float64) *model {
	m := newModel(seed, n, min(n, 15), 3*perSecond, perSecond)
	m.named = true
	m.play(6 * time.Second)
	return m
}

// TestIssuerEnds kills the issuer: the store's list names it for another five seconds. The
// next instance stands in for it, and issues all permits once it is off the list.
func TestIssuerEnds(t *testing.T) {
	forSizes(t, func(t *testing.T, n int, perSecond float64) {
		m := limited(11, n, perSecond)
		killed, from := m.issuerOf(m.nodes[0]), m.now
		killed.down = true
		m.play(5 * time.Second)
		m.listed = func(_, other *node) bool { return !other.down }
		m.play(15 * time.Second)
		assert.LessOrEqual(t, float64(m.most(from)), m.allowed())
		assert.GreaterOrEqual(t, m.perSecondSince(from.Add(10*time.Second)), perSecond/2)
	})
}

// TestIssuerRestarts restarts the issuer, which comes back without its account, again and
// again.
func TestIssuerRestarts(t *testing.T) {
	forSizes(t, func(t *testing.T, n int, perSecond float64) {
		m := limited(12, n, perSecond)
		from := m.now
		for range 5 {
			issuer := m.issuerOf(m.nodes[1])
			issuer.down = true
			m.play(600 * time.Millisecond)
			issuer.start()
			m.play(1400 * time.Millisecond)
		}
		assert.LessOrEqual(t, float64(m.most(from)), m.allowed())
	})
}

// TestIssuerStops stops the issuer as planned: it leaves the list at once and still answers
// for a while.
func TestIssuerStops(t *testing.T) {
	forSizes(t, func(t *testing.T, n int, perSecond float64) {
		m := limited(21, n, perSecond)
		stopped, from := m.issuerOf(m.nodes[0]), m.now
		m.listed = func(_, other *node) bool { return other != stopped }
		m.play(3 * time.Second)
		stopped.down = true
		m.play(10 * time.Second)
		assert.LessOrEqual(t, float64(m.most(from)), m.allowed())
		assert.GreaterOrEqual(t, m.perSecondSince(from), perSecond/2)
	})
}

// TestStandInServesWhileTheListIsOld kills the issuer during an outage of the store, which
// goes on naming it: the worker is still used, at half its limit.
func TestStandInServesWhileTheListIsOld(t *testing.T) {
	m := limited(13, 9, 10)
	m.issuerOf(m.nodes[0]).down = true
	m.play(5 * time.Second)
	from := m.now
	m.play(20 * time.Second)
	assert.InDelta(t, 5, m.perSecondSince(from), 2)
}

// TestCutZone cuts the worker's zone off: inside, the limit is kept and used. Instances of
// another cut zone cannot reach the worker, and those between them keep the limit.
func TestCutZone(t *testing.T) {
	for name, cut := range map[string]func(from, to int) bool{
		"the worker's zone": func(from, to int) bool { return (from == 0) != (to == 0) },
		"another zone":      func(from, to int) bool { return (from == 3) != (to == 3) },
		"its region":        func(from, to int) bool { return (from < 2) != (to < 2) },
	} {
		t.Run(name, func(t *testing.T) {
			forSizes(t, func(t *testing.T, n int, perSecond float64) {
				m := limited(14, n, perSecond)
				from := m.now
				m.cut = cut
				m.play(5 * time.Second)
				// The registrations of the other side lapse.
				m.listed = func(viewer, other *node) bool { return !cut(viewer.zone, other.zone) }
				m.play(10 * time.Second)
				m.cut = func(int, int) bool { return false }
				m.play(time.Second)
				m.listed = func(*node, *node) bool { return true }
				m.play(10 * time.Second)
				assert.LessOrEqual(t, float64(m.most(from)), m.allowed())
			})
		})
	}
}

// TestNoMessageArrives loses all messages between instances, while all reach the worker:
// no more than two of them issue permits.
func TestNoMessageArrives(t *testing.T) {
	forSizes(t, func(t *testing.T, n int, perSecond float64) {
		m := newModel(15, n, n, 4*float64(n), perSecond)
		m.named, m.loss = true, 1
		m.play(10 * time.Second)
		assert.LessOrEqual(t, float64(m.mostTold()), m.allowed())
		assert.NotZero(t, m.mostTold())
	})
}

// TestInstancesSeeDifferentLists has an instance that is first in the order join, and half
// of the others hear of it a second late.
func TestInstancesSeeDifferentLists(t *testing.T) {
	forSizes(t, func(t *testing.T, n int, perSecond float64) {
		m := newModel(16, n, min(n, 15), 3*perSecond, perSecond)
		first := m.issuerOf(m.nodes[0])
		m.listed = func(_, other *node) bool { return other != first }
		m.named = true
		m.play(6 * time.Second)
		from := m.now
		m.listed = func(viewer, other *node) bool { return other != first || viewer.index%2 == 0 }
		m.play(1300 * time.Millisecond)
		m.listed = func(*node, *node) bool { return true }
		m.play(8 * time.Second)
		assert.LessOrEqual(t, float64(m.most(from)), m.allowed())
	})
}

// TestLossyNetwork loses a third of all messages.
func TestLossyNetwork(t *testing.T) {
	forSizes(t, func(t *testing.T, n int, perSecond float64) {
		m := limited(17, n, perSecond)
		from := m.now
		m.loss = 0.33
		m.play(20 * time.Second)
		assert.LessOrEqual(t, float64(m.most(from)), m.allowed())
	})
}

// TestLimitIsTakenBack has the worker name no limit any more: all instances send again as
// much as they have, and the worker keeps all of its objects.
func TestLimitIsTakenBack(t *testing.T) {
	forSizes(t, func(t *testing.T, n int, perSecond float64) {
		m := limited(18, n, perSecond)
		m.named = false
		// An instance hears of it with the first permit that it gets.
		m.play(5*time.Second + time.Duration(15/perSecond*float64(time.Second)))
		from := m.now
		m.play(10 * time.Second)
		assert.InDelta(t, 3*perSecond, m.perSecondSince(from), max(perSecond, 0.4))
		for _, node := range m.nodes {
			if node.demand > 0 {
				assert.InDelta(t, 1, node.share(), 0)
			}
		}
	})
}

// TestLimitOfZeroIsTried has a worker take nothing, and later everything again.
func TestLimitOfZeroIsTried(t *testing.T) {
	m := newModel(19, 9, 9, 10, 0)
	m.play(time.Second)
	m.named = true
	from := m.now
	m.play(20 * time.Second)
	assert.LessOrEqual(t, float64(m.most(from.Add(_settle))), m.allowed())
	m.named = false
	m.play(40 * time.Second)
	from = m.now
	m.play(5 * time.Second)
	assert.InDelta(t, 10, m.perSecondSince(from), 3)
}

// TestLimitIsLowered has the worker halve its limit again and again.
func TestLimitIsLowered(t *testing.T) {
	m := limited(20, 9, 40)
	for range 5 {
		m.perSecond /= 2
		from := m.now.Add(_settle)
		m.play(8 * time.Second)
		assert.LessOrEqual(t, float64(m.most(from)), m.allowed())
	}
}

// newBook returns the book of an instance that is alone.
func newBook() *Book {
	return &Book{Self: "edge-1", RegionOf: regionOfZone, Members: func() []Instance { return nil }, Send: func(string, Message) {}}
}

// TestLimitEndsWithTheIncarnation has a worker come back under its ID: the limit of its
// former incarnation holds no more, also if a message brings it late.
func TestLimitEndsWithTheIncarnation(t *testing.T) {
	b, old := newBook(), Worker{ID: "i-1", Born: 1, Zone: "0"}
	b.Named(_epoch, old, 0)
	verdict, _ := b.Take(_epoch, old, true)
	require.Equal(t, Granted, verdict, "the first permit")
	for verdict == Granted {
		verdict, _ = b.Take(_epoch, old, true)
	}
	fresh := Worker{ID: "i-1", Born: 2, Zone: "0"}
	verdict, _ = b.Take(_epoch, fresh, true)
	assert.Equal(t, Granted, verdict)
	b.Sweep(_epoch, func(w Worker) bool { return w == old })
	assert.Empty(t, b.Shares(_epoch))
	b.Named(_epoch, fresh, 7)
	b.Receive(_epoch.Add(time.Second), Message{From: "edge-2", Limits: []Notice{{Worker: "i-1", Born: 1, Named: true, PerSecond: 0.1}}})
	assert.Equal(t, map[string]float64{"i-1": 7}, b.Limits())
}

// TestAnswerOfEarlierRequestLiftsNoLimit has a request be answered late that was sent before
// the worker named its limit.
func TestAnswerOfEarlierRequestLiftsNoLimit(t *testing.T) {
	b, w := newBook(), Worker{ID: "i-1", Born: 1, Zone: "0"}
	b.Named(_epoch, w, 3)
	assert.False(t, b.Unnamed(_epoch.Add(time.Second), w, _epoch.Add(-time.Millisecond)))
	assert.Len(t, b.Limits(), 1)
	assert.True(t, b.Unnamed(_epoch.Add(time.Second), w, _epoch.Add(time.Millisecond)))
	assert.Empty(t, b.Limits())
}

// TestStartHearsOfLimits has an instance start and ask its neighbours.
func TestStartHearsOfLimits(t *testing.T) {
	b := newBook()
	const n = 3*_maxNotices + 1
	for i := range n {
		b.Named(_epoch, Worker{ID: string(rune('a' + i)), Born: 1, Zone: "0"}, 3)
	}
	fresh := newBook()
	for _, m := range b.Receive(_epoch.Add(time.Second), Message{From: "edge-2", Hello: true}) {
		data, err := m.Encode()
		require.NoError(t, err)
		decoded, ok := Decode(data)
		require.True(t, ok)
		fresh.Receive(_epoch.Add(time.Second), decoded)
	}
	assert.Equal(t, b.Limits(), fresh.Limits())
	for _, m := range newBook().Receive(_epoch, Message{From: "edge-2", Hello: true}) {
		assert.Empty(t, m.Limits, "an answer, though there is nothing to tell")
	}
}

// TestLateAnswerGrantsNothing has an issuer be suspended and answer afterwards: another may
// have issued permits meanwhile.
func TestLateAnswerGrantsNothing(t *testing.T) {
	var sent []Message
	b, w := newBook(), Worker{ID: "i-1", Born: 1, Zone: "0"}
	b.Members = func() []Instance { return []Instance{{Name: "edge-2", Zone: "0", Region: "r0", Address: "2"}} }
	b.Send = func(_ string, m Message) { sent = append(sent, m) }
	b.Named(_epoch, w, 3)
	verdict, _ := b.Take(_epoch, w, true)
	require.Equal(t, Pending, verdict)
	question := sent[len(sent)-1]
	notice := question.Ask.Notice
	late := _epoch.Add(_askTimeout)
	b.Receive(late, Message{From: "edge-2", Number: question.Number, Reply: &Reply{Notice: notice, Granted: 5}})
	verdict, _ = b.Take(late, w, false)
	assert.Equal(t, Denied, verdict)
}

func FuzzReceive(f *testing.F) {
	f.Add([]byte(`{"from":"e","number":1,"ask":{"worker":"i","born":1,"zone":"0","perSecond":3,"named":true,"ageMs":5,"share":1,"want":2,"demand":3}}`))
	f.Add([]byte(`{"from":"e","number":1,"reply":{"worker":"i","born":1,"zone":"0","perSecond":3,"named":true,"granted":2,"retryMs":30}}`))
	f.Add([]byte(`{"from":"e","limits":[{"worker":"i","born":1,"named":true}]}`))
	f.Add([]byte(`{"from":"e","hello":true}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, ok := Decode(data)
		if !ok {
			return
		}
		b := newBook()
		w := Worker{ID: "i", Born: 1, Zone: "0"}
		b.Named(_epoch, w, 3)
		b.Take(_epoch, w, true)
		b.Receive(_epoch, m)
		for _, share := range b.Shares(_epoch) {
			if !(share > 0 && share <= 1) {
				t.Fatalf("share %g", share)
			}
		}
	})
}
