// Package dispatch forwards callers' requests: it chooses the zone of each
// attempt, retries requests that may be retried, claims payments and resumes
// large documents.
//
// Only the entry instance that received the request from the caller dispatches
// it; an instance that it is forwarded to admits or refuses it. A retry needs an
// outcome that permits it, retry budget and time left.
//
// # Usage
//
//	d := &dispatch.Service{Settings: s, Local: admission, Peers: peers, Members: members}
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
	// RetryShare is the number of retries allowed per first attempt.
	RetryShare = 0.1
	// RetryBurst is the number of retries allowed beyond RetryShare.
	RetryBurst = 10

	_maxAttempts      = 4
	_maxResumes       = 4
	_attemptTimeShare = 0.6
	_minAttemptTime   = 50 * time.Millisecond
	_sameRegionOneWay = 5 * time.Millisecond
	_defaultOneWay    = 35 * time.Millisecond
)

// Local runs requests in the local zone.
type Local interface {
	relay.Handler
	// Capacity returns the capacity that a request would find.
	Capacity(now time.Time, service string) admission.Capacity
}

// Members provides the live instances and the loads of other zones.
type Members interface {
	Live(now time.Time, zone string) []gossip.Member
	View(now time.Time, zone, service string) routing.View
	Suspect(name string)
}

// Peers provides the client for other instances.
type Peers interface {
	Client() *peer.Client
}

// Service dispatches the requests of callers. The exported fields are set
// before Start.
type Service struct {
	Settings *settings.Settings
	Local    Local
	Members  Members
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
	// refusalRate tracks the refusals of workers in the local zone.
	refusalRate retry.RefusalRate
}

var (
	_ kernel.Service = (*Service)(nil)

	_localAttempts  = metrics.NewCounter(`wigeonlock_attempts_total{where="ownZone"}`)
	_remoteAttempts = metrics.NewCounter(`wigeonlock_attempts_total{where="otherZone"}`)
	_firstAttempts  = metrics.NewCounter("wigeonlock_first_tries_total")
	_budgetRefused  = metrics.NewCounter("wigeonlock_retry_budget_refusals_total")
	// _refusedNotRetried counts refused requests that were not retried in the
	// local zone because its workers refuse many.
	_refusedNotRetried = metrics.NewCounter("wigeonlock_refused_not_retried_total")
	_resumes           = metrics.NewCounter("wigeonlock_document_resumes_total")
)

// Name returns ServiceName.
func (s *Service) Name() string { return ServiceName }

// Start prepares the routes to the other zones and the retry budgets.
func (s *Service) Start(context.Context, *kernel.Kernel) error {
	s.planner = Planner{
		Zone: s.Settings.Zone, Region: s.Settings.Region, Rand: rand.New(rand.NewPCG(s.Seed, 1)),
		Router: routing.Router{Zone: s.Settings.Zone, Region: s.Settings.Region, Routes: Routes(s.Settings)},
	}
	s.budget = retry.Budget{Share: RetryShare, Burst: RetryBurst}
	s.budgets = make(map[string]*retry.Budget)
	return nil
}

// Stop does nothing: package entry waits for open requests.
func (s *Service) Stop(context.Context) error { return nil }

// Routes returns the routes from the local zone to all others.
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
		return _sameRegionOneWay
	}
	if link, ok := s.LinkBetween(s.Region, region); ok {
		return time.Duration(link.OneWayMs) * time.Millisecond
	}
	return _defaultOneWay
}

// Do returns the answer to a request. ctx limits the time until its head; the
// caller must close the answer.
func (s *Service) Do(ctx context.Context, r *relay.Request) *relay.Answer {
	customer, refusal := admission.Find(s.Lists.Current(), s.Settings, r)
	if refusal != nil {
		return refusal
	}
	r.FromZone = s.Settings.Zone
	key := relay.Get(r.Header, relay.HeaderIdempotencyKey)
	if key == "" || retry.Idempotent(r.Method) {
		return s.doWithRetries(ctx, r, customer)
	}
	return s.doPayment(ctx, r, customer, key)
}

// doWithRetries tries zones and workers until the request ran or must not be
// retried.
func (s *Service) doWithRetries(ctx context.Context, r *relay.Request, customer *plan.Customer) *relay.Answer {
	s.recordFirstAttempt(r.Service)
	st := &RequestState{
		Service: r.Service, Plan: customer.Plan.Name, Home: customer.HomeRegion, Shift: customer.Plan.ShiftSlots > 0, Tried: r.Tried,
	}
	for range _maxAttempts {
		dest, ok := s.choose(st)
		if !ok {
			break
		}
		if !s.allowAttempt(st) {
			break
		}
		r.Tried = st.Tried
		answer := s.attempt(ctx, r, st, dest)
		s.recordRefusal(st, dest, answer)
		if answer.Outcome == retry.Run {
			return s.resumable(ctx, r, customer, answer)
		}
		st.Record(dest, answer)
		if !retry.Allowed(r.Method, answer.Outcome) || !r.Body.Replayable() || ctx.Err() != nil {
			break
		}
	}
	if st.Result == nil {
		return relay.NotRun(relay.NoCapacity)
	}
	return st.Result
}

// choose returns the destination of the next attempt, or false if there is none.
func (s *Service) choose(st *RequestState) (Destination, bool) {
	now := time.Now()
	capacity := s.Local.Capacity(now, st.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.Choose(now, st, ClusterState{
		Capacity: capacity,
		View:     func(zone, service string) routing.View { return s.Members.View(now, zone, service) },
		Live:     func(zone string) []gossip.Member { return s.Members.Live(now, zone) },
	})
}

// attempt sends the request to one destination. The attempt of an idempotent
// request gets only part of the time left, so that another one is possible if
// the connection stopped responding.
func (s *Service) attempt(ctx context.Context, r *relay.Request, st *RequestState, d Destination) *relay.Answer {
	countAttempt(d.Local)
	attemptCtx, cancel := s.attemptContext(ctx, r)
	defer cancel()
	if d.Local {
		return relay.Buffer(s.Local.Handle(attemptCtx, r))
	}
	s.mu.Lock()
	s.planner.Begin(st, d)
	s.mu.Unlock()
	answer := relay.Buffer(s.Peers.Client().Handle(attemptCtx, d.Member.PeerAddress, r))
	s.mu.Lock()
	s.planner.End(time.Now(), st, d, answer)
	s.mu.Unlock()
	if answer.Reason == relay.PeerUnreachable {
		s.Members.Suspect(d.Member.Name)
	}
	return answer
}

func (s *Service) attemptContext(ctx context.Context, r *relay.Request) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	left := time.Until(deadline)
	if !ok || !retry.Idempotent(r.Method) || !r.Body.Replayable() || left < _minAttemptTime {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(float64(left)*_attemptTimeShare))
}

// resumable wraps the body of a large document so that it is resumed after a
// failure.
func (s *Service) resumable(ctx context.Context, r *relay.Request, customer *plan.Customer, a *relay.Answer) *relay.Answer {
	if !relay.Resumable(r.Method, a) || relay.Get(r.Header, "Range") != "" {
		return a
	}
	timeout := s.Settings.LongestTimeout()
	first := *a
	a.Body = &relay.ResumingReader{
		Answer:  &first,
		Retries: _maxResumes,
		Fetch: func(headers []relay.Header, brokenWorker string) *relay.Answer {
			_resumes.Inc()
			rest := *r
			rest.Header = append(append([]relay.Header(nil), r.Header...), headers...)
			rest.Tried = []string{brokenWorker}
			restCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
			defer cancel()
			return s.doWithRetries(restCtx, &rest, customer)
		},
	}
	return a
}

func (s *Service) recordFirstAttempt(service string) {
	_firstAttempts.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordFirst()
	s.serviceBudget(service).RecordFirst()
}

// allowAttempt reports whether another attempt may be made. If a worker was sent
// the request, this takes a retry from the budget; an attempt that was refused
// takes none, as a refusal costs a worker little.
func (s *Service) allowAttempt(st *RequestState) bool {
	if st.Sent {
		return s.acquireRetry(st.Service, st.Last.Reason)
	}
	if st.Refused {
		countRetry(st.Last.Reason)
	}
	return true
}

// recordRefusal counts whether a worker in the local zone refused. While many
// refuse, a refused request is not sent to another worker of the zone.
func (s *Service) recordRefusal(st *RequestState, d Destination, a *relay.Answer) {
	if !d.Local || (a.Outcome != retry.Run && a.Reason != relay.WorkerRefused) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	refused := a.Reason == relay.WorkerRefused
	s.refusalRate.Record(refused)
	if refused && !s.refusalRate.Allow() {
		_refusedNotRetried.Inc()
		st.ExcludeLocal()
	}
}

// acquireRetry takes one retry from the budgets of the service and of the
// instance, and reports whether both allowed it.
func (s *Service) acquireRetry(service string, reason relay.Reason) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.serviceBudget(service).Acquire() || !s.budget.Acquire() {
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

func countAttempt(local bool) {
	if local {
		_localAttempts.Inc()
		return
	}
	_remoteAttempts.Inc()
}

func countRetry(reason relay.Reason) {
	metrics.GetOrCreateCounter(`wigeonlock_retries_total{reason="` + string(reason) + `"}`).Inc()
}
