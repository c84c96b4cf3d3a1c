// Package changefeed streams what an instance reads from the store to its
// neighbours over gRPC.
//
// A stream begins with the changes that the neighbour has not read. Then it
// carries each read of the store with its age, even if the read found no changes,
// so that the neighbour knows that the reader is still reading.
//
// # Usage
//
//	s := &changefeed.Server{Source: watcher}
//	go s.Serve(listener)
//	client := &changefeed.Client{Instance: "tunis-lac-1"}
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
	"google.golang.org/protobuf/proto"

	"github.com/wigeonlock/wigeonlock/changefeed/wire"
	"github.com/wigeonlock/wigeonlock/store"
	"github.com/wigeonlock/wigeonlock/watch"
)

const (
	// _bufferBytes is the size of each connection's read and write buffer. It is
	// small because batches are small and an instance may have dozens of
	// neighbours.
	_bufferBytes = 4 << 10
	// _maxBatchBytes is the largest batch that is received: all keys of some
	// hundred workers and routes.
	_maxBatchBytes = 32 << 20
	// _encodedTTL is how long an encoded batch is reused. Its ages are as of the
	// encoding.
	_encodedTTL = 100 * time.Millisecond
	// _pingTimeout is how long the server waits for the answer to a keep-alive
	// ping before it closes the connection.
	_pingTimeout = time.Second
	// _pingInterval is the idle time after which the server sends a keep-alive
	// ping.
	_pingInterval = 10 * time.Second
)

// Source provides what is read from the store.
type Source interface {
	// Subscribe returns the changes since a revision and a channel of the batches
	// read from then on, which is closed when the subscriber does not keep up.
	// The caller calls end to unsubscribe. It returns watch.ErrBehind if not all
	// changes since the revision are known.
	Subscribe(after store.Revision) (missed watch.Batch, batches <-chan watch.Batch, end func(), err error)
	// Revision returns the revision up to which the store was read.
	Revision() store.Revision
}

// Server streams the batches of Source to neighbours. Source is set before Serve.
type Server struct {
	wire.UnimplementedNewsServer
	Source Source

	mu     sync.Mutex
	server *grpc.Server
	last   encodedBatch
}

// encodedBatch is a batch in encoded form, which all streams send.
type encodedBatch struct {
	revision store.Revision
	readAt   time.Time
	encoded  *grpc.PreparedMsg
	// encodedAt is the time of the encoding, to which the ages in it refer.
	encodedAt time.Time
}

// Serve accepts streams on l until Close. It returns nil after Close.
func (s *Server) Serve(l net.Listener) error {
	server := grpc.NewServer(
		grpc.WriteBufferSize(_bufferBytes), grpc.ReadBufferSize(_bufferBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: _pingInterval, Timeout: _pingTimeout}),
	)
	wire.RegisterNewsServer(server, s)
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	if err := server.Serve(l); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return errors.Wrap(err, "serve change feed")
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

// Follow sends the changes that the neighbour has not read and then each read of
// the store. It fails with OutOfRange if those changes are not all known and with
// ResourceExhausted if the neighbour does not keep up.
func (s *Server) Follow(r *wire.FollowRequest, stream wire.News_FollowServer) error {
	missed, batches, end, err := s.Source.Subscribe(s.after(r))
	switch {
	case errors.Is(err, watch.ErrRefused):
		return status.Error(codes.Unavailable, err.Error())
	case err != nil:
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

// after returns the revision up to which a neighbour has read. One that names no era does
// not know of any, and counts as up to date with the current one.
func (s *Server) after(r *wire.FollowRequest) store.Revision {
	era := s.Source.Revision().Era()
	if r.Era != nil {
		era = store.Era(r.GetEra())
	}
	if r.GetAfter() == 0 {
		return 0
	}
	return store.RevisionOf(era, r.GetAfter())
}

// send sends a batch that all neighbours get. It is encoded once for all streams,
// and again for a stream that lags by more than _encodedTTL, because ages are as
// of the encoding.
func (s *Server) send(stream wire.News_FollowServer, b watch.Batch) error {
	message, err := s.encoded(stream, b)
	if err != nil {
		return errors.Wrap(err, "encode batch")
	}
	return stream.SendMsg(message)
}

func (s *Server) encoded(stream wire.News_FollowServer, b watch.Batch) (*grpc.PreparedMsg, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.last
	if last.encoded != nil && last.revision == b.Revision && last.readAt.Equal(b.At) && now.Sub(last.encodedAt) < _encodedTTL {
		return last.encoded, nil
	}
	message := &grpc.PreparedMsg{}
	if err := message.Encode(stream, encode(b)); err != nil {
		return nil, err
	}
	s.last = encodedBatch{revision: b.Revision, readAt: b.At, encoded: message, encodedAt: now}
	return message, nil
}

// Client follows the change feeds of neighbours.
type Client struct {
	// Instance is the name of this instance.
	Instance string
}

var _ watch.Peers = (*Client)(nil)

// Follow delivers what a neighbour has read since a revision, and then what it
// reads until ctx or the connection ends. It returns watch.ErrBehind if the
// neighbour does not hold all changes since that revision.
func (c *Client) Follow(
	ctx context.Context, n watch.Neighbour, after store.Revision, deliver func(watch.Batch),
) error {
	conn, err := grpc.NewClient(
		"passthrough:///"+n.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithWriteBufferSize(_bufferBytes), grpc.WithReadBufferSize(_bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(_maxBatchBytes)),
	)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	defer func() { _ = conn.Close() }()
	stream, err := wire.NewNewsClient(conn).Follow(ctx, &wire.FollowRequest{
		Instance: c.Instance, After: after.Number(), Era: proto.Uint32(uint32(after.Era())),
	})
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
		Whole: b.Full, Revision: b.Revision.Number(), Era: uint32(b.Revision.Era()), AgeMs: math.MaxInt32, Changes: make([]*wire.Change, 0, len(b.Changes)),
	}
	if !b.At.IsZero() {
		w.AgeMs = now.Sub(b.At).Milliseconds()
	}
	for _, c := range b.Changes {
		change := &wire.Change{
			Key: c.Key, Value: c.Value, Revision: c.Revision.Number(), Deleted: c.Deleted, Retained: c.Retained,
			Written: c.Written.Number(), WrittenEra: uint32(c.Written.Era()),
		}
		if era := c.Revision.Era(); era != b.Revision.Era() {
			change.Era = proto.Uint32(uint32(era))
		}
		if !c.TentativeUntil.IsZero() {
			change.LapseMs = max(c.TentativeUntil.Sub(now).Milliseconds(), 1)
		}
		w.Changes = append(w.Changes, change)
	}
	return w
}

func decode(now time.Time, w *wire.Batch) watch.Batch {
	b := watch.Batch{
		Full: w.GetWhole(), Revision: store.RevisionOf(store.Era(w.GetEra()), w.GetRevision()),
		At: now.Add(-time.Duration(w.GetAgeMs()) * time.Millisecond), Changes: make([]watch.Change, 0, len(w.GetChanges())),
	}
	for _, c := range w.GetChanges() {
		era := w.GetEra()
		if c != nil && c.Era != nil {
			era = c.GetEra()
		}
		change := watch.Change{
			Change: store.Change{
				Item:    store.Item{Key: c.GetKey(), Value: c.GetValue(), Revision: store.RevisionOf(store.Era(era), c.GetRevision())},
				Deleted: c.GetDeleted(),
			},
			Written: store.RevisionOf(store.Era(c.GetWrittenEra()), c.GetWritten()), Retained: c.GetRetained(),
		}
		if c.GetLapseMs() > 0 {
			change.TentativeUntil = now.Add(time.Duration(c.GetLapseMs()) * time.Millisecond)
		}
		b.Changes = append(b.Changes, change)
	}
	return b
}
