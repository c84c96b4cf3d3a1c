// Package admission decides what runs on the workers of the own zone, and
// runs it there.
//
// Everything that a worker of the zone gets passes here, whether it comes from
// a caller or from an entry instance of another zone: the plan's allowance,
// the plan's shift cap when the customer's home region is another one, the
// room for moved work, the link's rate, and the choice of a worker. A refusal
// here is truly not run.
//
// # Usage
//
//	a := &admission.Service{Settings: s, Lists: follower, Shift: keeper, Fleet: members}
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

// Lists gives the lists in force.
type Lists interface {
	Current() *rollout.Current
}

// Shift admits requests within a plan's shift cap.
type Shift interface {
	Admit(now time.Time, plan string) quota.Reason
	Release(plan string)
}

// Fleet tells who else there is.
type Fleet interface {
	// LocalInstances returns the live instances of the own zone.
	LocalInstances(now time.Time) int
	// Rank returns the own rank among the live instances of the own region.
	Rank(now time.Time) (rank, members int)
	// Busy returns the slots that the other instances of the zone occupy.
	Busy(now time.Time, service string) int
}

// Service admits and runs requests. The exported fields are set before Start.
type Service struct {
	Settings *settings.Settings
	Lists    Lists
	Shift    Shift
	Fleet    Fleet
	// Seed seeds the choice of workers.
	Seed uint64

	queues    map[string]*post
	transport map[string]*backendhttp.Transport

	mu         sync.Mutex
	allowances quota.Meter[plan.Place]
	rates      map[string]*limit.Bucket
}

var (
	_ kernel.Service = (*Service)(nil)
	_ relay.Handler  = (*Service)(nil)
)

// Name returns ServiceName.
func (s *Service) Name() string { return ServiceName }

// Start begins to probe the workers.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	s.queues = make(map[string]*post, len(s.Settings.Services))
	s.transport = make(map[string]*backendhttp.Transport, len(s.Settings.Services))
	s.rates = make(map[string]*limit.Bucket)
	for i, svc := range s.Settings.Services {
		s.queues[svc.Name] = newPost(svc.Name, s.Seed+uint64(i))
		s.transport[svc.Name] = &backendhttp.Transport{Connections: svc.ConnectionsPerWorker / 2}
		k.Go(ServiceName, func(ctx context.Context) error { return s.probe(ctx, svc.Name) })
	}
	k.Go(ServiceName, s.tick)
	return nil
}

// Stop does nothing: the callers of Handle are waited for by their services.
func (s *Service) Stop(context.Context) error { return nil }

// Listed takes the workers of the own zone from the platform's list.
func (s *Service) Listed(now time.Time, records []discovery.Record) {
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
	for name, st := range s.queues {
		st.mu.Lock()
		st.Pool.Listed(now, byService[name])
		deliver(st.Serve(now))
		st.mu.Unlock()
		s.transport[name].Keep(addresses)
	}
}

// Workers returns the number of workers listed in the own zone.
func (s *Service) Workers() int {
	n := 0
	for _, st := range s.queues {
		st.mu.Lock()
		n += len(st.Pool.Names())
		st.mu.Unlock()
	}
	return n
}

// Loads returns what this instance has in flight and may take from other zones.
func (s *Service) Loads(now time.Time) []gossip.ServiceLoad {
	loads := make([]gossip.ServiceLoad, 0, len(s.queues))
	for _, svc := range s.Settings.Services {
		st := s.queues[svc.Name]
		busy := s.Fleet.Busy(now, svc.Name)
		st.mu.Lock()
		slots, inFlight := st.Pool.Load(now)
		loads = append(loads, gossip.ServiceLoad{
			Service: svc.Name, Slots: slots, Busy: inFlight, Headroom: st.Headroom(now, busy),
		})
		st.mu.Unlock()
	}
	return loads
}

// Room tells what a request would find.
func (s *Service) Room(now time.Time, service string) Room {
	st, ok := s.queues[service]
	if !ok {
		return Room{}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.Room(now)
}

// Handle admits a request, runs it on a worker of the own zone and returns the
// worker's answer. What the request occupies is freed when the answer's body
// is closed.
func (s *Service) Handle(ctx context.Context, r *relay.Request) *relay.Answer {
	now := time.Now()
	current := s.Lists.Current()
	tenant, refusal := Find(current, s.Settings, r)
	if refusal != nil {
		return refusal
	}
	release, refusal := s.reserve(now, r, tenant, current.Book)
	if refusal != nil {
		return refusal
	}
	answer := s.run(ctx, r, tenant)
	s.charge(answer, r, tenant)
	answer.OnClose(release)
	return answer
}

// Find returns the customer of a request under the lists in force, or the
// refusal of one that names an unknown service or customer.
func Find(current *rollout.Current, s *settings.Settings, r *relay.Request) (*plan.Tenant, *relay.Answer) {
	if current == nil {
		return nil, relay.NotRun(relay.NoLists)
	}
	if _, ok := s.Service(r.Service); !ok {
		return nil, relay.NotRun(relay.UnknownService)
	}
	tenant, ok := current.Book.Customer(r.Customer)
	if !ok {
		return nil, relay.NotRun(relay.UnknownCustomer)
	}
	return tenant, nil
}

// reserve takes the plan's allowance and shift cap, and returns the function
// that frees them.
func (s *Service) reserve(
	now time.Time, r *relay.Request, t *plan.Tenant, book *plan.Book,
) (func(), *relay.Answer) {
	place := plan.Place{Plan: t.Plan.Name, Region: s.Settings.Region, Service: r.Service}
	if refusal := s.reserveAllowance(now, r, place, book.Allowance(place)); refusal != nil {
		return nil, refusal
	}
	release := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.allowances.Release(place)
	}
	if t.HomeRegion == s.Settings.Region {
		return release, nil
	}
	if reason := s.Shift.Admit(now, t.Plan.Name); reason != quota.Admitted {
		release()
		return nil, relay.NotRun(relay.Reason(reason))
	}
	return func() {
		s.Shift.Release(t.Plan.Name)
		release()
	}, nil
}

func (s *Service) reserveAllowance(
	now time.Time, r *relay.Request, place plan.Place, allowance plan.Allowance,
) *relay.Answer {
	if allowance.Slots == 0 {
		return relay.NotRun(relay.NoAllowance)
	}
	rank, members := s.Fleet.Rank(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if mbit := s.linkRate(r.FromZone); mbit > 0 && !s.bucket("link "+r.FromZone).Admit(now, mbit/float64(members)) {
		return relay.NotRun(relay.LinkFull)
	}
	if rate := bytesPerSecond(allowance.MbitPerSecond); rate > 0 &&
		!s.bucket(place.Plan+"/"+place.Service).Admit(now, rate/float64(max(members, 1))) {
		return relay.NotRun(relay.AllowanceUsed)
	}
	if !s.allowances.Admit(place, quota.Split(allowance.Slots, members, rank)) {
		return relay.NotRun(relay.AllowanceUsed)
	}
	return nil
}

// charge counts the bytes of an answer against the plan's rate and the link
// that they cross.
func (s *Service) charge(a *relay.Answer, r *relay.Request, t *plan.Tenant) {
	if a.Body == nil {
		return
	}
	names := []string{t.Plan.Name + "/" + r.Service}
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

// linkRate is the rate in bytes per second of the link to a zone's region
// that answers may use, or zero within the region.
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

// run takes a slot and sends the request to its worker.
func (s *Service) run(ctx context.Context, r *relay.Request, t *plan.Tenant) *relay.Answer {
	st := s.queues[r.Service]
	w, refusal := s.take(ctx, st, r, t)
	if refusal != nil {
		return refusal
	}
	sent := time.Now()
	answer, result := s.transport[r.Service].Handle(ctx, w, r)
	if result == backend.Refused && relay.Get(answer.Header, relay.HeaderDraining) != "" {
		st.mu.Lock()
		st.Pool.Drains(w.Name)
		st.mu.Unlock()
	}
	if answer.Outcome != retry.Run {
		s.finish(st, w, result, time.Since(sent))
		return answer
	}
	body := &resultBody{ReadCloser: answer.Body, result: result}
	answer.Body = body
	answer.OnClose(func() { s.finish(st, w, body.result, time.Since(sent)) })
	return answer
}

// resultBody turns the result into Broken when the body fails.
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

func (s *Service) finish(st *post, w backend.Worker, result backend.Result, latency time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	deliver(st.Done(time.Now(), w.Name, result, latency))
}

// take returns a worker with a slot taken, now or after waiting for it.
func (s *Service) take(ctx context.Context, st *post, r *relay.Request, tenant *plan.Tenant) (backend.Worker, *relay.Answer) {
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(s.Settings.LongestTimeout())
	}
	here, busy := s.Fleet.LocalInstances(now), s.Fleet.Busy(now, r.Service)
	t := &ticket{grant: make(chan backend.Worker, 1)}

	st.mu.Lock()
	st.Pool.Instances = here
	verdict, lost := st.Take(now, Arrival[*ticket]{
		Value: t, Moved: s.moved(r, tenant),
		Tried: r.Tried, Priority: tenant.Plan.Priority, Deadline: deadline, BusyElsewhere: busy,
	})
	deliver(lost)
	st.mu.Unlock()
	switch {
	case verdict.Granted:
		return verdict.Worker, nil
	case verdict.Queued:
		return s.wait(ctx, st, t)
	default:
		return backend.Worker{}, relay.NotRun(verdict.Refusal)
	}
}

// moved reports whether a request is work moved here from a zone that could
// have run it as well. Work that comes home from another region is not: it
// waits like that of own callers.
func (s *Service) moved(r *relay.Request, t *plan.Tenant) bool {
	if t.HomeRegion != s.Settings.Region {
		return true
	}
	return r.FromZone != s.Settings.Zone && s.Settings.RegionOf(r.FromZone) == s.Settings.Region
}

func (s *Service) wait(ctx context.Context, st *post, t *ticket) (backend.Worker, *relay.Answer) {
	select {
	case w, ok := <-t.grant:
		if !ok {
			return backend.Worker{}, relay.NotRun(relay.QueueFull)
		}
		return w, nil
	case <-ctx.Done():
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.Cancel(t) && !t.lost {
		w := <-t.grant // granted at the same moment
		deliver(st.Done(time.Now(), w.Name, backend.Cancelled, 0))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return backend.Worker{}, relay.NotRun(relay.TooLate)
	}
	return backend.Worker{}, relay.NotRun(relay.CallerLeft)
}

// tick serves the queue when workers become usable without a request ending.
func (s *Service) tick(ctx context.Context) error {
	return kernel.Every(ctx, _queueTick, func(now time.Time) {
		for _, st := range s.queues {
			st.mu.Lock()
			deliver(st.Serve(now))
			st.mu.Unlock()
		}
	})
}
