package forward

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/worker"
)

// _idleShare is the part of the connections that a worker accepts from all instances
// together which they keep idle. The rest is for requests that need a new one.
const _idleShare = 0.8

// maxIdle returns the MaxIdle of a worker. The caller holds s.mu.
func (s *Service) maxIdle(w *worker.Worker) int {
	if s.state.Catalog == nil {
		return 0
	}
	return idleConnections(s.state.Catalog.Service(w.Service).MaxConnections, len(s.state.Instances), w.ID+"/"+s.Instance)
}

// idleConnections returns this instance's part of the idle connections to a worker that
// accepts a number of connections from all instances together, as a MaxIdle. If there are
// fewer connections than instances, key decides which of them keep one.
func idleConnections(accepted, instances int, key string) int {
	if accepted <= 0 {
		return 0
	}
	const buckets = 1 << 20
	share := _idleShare * float64(accepted) / float64(max(instances, 1))
	whole := int(share)
	if float64(xxhash.Sum64String(key)%buckets) < (share-float64(whole))*buckets {
		whole++
	}
	if whole == 0 {
		return exchange.NoIdle
	}
	return whole
}
