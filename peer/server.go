package peer

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/wigeonlock/wigeonlock/peer/wire"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

type server struct {
	wire.UnimplementedPeerServer
	service *Service
}

// Relay runs a request of another instance in the local zone.
func (s *server) Relay(stream wire.Peer_RelayServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	head := first.GetRequest()
	if head == nil {
		return status.Error(codes.InvalidArgument, "first frame is not a request")
	}
	ctx, cancel := context.WithTimeout(stream.Context(), time.Duration(head.GetTimeoutMs())*time.Millisecond)
	defer cancel()

	r := decodeRequest(head)
	if !head.GetWhole() {
		r.Body.Stream = &frameReader{recv: stream.Recv}
	}
	// A small answer is read completely and sent with its head in one frame.
	answer := relay.Buffer(s.service.Handler.Handle(ctx, r))
	defer answer.Close()
	reply := encodeAnswer(head.GetId(), answer)
	if err := stream.Send(&wire.Frame{Kind: &wire.Frame_Answer{Answer: reply}}); err != nil {
		return err
	}
	if answer.Outcome != retry.Run || reply.GetWhole() {
		return nil
	}
	return sendBody(stream.Send, answer.Body)
}

// Exchange receives a heartbeat.
func (s *server) Exchange(ctx context.Context, g *wire.Gossip) (*wire.Empty, error) {
	s.service.Gossip.Receive(ctx, decodeGossip(g))
	return &wire.Empty{}, nil
}

// Lists returns the head of the active lists and the requested parts.
func (s *server) Lists(ctx context.Context, r *wire.ListsRequest) (*wire.ListsReply, error) {
	head, parts, err := s.service.Lists.Lists(ctx, r.GetDigests())
	if err != nil {
		return nil, status.Error(codes.NotFound, err.Error())
	}
	data, err := head.Encode()
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &wire.ListsReply{Head: data, Parts: parts}, nil
}

// sendBody sends a body in frames, followed by an end frame. If reading the body
// fails, the stream ends with an error instead, so that the receiver does not
// accept a truncated body as complete.
func sendBody(send func(*wire.Frame) error, body io.Reader) error {
	for {
		chunk := make([]byte, _chunkBytes)
		n, err := body.Read(chunk)
		if n > 0 {
			if sendErr := send(&wire.Frame{Kind: &wire.Frame_Body{Body: chunk[:n]}}); sendErr != nil {
				return sendErr
			}
		}
		switch err {
		case nil:
		case io.EOF: // a wrapped EOF does not mark a complete body
			return send(&wire.Frame{Kind: &wire.Frame_End{End: true}})
		default:
			return status.Error(codes.DataLoss, err.Error())
		}
	}
}

// frameReader reads a body from frames until the end frame.
type frameReader struct {
	recv   func() (*wire.Frame, error)
	unread []byte
	done   bool
}

// Read returns relay.ErrTruncated if the stream ends without an end frame.
func (f *frameReader) Read(p []byte) (int, error) {
	for len(f.unread) == 0 {
		if f.done {
			return 0, io.EOF
		}
		frame, err := f.recv()
		if err != nil {
			return 0, errors.Wrap(relay.ErrTruncated, err.Error())
		}
		switch kind := frame.GetKind().(type) {
		case *wire.Frame_Body:
			f.unread = kind.Body
		case *wire.Frame_End:
			f.done = true
		default:
			return 0, errors.New("unexpected frame")
		}
	}
	n := copy(p, f.unread)
	f.unread = f.unread[n:]
	return n, nil
}
