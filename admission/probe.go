package admission

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/wigeonlock/wigeonlock/backend"
)

const _probesAtOnce = 8

// probe asks the workers of a service for their load. All instances of the
// zone together probe each worker about once every _probeInterval.
func (s *Service) probe(ctx context.Context, service string) error {
	st := s.queues[service]
	for {
		st.mu.Lock()
		names := st.Pool.Names()
		st.mu.Unlock()

		probes := pool.New().WithMaxGoroutines(_probesAtOnce)
		for _, name := range names {
			probes.Go(func() { s.probeWorker(ctx, st, service, name) })
		}
		probes.Wait()

		select {
		case <-ctx.Done():
			return nil
		case <-time.After(_probeInterval * time.Duration(max(s.Fleet.LocalInstances(time.Now()), 1))):
		}
	}
}

func (s *Service) probeWorker(ctx context.Context, st *post, service, name string) {
	st.mu.Lock()
	address, ok := st.Pool.Address(name)
	st.mu.Unlock()
	if !ok {
		return
	}
	probeCtx, cancel := context.WithTimeout(ctx, _probeTimeout)
	defer cancel()
	load, err := s.transport[service].Probe(probeCtx, backend.Worker{Name: name, Address: address})
	if err != nil {
		return // never the only evidence: requests decide
	}
	now := time.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	st.Pool.Reported(now, name, load.Busy, load.Draining)
	deliver(st.Serve(now))
}
