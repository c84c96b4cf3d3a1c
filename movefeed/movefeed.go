// Package movefeed tells the other instances of a region, by datagrams, to which
// workers objects have moved, which workers are busy, and which workers replaced which.
//
// Instances of a region send requests for the same objects. If each of them moved an
// object by itself, the object would run cold on as many workers. A datagram that is
// lost costs one such run: nothing is repeated. An instance that starts asks the others
// for all moves that they know.
//
// Each instance sees few of the answers of a worker, and what it saw last is older than a run
// takes. What the others saw is sent a few times a second, the last of each worker.
//
// # Usage
//
//	f := &movefeed.Feed{Listen: "10.1.0.9:7620", Neighbours: neighbours, Moves: service, Log: log}
//	go f.Run(ctx)
//	f.Tell(move)
package movefeed

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/datagram"
	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/placement"
	"github.com/wigeonlock/wigeonlock/seat"
)

const (
	// _maxMoves is the number of moves in one datagram: about 1200 bytes, so that it
	// needs no fragments.
	_maxMoves = 12
	// _maxAnswers is the largest number of datagrams that answer a question.
	_maxAnswers = 64
	// _queue is the number of moves that wait to be sent. Further ones are dropped.
	_queue = 256
	// _askInterval is the time between questions until one is answered, _maxAsks
	// the number of questions.
	_askInterval = 300 * time.Millisecond
	_maxAsks     = 10
	// _loadInterval is the time between two datagrams about loads. It is short against the
	// time for which a load or a pace holds.
	_loadInterval = 100 * time.Millisecond
	// _maxLoads is the number of loads in one datagram, of about 80 bytes each.
	_maxLoads = 15
)

// Moves holds the moves that an instance knows.
type Moves interface {
	// Moves returns the known moves, at most limit.
	Moves(limit int) []placement.Move
	// AdoptMoves applies moves of a neighbour.
	AdoptMoves(moves []placement.Move)
	// AdoptLoads applies loads of workers that a neighbour saw.
	AdoptLoads(loads []placement.WorkerLoad)
	// Successions returns the workers that replaced another one, at most limit.
	Successions(limit int) []seat.Succession
	// AdoptSuccessions applies successions that a neighbour decided.
	AdoptSuccessions(successions []seat.Succession)
}

// Feed sends and receives moves. The exported fields are set before Run.
type Feed struct {
	// Listen is the host:port for datagrams.
	Listen string
	// Neighbours returns the addresses of the other instances of the region that serve
	// callers.
	Neighbours func() []string
	Moves      Moves
	Log        *zap.Logger

	queue       chan placement.Move
	loads       chan placement.WorkerLoad
	successions chan seat.Succession
}

// message is the content of a datagram: a question, or moves and successions.
type message struct {
	Ask         bool                   `json:"ask,omitempty"`
	Moves       []placement.Move       `json:"moves,omitempty"`
	Loads       []placement.WorkerLoad `json:"loads,omitempty"`
	Successions []seat.Succession      `json:"successions,omitempty"`
}

var (
	_told         = metrics.NewCounter("wigeonlock_moves_told_total")
	_heard        = metrics.NewCounter("wigeonlock_moves_heard_total")
	_dropped      = metrics.NewCounter("wigeonlock_moves_dropped_total")
	_loadsTold    = metrics.NewCounter("wigeonlock_loads_told_total")
	_loadsHeard   = metrics.NewCounter("wigeonlock_loads_heard_total")
	_loadsDropped = metrics.NewCounter("wigeonlock_loads_dropped_total")
	_unusable     = metrics.NewCounter("wigeonlock_moves_unusable_total")
)

// New returns a feed. Tell may be called before Run.
func New() *Feed {
	return &Feed{
		queue: make(chan placement.Move, _queue), loads: make(chan placement.WorkerLoad, _queue),
		successions: make(chan seat.Succession, _queue),
	}
}

// TellLoad queues the load of a worker for the neighbours. It does not block.
func (f *Feed) TellLoad(l placement.WorkerLoad) {
	select {
	case f.loads <- l:
	default:
		_loadsDropped.Inc()
	}
}

// TellSuccession queues a succession for the neighbours. It does not block.
func (f *Feed) TellSuccession(s seat.Succession) {
	select {
	case f.successions <- s:
	default:
		_dropped.Inc()
	}
}

// Tell queues a move for the neighbours. It does not block.
func (f *Feed) Tell(m placement.Move) {
	select {
	case f.queue <- m:
	default:
		_dropped.Inc()
	}
}

// Run sends and receives datagrams until ctx ends and returns nil. Without a socket it
// only logs: an instance that does not hear of moves still serves.
func (f *Feed) Run(ctx context.Context) error {
	conn, err := datagram.Listen(f.Listen)
	if err != nil {
		f.Log.Warn("moves of objects are not shared", zap.Error(err))
		return nil
	}
	answered := make(chan struct{}, 1)
	go f.send(ctx, conn, answered)
	datagram.Serve(ctx, conn, f.Log, func(from netip.AddrPort, data []byte) { f.receive(conn, from, data, answered) })
	return nil
}

// receive handles a datagram. One that cannot be decoded is counted and dropped.
func (f *Feed) receive(conn *net.UDPConn, from netip.AddrPort, data []byte, answered chan<- struct{}) {
	m, ok := decode(data)
	if !ok {
		_unusable.Inc()
		return
	}
	if m.Ask {
		f.write(conn, from, f.Moves.Moves(_maxMoves*_maxAnswers))
		for known := f.Moves.Successions(_maxMoves * _maxAnswers); len(known) > 0; {
			n := min(len(known), _maxMoves)
			f.writeMessage(conn, from, message{Successions: known[:n]})
			known = known[n:]
		}
		return
	}
	if len(m.Loads) > 0 {
		_loadsHeard.Add(len(m.Loads))
		f.adopt(func() { f.Moves.AdoptLoads(m.Loads) })
		return
	}
	_heard.Add(len(m.Moves) + len(m.Successions))
	f.adopt(func() {
		f.Moves.AdoptMoves(m.Moves)
		f.Moves.AdoptSuccessions(m.Successions)
	})
	select {
	case answered <- struct{}{}:
	default:
	}
}

// adopt runs f, which applies what a neighbour told.
func (f *Feed) adopt(apply func()) {
	if err := kernel.Guard(func() error { apply(); return nil }); err != nil {
		f.Log.Error("news of a neighbour panicked", zap.Error(err))
	}
}

func decode(data []byte) (m message, ok bool) {
	err := json.Unmarshal(data, &m)
	return m, err == nil && len(m.Moves) <= _maxMoves && len(m.Loads) <= _maxLoads && len(m.Successions) <= _maxMoves
}

// send asks the neighbours for their moves, and then sends each queued move to all of
// them.
func (f *Feed) send(ctx context.Context, conn *net.UDPConn, answered <-chan struct{}) {
	asks := 0
	ask := time.NewTicker(_askInterval)
	defer ask.Stop()
	tell := time.NewTicker(_loadInterval)
	defer tell.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-answered:
			asks = _maxAsks
		case <-ask.C:
			if asks++; asks > _maxAsks {
				ask.Stop()
				continue
			}
			f.broadcast(conn, message{Ask: true})
		case m := <-f.queue:
			moves := []placement.Move{m}
			for len(f.queue) > 0 && len(moves) < _maxMoves {
				moves = append(moves, <-f.queue)
			}
			f.broadcast(conn, message{Moves: moves})
			_told.Add(len(moves))
		case s := <-f.successions:
			f.broadcast(conn, message{Successions: []seat.Succession{s}})
			_told.Inc()
		case <-tell.C:
			f.sendLoads(conn)
		}
	}
}

// sendLoads sends the queued loads to the neighbours, the last of each worker.
func (f *Feed) sendLoads(conn *net.UDPConn) {
	if len(f.loads) == 0 {
		return
	}
	last := make(map[string]placement.WorkerLoad)
	for range len(f.loads) {
		l := <-f.loads
		last[l.Worker] = l
	}
	loads := slices.Collect(maps.Values(last))
	_loadsTold.Add(len(loads))
	for part := range slices.Chunk(loads, _maxLoads) {
		f.broadcast(conn, message{Loads: part})
	}
}

// broadcast sends a message to all neighbours.
func (f *Feed) broadcast(conn *net.UDPConn, m message) {
	for _, neighbour := range f.Neighbours() {
		to, err := netip.ParseAddrPort(neighbour)
		if err != nil {
			continue
		}
		f.writeMessage(conn, to, m)
	}
}

// write sends moves, and an empty message if there are none.
func (f *Feed) write(conn *net.UDPConn, to netip.AddrPort, moves []placement.Move) {
	for {
		n := min(len(moves), _maxMoves)
		f.writeMessage(conn, to, message{Moves: moves[:n]})
		if moves = moves[n:]; len(moves) == 0 {
			return
		}
	}
}

func (f *Feed) writeMessage(conn *net.UDPConn, to netip.AddrPort, m message) {
	data, err := json.Marshal(m)
	if err == nil {
		_, err = conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil {
		_dropped.Add(max(len(m.Moves)+len(m.Successions), 1))
	}
}
