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

// _sampled is the number of requests that went well of which one is told.
const _sampled = 64

// stop tells why a request was not sent to another worker.
type stop string

const (
	_mayHaveRun  stop = "mayHaveRun"
	_maxDialed   stop = "unreachableWorkers"
	_maxAttempts stop = "maxAttempts"
	_budgetUsed  stop = "retryBudget"
	_noTimeLeft  stop = "deadline"
	_noWorker    stop = "noWorker"
)

// phase is a part of a request's time.
type phase string

const (
	// _phaseQueue is from the whole request to its first exchange, the others
	// are those of the last exchange.
	_phaseQueue     phase = "queue"
	_phaseConnect   phase = "connect"
	_phaseFirstByte phase = "firstByte"
	_phaseBody      phase = "body"
)

// durations are the histograms of a kind of request.
type durations struct {
	outcomes map[retry.Outcome]*metrics.Histogram
	phases   map[phase]*metrics.Histogram
}

var _durations = newDurations()

func newDurations() map[catalog.Kind]*durations {
	all := make(map[catalog.Kind]*durations)
	for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent, catalog.Download} {
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

// observe adds a request to the histograms of its kind.
func observe(j *journey, a *relay.Answer, took time.Duration) {
	d := _durations[j.route.Kind]
	if d == nil {
		return
	}
	if h := d.outcomes[a.Outcome]; h != nil {
		h.Update(took.Seconds())
	}
	d.observe(_phaseQueue, j.queued)
	d.observe(_phaseConnect, j.last.Connect)
	d.observe(_phaseFirstByte, j.last.FirstByte)
	d.observe(_phaseBody, j.last.Body)
}

// observe adds a span unless the phase was not reached.
func (d *durations) observe(p phase, span time.Duration) {
	if span > 0 {
		d.phases[p].Update(span.Seconds())
	}
}

// log writes a line for each request that did not go well or was late, and for
// some of the others, chosen by their ids alike on all instances.
func (s *Service) log(j *journey, a *relay.Answer) {
	took := time.Since(j.request.Received)
	observe(j, a, took)
	late := j.route.Objective > 0 && took > j.route.Objective
	well := a.Outcome == retry.Run && len(j.tried) == 1 && a.Status < http.StatusInternalServerError && !late
	if well && xxhash.Sum64String(j.request.ID)%_sampled != 0 {
		return
	}
	s.Log.Info("request ended", zap.String("request", j.request.ID), zap.String("route", j.route.Name),
		zap.String("service", j.service), zap.String("object", j.request.Object),
		zap.String("outcome", string(a.Outcome)), zap.String("reason", string(a.Reason)), zap.Int("status", a.Status),
		zap.Strings("tried", j.tried), zap.String("notAgain", string(j.notAgain)), zap.Float64("load", j.choice.Load),
		zap.Int("rank", j.choice.Rank), zap.String("full", j.choice.Full), zap.Duration("newsAgeMs", j.newsAge),
		zap.Duration("timeLeftMs", time.Until(j.until)), zap.Bool("warm", j.choice.Warm),
		zap.Duration("firstByteMs", j.last.FirstByte), zap.Duration("workerMs", j.last.Took),
		zap.Duration("tookMs", took), zap.Bool("late", late))
}

// logAttempt writes a line for an exchange without a good answer.
func (s *Service) logAttempt(j *journey, id, address string, r exchange.Result) {
	if r.Fault == exchange.None || r.Fault == exchange.CallerDisconnected {
		return
	}
	s.Log.Info("attempt failed", zap.String("request", j.request.ID), zap.String("worker", id),
		zap.String("address", address), zap.String("fault", string(r.Fault)),
		zap.Bool("reused", r.Reused), zap.Duration("tookMs", r.Took), zap.Float64("load", j.choice.Load),
		zap.Int("rank", j.choice.Rank), zap.Duration("newsAgeMs", j.newsAge))
}

// logCondition writes a line for what the placer came to believe.
func (s *Service) logCondition(c placement.Condition) {
	if c.What == placement.HomeShare {
		s.Log.Info("home share", zap.String("service", c.Service), zap.Float64("share", c.Share),
			zap.Float64("demandSlots", c.Demand), zap.Int("slots", c.Slots))
		return
	}
	countCondition(c.What)
	s.Log.Info("worker "+string(c.What), zap.String("worker", c.Worker), zap.String("service", c.Service),
		zap.String("outcome", string(c.Outcome)), zap.Int("faults", c.Faults), zap.Duration("forMs", c.For),
		zap.Float64("slow", c.Slow), zap.Float64("fails", c.Fails))
}

func countCondition(what placement.ConditionKind) {
	metrics.GetOrCreateCounter(`wigeonlock_worker_beliefs_total{belief="` + string(what) + `"}`).Inc()
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

func countNotAgain(reason stop) {
	metrics.GetOrCreateCounter(`wigeonlock_resends_refused_total{reason="` + string(reason) + `"}`).Inc()
}

// Status are how old what is believed is, and how much of it there is.
type Status struct {
	// Version is the configuration in force, 0 before the first.
	Version catalog.Version
	// Usable, Cold and Leaving count the workers known.
	Usable  int
	Cold    int
	Leaving int
	// OldestUpdate is the age of the oldest news of a usable worker.
	OldestUpdate time.Duration
}

// Status returns how old what is believed is.
func (s *Service) Status(now time.Time) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := Status{}
	if s.know.Catalog != nil {
		a.Version = s.know.Catalog.Version
	}
	s.know.Workers.Each(func(w *worker.Worker) {
		switch {
		case w.Leaving:
			a.Leaving++
		case w.Usable(now):
			a.Usable++
			a.OldestUpdate = max(a.OldestUpdate, now.Sub(w.LastNews))
		}
		if w.Cold(now) {
			a.Cold++
		}
	})
	return a
}
