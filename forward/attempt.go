package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/placement"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

// attempt sends a request to a worker and records the result.
func (s *Service) attempt(ctx context.Context, rs *requestState, target exchange.Target) {
	if len(rs.tried) == 0 {
		rs.queued = time.Since(rs.request.Received)
	}
	rs.tried = append(rs.tried, target.ID)
	result := s.Exchange.Do(ctx, target, rs.request, rs.route.Kind.Repeatable())
	rs.last = result
	if result.Sent {
		rs.attempts++
	} else {
		rs.failedDials++
	}
	if result.Answer.Outcome == retry.Unknown {
		rs.unknown = true
	}
	report := reportOf(result)
	report.Load, report.Warm = rs.choice.Load, rs.choice.Warm
	report.Large, report.Route = rs.route.Kind.Large(), rs.route.Name
	if report.Outcome == placement.WrongWorker || report.Outcome == placement.Unreachable {
		s.Exchange.CloseIdle(target.Address)
	}
	s.mu.Lock()
	s.placer.End(time.Now(), rs.choice.Worker, report)
	s.recordLimit(rs, result)
	if result.Leaving {
		s.recordLeaving(rs)
	}
	s.mu.Unlock()
	if result.Leaving {
		s.Exchange.CloseIdle(target.Address)
	}
	s.logAttempt(rs, target, result)
	s.recordContent(ctx, rs, target)
}

func reportOf(r exchange.Result) placement.Report {
	report := placement.Report{Outcome: placement.Answered, Took: r.Took, Opened: r.Opened, Rest: r.Rest}
	if r.Load != nil {
		report.HasLoad, report.Running, report.Waiting, report.Pace = true, r.Load.Running, r.Load.Waiting, r.Load.Pace
	}
	switch r.Fault {
	case exchange.None:
		if r.Answer.Status >= http.StatusInternalServerError || relay.PromisesNotRun(r.Answer.Status) {
			report.Outcome = placement.Errored
		}
	case exchange.Unreachable:
		report.Outcome = placement.Unreachable
	case exchange.Broken:
		report.Outcome = placement.Broken
	case exchange.Misdirected:
		report.Outcome = placement.WrongWorker
	case exchange.Refused:
		report.Outcome = placement.Shed
	case exchange.CallerDisconnected:
		report.Outcome = placement.CallerDisconnected
	case exchange.Withdrawn, exchange.Starved:
		report.Outcome = placement.Withdrawn
	default:
		report.Outcome = placement.Failed
	}
	return report
}
