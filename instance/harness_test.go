package instance_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/deployment"
	"github.com/wigeonlock/wigeonlock/deployment/loopback"
	"github.com/wigeonlock/wigeonlock/plan"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/settings"
	"github.com/wigeonlock/wigeonlock/standin"
)

const (
	_service      = "katalog"
	_customer     = "brunnthaler"
	_nordCustomer = "nordkunde"
	_waitLimit    = 20 * time.Second
)

// testDeployment returns a deployment with two regions and three zones.
func testDeployment() deployment.Deployment {
	d := deployment.Deployment{
		Name: "small",
		Regions: []settings.Region{
			{Name: "alpen", Zones: []string{"alpen-a", "alpen-b"}},
			{Name: "nord", Zones: []string{"nord-a"}},
		},
		Links:       []settings.Link{{From: "alpen", To: "nord", OneWayMs: 35, MbitPerSecond: 4000}},
		Connections: 330,
		Services: []deployment.Service{
			{Name: _service, Slots: 5, ServiceTime: 5 * time.Millisecond, Timeout: 2 * time.Second},
		},
		Instances: map[string]int{"alpen-a": 1, "alpen-b": 1, "nord-a": 1},
	}
	d.Lists = plan.Lists{Plans: []plan.Plan{{Name: "handel", Priority: 1, ShiftSlots: 4, Customers: []plan.CustomerEntry{
		{Name: _customer, HomeRegion: "alpen", Blocks: []string{"127.0.0.0/8"}},
		{Name: _nordCustomer, HomeRegion: "nord", Blocks: []string{"10.0.0.0/8"}},
	}}}}
	for _, r := range d.Regions {
		d.Lists.Allowances = append(d.Lists.Allowances, plan.Allowance{
			Plan: "handel", Region: r.Name, Service: _service, Slots: 100, MbitPerSecond: 10_000,
		})
	}
	return d
}

// start starts a cluster, adjusted by change, that ends with the test.
func start(t *testing.T, change func(*loopback.Cluster)) *loopback.Cluster {
	t.Helper()
	t.Parallel()
	c := &loopback.Cluster{Deployment: testDeployment(), WorkersPerZone: 2, Log: zap.NewNop()}
	c.Adjust = func(s *settings.Settings) { s.LookupTTLMs = 200 }
	if change != nil {
		change(c)
	}
	t.Cleanup(c.Abort)
	require.NoError(t, c.Start(context.Background()))
	return c
}

// call is a request of a test.
type call struct {
	method   string
	path     string
	body     []byte
	key      string
	customer string
	header   map[string]string
}

// result is the answer that a caller received.
type result struct {
	status  int
	outcome string
	reason  string
	id      string
	header  http.Header
	body    []byte
	err     error
}

func (c call) send(ctx context.Context, address string) result {
	if c.method == "" {
		c.method = http.MethodGet
	}
	if c.customer == "" {
		c.customer = _customer
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, bytes.NewReader(c.body))
	if err != nil {
		return result{err: err}
	}
	req.Header.Set(relay.HeaderService, _service)
	req.Header.Set(relay.HeaderCustomer, c.customer)
	if c.key != "" {
		req.Header["idempotency-key"] = []string{c.key} // net/http retries requests with the canonical name
	}
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	r := result{
		status: resp.StatusCode, header: resp.Header, outcome: resp.Header.Get(relay.HeaderOutcome),
		reason: resp.Header.Get(relay.HeaderReason), id: resp.Header.Get(relay.HeaderRequestID),
	}
	r.body, r.err = io.ReadAll(resp.Body)
	return r
}

func (c call) sendTo(n *loopback.EntryInstance) result {
	return c.send(context.Background(), n.Settings.Callers.Listen)
}

// reasonOf returns the reason of a JSON error.
func reasonOf(t *testing.T, body []byte) string {
	t.Helper()
	var e struct {
		Error struct {
			Reason  string `json:"reason"`
			Message string `json:"message"`
		} `json:"error"`
	}
	require.NoError(t, json.Unmarshal(body, &e), "body %q", body)
	require.NotEmpty(t, e.Error.Message)
	return e.Error.Reason
}

func getDocument(n int) call {
	return call{path: fmt.Sprintf("/bytes/%d", n)}
}

func documentBytes(n int) []byte {
	data, _ := io.ReadAll(&standin.Pattern{Size: int64(n)})
	return data
}

// runsOf returns how often all workers ran requests with an idempotency key.
func runsOf(c *loopback.Cluster, key string) int {
	n := 0
	for _, w := range c.Workers {
		for _, r := range w.Runs() {
			if r.IdempotencyKey == key {
				n++
			}
		}
	}
	return n
}

// ran reports whether a worker ran the request with the given ID.
func ran(c *loopback.Cluster, id string) bool {
	for _, w := range c.Workers {
		for _, r := range w.Runs() {
			if r.RequestID == id {
				return true
			}
		}
	}
	return false
}

func setMode(workers []*standin.Worker, mode standin.Mode) {
	for _, w := range workers {
		w.SetBehaviour(standin.Behaviour{Mode: mode})
	}
}
