package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/suspect"
	"github.com/wigeonlock/wigeonlock/worker"
)

// _endCheckTime is how long a request waits to learn whether its worker ended, which takes
// one round trip.
const _endCheckTime = 150 * time.Millisecond

// contentOf hashes the method, the host, the target, the object and the body of a request.
func contentOf(r *relay.Request) suspect.Content {
	h := xxhash.New()
	for _, part := range []string{r.Method, hostOf(r.Host), r.URI, r.Object} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	if r.Body != nil {
		_, _ = h.Write(r.Body.Bytes)
	}
	return suspect.Content(h.Sum64())
}

// workerCheck finds out whether an incarnation of a worker ended, for all requests that broke
// there.
type workerCheck struct {
	done   chan struct{}
	broken []brokenRequest
}

// brokenRequest is a request that broke at a time, after the worker had it for ran.
type brokenRequest struct {
	id      string
	content suspect.Content
	ran     time.Duration
	at      time.Time
}

// incarnation is one start of a worker.
type incarnation struct {
	worker string
	born   int64
}

// mayAttempt returns an empty reason if the content of a request does not speak against sending
// it, or else the reason and the time after which a caller may return.
func (s *Service) mayAttempt(rs *requestState) (relay.Reason, time.Duration) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Suspects.Any() {
		return "", 0
	}
	content := contentOf(rs.request)
	verdict, wait := s.Suspects.Verdict(now, content)
	switch verdict {
	case suspect.Clear:
		return "", 0
	case suspect.Trial:
		rs.trial = true
		countSuspect("tried")
		return "", 0
	}
	countSuspect(string(verdict))
	s.Log.Info("content is held back", zap.String("request", rs.request.ID), zap.String("route", rs.route.Name),
		zap.Stringer("content", content), zap.String("verdict", string(verdict)), zap.Duration("forMs", wait), zap.Strings("tried", rs.tried))
	return relay.EndsWorkers, wait
}

// refuseContent refuses a request that did not run, because of its content.
func refuseContent(wait time.Duration) *relay.Answer {
	return refusal(relay.EndsWorkers, time.Duration(float64(wait)*(1+rand.Float64()/4)))
}

// recordContent records what an attempt shows of the content of the request: a worker served
// it, or ended while it ran it.
func (s *Service) recordContent(ctx context.Context, rs *requestState, target exchange.Target) {
	defer s.endTrial(rs)
	r := rs.last
	switch {
	case r.Answer.Outcome == retry.Run && r.Answer.Status < http.StatusInternalServerError:
		s.recordServed(rs)
	case r.Fault == exchange.Broken && r.FirstByte == 0 && s.HasEnded != nil:
		s.checkEnded(ctx, rs, target)
	}
}

// endTrial ends the trial of a content, if the request is one.
func (s *Service) endTrial(rs *requestState) {
	if !rs.trial {
		return
	}
	rs.trial = false
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Suspects.EndTrial(contentOf(rs.request))
}

// recordServed clears the content of a request that a worker served.
func (s *Service) recordServed(rs *requestState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Suspects.Any() {
		return
	}
	content := contentOf(rs.request)
	if !s.Suspects.Served(content) {
		return
	}
	countSuspect("cleared")
	s.tell(nil, []suspect.Content{content})
}

// checkEnded waits until it is known whether the worker of a request that broke has ended.
func (s *Service) checkEnded(ctx context.Context, rs *requestState, target exchange.Target) {
	now := time.Now()
	w := rs.choice.Worker
	key := incarnation{w.ID, w.Born}
	s.mu.Lock()
	if !w.Usable(now) {
		// The worker was to end: its requests are not to blame.
		s.mu.Unlock()
		return
	}
	check := s.checks[key]
	if check == nil {
		check = &workerCheck{done: make(chan struct{})}
		s.checks[key] = check
		go s.runCheck(context.WithoutCancel(ctx), key, w, target, check)
	}
	check.broken = append(check.broken, brokenRequest{rs.request.ID, contentOf(rs.request), rs.last.Took - rs.last.Connect, now})
	s.mu.Unlock()
	timer := time.NewTimer(_endCheckTime)
	defer timer.Stop()
	select {
	case <-check.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// runCheck finds out whether a worker ended. If so, all requests that broke there are
// suspects.
func (s *Service) runCheck(ctx context.Context, key incarnation, w *worker.Worker, target exchange.Target, check *workerCheck) {
	ended := s.HasEnded(ctx, target)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer close(check.done)
	delete(s.checks, key)
	if !ended {
		return
	}
	s.placer.Ended(now, w)
	ends := make([]suspect.End, 0, len(check.broken))
	for _, b := range check.broken {
		end := suspect.End{
			Content: b.content, Worker: key.worker, Born: key.born, RanMs: max(b.ran, 0).Milliseconds(), AgeMs: now.Sub(b.at).Milliseconds(),
		}
		if s.recordEnd(now, s.Instance, b.id, end) {
			ends = append(ends, end)
		}
	}
	s.tell(ends, nil)
}

// recordEnd records and logs that a worker ended under a request, and reports whether that is
// new. The caller holds s.mu.
func (s *Service) recordEnd(now time.Time, source, request string, e suspect.End) bool {
	verdict, isNew := s.Suspects.Ended(now, e)
	if !isNew {
		return false
	}
	countSuspect("ended")
	s.Log.Info("worker ended under a request", zap.String("request", request), zap.Stringer("content", e.Content),
		zap.String("worker", e.Worker), zap.Int64("born", e.Born), zap.String("source", source),
		zap.Int64("ranMs", e.RanMs), zap.Int64("newsAgeMs", e.AgeMs), zap.String("verdict", string(verdict)))
	return true
}

// AdoptSuspects records what another instance found out about contents.
func (s *Service) AdoptSuspects(from string, news suspect.News) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range news.Ended {
		s.recordEnd(now, from, "", e)
	}
	for _, c := range news.Cleared {
		s.Suspects.Served(c)
	}
}

// tell passes on what was found out. When many workers end at once, the requests are hardly
// the cause, and only the first are told. The caller holds s.mu.
func (s *Service) tell(ended []suspect.End, cleared []suspect.Content) {
	if s.TellSuspects == nil || len(ended)+len(cleared) == 0 {
		return
	}
	if !s.tells.Admit(time.Now(), suspect.MaxNewsPerSecond) {
		countSuspect("untold")
		return
	}
	s.tells.Charge(1)
	s.TellSuspects(suspect.News{Ended: ended[:min(len(ended), suspect.MaxNews)], Cleared: cleared})
}

func countSuspect(event string) {
	metrics.GetOrCreateCounter(`wigeonlock_suspect_contents_total{event="` + event + `"}`).Inc()
}
