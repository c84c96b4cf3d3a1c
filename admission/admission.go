// Package admission admits requests to the workers of the local zone and runs
// them there.
//
// Every request to a worker of the zone passes through it, whether it comes from a
// caller or from an entry instance of another zone. The package checks the plan's
// allowance, the plan's shift cap if the customer's home region is another one,
// the capacity for requests moved from other zones and the link's rate, and chooses
// the worker. A request refused here certainly did not run.
//
// # Usage
//
//	a := &admission.Service{Settings: s, Lists: follower, Shift: quotas, Members: members}
//	answer := a.Handle(ctx, request)
package admission

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/backend"
	backendhttp "github.com/wigeonlock/wigeonlock/backend/http"
	"github.com/wigeonlock/wigeonlock/discovery"
	"github.com/wigeonlock/wigeonlock/gossip"
	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/limit"
	"github.com/wigeonlock/wigeonlock/plan"
	"github.com/wigeonlock/wigeonlock/quota"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/rollout"
	"github.com/wigeonlock/wigeonlock/settings"
)

const (
	// ServiceName is the name of the service in its kernel.
	ServiceName = "admission"

	_probeTimeout  = 500 * time.Millisecond
	_probeInterval = time.Second
	_queueTick     = 10 * time.Millisecond
	_linkShare     = 0.9
	_bitsPerByte   = 8
	_bitsPerMbit   = 1e6
)

// Lists returns the active lists, or nil while there are none.
type Lists interface {
	Current() *rollout.Current
}

// Shift admits requests within a plan's shift cap.
type Shift interface {
	Admit(now time.Time, plan string) quota.Reason
	Release(plan string)
}

// Members provides the known state of the other instances.
type Members interface {
	// LocalInstances returns the number of live instances in the local zone.
	LocalInstances(now time.Time) int
	// Rank returns the rank of this instance among the live instances of the local
	// region, and their number.
	Rank(now time.Time) (rank, members int)
	// Busy returns the number of slots that the other instances of the zone occupy.
	Busy(now time.Time, service string) int
}

// Service admits and runs requests. The exported fields are set before Start.
type Service struct {
	Settings *settings.Settings
	Lists    Lists
	Shift    Shift
	Members  Members
	// Seed seeds the random choice of workers.
	Seed uint64

	queues    map[string]*lockedQueue
	transport map[string]*backendhttp.Transport

	mu         sync.Mutex
	allowances quota.Meter[plan.AllowanceKey]
	rates      map[string]*limit.Bucket
}

var (
	_ kernel.Service = (*Service)(nil)
	_ relay.Handler  = (*Service)(nil)
)

// Name returns ServiceName.
func (s *Service) Name() string { return ServiceName }

// Start starts to probe the workers.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	s.queues = make(map[string]*lockedQueue, len(s.Settings.Services))
	s.transport = make(map[string]*backendhttp.Transport, len(s.Settings.Services))
	s.rates = make(map[string]*limit.Bucket)
	for i, svc := range s.Settings.Services {
		s.queues[svc.Name] = newLockedQueue(svc.Name, s.Seed+uint64(i))
		s.transport[svc.Name] = &backendhttp.Transport{Connections: svc.ConnectionsPerWorker / 2}
		k.Go(ServiceName, func(ctx context.Context) error { return s.probe(ctx, svc.Name) })
	}
	k.Go(ServiceName, s.tick)
	return nil
}

// Stop does nothing: the services that call Handle wait for their own requests.
func (s *Service) Stop(context.Context) error { return nil }

// UpdateWorkers applies the platform's list to the workers of the local zone.
func (s *Service) UpdateWorkers(now time.Time, records []discovery.Record) {
	byService := make(map[string][]backend.Worker, len(s.queues))
	addresses := make(map[string]struct{})
	for _, rec := range records {
		if rec.Kind != discovery.Worker || rec.Zone != s.Settings.Zone {
			continue
		}
		svc, known := s.Settings.Service(rec.Service)
		if !known {
			continue
		}
		slots := rec.Slots
		if slots == 0 {
			slots = svc.SlotsPerWorker
		}
		addresses[rec.Address] = struct{}{}
		byService[rec.Service] = append(byService[rec.Service], backend.Worker{
			Name: rec.Name, Address: rec.Address, Slots: slots, Leaving: rec.State == discovery.Leaving,
		})
	}
	for name, q := range s.queues {
		q.mu.Lock()
		q.Pool.UpdateWorkers(now, byService[name])
		deliver(q.Serve(now))
		q.mu.Unlock()
		s.transport[name].CloseUnlisted(addresses)
	}
}

// Workers returns the number of listed workers in the local zone.
func (s *Service) Workers() int {
	n := 0
	for _, q := range s.queues {
		q.mu.Lock()
		n += len(q.Pool.Names())
		q.mu.Unlock()
	}
	return n
}

// Loads returns the load of this instance and its headroom for other zones, for
// each service.
func (s *Service) Loads(now time.Time) []gossip.ServiceLoad {
	loads := make([]gossip.ServiceLoad, 0, len(s.queues))
	for _, svc := range s.Settings.Services {
		q := s.queues[svc.Name]
		busy := s.Members.Busy(now, svc.Name)
		q.mu.Lock()
		slots, inFlight := q.Pool.Load(now)
		loads = append(loads, gossip.ServiceLoad{
			Service: svc.Name, Slots: slots, Busy: inFlight, Headroom: q.Headroom(now, busy),
		})
		q.mu.Unlock()
	}
	return loads
}

// Capacity returns the capacity that the next request would find, or the zero
// Capacity for an unknown service.
func (s *Service) Capacity(now time.Time, service string) Capacity {
	q, ok := s.queues[service]
	if !ok {
		return Capacity{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.Capacity(now)
}

// Handle admits a request, runs it on a worker of the local zone and returns the
// worker's answer. The resources of the request are released when the body of the
// answer is closed.
func (s *Service) Handle(ctx context.Context, r *relay.Request) *relay.Answer {
	now := time.Now()
	current := s.Lists.Current()
	customer, refusal := Find(current, s.Settings, r)
	if refusal != nil {
		return refusal
	}
	release, refusal := s.reserve(now, r, customer, current.Index)
	if refusal != nil {
		return refusal
	}
	answer := s.run(ctx, r, customer)
	s.charge(answer, r, customer)
	answer.OnClose(release)
	return answer
}

// Find returns the customer of a request according to the active lists. It returns
// a refusal while there are no lists, and for an unknown service or customer.
func Find(current *rollout.Current, s *settings.Settings, r *relay.Request) (*plan.Customer, *relay.Answer) {
	if current == nil {
		return nil, relay.NotRun(relay.NoLists)
	}
	if _, ok := s.Service(r.Service); !ok {
		return nil, relay.NotRun(relay.UnknownService)
	}
	customer, ok := current.Index.Customer(r.Customer)
	if !ok {
		return nil, relay.NotRun(relay.UnknownCustomer)
	}
	return customer, nil
}

// reserve acquires the plan's allowance and shift slot, and returns the function
// that releases them.
func (s *Service) reserve(
	now time.Time, r *relay.Request, customer *plan.Customer, index *plan.Index,
) (func(), *relay.Answer) {
	key := plan.AllowanceKey{Plan: customer.Plan.Name, Region: s.Settings.Region, Service: r.Service}
	if refusal := s.reserveAllowance(now, r, key, index.Allowance(key)); refusal != nil {
		return nil, refusal
	}
	release := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.allowances.Release(key)
	}
	if customer.HomeRegion == s.Settings.Region {
		return release, nil
	}
	if reason := s.Shift.Admit(now, customer.Plan.Name); reason != quota.Admitted {
		release()
		return nil, relay.NotRun(relay.Reason(reason))
	}
	return func() {
		s.Shift.Release(customer.Plan.Name)
		release()
	}, nil
}

func (s *Service) reserveAllowance(
	now time.Time, r *relay.Request, key plan.AllowanceKey, allowance plan.Allowance,
) *relay.Answer {
	if allowance.Slots == 0 {
		return relay.NotRun(relay.NoAllowance)
	}
	rank, members := s.Members.Rank(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if linkRate := s.linkRate(r.FromZone); linkRate > 0 && !s.bucket("link "+r.FromZone).Admit(now, linkRate/float64(members)) {
		return relay.NotRun(relay.LinkFull)
	}
	if rate := bytesPerSecond(allowance.MbitPerSecond); rate > 0 &&
		!s.bucket(key.Plan+"/"+key.Service).Admit(now, rate/float64(max(members, 1))) {
		return relay.NotRun(relay.AllowanceUsed)
	}
	if !s.allowances.Admit(key, quota.Split(allowance.Slots, members, rank)) {
		return relay.NotRun(relay.AllowanceUsed)
	}
	return nil
}

// charge counts the bytes of an answer against the plan's rate, and against the rate
// of the link if the answer goes to another region.
func (s *Service) charge(a *relay.Answer, r *relay.Request, customer *plan.Customer) {
	if a.Body == nil {
		return
	}
	names := []string{customer.Plan.Name + "/" + r.Service}
	if s.linkRate(r.FromZone) > 0 {
		names = append(names, "link "+r.FromZone)
	}
	a.Body = &meteredBody{ReadCloser: a.Body, charge: func(n int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, name := range names {
			s.bucket(name).Charge(n)
		}
	}}
}

type meteredBody struct {
	io.ReadCloser
	charge func(n int)
}

func (m *meteredBody) Read(p []byte) (int, error) {
	n, err := m.ReadCloser.Read(p)
	m.charge(n)
	return n, err
}

// linkRate returns the rate, in bytes per second, that answers may use of the link
// to a zone's region, or zero if there is no such link.
func (s *Service) linkRate(zone string) float64 {
	region := s.Settings.RegionOf(zone)
	if region == "" || region == s.Settings.Region {
		return 0
	}
	link, ok := s.Settings.LinkBetween(s.Settings.Region, region)
	if !ok {
		return 0
	}
	return bytesPerSecond(link.MbitPerSecond) * _linkShare
}

func bytesPerSecond(mbit int) float64 {
	return float64(mbit) * _bitsPerMbit / _bitsPerByte
}

func (s *Service) bucket(name string) *limit.Bucket {
	b, ok := s.rates[name]
	if !ok {
		b = &limit.Bucket{}
		s.rates[name] = b
	}
	return b
}

// run acquires a slot and sends the request to its worker.
func (s *Service) run(ctx context.Context, r *relay.Request, customer *plan.Customer) *relay.Answer {
	q := s.queues[r.Service]
	w, refusal := s.acquire(ctx, q, r, customer)
	if refusal != nil {
		return refusal
	}
	sent := time.Now()
	answer, result := s.transport[r.Service].Handle(ctx, w, r)
	if result == backend.Refused && relay.Get(answer.Header, relay.HeaderDraining) != "" {
		q.mu.Lock()
		q.Pool.MarkDraining(w.Name)
		q.mu.Unlock()
	}
	if answer.Outcome != retry.Run {
		s.finish(q, w, result, time.Since(sent))
		return answer
	}
	body := &resultBody{ReadCloser: answer.Body, result: result}
	answer.Body = body
	answer.OnClose(func() { s.finish(q, w, body.result, time.Since(sent)) })
	return answer
}

// resultBody sets the result to Broken if reading the body fails.
type resultBody struct {
	io.ReadCloser
	result backend.Result
}

func (b *resultBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.result = backend.Broken
	}
	return n, err
}

func (s *Service) finish(q *lockedQueue, w backend.Worker, result backend.Result, latency time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	deliver(q.Done(time.Now(), w.Name, result, latency))
}

// acquire returns a worker with an acquired slot, waiting for it if necessary.
func (s *Service) acquire(ctx context.Context, q *lockedQueue, r *relay.Request, customer *plan.Customer) (backend.Worker, *relay.Answer) {
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(s.Settings.LongestTimeout())
	}
	instances, busy := s.Members.LocalInstances(now), s.Members.Busy(now, r.Service)
	entry := &waiter{grant: make(chan backend.Worker, 1)}

	q.mu.Lock()
	q.Pool.Instances = instances
	decision, dropped := q.Acquire(now, Arrival[*waiter]{
		Value: entry, Moved: s.moved(r, customer),
		Tried: r.Tried, Priority: customer.Plan.Priority, Deadline: deadline, BusyElsewhere: busy,
	})
	deliver(dropped)
	q.mu.Unlock()
	switch {
	case decision.Granted:
		return decision.Worker, nil
	case decision.Queued:
		return s.wait(ctx, q, entry)
	default:
		return backend.Worker{}, relay.NotRun(decision.Refusal)
	}
}

// moved reports whether a request was moved here from a zone that could have run
// it as well. A request that returns to its home region does not count as moved: it
// may be queued like those of local callers.
func (s *Service) moved(r *relay.Request, customer *plan.Customer) bool {
	if customer.HomeRegion != s.Settings.Region {
		return true
	}
	return r.FromZone != s.Settings.Zone && s.Settings.RegionOf(r.FromZone) == s.Settings.Region
}

func (s *Service) wait(ctx context.Context, q *lockedQueue, entry *waiter) (backend.Worker, *relay.Answer) {
	select {
	case w, ok := <-entry.grant:
		if !ok {
			return backend.Worker{}, relay.NotRun(relay.QueueFull)
		}
		return w, nil
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.Cancel(entry) && !entry.dropped {
		w := <-entry.grant // granted at the same moment
		deliver(q.Done(time.Now(), w.Name, backend.Cancelled, 0))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return backend.Worker{}, relay.NotRun(relay.TooLate)
	}
	return backend.Worker{}, relay.NotRun(relay.CallerDisconnected)
}

// tick serves the queues, since workers may become usable without a request ending.
func (s *Service) tick(ctx context.Context) error {
	return kernel.Every(ctx, _queueTick, func(now time.Time) {
		for _, q := range s.queues {
			q.mu.Lock()
			deliver(q.Serve(now))
			q.mu.Unlock()
		}
	})
}
