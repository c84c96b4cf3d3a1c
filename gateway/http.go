package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/wigeonlock/wigeonlock/platform"
)

// _maxTeamMetrics limits the teams that have metrics of their own.
const _maxTeamMetrics = 20

// readiness returns the handler that reports whether the instance serves callers.
func (g *Gateway) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if err := g.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// resolver returns the handler that answers callers' queries for the addresses of
// instances.
func (g *Gateway) resolver() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ResolvePath, func(w http.ResponseWriter, r *http.Request) {
		q := platform.ParseResolveQuery(r.URL.Query())
		homes := g.forward.Homes(q.Host)
		g.mu.Lock()
		addresses := g.directory.Choose(q.Region, homes)
		g.mu.Unlock()
		if len(addresses) == 0 {
			http.Error(w, "no instance is known", http.StatusServiceUnavailable)
			return
		}
		ttl := min(math.Floor(_maxDirectoryTTL.Seconds()), g.Settings.TTLSeconds)
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(platform.ResolveReply{Addresses: addresses, TTL: ttl}); err != nil {
			g.Log.Debug("answer of the directory was truncated")
		}
	})
	return mux
}

// admin returns the handler that serves metrics.
func (g *Gateway) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
		g.writeState(w, time.Now())
	})
	return mux
}

// writeState writes metrics of the known state and its age.
func (g *Gateway) writeState(w io.Writer, now time.Time) {
	status := g.forward.Status(now)
	g.mu.Lock()
	instances, configuredAt := len(g.directory.Names()), g.configuredAt
	g.mu.Unlock()
	readAt := g.watcher.ReadAt()
	if readAt.IsZero() {
		readAt = g.startedAt
	}
	open, idle := g.pool.Connections()
	const age = `wigeonlock_belief_age_seconds{belief="%s"}`
	gauges := []struct {
		name  string
		value float64
	}{
		{fmt.Sprintf(age, "store"), now.Sub(readAt).Seconds()},
		{fmt.Sprintf(age, "configuration"), now.Sub(configuredAt).Seconds()},
		{fmt.Sprintf(age, "oldestWorker"), status.OldestUpdate.Seconds()},
		{"wigeonlock_configuration_version", float64(status.Version)},
		{"wigeonlock_instances_known", float64(instances)},
		{`wigeonlock_connections{use="callers"}`, float64(g.frontend.Connections())},
		{`wigeonlock_connections{use="workers"}`, float64(open)},
		{`wigeonlock_connections{use="workersIdle"}`, float64(idle)},
		{`wigeonlock_connections_limit{use="callers"}`, float64(g.frontend.MaxConns)},
		{`wigeonlock_connections_limit{use="workers"}`, float64(g.pool.MaxConns)},
		{`wigeonlock_workers_known{state="usable"}`, float64(status.Usable)},
		{`wigeonlock_workers_known{state="cold"}`, float64(status.Cold)},
		{`wigeonlock_workers_known{state="leaving"}`, float64(status.Leaving)},
		{`wigeonlock_workers_known{state="limited"}`, float64(len(status.Limits))},
	}
	for _, gauge := range gauges {
		metrics.WriteGaugeFloat64(w, gauge.name, gauge.value)
	}
	for name, value := range memoryGauges(g.memory) {
		metrics.WriteGaugeFloat64(w, name, value)
	}
	g.writeRations(w, now)
	for id, perSecond := range status.Limits {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("wigeonlock_worker_limit{worker=%q}", id), perSecond)
	}
	largest, rest := g.forward.TeamUsage(_maxTeamMetrics)
	for _, c := range largest {
		metrics.WriteCounterUint64(w, fmt.Sprintf(`wigeonlock_team_requests_total{team=%q,key="admitted"}`, c.Team), c.Admitted)
		metrics.WriteCounterUint64(w, fmt.Sprintf(`wigeonlock_team_requests_total{team=%q,key="withdrawn"}`, c.Team), c.Withdrawn)
	}
	if len(largest) == _maxTeamMetrics {
		metrics.WriteGaugeUint64(w, `wigeonlock_other_teams_requests{key="admitted"}`, rest.Admitted)
		metrics.WriteGaugeUint64(w, `wigeonlock_other_teams_requests{key="withdrawn"}`, rest.Withdrawn)
	}
}
