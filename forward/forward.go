// Package forward routes callers' requests to workers: it matches the route,
// chooses a worker, exchanges the request with it, and decides whether a failed
// request may be retried on another worker.
//
// A request is refused with 503 only if no worker ran it and none will. A
// request that may have run and has no answer ends with 502 or 504.
//
// # Usage
//
//	s := &forward.Service{Exchange: pool, Region: "tunis", Zones: zones, Log: log}
//	s.Update(func(st *forward.State) { st.Catalog = c })
//	answer := s.Handle(ctx, request)
package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/bytebudget"
	"github.com/wigeonlock/wigeonlock/catalog"
	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/frontend"
	"github.com/wigeonlock/wigeonlock/limit"
	"github.com/wigeonlock/wigeonlock/permit"
	"github.com/wigeonlock/wigeonlock/placement"
	"github.com/wigeonlock/wigeonlock/ration"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/seat"
	"github.com/wigeonlock/wigeonlock/suspect"
	"github.com/wigeonlock/wigeonlock/team"
	"github.com/wigeonlock/wigeonlock/worker"
)

const (
	// _maxTimeout is the longest time to answer a request. Shorter limits of the
	// caller and of the route apply.
	_maxTimeout = 30 * time.Second
	// _maxFailedDials is the number of unreachable workers after which a request
	// is given up.
	_maxFailedDials = 4
	// _minAttemptTime is the time that must be left before the deadline for
	// another attempt.
	_minAttemptTime = 30 * time.Millisecond
)

// Exchanger sends requests to workers.
type Exchanger interface {
	// Do sends a request to a worker and returns its answer or the fault.
	Do(ctx context.Context, t exchange.Target, r *relay.Request, repeatable bool) exchange.Result
	// CloseIdle closes the idle connections to an address.
	CloseIdle(address string)
}

// SharedLimits are budgets that all instances share; each instance uses its part.
type SharedLimits struct {
	// RetryRatio and RetryExtra limit the retries within RetryWindow: RetryRatio
	// for each first attempt, plus RetryExtra.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// ColdOverrun and ColdSlack limit the requests per second to a cold worker:
	// the cold rate of its service times ColdOverrun, plus ColdSlack.
	ColdOverrun float64
	ColdSlack   float64
}

// State is the known state of the configuration, the workers and the other
// instances.
type State struct {
	// Catalog is nil until a configuration was received.
	Catalog *catalog.Catalog
	Workers *worker.Registry
	// Closed holds the zones to which no new requests are sent.
	Closed map[string]bool
	// Instances are the names of the known instances. PeakInstances is the largest
	// number known so far, by which RetryExtra is divided. Neighbours is the number of
	// instances of the local region that share its requests.
	Instances     []string
	PeakInstances int
	Neighbours    int
	SharedLimits  SharedLimits
	// StopsAt is when the instance ends, zero unless it is stopping.
	StopsAt time.Time
}

// Service forwards requests. The exported fields are set before the first use.
type Service struct {
	Exchange Exchanger
	// Instance is the name of the instance and Region its region; Zones maps
	// each zone to its region.
	Instance string
	Region   string
	Zones    map[string]string
	Log      *zap.Logger
	// Moved, if set, is called when an object moves to another worker. It must not
	// block.
	Moved func(m placement.Move)
	// Loaded, if set, is called with the load of a worker that the other instances of the
	// region should know. It must not block.
	Loaded func(l placement.WorkerLoad)
	// Succeeded, if set, is called when a worker takes the objects of another one. It must not
	// block.
	Succeeded func(s seat.Succession)
	// Left, if set, is called when an incarnation of a worker said in an answer to this
	// instance that it leaves. It must not block.
	Left func(l worker.Leaving)

	// ReadAt, if set, returns when the store was last read, by this instance or for it. Until
	// then it knows which keys teams hold.
	ReadAt func() time.Time

	// Permits keeps the limits that workers name. If it is nil, Prepare sets one of an
	// instance that is alone.
	Permits *permit.Book

	// Rations keeps the quotas of teams. If it is nil, they are not limited.
	Rations *ration.Book

	// Suspects holds the contents that may end workers. If it is nil, Prepare sets one of an
	// instance that is alone. HasEnded, if set, reports whether nothing listens at a worker's
	// address any more; without it there are no suspects. TellSuspects, if set, passes on
	// what was found out; it must not block.
	Suspects     *suspect.Book
	HasEnded     func(ctx context.Context, t exchange.Target) bool
	TellSuspects func(news suspect.News)

	// Memory is what the process may hold for callers, nil if that has no limit.
	Memory *bytebudget.Budget

	// Probe, if set, asks a worker at its health path how long it stays cold, while the store
	// does not tell. ProbeRank returns the place of this instance among those of the region
	// that may ask a worker, and TellCold passes the answer on to them. ReadAt is
	// set if Probe is. They must not block.
	Probe     func(ctx context.Context, t exchange.Target, path string) (time.Duration, error)
	ProbeRank func(id string) int
	TellCold  func(news worker.Cold)

	// regions is the number of regions.
	regions int
	usage   team.Usage

	mu      sync.Mutex
	state   State
	placer  placement.Placer
	pacer   placement.Pacer
	returns returns
	budgets map[string]*retry.SharedBudget
	answers map[string]*answers
	checks  map[incarnation]*workerCheck
	tells   limit.Bucket
	probes  map[string]*probe
	// goneAt is since when workers with a limit have no entry.
	goneAt map[string]time.Time
	// oldUntil is until when the entries of workers do not tell whether they are cold.
	oldUntil time.Time
}

// Prepare initializes the service. It must be called before any other method.
func (s *Service) Prepare(limits SharedLimits) {
	s.state = State{Workers: worker.NewRegistry(), Closed: make(map[string]bool), SharedLimits: limits, PeakInstances: 2 * len(s.Zones)}
	s.placer = placement.Placer{
		Region: s.Region, RegionOf: func(zone string) string { return s.Zones[zone] },
		Changed: s.logCondition, Moved: s.Moved, Loaded: s.Loaded,
	}
	s.placer.OnSuccession(s.succeeded)
	regions := make(map[string]struct{})
	for _, region := range s.Zones {
		regions[region] = struct{}{}
	}
	s.regions = len(regions)
	s.pacer = placement.Pacer{Self: s.Instance}
	if s.Permits == nil {
		s.Permits = &permit.Book{
			Self: s.Instance, RegionOf: func(zone string) string { return s.Zones[zone] },
			Members: func() []permit.Instance { return nil }, Send: func(string, permit.Message) {},
		}
	}
	s.Permits.Changed, s.Permits.Silent = s.limitChanged, s.instanceSilent
	s.budgets = make(map[string]*retry.SharedBudget)
	s.checks = make(map[incarnation]*workerCheck)
	s.answers = make(map[string]*answers)
	s.probes = make(map[string]*probe)
	s.goneAt = make(map[string]time.Time)
	if s.Suspects == nil {
		s.Suspects = &suspect.Book{Tries: func(suspect.Content) bool { return true }}
	}
}

// Update lets f modify the known state under the lock of the service. f must
// not block.
func (s *Service) Update(f func(st *State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.state)
}

// Moves returns moves of objects to other workers, at most limit.
func (s *Service) Moves(limit int) []placement.Move {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.Moves(time.Now(), limit)
}

// AdoptMoves applies moves that another instance of the region made.
func (s *Service) AdoptMoves(moves []placement.Move) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range moves {
		s.placer.Adopt(now, m)
	}
}

// AdoptLoads applies what workers reported to another instance of the region.
func (s *Service) AdoptLoads(loads []placement.WorkerLoad) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range loads {
		if w := s.state.Workers.Get(l.Worker); w != nil {
			s.placer.AdoptLoad(now, w, l)
		}
	}
}

// IdleConnClosed marks the worker at an address as suspected after it closed an
// idle connection: it may have ended.
func (s *Service) IdleConnClosed(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Workers.Each(func(w *worker.Worker) {
		if w.Address == address {
			s.placer.Suspect(time.Now(), w)
		}
	})
}

// Sweep removes expired state. It is called periodically.
func (s *Service) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Workers.Sweep(now)
	s.placer.Forget(now, func(id string) bool { return s.state.Workers.Get(id) == nil })
	s.pacer.Forget(now)
	s.Permits.Sweep(now, func(w permit.Worker) bool { return s.hasEnded(now, w) })
	s.Suspects.Sweep(now)
}

// route returns the active catalog, or nil, and the route of a request in it, or nil.
func (s *Service) route(r *relay.Request) (*catalog.Catalog, *catalog.Route) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Catalog == nil {
		return nil, nil
	}
	return s.state.Catalog, s.state.Catalog.Match(hostOf(r.Host), pathOf(r.URI))
}

// hostOf returns the host without its port.
func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

// Exclusive reports whether a request must not run concurrently with other requests
// of its connection, because it must not run twice.
func (s *Service) Exclusive(r *relay.Request) bool {
	_, route := s.route(r)
	return route != nil && !route.Kind.Repeatable()
}

// Handle forwards a request to workers and returns its answer or a refusal,
// never nil.
func (s *Service) Handle(ctx context.Context, r *relay.Request) *relay.Answer {
	known, route := s.route(r)
	if route == nil {
		if known == nil {
			return s.refuse(r, relay.NoLists, time.Time{})
		}
		countRefusal(relay.UnknownRoute)
		return frontend.Refusal(http.StatusNotFound, relay.UnknownRoute, "no route matches the request")
	}
	timeout := _maxTimeout
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	if r.TimeLeft > 0 {
		timeout = min(timeout, r.TimeLeft)
	}
	rs := &requestState{
		request: r, route: route, version: known.Version, teams: known.Teams, service: route.Pick(rand.Float64()), deadline: r.Received.Add(timeout),
	}
	if s.stopsBefore(rs) {
		return s.refuseAtOnce(r, relay.Stopping)
	}
	rs.returning = s.isReturn(rs)
	ctx, cancel := s.withDeadline(ctx, rs)
	defer cancel()
	defer rs.releaseAll()
	answer := s.admit(ctx, rs)
	if answer == nil {
		answer = s.forward(ctx, rs)
	}
	s.holdAnswer(rs, answer)
	s.log(rs, answer)
	return answer
}

// withDeadline returns the context for the attempts of a request. A request that
// must not run twice is not cancelled when its caller disconnects, as it would
// then be unknown whether it ran.
func (s *Service) withDeadline(ctx context.Context, rs *requestState) (context.Context, context.CancelFunc) {
	if !rs.route.Kind.Repeatable() {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, rs.deadline)
}

// forward sends a request to one worker after another until one answers or the
// request must not be retried.
func (s *Service) forward(ctx context.Context, rs *requestState) *relay.Answer {
	for {
		if reason, wait := s.mayAttempt(rs); reason != "" {
			if len(rs.tried) == 0 {
				return refuseContent(wait)
			}
			return s.giveUp(rs, reason, _endsWorkers)
		}
		target, reason := s.chooseWorker(ctx, rs)
		if reason != "" {
			s.endTrial(rs)
			return s.giveUp(rs, reason, _noWorker)
		}
		s.attempt(ctx, rs, target)
		if done := s.finalAnswer(rs); done != nil {
			return done
		}
		if ctx.Err() != nil || time.Until(rs.deadline) < _minAttemptTime {
			return s.giveUp(rs, relay.DeadlinePassed, _noTimeLeft)
		}
		if denied := s.denyRetry(rs); denied != "" {
			return s.giveUp(rs, reasonOfDenial(denied), denied)
		}
	}
}

// reasonOfDenial returns the reason that callers get when a request is not sent again.
func reasonOfDenial(denied noRetryReason) relay.Reason {
	if denied == _starved {
		return relay.NoConnections
	}
	return relay.RetryBudget
}

// finalAnswer returns the answer of the last attempt if it ends the request, or
// nil. The first failure of a worker to a repeatable request, other than 504, is stored as
// failure, and the request is retried.
func (s *Service) finalAnswer(rs *requestState) *relay.Answer {
	a := rs.last.Answer
	if a.Outcome != retry.Run {
		return nil
	}
	failed := a.Status >= http.StatusInternalServerError && a.Status != http.StatusGatewayTimeout
	if relay.PromisesNotRun(a.Status) {
		failed = true
		a = s.unprovenRefusal(rs, a)
	}
	if !failed || !rs.route.Kind.Repeatable() || rs.failure != nil {
		return a
	}
	rs.failure = a
	rs.unknown = true
	return nil
}

// denyRetry returns why a request is not sent to another worker, or an empty
// string if the retry is allowed. An allowed retry is charged to the retry budget,
// unless the last worker was unreachable.
func (s *Service) denyRetry(rs *requestState) noRetryReason {
	switch {
	case rs.unknown && !rs.route.Kind.Repeatable():
		return _mayHaveRun
	case rs.last.Fault == exchange.Starved:
		return _starved
	case !rs.last.Sent && rs.failedDials >= _maxFailedDials:
		return _dialsUsed
	case !rs.last.Sent:
		return ""
	case rs.attempts >= rs.route.MaxAttempts:
		return _attemptsUsed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.budget(rs.service).Acquire(time.Now(), s.state.PeakInstances) {
		return _budgetUsed
	}
	countRetry(rs.last.Fault)
	return ""
}

// budget returns the retry budget of a service, with the current limits. The caller
// holds s.mu.
func (s *Service) budget(service string) *retry.SharedBudget {
	b := s.budgets[service]
	if b == nil {
		b = &retry.SharedBudget{Window: s.state.SharedLimits.RetryWindow}
		s.budgets[service] = b
	}
	b.Ratio, b.Extra = s.state.SharedLimits.RetryRatio, s.state.SharedLimits.RetryExtra
	return b
}

// ErrNoCatalog is returned by Ready until a configuration was received.
var ErrNoCatalog = errors.New("no routes are known")

// ErrNoWorkers is returned by Ready while no worker is known.
var ErrNoWorkers = errors.New("no workers are known")

// Ready returns ErrNoCatalog or ErrNoWorkers while requests cannot be served.
func (s *Service) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Catalog == nil {
		return ErrNoCatalog
	}
	if s.state.Workers.Count() == 0 {
		return ErrNoWorkers
	}
	return nil
}

// Homes returns the regions that the routes of a host are restricted to, or nil.
func (s *Service) Homes(host string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Catalog == nil {
		return nil
	}
	return s.state.Catalog.Homes(hostOf(host))
}
