package placement

import "time"

const (
	// _placeTime is the time for which the place of an object is remembered after
	// its last request.
	_placeTime = time.Minute
	// _maxPlaced limits the number of remembered places of a service.
	_maxPlaced = 1 << 14
	// _maxMoveTime is the part of a service's slots that cold runs of moved objects may
	// take, over all instances. Without a limit, objects that move from full workers
	// fill others with cold runs, which then are full as well, and the service stays
	// cold and full after the burst that began it.
	_maxMoveTime = 0.1
)

// places remembers the place of each object of a service: the worker to which the
// requests for the object are sent. An object stays there while that worker has
// capacity, so that a burst or a slow worker moves few objects, each of them once.
type places struct {
	last map[uint64]placed

	// busy limits moves to busy workers, away those to other regions.
	busy moveLimit
	away moveLimit
	// home limits moves to where an object's rank is highest.
	home moveLimit
}

// moveLimit limits the number of objects that move per second. Up to a second's worth,
// at least one object, may move at once.
type moveLimit struct {
	left float64
	at   time.Time
}

// allows reports whether an object may move now.
func (m *moveLimit) allows(now time.Time, perSecond float64) bool {
	m.left = min(m.left+perSecond*now.Sub(m.at).Seconds(), max(perSecond, 1))
	m.at = now
	return m.left >= 1
}

type placed struct {
	id string
	at time.Time
	// moves counts the places that the object has had.
	moves uint32
	// displaced is set if the object left its place as that was full or unhealthy.
	displaced bool
	// sent is the worker of the last request.
	sent string
}

// Move is the move of an object to another worker, or its first place. Of two moves of an
// object, the one with more moves before it is newer; of two equal ones, all instances take the one to
// the worker with the lower ID.
type Move struct {
	Service string `json:"service"`
	Object  uint64 `json:"object,string"`
	Worker  string `json:"worker"`
	Count   uint32 `json:"count"`
	// Homeward is set if the object's rank is highest on the worker.
	Homeward bool `json:"homeward,omitempty"`
}

// Adopt applies a move that another instance of the region made.
func (p *Placer) Adopt(now time.Time, m Move) {
	if m.Count == 0 {
		return
	}
	places := p.placesOf(m.Service)
	last, ok := places.last[m.Object]
	if m.Count < last.moves || m.Count == last.moves && m.Worker >= last.id {
		return
	}
	if !ok && len(places.last) >= _maxPlaced {
		places.forget(now)
	}
	places.last[m.Object] = placed{id: m.Worker, at: now, moves: m.Count, displaced: !m.Homeward, sent: last.sent}
	p.warm.record(now, m.Object, m.Worker)
}

// Moves returns the places of objects, with the number of moves of each, at most limit.
func (p *Placer) Moves(now time.Time, limit int) []Move {
	var moves []Move
	for service, places := range p.places {
		for object, last := range places.last {
			if len(moves) >= limit {
				return moves
			}
			if last.moves > 0 && now.Sub(last.at) < _placeTime {
				moves = append(moves, Move{service, object, last.id, last.moves, !last.displaced})
			}
		}
	}
	return moves
}

func (p *Placer) placesOf(service string) *places {
	known := p.places[service]
	if known == nil {
		if p.places == nil {
			p.places = make(map[string]*places)
		}
		known = &places{last: make(map[uint64]placed)}
		p.places[service] = known
	}
	return known
}

// record records that a request for an object is sent to the worker of c. It returns the number
// of moves of the object.
func (p *places) record(now time.Time, object uint64, c Choice) uint32 {
	last, ok := p.last[object]
	if !ok && len(p.last) >= _maxPlaced {
		p.forget(now)
	}
	if !ok || c.Moves || now.Sub(last.at) >= _placeTime {
		last.id = c.Worker.ID
	}
	if !ok {
		last.moves = 1
	}
	if c.Moves {
		last.moves++
		last.displaced = !c.Homeward
	}
	last.sent = c.Worker.ID
	for _, limit := range c.charged {
		limit.left--
	}
	last.at = now
	p.last[object] = last
	return last.moves
}

// of returns the ID of the worker, or an empty string if none is remembered.
func (p *places) of(now time.Time, object uint64) string {
	if last, ok := p.last[object]; ok && now.Sub(last.at) < _placeTime {
		return last.id
	}
	return ""
}

// movesPerSecond returns how many objects may move per second so that their cold runs
// take at most _maxMoveTime of the slots. run is the mean time of a run, instances the
// number of instances that send to the workers.
func movesPerSecond(slots int, run time.Duration, instances int) float64 {
	if run <= 0 {
		return 0
	}
	return _maxMoveTime * float64(slots) / (_coldRun * run.Seconds()) / float64(max(instances, 1))
}

// forget deletes expired places, or all if _maxPlaced of them are not expired.
func (p *places) forget(now time.Time) {
	kept := make(map[uint64]placed)
	for object, last := range p.last {
		if now.Sub(last.at) < _placeTime {
			kept[object] = last
		}
	}
	if len(kept) >= _maxPlaced {
		clear(kept)
	}
	p.last = kept
}
