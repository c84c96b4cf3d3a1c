package admission

import (
	"math/rand/v2"
	"sync"

	"github.com/wigeonlock/wigeonlock/backend"
)

// lockedQueue is a Queue with its lock, for requests that wait in goroutines.
type lockedQueue struct {
	mu sync.Mutex
	Queue[*waiter]
}

// waiter is a request that waits for a worker. dropped is guarded by the lock of
// its queue.
type waiter struct {
	grant   chan backend.Worker
	dropped bool
}

func newLockedQueue(service string, seed uint64) *lockedQueue {
	q := &lockedQueue{}
	q.Pool.Service = service
	q.Rand = rand.New(rand.NewPCG(seed, uint64(len(service))))
	return q
}

// deliver passes granted workers to the waiting requests. The caller holds the lock
// of the queue.
func deliver(grants []Grant[*waiter]) {
	for _, g := range grants {
		if g.Dropped {
			g.Value.dropped = true
			close(g.Value.grant)
			continue
		}
		g.Value.grant <- g.Worker
	}
}
