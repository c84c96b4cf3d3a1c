package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestIssuerIsTurnedAway has the store turn the issuer away: its lease ends, the others see its
// key go, and it goes on with the list from before, by which it is the issuer. It serves as many
// callers as its successor, which
// nobody can ask in the second case, so that another one stands in for it.
func TestIssuerIsTurnedAway(t *testing.T) {
	for _, successorSilent := range []bool{false, true} {
		forSizes(t, func(t *testing.T, n int, perSecond float64) {
			m := limited(23, n, perSecond)
			m.keepsAll = true
			turnedAway, from := m.issuerOf(m.nodes[0]), m.now
			turnedAway.demand = 3 * perSecond
			until := from.Add(4500 * time.Millisecond)
			turnedAway.book.Held = func() time.Time { return until }
			m.play(4500 * time.Millisecond)
			m.listed = func(viewer, other *node) bool { return viewer == turnedAway || other != turnedAway }
			m.play(time.Second)
			if successorSilent {
				m.silent = m.issuerOf(m.nodes[(turnedAway.index+1)%len(m.nodes)])
				m.silent.demand = 3 * perSecond
			}
			ended := m.now
			m.play(20 * time.Second)
			assert.LessOrEqual(t, float64(m.most(from)), m.allowed())
			assert.GreaterOrEqual(t, m.perSecondSince(ended), perSecond/2, "a successor issues")
			until = m.now.Add(time.Hour)
			m.listed = func(*node, *node) bool { return true }
			m.play(10 * time.Second)
			assert.LessOrEqual(t, float64(m.most(from)), m.allowed(), "registered again")
		})
	}
}
