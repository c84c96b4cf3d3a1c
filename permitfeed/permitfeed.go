// Package permitfeed carries the questions for permits and their answers between instances,
// as datagrams, and the news which workers said that they leave and which requests may end
// workers.
//
// Nothing is repeated: an answer that is lost costs a permit, and the requests that wait for
// it go to other workers. An instance that starts asks its neighbours for all limits that
// they know.
//
// # Usage
//
//	f := permitfeed.New()
//	book := &permit.Book{Send: f.Send, ...}
//	f.Listen, f.Book, f.Neighbours, f.Log = "10.1.0.9:7635", book, neighbours, log
//	go f.Run(ctx)
package permitfeed

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/datagram"
	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/permit"
	"github.com/wigeonlock/wigeonlock/suspect"
	"github.com/wigeonlock/wigeonlock/worker"
)

const (
	// _queue is the number of messages that wait to be sent, enough to tell all instances
	// of a limit. Further ones are dropped.
	_queue = 2048
	// _helloInterval is the time between questions for all limits until one is answered,
	// _maxHellos the number of questions.
	_helloInterval = 300 * time.Millisecond
	_maxHellos     = 10
)

// Feed sends and receives messages. The exported fields are set before Run.
type Feed struct {
	// Listen is the host:port for datagrams.
	Listen string
	Book   *permit.Book
	// Neighbours returns the addresses of the other instances of the region that serve
	// callers.
	Neighbours func() []string
	// Fleet returns the addresses of the other instances of all regions that serve callers.
	Fleet func() []string
	// Workers is told what other instances learned of workers.
	Workers Workers
	Log     *zap.Logger

	queue chan envelope
	// answered is closed once a neighbour has told its limits.
	answered chan struct{}
	heard    bool
}

// Workers holds what is known of workers.
type Workers interface {
	// SaidLeaving returns the workers that said that they leave, at most limit.
	SaidLeaving(limit int) []worker.Leaving
	// AdoptLeaving records what an instance was told by a worker.
	AdoptLeaving(from string, l worker.Leaving)
	// AdoptSuspects records what an instance found out about requests.
	AdoptSuspects(from string, news suspect.News)
}

// envelope is a message to an instance, or to all that recipients returns.
type envelope struct {
	to         string
	recipients func() []string
	message    permit.Message
}

var (
	_sent     = metrics.NewCounter("wigeonlock_permit_messages_sent_total")
	_received = metrics.NewCounter("wigeonlock_permit_messages_received_total")
	_dropped  = metrics.NewCounter("wigeonlock_permit_messages_dropped_total")
	_unusable = metrics.NewCounter("wigeonlock_permit_messages_unusable_total")
)

// New returns a feed. Send may be called before Run.
func New() *Feed {
	return &Feed{queue: make(chan envelope, _queue), answered: make(chan struct{})}
}

// Send queues a message to the host:port of an instance. It does not block.
func (f *Feed) Send(address string, m permit.Message) {
	f.enqueue(envelope{to: address, message: m})
}

func (f *Feed) enqueue(e envelope) {
	select {
	case f.queue <- e:
	default:
		_dropped.Inc()
	}
}

// TellLeaving queues for all neighbours that a worker leaves. It does not block.
func (f *Feed) TellLeaving(l worker.Leaving) {
	f.enqueue(envelope{recipients: f.Neighbours, message: permit.Message{From: f.Book.Self, Leaving: []worker.Leaving{l}}})
}

// TellSuspects queues news for all instances that serve callers. It does not block.
func (f *Feed) TellSuspects(news suspect.News) {
	f.enqueue(envelope{recipients: f.Fleet, message: permit.Message{From: f.Book.Self, Suspects: &news}})
}

// Run sends and receives messages until ctx ends and returns nil. Without a socket it only
// logs: the instance then gets no permits of others, and sends nothing to workers with a
// limit.
func (f *Feed) Run(ctx context.Context) error {
	conn, err := datagram.Listen(f.Listen)
	if err != nil {
		f.Log.Warn("permits are not shared", zap.Error(err))
		return nil
	}
	go f.send(ctx, conn)
	datagram.Serve(ctx, conn, f.Log, func(from netip.AddrPort, data []byte) { f.receive(conn, from, data) })
	return nil
}

// receive handles a datagram and answers it. One that cannot be decoded is counted and
// dropped.
func (f *Feed) receive(conn *net.UDPConn, from netip.AddrPort, data []byte) {
	m, ok := permit.Decode(data)
	if !ok {
		_unusable.Inc()
		return
	}
	_received.Inc()
	if len(m.Leaving) > 0 || m.Suspects != nil {
		f.adopt(m)
		return
	}
	var answers []permit.Message
	if err := kernel.Guard(func() error { answers = f.Book.Receive(time.Now(), m); return nil }); err != nil {
		f.Log.Error("permit message panicked", zap.Error(err))
	}
	if m.Hello && f.Workers != nil {
		if leaving := f.Workers.SaidLeaving(permit.MaxLeaving); len(leaving) > 0 {
			answers = append(answers, permit.Message{From: f.Book.Self, Leaving: leaving})
		}
	}
	for _, a := range answers {
		write(conn, from, a)
	}
	if m.Ask == nil && m.Reply == nil && !m.Hello && !f.heard {
		f.heard = true
		close(f.answered)
	}
}

// adopt records what a message says of workers.
func (f *Feed) adopt(m permit.Message) {
	if f.Workers == nil {
		return
	}
	for _, l := range m.Leaving {
		f.Workers.AdoptLeaving(m.From, l)
	}
	if m.Suspects != nil {
		f.Workers.AdoptSuspects(m.From, *m.Suspects)
	}
}

// send sends the queued messages, and asks the neighbours for their limits until one
// answered.
func (f *Feed) send(ctx context.Context, conn *net.UDPConn) {
	hellos := 0
	ticker := time.NewTicker(_helloInterval)
	defer ticker.Stop()
	answered := f.answered
	for {
		select {
		case <-ctx.Done():
			return
		case <-answered:
			ticker.Stop()
			answered = nil
		case <-ticker.C:
			if hellos++; hellos >= _maxHellos {
				ticker.Stop()
			}
			for _, neighbour := range f.Neighbours() {
				writeTo(conn, neighbour, permit.Message{From: f.Book.Self, Hello: true})
			}
		case e := <-f.queue:
			recipients := []string{e.to}
			if e.recipients != nil {
				recipients = e.recipients()
			}
			for _, to := range recipients {
				writeTo(conn, to, e.message)
			}
		}
	}
}

func writeTo(conn *net.UDPConn, address string, m permit.Message) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		_dropped.Inc()
		return
	}
	write(conn, to, m)
}

func write(conn *net.UDPConn, to netip.AddrPort, m permit.Message) {
	data, err := m.Encode()
	if err == nil {
		_, err = conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil {
		_dropped.Inc()
		return
	}
	_sent.Inc()
}
