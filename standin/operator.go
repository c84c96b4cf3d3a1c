package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// Headers that workers of the users' platform return to callers.
const (
	StampHeader     = "X-Server-Stamp"
	RequestIDHeader = "X-Request-Id"
)

// Route is a route in the configuration that the operator of the users' platform
// writes. Its path prefix is its name between slashes.
type Route struct {
	Name        string
	Host        string
	Kind        string
	Timeout     time.Duration
	Objective   time.Duration
	Service     string
	MaxAttempts int
	Homes       []string
	// Split is the weight of each service, used if Service is empty.
	Split map[string]int
}

// Configure writes a configuration as the operator does. coldRate is the number of
// requests that a cold worker can handle in a second.
func (kv *KV) Configure(version uint32, routes []Route, services []string, coldRate int) {
	type table struct {
		Columns []string `json:"columns"`
		Rows    [][]any  `json:"rows"`
	}
	routeTable := table{Columns: []string{
		"name", "host", "prefix", "route_kind", "timeout_ms", "target_latency_ms", "priority", "service", "max_attempts",
		"sticky", "home_regions", "traffic_split",
	}}
	for _, r := range routes {
		var service, split any
		if r.Service != "" {
			service = r.Service
		} else {
			var parts []map[string]any
			for name, weight := range r.Split {
				parts = append(parts, map[string]any{"service": name, "weight": weight})
			}
			split = parts
		}
		routeTable.Rows = append(routeTable.Rows, []any{
			r.Name, r.Host, "/" + r.Name + "/", r.Kind, r.Timeout.Milliseconds(), r.Objective.Milliseconds(), 1, service,
			r.MaxAttempts, true, append([]string{}, r.Homes...), split,
		})
	}
	const (
		connections  = 330
		coldSeconds  = 3.0
		headerBytes  = 16 << 10
		bodyBytes    = 64 << 20
		headerMillis = 3000
		idleMillis   = 15000
	)
	serviceTable := table{Columns: []string{"name", "health_path", "max_conns", "protocol", "tls", "cold_start_s", "cold_per_s"}}
	for _, name := range services {
		serviceTable.Rows = append(serviceTable.Rows, []any{name, "/health", connections, "h1", false, coldSeconds, coldRate})
	}
	config, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routeTable, "services": serviceTable,
		"limits": map[string]int{
			"max_header_bytes": headerBytes, "max_body_bytes": bodyBytes, "header_timeout_ms": headerMillis,
			"idle_timeout_ms": idleMillis,
		},
	})
	if err != nil {
		panic("configuration cannot be encoded: " + err.Error())
	}
	kv.Write("op/config", string(config))
}

// Evacuate writes the operator's request to close a zone, so that its workers get no
// more requests, or deletes it if closed is false.
func (kv *KV) Evacuate(zone string, closed bool) {
	if closed {
		kv.Write("op/evacuate/"+zone, "{}")
		return
	}
	kv.Delete("op/evacuate/" + zone)
}

// ClosedZones returns the zones that the operator asked to close.
func (kv *KV) ClosedZones() []string { return kv.names("op/evacuate/") }

// Workers returns the IDs of the workers that have an entry.
func (kv *KV) Workers() []string { return kv.names("servers/") }

// names returns the keys with a prefix, without it.
func (kv *KV) names(prefix string) []string {
	names := kv.Keys(prefix)
	for i, key := range names {
		names[i] = strings.TrimPrefix(key, prefix)
	}
	return names
}

// RemoveWorker removes the entry of a worker.
func (kv *KV) RemoveWorker(id string) { kv.Delete("servers/" + id) }

// Unregister removes the worker's entry from the store.
func (b *Backend) Unregister(kv *KV) { kv.RemoveWorker(b.ID) }

// WriteHead writes the head of a caller's request, without the headers that
// describe its body and without the empty line. limit is the caller's deadline.
func WriteHead(w io.Writer, method, path, host, id, object string, limit time.Duration) {
	_, _ = fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Affinity-Key: %s\r\nX-Deadline-Ms: %s\r\n",
		method, path, host, id, object, strconv.FormatInt(limit.Milliseconds(), 10))
}
