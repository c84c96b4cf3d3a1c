package forward

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/catalog"
	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/placement"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/worker"
)

// _logSampleEvery is the number of successful requests of which one is logged.
const _logSampleEvery = 64

// noRetryReason is why a request was not sent to another worker.
type noRetryReason string

const (
	_mayHaveRun   noRetryReason = "mayHaveRun"
	_dialsUsed    noRetryReason = "unreachableWorkers"
	_attemptsUsed noRetryReason = "maxAttempts"
	_budgetUsed   noRetryReason = "retryBudget"
	_noTimeLeft   noRetryReason = "deadline"
	_noWorker     noRetryReason = "noWorker"
	_starved      noRetryReason = "noConnections"
	_endsWorkers  noRetryReason = "endsWorkers"
)

// phase is one of the parts into which the duration of a request is split.
type phase string

const (
	// _phaseQueue lasts from the receipt of the complete request to its first
	// attempt; the other phases are those of the last attempt.
	_phaseQueue     phase = "queue"
	_phaseConnect   phase = "connect"
	_phaseFirstByte phase = "firstByte"
	_phaseBody      phase = "body"
)

// durations holds the histograms of one kind of route, in seconds.
type durations struct {
	outcomes map[retry.Outcome]*metrics.Histogram
	phases   map[phase]*metrics.Histogram
}

var _durations = newDurations()

func newDurations() map[catalog.Kind]*durations {
	all := make(map[catalog.Kind]*durations)
	for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent, catalog.Download, catalog.Upload} {
		d := &durations{outcomes: make(map[retry.Outcome]*metrics.Histogram), phases: make(map[phase]*metrics.Histogram)}
		for _, o := range []retry.Outcome{retry.Run, retry.NotRun, retry.Unknown} {
			d.outcomes[o] = metrics.NewHistogram(`wigeonlock_request_seconds{kind="` + string(kind) + `",outcome="` + string(o) + `"}`)
		}
		for _, p := range []phase{_phaseQueue, _phaseConnect, _phaseFirstByte, _phaseBody} {
			d.phases[p] = metrics.NewHistogram(`wigeonlock_request_phase_seconds{kind="` + string(kind) + `",phase="` + string(p) + `"}`)
		}
		all[kind] = d
	}
	return all
}

// observe records a request in the histograms of its kind.
func observe(rs *requestState, a *relay.Answer, took time.Duration) {
	d := _durations[rs.route.Kind]
	if d == nil {
		return
	}
	if h := d.outcomes[a.Outcome]; h != nil {
		h.Update(took.Seconds())
	}
	d.observe(_phaseQueue, rs.queued)
	d.observe(_phaseConnect, rs.last.Connect)
	d.observe(_phaseFirstByte, rs.last.FirstByte)
	d.observe(_phaseBody, rs.last.Body)
}

// observe records the duration of a phase; zero means that it was not reached.
func (d *durations) observe(p phase, span time.Duration) {
	if span > 0 {
		d.phases[p].Update(span.Seconds())
	}
}

// log records a request in the histograms. It logs every request that failed, was
// retried or exceeded its latency objective, and a sample of the others. The sample
// depends only on the request ID, so that all instances choose the same requests.
func (s *Service) log(rs *requestState, a *relay.Answer) {
	took := time.Since(rs.request.Received)
	observe(rs, a, took)
	late := rs.route.Objective > 0 && took > rs.route.Objective
	succeeded := a.Outcome == retry.Run && len(rs.tried) == 1 && a.Status < http.StatusInternalServerError && !late
	if succeeded && xxhash.Sum64String(rs.request.ID)%_logSampleEvery != 0 {
		return
	}
	s.Log.Info("request ended", zap.String("request", rs.request.ID), zap.String("route", rs.route.Name),
		zap.String("service", rs.service), zap.String("team", rs.request.Team), zap.String("withdrawnFrom", rs.withdrawnFrom),
		zap.Uint64("configVersion", uint64(rs.version)), zap.String("object", rs.request.Object),
		zap.String("outcome", string(a.Outcome)), zap.String("reason", string(a.Reason)), zap.Int("status", a.Status),
		zap.Strings("tried", rs.tried), zap.String("notAgain", string(rs.noRetry)), zap.Float64("load", rs.choice.Load),
		zap.Int("rank", rs.choice.Rank), zap.String("full", rs.choice.FullWorker), zap.Stringers("heldBack", rs.holds), zap.Duration("newsAgeMs", rs.updateAge),
		zap.Duration("timeLeftMs", time.Until(rs.deadline)), zap.Bool("warm", rs.choice.Warm),
		zap.Duration("firstByteMs", rs.last.FirstByte), zap.Duration("workerMs", rs.last.Took),
		zap.Duration("tookMs", took), zap.Bool("late", late))
}

// logAttempt logs an attempt that ended with a fault other than the
// disconnection of the caller.
func (s *Service) logAttempt(rs *requestState, target exchange.Target, r exchange.Result) {
	if r.Fault == exchange.None || r.Fault == exchange.CallerDisconnected {
		return
	}
	s.Log.Info("attempt failed", zap.String("request", rs.request.ID), zap.String("route", rs.route.Name),
		zap.String("object", rs.request.Object), zap.Stringer("content", contentOf(rs.request)), zap.String("worker", target.ID),
		zap.String("address", target.Address), zap.String("fault", string(r.Fault)),
		zap.Bool("reused", r.Reused), zap.Duration("tookMs", r.Took), zap.Float64("load", rs.choice.Load),
		zap.Int("rank", rs.choice.Rank), zap.Duration("newsAgeMs", rs.updateAge))
}

// logCondition logs a change of the condition of a worker or of the local share of a
// service.
func (s *Service) logCondition(c placement.Condition) {
	if c.Kind == placement.LocalShare {
		s.Log.Info("home share", zap.String("service", c.Service), zap.Float64("share", c.Share),
			zap.Float64("demandSlots", c.Demand), zap.Int("slots", c.Slots))
		return
	}
	countCondition(c.Kind)
	s.Log.Info("worker "+string(c.Kind), zap.String("worker", c.Worker), zap.String("service", c.Service),
		zap.String("outcome", string(c.Outcome)), zap.Int("faults", c.Faults), zap.Duration("forMs", c.AvoidFor),
		zap.Float64("slow", c.Slowdown), zap.Float64("fails", c.FailureRate))
}

func countCondition(kind placement.ConditionKind) {
	metrics.GetOrCreateCounter(`wigeonlock_worker_beliefs_total{belief="` + string(kind) + `"}`).Inc()
}

func countRefusal(reason relay.Reason) {
	metrics.GetOrCreateCounter(`wigeonlock_refusals_total{reason="` + string(reason) + `"}`).Inc()
}

func countRetry(fault exchange.Fault) {
	if fault == exchange.None {
		fault = "errored"
	}
	metrics.GetOrCreateCounter(`wigeonlock_resends_total{fault="` + string(fault) + `"}`).Inc()
}

func countNoRetry(reason noRetryReason) {
	metrics.GetOrCreateCounter(`wigeonlock_resends_refused_total{reason="` + string(reason) + `"}`).Inc()
}

// Status summarizes the known state for metrics.
type Status struct {
	// Version is that of the active configuration, 0 before the first.
	Version catalog.Version
	// Usable, Cold and Leaving count the known workers in these states; a cold
	// worker may also be usable or leaving.
	Usable  int
	Cold    int
	Leaving int
	// OldestUpdate is the largest age of the last update of a usable worker.
	OldestUpdate time.Duration
	// Limits are the known limits of workers, in requests per second.
	Limits map[string]float64
}

// Status returns a summary of the known state at a time.
func (s *Service) Status(now time.Time) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{Limits: s.Permits.Limits()}
	if s.state.Catalog != nil {
		status.Version = s.state.Catalog.Version
	}
	s.state.Workers.Each(func(w *worker.Worker) {
		switch {
		case w.Leaving:
			status.Leaving++
		case w.Usable(now):
			status.Usable++
			status.OldestUpdate = max(status.OldestUpdate, now.Sub(w.LastUpdate))
		}
		if w.Cold(now) {
			status.Cold++
		}
	})
	return status
}
