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

// readiness answers whether the instance takes callers.
func (i *Gateway) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if err := i.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// resolver tells callers which instances there are.
func (i *Gateway) resolver() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ResolvePath, func(w http.ResponseWriter, r *http.Request) {
		q := platform.ParseResolveQuery(r.URL.Query())
		homes := i.forward.Homes(q.Host)
		i.mu.Lock()
		addresses := i.directory.Choose(q.Region, homes)
		i.mu.Unlock()
		if len(addresses) == 0 {
			http.Error(w, "no instance is known", http.StatusServiceUnavailable)
			return
		}
		ttl := min(math.Floor(_maxTTL.Seconds()), i.Settings.TTLSeconds)
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(platform.ResolveReply{Addresses: addresses, TTL: ttl}); err != nil {
			i.Log.Debug("answer of the directory was cut")
		}
	})
	return mux
}

// admin serves metrics.
func (i *Gateway) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
		i.writeConditions(w, time.Now())
	})
	return mux
}

// writeConditions writes how old what the instance believes is.
func (i *Gateway) writeConditions(w io.Writer, now time.Time) {
	ages := i.forward.Status(now)
	i.mu.Lock()
	instances, since := len(i.directory.Names()), i.configuredAt
	i.mu.Unlock()
	readAt := i.watcher.ReadAt()
	if readAt.IsZero() {
		readAt = i.startedAt
	}
	const age = `wigeonlock_belief_age_seconds{belief="%s"}`
	gauges := []struct {
		name  string
		value float64
	}{
		{fmt.Sprintf(age, "store"), now.Sub(readAt).Seconds()},
		{fmt.Sprintf(age, "configuration"), now.Sub(since).Seconds()},
		{fmt.Sprintf(age, "oldestWorker"), ages.OldestUpdate.Seconds()},
		{"wigeonlock_configuration_version", float64(ages.Version)},
		{"wigeonlock_instances_known", float64(instances)},
		{`wigeonlock_workers_known{state="usable"}`, float64(ages.Usable)},
		{`wigeonlock_workers_known{state="cold"}`, float64(ages.Cold)},
		{`wigeonlock_workers_known{state="leaving"}`, float64(ages.Leaving)},
	}
	for _, g := range gauges {
		metrics.WriteGaugeFloat64(w, g.name, g.value)
	}
}
