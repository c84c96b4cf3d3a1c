package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

// TestUnprovenRefusalPromisesNothing guards against orders that run twice: a worker ran one and
// answered 503 without stating that it did not, and the caller took that for a promise.
func TestUnprovenRefusalPromisesNothing(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		tests := map[string]struct {
			path    string
			results []exchange.Result
			sent    int
			status  int
		}{
			"not repeated":                    {"/pay/x", []exchange.Result{ran(status), ran(200)}, 1, 502},
			"refused truly, then not":         {"/pay/x", []exchange.Result{refused(), ran(status), ran(200)}, 2, 502},
			"repeatable is tried once more":   {"/read/x", []exchange.Result{ran(status), ran(200)}, 2, 200},
			"repeatable, not proven twice":    {"/read/x", []exchange.Result{ran(status)}, 2, 502},
			"repeatable, refused truly later": {"/read/x", []exchange.Result{ran(status), refused()}, 3, 502},
			"repeatable, failed later":        {"/read/x", []exchange.Result{ran(status), ran(500)}, 2, 500},
			"one attempt":                     {"/once/x", []exchange.Result{ran(status), ran(200)}, 1, 502},
		}
		for name, tt := range tests {
			t.Run(fmt.Sprint(status, " ", name), func(t *testing.T) {
				e := &exchanger{results: tt.results}
				a := newService(t, e, 4).Handle(context.Background(), request(tt.path))
				assert.Equal(t, tt.status, a.Status)
				assert.Len(t, e.sent, tt.sent)
				if tt.status == http.StatusBadGateway {
					data, _ := relay.Bytes(a)
					assert.Contains(t, string(data), "the request may have run")
					assert.Empty(t, relay.Get(a.Header, "Stamp"), "another status than the worker gave must not bear its stamp")
					assert.Empty(t, relay.Get(a.Header, "Retry-After"))
					assert.Equal(t, retry.Unknown, a.Outcome)
				}
			})
		}
	}
}

// TestUnprovenRefusalDrawsOnTheBudget checks that fresh attempts after such answers stay within
// the shared retry budget.
func TestUnprovenRefusalDrawsOnTheBudget(t *testing.T) {
	const requests = 200
	e := &exchanger{results: []exchange.Result{ran(http.StatusServiceUnavailable)}}
	s := newService(t, e, 4)
	for range requests {
		assert.Equal(t, http.StatusBadGateway, s.Handle(context.Background(), request("/read/x")).Status)
	}
	// 0.2 for each request and the extra of 58, of which this instance has its part.
	assert.LessOrEqual(t, float64(len(e.sent)-requests), 0.2*requests+58)
	assert.Greater(t, len(e.sent), requests, "some were tried once more")
}
