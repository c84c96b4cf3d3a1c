package forward

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestIdleConnectionsOverAllInstances has all instances keep what they may of the connections
// that a worker accepts from all of them together.
func TestIdleConnectionsOverAllInstances(t *testing.T) {
	for _, accepted := range []int{330, 5400} {
		for _, n := range []int{1, 9, 87, 295, 540} {
			t.Run(fmt.Sprintf("%d connections, %d instances", accepted, n), func(t *testing.T) {
				sum, own := 0, 0
				for i := range n {
					kept := idleConnections(accepted, n, fmt.Sprint("i-1/edge-", i))
					sum += max(kept, 0)
					own = max(own, kept)
				}
				assert.LessOrEqual(t, sum, accepted)
				assert.GreaterOrEqual(t, own, 1)
			})
		}
	}
	assert.Zero(t, idleConnections(0, 9, "k"), "the service names no number")
}
