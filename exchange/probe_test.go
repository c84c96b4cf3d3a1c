package exchange_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
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

// TestEndlessHealthAnswers guards against a process that runs out of memory: workers in trouble
// answered probes at their health path without end, and what arrived was kept.
func TestEndlessHealthAnswers(t *testing.T) {
	const probes = 16
	for kind, start := range map[string]string{
		"without a length": "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n",
		"chunks":           "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"long":             "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 60000000\r\n\r\n",
		"other answers":    "HTTP/1.1 200 OK\r\nId: x%s\r\nContent-Length: 60000000\r\n\r\n",
	} {
		t.Run(kind, func(t *testing.T) {
			chunk := []byte("8000\r\n" + strings.Repeat("x", 32<<10) + "\r\n")
			w := startWorker(t, func(_ int, r *http.Request, c net.Conn) []byte {
				_, err := fmt.Fprintf(c, start, r.Header.Get("Id"))
				for err == nil {
					_, err = c.Write(chunk)
				}
				return nil
			})
			p := &exchange.Pool{HeaderNames: _names}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var wg sync.WaitGroup
			for range probes {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
					defer cancel()
					_, err := p.Probe(ctx, w.target(), "/health")
					assert.Error(t, err)
				})
			}
			wg.Wait()
			runtime.ReadMemStats(&after)
			assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(probes<<20), "bytes allocated")
		})
	}
}
