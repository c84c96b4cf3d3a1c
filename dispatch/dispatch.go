// Package dispatch brings a caller's request to an answer: it chooses the
// zone, tries again what may be tried again, claims payments and resumes
// large documents.
//
// Only the first entry instance of a request dispatches; the others admit or
// refuse. A retry needs an outcome that permits it, a budget and time left.
//
// # Usage
//
//	d := &dispatch.Service{Settings: s, Here: admission, Peers: peers, Fleet: members}
//	answer := d.Do(ctx, request)
//	defer answer.Close()
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/admission"
	"github.com/wigeonlock/wigeonlock/gossip"
	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/payment"
	"github.com/wigeonlock/wigeonlock/peer"
	"github.com/wigeonlock/wigeonlock/plan"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/routing"
	"github.com/wigeonlock/wigeonlock/settings"
)

const (
	// ServiceName is the name of the service in its kernel.
	ServiceName = "dispatch"
	// RetryShare is the share of first tries that may be retried.
	RetryShare = 0.1
	// RetryBurst is the number of retries beyond the share.
	RetryBurst = 10

	_maxTries       = 4
	_resumeTries    = 4
	_firstTryShare  = 0.6
	_shortestTry    = 50 * time.Millisecond
	_sameZoneOneWay = 5 * time.Millisecond
	_otherOneWay    = 35 * time.Millisecond
)

// Here runs requests in the own zone.
type Here interface {
	relay.Handler
	// Room tells what a request would find.
	Room(now time.Time, service string) admission.Room
}

// Fleet tells who serves in other zones.
type Fleet interface {
	Live(now time.Time, zone string) []gossip.Member
	View(now time.Time, zone, service string) routing.View
	Suspect(name string)
}

// Peers connects to other instances.
type Peers interface {
	Client() *peer.Client
}

// Service dispatches the requests of callers. The exported fields are set
// before Start.
type Service struct {
	Settings *settings.Settings
	Here     Here
	Fleet    Fleet
	Lists    admission.Lists
	Peers    Peers
	Payments *payment.Service
	Log      *zap.Logger
	// Seed seeds the choice of zones and instances.
	Seed uint64

	mu      sync.Mutex
	planner Planner
	budget  retry.Budget
	budgets map[string]*retry.Budget
	// pressure follows the refusals of workers.
	pressure retry.Pressure
}

var (
	_ kernel.Service = (*Service)(nil)

	_ownZone       = metrics.NewCounter(`wigeonlock_attempts_total{where="ownZone"}`)
	_otherZone     = metrics.NewCounter(`wigeonlock_attempts_total{where="otherZone"}`)
	_firstTries    = metrics.NewCounter("wigeonlock_first_tries_total")
	_budgetRefused = metrics.NewCounter("wigeonlock_retry_budget_refusals_total")
	// _pressureRefused counts requests not sent again since many are refused.
	_pressureRefused = metrics.NewCounter("wigeonlock_refused_not_retried_total")
	_resumes         = metrics.NewCounter("wigeonlock_document_resumes_total")
)

// Name returns ServiceName.
func (s *Service) Name() string { return ServiceName }

// Start prepares the routes to the other zones.
func (s *Service) Start(context.Context, *kernel.Kernel) error {
	s.planner = Planner{
		Zone: s.Settings.Zone, Region: s.Settings.Region, Rand: rand.New(rand.NewPCG(s.Seed, 1)),
		Router: routing.Router{Zone: s.Settings.Zone, Region: s.Settings.Region, Routes: Routes(s.Settings)},
	}
	s.budget = retry.Budget{Share: RetryShare, Burst: RetryBurst}
	s.budgets = make(map[string]*retry.Budget)
	return nil
}

// Stop does nothing: the front waits for its requests.
func (s *Service) Stop(context.Context) error { return nil }

// Routes returns the ways from the own zone to all others.
func Routes(s *settings.Settings) []routing.Route {
	var routes []routing.Route
	for _, r := range s.Regions {
		for _, zone := range r.Zones {
			if zone == s.Zone {
				continue
			}
			routes = append(routes, routing.Route{Zone: zone, Region: r.Name, OneWay: oneWay(s, r.Name)})
		}
	}
	return routes
}

func oneWay(s *settings.Settings, region string) time.Duration {
	if region == s.Region {
		return _sameZoneOneWay
	}
	if link, ok := s.LinkBetween(s.Region, region); ok {
		return time.Duration(link.OneWayMs) * time.Millisecond
	}
	return _otherOneWay
}

// Do brings a request to an answer. ctx bounds the time until its head.
func (s *Service) Do(ctx context.Context, r *relay.Request) *relay.Answer {
	tenant, refusal := admission.Find(s.Lists.Current(), s.Settings, r)
	if refusal != nil {
		return refusal
	}
	r.FromZone = s.Settings.Zone
	key := relay.Get(r.Header, relay.HeaderIdempotencyKey)
	if key == "" || retry.Idempotent(r.Method) {
		return s.carry(ctx, r, tenant)
	}
	return s.pay(ctx, r, tenant, key)
}

// carry tries zones and workers until the request ran or may not be tried again.
func (s *Service) carry(ctx context.Context, r *relay.Request, tenant *plan.Tenant) *relay.Answer {
	s.firstTry(r.Service)
	j := &Journey{
		Service: r.Service, Plan: tenant.Plan.Name, Home: tenant.HomeRegion, Shift: tenant.Plan.ShiftSlots > 0, Tried: r.Tried,
	}
	for range _maxTries {
		dest, ok := s.choose(j)
		if !ok {
			break
		}
		if !s.mayTry(j) {
			break
		}
		r.Tried = j.Tried
		answer := s.attempt(ctx, r, j, dest)
		s.notePressure(j, dest, answer)
		if answer.Outcome == retry.Run {
			return s.resumable(ctx, r, tenant, answer)
		}
		j.Note(dest, answer)
		if !retry.Allowed(r.Method, answer.Outcome) || !r.Body.Replayable() || ctx.Err() != nil {
			break
		}
	}
	if j.Result == nil {
		return relay.NotRun(relay.NoRoom)
	}
	return j.Result
}

// choose returns the next destination of a journey.
func (s *Service) choose(j *Journey) (Destination, bool) {
	now := time.Now()
	room := s.Here.Room(now, j.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.Choose(now, j, Surroundings{
		Room: room,
		View: func(zone, service string) routing.View { return s.Fleet.View(now, zone, service) },
		Live: func(zone string) []gossip.Member { return s.Fleet.Live(now, zone) },
	})
}

// attempt sends the request to one destination. An idempotent request leaves
// time for another attempt, in case the connection went silent.
func (s *Service) attempt(ctx context.Context, r *relay.Request, j *Journey, d Destination) *relay.Answer {
	countAttempt(d.Here)
	attemptCtx, cancel := s.attemptContext(ctx, r)
	defer cancel()
	if d.Here {
		return relay.Buffer(s.Here.Handle(attemptCtx, r))
	}
	s.mu.Lock()
	s.planner.Begin(j, d)
	s.mu.Unlock()
	answer := relay.Buffer(s.Peers.Client().Handle(attemptCtx, d.Member.PeerAddress, r))
	s.mu.Lock()
	s.planner.End(time.Now(), j, d, answer)
	s.mu.Unlock()
	if answer.Reason == relay.PeerUnreachable {
		s.Fleet.Suspect(d.Member.Name)
	}
	return answer
}

func (s *Service) attemptContext(ctx context.Context, r *relay.Request) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	left := time.Until(deadline)
	if !ok || !retry.Idempotent(r.Method) || !r.Body.Replayable() || left < _shortestTry {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(float64(left)*_firstTryShare))
}

// resumable wraps a large document so that it continues after a failure.
func (s *Service) resumable(ctx context.Context, r *relay.Request, t *plan.Tenant, a *relay.Answer) *relay.Answer {
	if !relay.Resumable(r.Method, a) || relay.Get(r.Header, "Range") != "" {
		return a
	}
	timeout := s.Settings.LongestTimeout()
	first := *a
	a.Body = &relay.Resume{
		Answer: &first,
		Tries:  _resumeTries,
		Again: func(headers []relay.Header, broken string) *relay.Answer {
			_resumes.Inc()
			again := *r
			again.Header = append(append([]relay.Header(nil), r.Header...), headers...)
			again.Tried = []string{broken}
			againCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
			defer cancel()
			return s.carry(againCtx, &again, t)
		},
	}
	return a
}

func (s *Service) firstTry(service string) {
	_firstTries.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.First()
	s.serviceBudget(service).First()
}

// mayTry reports whether another attempt may be made. A refusal costs no worker
// much; what was sent otherwise needs a retry of the budget.
func (s *Service) mayTry(j *Journey) bool {
	if j.Sent {
		return s.retryBudget(j.Service, j.Last.Reason)
	}
	if j.Refused {
		countRetry(j.Last.Reason)
	}
	return true
}

// notePressure follows the refusals of workers. While many of the own zone
// refuse, a refused request is not sent to another of them.
func (s *Service) notePressure(j *Journey, d Destination, a *relay.Answer) {
	if !d.Here || (a.Outcome != retry.Run && a.Reason != relay.WorkerRefused) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	refused := a.Reason == relay.WorkerRefused
	s.pressure.Note(refused)
	if refused && !s.pressure.Allow() {
		_pressureRefused.Inc()
		j.CloseHere()
	}
}

// retryBudget takes one retry from the budgets of the instance and of the
// service.
func (s *Service) retryBudget(service string, reason relay.Reason) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.serviceBudget(service).Take() || !s.budget.Take() {
		_budgetRefused.Inc()
		return false
	}
	countRetry(reason)
	return true
}

func (s *Service) serviceBudget(service string) *retry.Budget {
	b, ok := s.budgets[service]
	if !ok {
		b = &retry.Budget{Share: RetryShare, Burst: RetryBurst}
		s.budgets[service] = b
	}
	return b
}

func countAttempt(here bool) {
	if here {
		_ownZone.Inc()
		return
	}
	_otherZone.Inc()
}

func countRetry(reason relay.Reason) {
	metrics.GetOrCreateCounter(`wigeonlock_retries_total{reason="` + string(reason) + `"}`).Inc()
}
