package admission

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/wigeonlock/wigeonlock/backend"
)

const _probesAtOnce = 8

// probe requests the load of the workers of a service. All instances of the zone
// together probe each worker about once every _probeInterval.
func (s *Service) probe(ctx context.Context, service string) error {
	q := s.queues[service]
	for {
		q.mu.Lock()
		names := q.Pool.Names()
		q.mu.Unlock()

		probes := pool.New().WithMaxGoroutines(_probesAtOnce)
		for _, name := range names {
			probes.Go(func() { s.probeWorker(ctx, q, service, name) })
		}
		probes.Wait()

		select {
		case <-ctx.Done():
			return nil
		case <-time.After(_probeInterval * time.Duration(max(s.Members.LocalInstances(time.Now()), 1))):
		}
	}
}

func (s *Service) probeWorker(ctx context.Context, q *lockedQueue, service, name string) {
	q.mu.Lock()
	address, ok := q.Pool.Address(name)
	q.mu.Unlock()
	if !ok {
		return
	}
	probeCtx, cancel := context.WithTimeout(ctx, _probeTimeout)
	defer cancel()
	load, err := s.transport[service].Probe(probeCtx, backend.Worker{Name: name, Address: address})
	if err != nil {
		return // only failed requests count against a worker
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.Pool.RecordLoad(now, name, load.Busy, load.Draining)
	deliver(q.Serve(now))
}
