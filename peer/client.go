package peer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/wigeonlock/wigeonlock/peer/wire"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/rollout"
)

const (
	// ExchangeTimeout is the time limit for sending a heartbeat.
	ExchangeTimeout = time.Second

	_listsTimeout = 3 * time.Second
	// _replaceAfterTimeouts is the number of consecutive timeouts after which a
	// connection is replaced.
	_replaceAfterTimeouts = 2
	_deadlineGrace        = 250 * time.Millisecond
)

var (
	_replaced      = metrics.NewCounter("wigeonlock_peer_connections_replaced_total")
	_foreignAnswer = metrics.NewCounter("wigeonlock_peer_foreign_answers_total")
)

// Client calls other entry instances.
type Client struct {
	creds credentials.TransportCredentials

	mu     sync.Mutex
	conns  map[string]*conn
	closed bool
}

// conn is the connection to one instance.
type conn struct {
	*grpc.ClientConn
	// timedOut is the number of consecutive calls that timed out.
	timedOut int
}

// Handle runs a request in the zone of the instance at an address. ctx must have
// a deadline.
func (c *Client) Handle(ctx context.Context, address string, r *relay.Request) *relay.Answer {
	conn, err := c.conn(address)
	if err != nil {
		return relay.NotRun(relay.PeerUnreachable)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return relay.NotRun(relay.BadRequest)
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	// The peer answers by the deadline; the grace time allows for the network delay
	// of the answer.
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(graceAfter(ctx), cancel) })
	a := c.handle(streamCtx, conn, r, time.Until(deadline))
	c.recordProgress(address, conn, a.Reason == relay.DeadlinePassed)
	stopped := stop()
	if a.Outcome != retry.Run {
		cancel()
		return a
	}
	if !stopped {
		cancel() // the deadline passed; the body would be truncated
		return relay.Unknown(relay.DeadlinePassed)
	}
	if _, buffered := relay.Bytes(a); buffered {
		cancel()
		return a
	}
	a.OnClose(cancel)
	return a
}

// graceAfter returns the time for which a call outlives its context: zero if
// the caller disconnected.
func graceAfter(ctx context.Context) time.Duration {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return _deadlineGrace
	}
	return 0
}

func (c *Client) handle(ctx context.Context, conn *conn, r *relay.Request, timeout time.Duration) *relay.Answer {
	stream, err := wire.NewPeerClient(conn).Relay(ctx)
	if err != nil {
		return failedAnswer(err, false)
	}
	head := &wire.Frame{Kind: &wire.Frame_Request{Request: encodeRequest(r, timeout)}}
	if err = stream.Send(head); err != nil {
		return failedAnswer(recvError(stream, err), true)
	}
	if !head.GetRequest().GetWhole() {
		// The answer may arrive before the body is sent: a refusal needs none of it.
		go func() {
			if sendBody(stream.Send, r.Body.Open()) == nil {
				_ = stream.CloseSend()
			}
		}()
	} else if err = stream.CloseSend(); err != nil {
		return failedAnswer(err, true)
	}
	frame, err := stream.Recv()
	if err != nil {
		return failedAnswer(err, true)
	}
	answer := frame.GetAnswer()
	if answer == nil || answer.GetId() != r.ID {
		_foreignAnswer.Inc()
		return relay.Unknown(relay.ForeignAnswer)
	}
	return decodeAnswer(answer, stream.Recv)
}

// Exchange sends a heartbeat.
func (c *Client) Exchange(ctx context.Context, address string, h Heartbeat) error {
	conn, err := c.conn(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	_, err = wire.NewPeerClient(conn).Exchange(ctx, encodeGossip(h))
	c.recordProgress(address, conn, status.Code(err) == codes.DeadlineExceeded)
	if err != nil {
		return errors.Wrap(err, "exchange")
	}
	return nil
}

// Source returns a source that fetches the lists from the instance at an
// address.
func (c *Client) Source(address string) rollout.Source {
	return &source{client: c, address: address}
}

type source struct {
	client  *Client
	address string
}

// Lists fetches the head and the parts with the given digests.
func (s *source) Lists(ctx context.Context, digests []string) (rollout.Head, [][]byte, error) {
	conn, err := s.client.conn(s.address)
	if err != nil {
		return rollout.Head{}, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, _listsTimeout)
	defer cancel()
	var (
		head  rollout.Head
		parts [][]byte
	)
	// One part per call keeps each message far below _maxMessageBytes.
	for i := range max(len(digests), 1) {
		reply, err := wire.NewPeerClient(conn).Lists(ctx, &wire.ListsRequest{Digests: digests[i:min(i+1, len(digests))]})
		if err != nil {
			return rollout.Head{}, nil, errors.Wrap(err, "fetch lists")
		}
		if head, err = rollout.DecodeHead(reply.GetHead()); err != nil {
			return rollout.Head{}, nil, err
		}
		parts = append(parts, reply.GetParts()...)
	}
	return head, parts, nil
}

func (c *Client) conn(address string) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("client is closed")
	}
	if existing, ok := c.conns[address]; ok {
		return existing, nil
	}
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(c.creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(_maxMessageBytes)),
		grpc.WithInitialWindowSize(_windowBytes),
		grpc.WithInitialConnWindowSize(4*_windowBytes),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: _pingTime, Timeout: _pingTimeout, PermitWithoutStream: true,
		}),
	)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	if c.conns == nil {
		c.conns = make(map[string]*conn)
	}
	c.conns[address] = &conn{ClientConn: cc}
	return c.conns[address], nil
}

// recordProgress counts the consecutive timeouts of a connection and replaces it
// after _replaceAfterTimeouts.
func (c *Client) recordProgress(address string, used *conn, timedOut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !timedOut {
		used.timedOut = 0
		return
	}
	used.timedOut++
	if used.timedOut < _replaceAfterTimeouts || c.conns[address] != used {
		return
	}
	delete(c.conns, address)
	_replaced.Inc()
	// Calls that still progress on the old connection may finish.
	time.AfterFunc(_pingTime, func() { _ = used.Close() })
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// failedAnswer returns the answer to a request whose call failed. While gRPC has
// no connection it returns Unavailable without sending anything; once the head
// was sent, the peer may have run the request.
func failedAnswer(err error, sent bool) *relay.Answer {
	reason := relay.PeerBroken
	switch status.Code(err) {
	case codes.DeadlineExceeded, codes.Canceled:
		reason = relay.DeadlinePassed
	case codes.Unavailable:
		reason = relay.PeerUnreachable
	}
	if sent {
		return relay.Unknown(reason)
	}
	return relay.NotRun(reason)
}

// recvError returns the error of a stream whose Send failed with io.EOF.
func recvError(stream wire.Peer_RelayClient, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if _, recvErr := stream.Recv(); recvErr != nil {
		return recvErr
	}
	return err
}
