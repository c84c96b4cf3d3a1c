package admission

import (
	"math/rand/v2"
	"sync"

	"github.com/wigeonlock/wigeonlock/backend"
)

// post is a queue with its lock, for requests that wait in goroutines.
type post struct {
	mu sync.Mutex
	Queue[*ticket]
}

// ticket is a request that waits for a worker. lost is guarded by the post.
type ticket struct {
	grant chan backend.Worker
	lost  bool
}

func newPost(service string, seed uint64) *post {
	p := &post{}
	p.Pool.Service = service
	p.Rand = rand.New(rand.NewPCG(seed, uint64(len(service))))
	return p
}

// deliver hands workers to the requests that waited. The post is locked.
func deliver(grants []Grant[*ticket]) {
	for _, g := range grants {
		if g.Dropped {
			g.Value.lost = true
			close(g.Value.grant)
			continue
		}
		g.Value.grant <- g.Worker
	}
}
