package site

import (
	"encoding/json"
	"math"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/wigeonlock/wigeonlock/platform"
)

// readiness answers whether the instance takes callers.
func (i *Site) readiness() http.Handler {
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
func (i *Site) resolver() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ResolvePath, func(w http.ResponseWriter, r *http.Request) {
		q := platform.Resolve(r.URL.Query())
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
		if err := json.NewEncoder(w).Encode(platform.Resolved{Addresses: addresses, TTL: ttl}); err != nil {
			i.Log.Debug("answer of the directory was cut")
		}
	})
	return mux
}

// admin serves metrics.
func (i *Site) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return mux
}
