// Package forward brings a caller's request to an answer: it finds the route,
// has a worker placed, exchanges with it, and decides whether the request may
// be sent again.
//
// A refusal (503) is given only to a request that no worker ran and none will.
// A request that may have run ends with 502 or 504.
//
// # Usage
//
//	s := &forward.Service{Exchange: pool, Region: "tunis", Zones: zones, Log: log}
//	s.Update(func(k *forward.State) { k.Catalog = c })
//	answer := s.Handle(ctx, request)
package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/catalog"
	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/frontend"
	"github.com/wigeonlock/wigeonlock/placement"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/worker"
)

const (
	// _longest bounds a request whose caller and route name no time.
	_longest = 30 * time.Second
	// _maxDials bounds the workers that are tried in vain to connect to.
	_maxDials = 4
	// _shortestTry is the time that must be left for another try.
	_shortestTry = 30 * time.Millisecond
	// _returnShare is the part of the time left after which a refused caller is
	// asked to come back, and _longestReturn bounds it.
	_returnShare   = 0.25
	_longestReturn = 500 * time.Millisecond
)

// Exchanger carries a request to a worker.
type Exchanger interface {
	Do(ctx context.Context, t exchange.Target, r *relay.Request, repeatable bool) exchange.Result
	Drop(address string)
}

// SharedLimits are the shares of all instances together.
type SharedLimits struct {
	// RetryRatio and RetryExtra bound what is sent again in RetryWindow.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// ColdOverrun and ColdSlack bound what a cold worker gets in a second:
	// its rate times ColdOverrun, plus ColdSlack.
	ColdOverrun float64
	ColdSlack   float64
}

// State is what an instance believes of its surroundings.
type State struct {
	// Catalog is nil until one is known.
	Catalog *catalog.Catalog
	Workers *worker.Registry
	// Closed holds the zones that get nothing new.
	Closed map[string]bool
	// Instances are the names of the instances known, Most the most that were,
	// and Neighbours those of the own region.
	Instances     []string
	PeakInstances int
	Neighbours    int
	SharedLimits  SharedLimits
}

// Service forwards requests. The exported fields are set before the first use.
type Service struct {
	Exchange Exchanger
	// Instance and Region are where it runs; Zones maps each zone to its
	// region.
	Instance string
	Region   string
	Zones    map[string]string
	Log      *zap.Logger

	mu      sync.Mutex
	know    State
	placer  placement.Placer
	pacer   placement.Pacer
	budgets map[string]*retry.Allowance
}

// Prepare makes the service ready for use.
func (s *Service) Prepare(b SharedLimits) {
	s.know = State{Workers: worker.NewRegistry(), Closed: make(map[string]bool), SharedLimits: b, PeakInstances: 2 * len(s.Zones)}
	s.placer = placement.Placer{
		Region: s.Region, RegionOf: func(zone string) string { return s.Zones[zone] },
		Changed: s.logCondition,
	}
	s.pacer = placement.Pacer{Self: s.Instance}
	s.budgets = make(map[string]*retry.Allowance)
}

// Update changes what is known. f must not block.
func (s *Service) Update(f func(k *State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.know)
}

// IdleConnClosed takes that the worker at an address ended an idle connection.
func (s *Service) IdleConnClosed(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.know.Workers.Each(func(w *worker.Worker) {
		if w.Address == address {
			s.placer.Suspect(time.Now(), w)
		}
	})
}

// Sweep forgets what is over.
func (s *Service) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.know.Workers.Sweep(now)
	s.placer.Forget(func(id string) bool { return s.know.Workers.Get(id) == nil })
	s.pacer.Forget(now)
}

func (s *Service) route(r *relay.Request) (route *catalog.Route, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.know.Catalog == nil {
		return nil, false
	}
	return s.know.Catalog.Match(hostOf(r.Host), pathOf(r.URI)), true
}

// hostOf returns a host without its port.
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

// Exclusive reports whether a request must not run beside others of its connection.
func (s *Service) Exclusive(r *relay.Request) bool {
	route, _ := s.route(r)
	return route != nil && !route.Kind.Repeatable()
}

// journey is a request on its way.
type journey struct {
	request *relay.Request
	route   *catalog.Route
	service string
	// until is when the request must be answered.
	until time.Time
	tried []string
	// choice is the last one, newsAge the age of the news of its worker.
	choice  placement.Choice
	newsAge time.Duration
	// queued is the time from the whole request to its first exchange.
	queued time.Duration
	// notAgain tells why it was not sent to another worker.
	notAgain stop
	// arrivals and dials count the workers that it was sent to, and those that
	// could not be reached.
	arrivals int
	dials    int
	// unknown is set when it may have run.
	unknown bool
	last    exchange.Result
	// failure is the answer of a worker that failed, passed on if no other
	// worker does better.
	failure *relay.Answer
}

// Handle brings a request to an answer.
func (s *Service) Handle(ctx context.Context, r *relay.Request) *relay.Answer {
	route, known := s.route(r)
	if route == nil {
		if !known {
			return s.refuse(r, relay.NoLists, time.Time{})
		}
		countRefusal(relay.UnknownRoute)
		return frontend.Refusal(http.StatusNotFound, relay.UnknownRoute, "no route leads there")
	}
	left := _longest
	if route.Timeout > 0 {
		left = min(left, route.Timeout)
	}
	if r.TimeLeft > 0 {
		left = min(left, r.TimeLeft)
	}
	j := &journey{request: r, route: route, service: route.Pick(rand.Float64()), until: r.Received.Add(left)}
	ctx, cancel := s.bound(ctx, j)
	defer cancel()
	answer := s.carry(ctx, j)
	s.log(j, answer)
	return answer
}

// bound returns the context of a request. One that must not run twice is not
// broken off when its caller leaves: it would be unknown whether it ran.
func (s *Service) bound(ctx context.Context, j *journey) (context.Context, context.CancelFunc) {
	if !j.route.Kind.Repeatable() {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, j.until)
}

// carry sends a request to workers until one answers or it may not be sent again.
func (s *Service) carry(ctx context.Context, j *journey) *relay.Answer {
	for {
		w, reason := s.place(j)
		if w == nil {
			return s.give(j, reason, _noWorker)
		}
		s.attempt(ctx, j, w)
		if done := s.settled(j); done != nil {
			return done
		}
		if ctx.Err() != nil || time.Until(j.until) < _shortestTry {
			return s.give(j, relay.DeadlinePassed, _noTimeLeft)
		}
		if why := s.mayTryAgain(j); why != "" {
			return s.give(j, relay.RetryBudget, why)
		}
	}
}

// settled returns the answer of the last attempt if it ends the request.
func (s *Service) settled(j *journey) *relay.Answer {
	a := j.last.Answer
	if a.Outcome != retry.Run {
		return nil
	}
	again := a.Status >= http.StatusInternalServerError && a.Status != http.StatusGatewayTimeout &&
		j.route.Kind.Repeatable() && j.failure == nil
	if !again {
		return a
	}
	j.failure = a
	j.unknown = true
	return nil
}

// mayTryAgain returns why a request is not sent to another worker, or nothing.
func (s *Service) mayTryAgain(j *journey) stop {
	switch {
	case j.unknown && !j.route.Kind.Repeatable():
		return _mayHaveRun
	case !j.last.Sent && j.dials >= _maxDials:
		return _maxDialed
	case !j.last.Sent:
		return ""
	case j.arrivals >= j.route.MaxAttempts:
		return _maxAttempts
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.budget(j.service).Take(time.Now(), s.know.PeakInstances) {
		return _budgetUsed
	}
	countRetry(j.last.Fault)
	return ""
}

// budget returns a service's part of the shared retries, by the bounds in force.
func (s *Service) budget(service string) *retry.Allowance {
	b := s.budgets[service]
	if b == nil {
		b = &retry.Allowance{Window: s.know.SharedLimits.RetryWindow}
		s.budgets[service] = b
	}
	b.Ratio, b.Extra = s.know.SharedLimits.RetryRatio, s.know.SharedLimits.RetryExtra
	return b
}

// place chooses a worker and counts the request as on its way there.
func (s *Service) place(j *journey) (*worker.Worker, relay.Reason) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	object := j.request.Object
	if object == "" || !j.route.Sticky {
		object = j.request.ID
	}
	request := placement.Request{
		Service:  j.service,
		Object:   object,
		Large:    j.route.Kind.Large(),
		MayServe: j.route.MayServe,
		Closed:   func(zone string) bool { return s.know.Closed[zone] },
		Sharers:  max(s.know.Neighbours, 1),
		Tried:    j.tried,
		MayWarm:  func(w *worker.Worker) bool { return s.mayWarm(now, w) },
	}
	c := s.placer.Choose(now, request, s.know.Workers.Of(j.service))
	j.choice = c
	if c.Worker == nil {
		return nil, reasonOf(c.Reason)
	}
	j.newsAge = now.Sub(c.Worker.LastNews)
	if len(j.tried) == 0 {
		s.budget(j.service).First(now)
	}
	s.placer.Begin(now, request, c.Worker)
	return c.Worker, ""
}

// reasonOf tells the caller why no worker was chosen.
func reasonOf(r placement.Reason) relay.Reason {
	if r == placement.NoWorkers {
		return relay.NoWorkers
	}
	return relay.NoRoom
}

func (s *Service) mayWarm(now time.Time, w *worker.Worker) bool {
	if s.know.Catalog == nil {
		return false
	}
	b := s.know.SharedLimits
	perSecond := s.know.Catalog.Service(w.Service).ColdRate*b.ColdOverrun + b.ColdSlack
	return s.pacer.Allow(now, w.ID, perSecond, s.know.Instances)
}

// attempt exchanges with a worker and records what it told.
func (s *Service) attempt(ctx context.Context, j *journey, w *worker.Worker) {
	id, address := w.ID, w.Address
	if len(j.tried) == 0 {
		j.queued = time.Since(j.request.Received)
	}
	j.tried = append(j.tried, id)
	result := s.Exchange.Do(ctx, exchange.Target{ID: id, Address: address}, j.request, j.route.Kind.Repeatable())
	j.last = result
	if result.Sent {
		j.arrivals++
	} else {
		j.dials++
	}
	if result.Answer.Outcome == retry.Unknown {
		j.unknown = true
	}
	report := reportOf(result)
	report.Load, report.Warm, report.Large = j.choice.Load, j.choice.Warm, j.route.Kind.Large()
	if report.Outcome == placement.Moved || report.Outcome == placement.Unreachable {
		s.Exchange.Drop(address)
	}
	s.mu.Lock()
	s.placer.End(time.Now(), w, report)
	s.mu.Unlock()
	s.logAttempt(j, id, address, result)
}

func reportOf(r exchange.Result) placement.Report {
	report := placement.Report{Outcome: placement.Answered, Took: r.Took, Opened: r.Opened}
	if r.Load != nil {
		report.Told, report.Running, report.Waiting = true, r.Load.Running, r.Load.Waiting
	}
	switch r.Fault {
	case exchange.None:
		if r.Answer.Status >= http.StatusInternalServerError {
			report.Outcome = placement.Errored
		}
	case exchange.Unreachable:
		report.Outcome = placement.Unreachable
	case exchange.Broken:
		report.Outcome = placement.Broken
	case exchange.Misdirected:
		report.Outcome = placement.Moved
	case exchange.Refused:
		report.Outcome = placement.Shed
	case exchange.CallerDisconnected:
		report.Outcome = placement.Dropped
	default:
		report.Outcome = placement.Failed
	}
	return report
}

// give ends a request that no worker answered. why tells why it is not sent
// again.
func (s *Service) give(j *journey, reason relay.Reason, why stop) *relay.Answer {
	if len(j.tried) > 0 {
		j.notAgain = why
		countNotAgain(why)
	}
	if j.failure != nil {
		return j.failure
	}
	if !j.unknown {
		return s.refuse(j.request, reason, j.until)
	}
	countRefusal(j.last.Answer.Reason)
	status := http.StatusBadGateway
	if j.last.Fault == exchange.TimedOut || reason == relay.DeadlinePassed {
		status = http.StatusGatewayTimeout
	}
	a := frontend.Refusal(status, j.last.Answer.Reason, "the request may have run")
	a.Outcome = retry.Unknown
	return a
}

// refuse tells the caller that the request did not run and when to come back.
func (s *Service) refuse(r *relay.Request, reason relay.Reason, until time.Time) *relay.Answer {
	countRefusal(reason)
	a := frontend.Refusal(http.StatusServiceUnavailable, reason, "the request did not run")
	left := r.TimeLeft
	if !until.IsZero() {
		left = time.Until(until)
	}
	pause := min(time.Duration(float64(left)*_returnShare), _longestReturn)
	pause = time.Duration(float64(pause) * (0.5 + rand.Float64()/2))
	a.Header = append(a.Header, relay.Header{
		Name: relay.HeaderRetryAfter, Value: strconv.FormatFloat(max(pause, 0).Seconds(), 'f', 3, 64),
	})
	return a
}

// ErrNoCatalog is returned by Ready until routes are known.
var ErrNoCatalog = errors.New("no routes are known")

// ErrNoWorkers is returned by Ready until workers are known.
var ErrNoWorkers = errors.New("no workers are known")

// Ready tells why requests cannot be served, or nil.
func (s *Service) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.know.Catalog == nil {
		return ErrNoCatalog
	}
	if s.know.Workers.Count() == 0 {
		return ErrNoWorkers
	}
	return nil
}

// Homes returns the regions that the routes of a host are bound to, or nil.
func (s *Service) Homes(host string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.know.Catalog == nil {
		return nil
	}
	return s.know.Catalog.Homes(hostOf(host))
}
