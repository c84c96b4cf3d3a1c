package exchange_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wigeonlock/wigeonlock/exchange"
)

// TestProbe has a worker answer a probe in different ways.
func TestProbe(t *testing.T) {
	tests := map[string]struct {
		answer string
		cold   time.Duration
		known  bool
	}{
		"warm":             {"HTTP/1.1 200 OK\r\nSelf: i-1\r\nContent-Length: 0\r\n\r\n", 0, true},
		"cold":             {"HTTP/1.1 200 OK\r\nSelf: i-1\r\nCold: 1500.5\r\nContent-Length: 0\r\n\r\n", 1500500 * time.Microsecond, true},
		"cold and failing": {"HTTP/1.1 503 No\r\nSelf: i-1\r\nCold: 7\r\nContent-Length: 0\r\n\r\n", 7 * time.Millisecond, true},
		"refused":          {"HTTP/1.1 503 No\r\nSelf: i-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 0, false},
		"another worker":   {"HTTP/1.1 200 OK\r\nSelf: i-2\r\nCold: 0\r\nContent-Length: 0\r\n\r\n", 0, false},
		"a late answer":    {"HTTP/1.1 200 OK\r\nId: 7\r\nSelf: i-1\r\nContent-Length: 0\r\n\r\n", 0, false},
		"no time":          {"HTTP/1.1 200 OK\r\nSelf: i-1\r\nCold: soon\r\nContent-Length: 0\r\n\r\n", 0, false},
		"no status":        {"HTTP/1.1 000 OK\r\nSelf: i-1\r\nCold: 0\r\nContent-Length: 0\r\n\r\n", 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte {
				assert.Equal(t, "/health", r.URL.Path)
				return []byte(tt.answer)
			})
			names := namesWithNews()
			names.Cold, names.Self = "Cold", "Self"
			pool := &exchange.Pool{HeaderNames: names}
			for range 2 {
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				cold, err := pool.Probe(ctx, w.target(), "/health")
				cancel()
				assert.Equal(t, tt.known, err == nil, "%v", err)
				assert.Equal(t, tt.cold, cold)
			}
			if _, conns := w.counts(); tt.known {
				assert.Equal(t, 1, conns, "the connection is used again")
			}
		})
	}
}
