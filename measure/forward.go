package measure

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/deployment"
	"github.com/wigeonlock/wigeonlock/deployment/loopback"
	"github.com/wigeonlock/wigeonlock/plan"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/settings"
)

const (
	_forwardCallers  = 16
	_loadTime        = 3 * time.Second
	_warmUpTime      = time.Second
	_forwardSlots    = 400
	_forwardService  = "katalog"
	_forwardCustomer = "brunnthaler"
	_halfLoad        = 0.5
)

// ForwardResult compares requests through entry instances with direct ones.
type ForwardResult struct {
	// Paths are a direct request to the worker, one hop through an entry instance
	// of the worker's zone, and two hops through an instance of another zone.
	Paths []ForwardPath `json:"paths"`
}

// ForwardPath is the cost of one path to the worker.
type ForwardPath struct {
	Path string `json:"path"`
	// RequestsPerSecond is the maximum rate of 16 callers, with callers, entry
	// instances and workers in one process.
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	// P50Ms and P99Ms are measured at half of the lowest of the three maximum rates.
	P50Ms float64 `json:"p50Ms"`
	P99Ms float64 `json:"p99Ms"`
	// AddedP50Ms and AddedP99Ms are the differences to a direct request.
	AddedP50Ms float64 `json:"addedP50Ms"`
	AddedP99Ms float64 `json:"addedP99Ms"`
	RatioP50   float64 `json:"ratioP50"`
	RatioP99   float64 `json:"ratioP99"`
	// CPUMicros and Allocations are per request, in addition to those of a direct one.
	CPUMicros         float64 `json:"cpuMicrosPerRequest"`
	Allocations       float64 `json:"allocationsPerRequest"`
	RequestsPerCore   float64 `json:"requestsPerCoreSecond"`
	cpuTotal, mallocs float64
}

// Forward measures the latency and the processor time that one and two hops add.
func Forward(ctx context.Context, o Options) (ForwardResult, error) {
	c := &loopback.Cluster{Deployment: forwardDeployment(), WorkersPerZone: 1, Log: zap.NewNop()}
	o.progress("starting two zones")
	if err := c.Start(ctx); err != nil {
		return ForwardResult{}, err
	}
	defer c.Abort()
	// The first zone has no workers, so its requests take two hops.
	far, near := c.EntryInstances[0], c.EntryInstances[1]
	worker := c.WorkersOf("alpen-b", _forwardService)[0]
	if err := removeWorkers(ctx, c, "alpen-a"); err != nil {
		return ForwardResult{}, err
	}
	paths := []struct{ name, address string }{
		{"direct", worker.Address()},
		{"oneHop", near.Settings.Callers.Listen},
		{"twoHops", far.Settings.Callers.Listen},
	}
	result := ForwardResult{}
	lowestRate := 0.0
	for _, p := range paths {
		o.progress(p.name + ": at maximum rate")
		rate, err := maxRate(ctx, p.address)
		if err != nil {
			return ForwardResult{}, errors.Wrap(err, p.name)
		}
		if lowestRate == 0 || rate < lowestRate {
			lowestRate = rate
		}
		result.Paths = append(result.Paths, ForwardPath{Path: p.name, RequestsPerSecond: rate})
	}
	for i, p := range paths {
		o.progress(p.name + ": at half load")
		if err := result.Paths[i].atRate(ctx, p.address, lowestRate*_halfLoad); err != nil {
			return ForwardResult{}, errors.Wrap(err, p.name)
		}
	}
	result.compare()
	return result, nil
}

func (r *ForwardResult) compare() {
	direct := r.Paths[0]
	for i := range r.Paths {
		p := &r.Paths[i]
		p.AddedP50Ms = p.P50Ms - direct.P50Ms
		p.AddedP99Ms = p.P99Ms - direct.P99Ms
		p.RatioP50 = p.P50Ms / direct.P50Ms
		p.RatioP99 = p.P99Ms / direct.P99Ms
		p.CPUMicros = p.cpuTotal - direct.cpuTotal
		p.Allocations = p.mallocs - direct.mallocs
		if p.CPUMicros > 0 {
			p.RequestsPerCore = float64(time.Second/time.Microsecond) / p.CPUMicros
		}
	}
}

// maxRate returns the requests per second that the callers reach without pauses.
func maxRate(ctx context.Context, address string) (float64, error) {
	client := newForwardClient(address)
	defer client.CloseIdleConnections()
	if err := runLoad(ctx, _warmUpTime, _forwardCallers, 0, func(int) error { return forwardOnce(client) }); err != nil {
		return 0, err
	}
	l := newLatencies()
	started := time.Now()
	err := runLoad(ctx, _warmUpTime, _forwardCallers, 0, func(int) error {
		sent := time.Now()
		err := forwardOnce(client)
		l.add(time.Since(sent))
		return err
	})
	return float64(l.count()) / time.Since(started).Seconds(), err
}

// atRate measures latency and cost at a fixed rate in requests per second.
func (p *ForwardPath) atRate(ctx context.Context, address string, rate float64) error {
	client := newForwardClient(address)
	defer client.CloseIdleConnections()
	l := newLatencies()
	before := readUsage()
	err := runLoad(ctx, _loadTime, _forwardCallers, rate, func(int) error {
		sent := time.Now()
		err := forwardOnce(client)
		l.add(time.Since(sent))
		return err
	})
	used := readUsage().since(before)
	p.P50Ms, p.P99Ms = l.percentileMs(_p50), l.percentileMs(_p99)
	n := float64(l.count())
	p.cpuTotal = float64(used.cpu.Microseconds()) / n
	p.mallocs = float64(used.mallocs) / n
	return err
}

func newForwardClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{Addr: address, MaxConns: _forwardCallers, ReadTimeout: 5 * time.Second}
}

// forwardOnce sends a request and returns an error if it did not run.
func forwardOnce(client *fasthttp.HostClient) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + client.Addr + "/echo?q=1")
	req.Header.Set(relay.HeaderService, _forwardService)
	req.Header.Set(relay.HeaderCustomer, _forwardCustomer)
	if err := client.Do(req, resp); err != nil {
		return err
	}
	outcome := string(resp.Header.Peek(relay.HeaderOutcome))
	if resp.StatusCode() != fasthttp.StatusOK || (outcome != "" && outcome != string(retry.Run)) {
		return errors.Errorf("request returned status %d, reason %q", resp.StatusCode(), resp.Header.Peek(relay.HeaderReason))
	}
	return nil
}

func forwardDeployment() deployment.Deployment {
	d := deployment.Deployment{
		Name:        "forward",
		Regions:     []settings.Region{{Name: "alpen", Zones: []string{"alpen-a", "alpen-b"}}},
		Connections: _forwardSlots,
		Services:    []deployment.Service{{Name: _forwardService, Slots: _forwardSlots, Timeout: 2 * time.Second}},
		Instances:   map[string]int{"alpen-a": 1, "alpen-b": 1},
	}
	d.Lists = plan.Lists{
		Plans: []plan.Plan{{Name: "handel", Priority: 1, Customers: []plan.CustomerEntry{
			{Name: _forwardCustomer, HomeRegion: "alpen", Blocks: []string{"127.0.0.0/8"}},
		}}},
		Allowances: []plan.Allowance{{Plan: "handel", Region: "alpen", Service: _forwardService, Slots: 10_000}},
	}
	return d
}

// removeWorkers marks the workers of a zone as leaving, gives its instances time to
// observe that, and stops the workers.
func removeWorkers(ctx context.Context, c *loopback.Cluster, zone string) error {
	const settle = 3 * time.Second
	for _, w := range c.WorkersOf(zone, _forwardService) {
		if err := w.Leave(ctx, settle); err != nil {
			return errors.Wrap(err, "remove worker")
		}
	}
	return nil
}
