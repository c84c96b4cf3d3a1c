package placement

import (
	"time"

	"github.com/wigeonlock/wigeonlock/estimate"
)

// earlier returns a worker of the same region where the object is warm and where the request
// would end earlier than at its place, or no worker. The object does not move: the place may
// only have a slow moment, and a cold run costs more than that.
func (p *Placer) earlier(now time.Time, r Request, object uint64, at int, place Choice) Choice {
	run, known := p.runs.Of(p.kindOf(r.Service, r.Route, place))
	if !known {
		return Choice{}
	}
	region := p.RegionOf(place.Worker.Zone)
	end := p.end(now, r, place, run)
	// Estimates that differ by less than a part of a run do not tell which is earlier.
	limit := end - time.Duration(_earlierBy*float64(run))
	var best Choice
	seen := 0
	for i, candidate := range p.ranking {
		if i == at || p.RegionOf(candidate.w.Zone) != region {
			continue
		}
		if seen++; seen > _maxPlaces {
			break
		}
		c := p.choice(now, object, i)
		s := p.state(c.Worker.ID)
		if !c.Warm || c.Load >= _moveLoad || p.full(now, r, c) || p.cost(now, r.Service, s) >= _unhealthyCost || r.share(c.Worker) < 1 {
			continue
		}
		if end := p.end(now, r, c, run); end < limit {
			best, limit = c, end
		}
	}
	return best
}

// end returns the time until a request would end at the worker of c.
func (p *Placer) end(now time.Time, r Request, c Choice, run time.Duration) time.Duration {
	mean, known := p.runs.OfService(r.Service)
	if !known {
		mean = run
	}
	s := p.state(c.Worker.ID)
	q := estimate.Queue{Busy: c.Load * float64(max(c.Worker.Slots, 1)), Slots: c.Worker.Slots, Run: mean, Pace: s.pace.At(now)}
	return q.Wait() + q.Runs(run)
}

// kindOf returns the kind of the runs of a route at the worker of c.
func (p *Placer) kindOf(service, route string, c Choice) estimate.Kind {
	return estimate.Kind{Service: service, Route: route, Local: p.RegionOf(c.Worker.Zone) == p.Region}
}

// recordRun records the time of a run that did not wait, as at the usual pace.
func (p *Placer) recordRun(c Choice, service string, r Report) {
	if !r.Warm || r.Load >= 1 || r.Outcome != Answered {
		return
	}
	p.runs.Record(p.kindOf(service, r.Route, c), time.Duration(float64(r.Took)/max(r.Pace, 1)))
}

// full reports whether a worker has no capacity for a request.
func (p *Placer) full(now time.Time, r Request, c Choice) bool {
	return p.state(c.Worker.ID).full(now, r, c.Load) || p.inVain(now, r, c)
}

// inVain reports whether a request would end at a worker after its deadline, also if its run
// took less than most.
func (p *Placer) inVain(now time.Time, r Request, c Choice) bool {
	run, known := p.runs.Of(p.kindOf(r.Service, r.Route, c))
	return known && r.TimeLeft > 0 && time.Duration(_shortRun*float64(p.end(now, r, c, run))) > r.TimeLeft
}
