// Package changefeed passes what an instance reads from the store on to its
// neighbours over gRPC.
//
// A neighbour gets what it has not read at first, then each reading of the store
// with its age, also one without changes, so that it knows that the reader still
// reads.
//
// # Usage
//
//	s := &changefeed.Server{Source: watcher}
//	go s.Serve(listener)
//	peers := &changefeed.Peers{Instance: "tunis-lac-1"}
package changefeed

import (
	"context"
	"math"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/wigeonlock/wigeonlock/changefeed/wire"
	"github.com/wigeonlock/wigeonlock/store"
	"github.com/wigeonlock/wigeonlock/watch"
)

const (
	// _bufferBytes is the size of the buffers of a connection: batches are
	// small, and an instance may have dozens of neighbours.
	_bufferBytes = 4 << 10
	// _maxBatch bounds a batch: all keys of some hundred workers and routes.
	_maxBatch = 32 << 20
	// _sharedTime is how long an encoded batch is sent as it is.
	_sharedTime = 100 * time.Millisecond
	// _connectTime bounds the time to a connection.
	_connectTime = time.Second
	// _keepAlive finds a connection that went silent.
	_keepAlive = 10 * time.Second
)

// Source hands out what is read.
type Source interface {
	Subscribe(after store.Revision) (missed watch.Batch, batches <-chan watch.Batch, end func(), err error)
}

// Server hands out news to neighbours.
type Server struct {
	wire.UnimplementedNewsServer
	Source Source

	mu     sync.Mutex
	server *grpc.Server
	shared sharedBatch
}

// sharedBatch is the last batch in its encoded form, which all streams send.
type sharedBatch struct {
	revision store.Revision
	readAt   time.Time
	encoded  *grpc.PreparedMsg
	at       time.Time
}

// Serve serves until Close.
func (s *Server) Serve(l net.Listener) error {
	server := grpc.NewServer(
		grpc.WriteBufferSize(_bufferBytes), grpc.ReadBufferSize(_bufferBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: _keepAlive, Timeout: _connectTime}),
	)
	wire.RegisterNewsServer(server, s)
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	if err := server.Serve(l); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return errors.Wrap(err, "serve news")
	}
	return nil
}

// Close ends all streams.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		s.server.Stop()
	}
}

// Follow sends what the neighbour has not read and then each reading.
func (s *Server) Follow(r *wire.FollowRequest, stream wire.News_FollowServer) error {
	missed, batches, end, err := s.Source.Subscribe(store.Revision(r.GetAfter()))
	if err != nil {
		return status.Error(codes.OutOfRange, err.Error())
	}
	defer end()
	if err := stream.Send(encode(missed)); err != nil {
		return err
	}
	for {
		select {
		case <-stream.Context().Done():
			return nil
		case b, ok := <-batches:
			if !ok {
				return status.Error(codes.ResourceExhausted, "the neighbour does not keep up")
			}
			if err := s.send(stream, b); err != nil {
				return err
			}
		}
	}
}

// send sends a batch that all neighbours get. It is encoded once for all of
// them, unless the stream lags: ages are told as of the encoding.
func (s *Server) send(stream wire.News_FollowServer, b watch.Batch) error {
	message, err := s.encoded(stream, b)
	if err != nil {
		return errors.Wrap(err, "encode news")
	}
	return stream.SendMsg(message)
}

func (s *Server) encoded(stream wire.News_FollowServer, b watch.Batch) (*grpc.PreparedMsg, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.shared
	if known.encoded != nil && known.revision == b.Revision && known.readAt.Equal(b.At) && now.Sub(known.at) < _sharedTime {
		return known.encoded, nil
	}
	message := &grpc.PreparedMsg{}
	if err := message.Encode(stream, encode(b)); err != nil {
		return nil, err
	}
	s.shared = sharedBatch{revision: b.Revision, readAt: b.At, encoded: message, at: now}
	return message, nil
}

// Client follows neighbours.
type Client struct {
	// Instance is the name of the instance.
	Instance string
}

var _ watch.Peers = (*Client)(nil)

// Follow hands on what a neighbour has read since a revision, and what it reads
// until the connection ends.
func (p *Client) Follow(
	ctx context.Context, n watch.Neighbour, after store.Revision, deliver func(watch.Batch),
) error {
	conn, err := grpc.NewClient(
		"passthrough:///"+n.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithWriteBufferSize(_bufferBytes), grpc.WithReadBufferSize(_bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(_maxBatch)),
	)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	defer func() { _ = conn.Close() }()
	stream, err := wire.NewNewsClient(conn).Follow(ctx, &wire.FollowRequest{Instance: p.Instance, After: uint64(after)})
	if err != nil {
		return errors.Wrap(err, "follow")
	}
	for {
		b, err := stream.Recv()
		if status.Code(err) == codes.OutOfRange {
			return watch.ErrBehind
		}
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		deliver(decode(time.Now(), b))
	}
}

func encode(b watch.Batch) *wire.Batch {
	now := time.Now()
	w := &wire.Batch{
		Whole: b.Full, Revision: uint64(b.Revision), AgeMs: math.MaxInt32, Changes: make([]*wire.Change, 0, len(b.Changes)),
	}
	if !b.At.IsZero() {
		w.AgeMs = now.Sub(b.At).Milliseconds()
	}
	for _, c := range b.Changes {
		change := &wire.Change{Key: c.Key, Value: c.Value, Revision: uint64(c.Revision), Deleted: c.Deleted}
		if !c.TentativeUntil.IsZero() {
			change.LapseMs = max(c.TentativeUntil.Sub(now).Milliseconds(), 1)
		}
		w.Changes = append(w.Changes, change)
	}
	return w
}

func decode(now time.Time, w *wire.Batch) watch.Batch {
	b := watch.Batch{
		Full: w.GetWhole(), Revision: store.Revision(w.GetRevision()),
		At: now.Add(-time.Duration(w.GetAgeMs()) * time.Millisecond), Changes: make([]watch.Change, 0, len(w.GetChanges())),
	}
	for _, c := range w.GetChanges() {
		change := watch.Change{Change: store.Change{
			Item:    store.Item{Key: c.GetKey(), Value: c.GetValue(), Revision: store.Revision(c.GetRevision())},
			Deleted: c.GetDeleted(),
		}}
		if c.GetLapseMs() > 0 {
			change.TentativeUntil = now.Add(time.Duration(c.GetLapseMs()) * time.Millisecond)
		}
		b.Changes = append(b.Changes, change)
	}
	return b
}
