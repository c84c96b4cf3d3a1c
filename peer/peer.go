// Package peer connects entry instances over gRPC: it forwards requests to
// another zone, sends and receives heartbeats, forwards changes of payment
// claims and serves the lists.
//
// The messages are generated in package wire. A connection on which consecutive
// calls time out is replaced, since an open connection can stop responding for
// good while new ones work.
//
// # Usage
//
//	p := &peer.Service{Settings: s, Handler: admission, Gossip: members, Lists: follower}
//	answer := p.Client().Handle(ctx, "10.0.0.2:8081", request)
package peer

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/wigeonlock/wigeonlock/gossip"
	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/peer/wire"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/rollout"
	"github.com/wigeonlock/wigeonlock/settings"
)

const (
	// ServiceName is the name of the service in its kernel.
	ServiceName = "peer"

	_maxMessageBytes = 4 << 20
	_chunkBytes      = 32 << 10
	_windowBytes     = 1 << 20
	_maxStreams      = 4096
	_pingTime        = 10 * time.Second
	_pingTimeout     = 3 * time.Second
	_minPing         = 5 * time.Second
)

// Heartbeat is a gossip message with the version of the sender's lists.
type Heartbeat struct {
	gossip.Message
	ListsVersion uint64
	// ConfirmAge is the time since ListsVersion was confirmed to be the newest.
	ConfirmAge time.Duration
}

// Gossip receives heartbeats.
type Gossip interface {
	Receive(ctx context.Context, h Heartbeat)
}

// Service serves the other entry instances. The exported fields are set
// before Start.
type Service struct {
	Settings *settings.Settings
	Handler  relay.Handler
	Gossip   Gossip
	Lists    rollout.Source
	Claims   Claims
	Log      *zap.Logger
	// Listen opens the listener, as net.Listen does.
	Listen func(network, address string) (net.Listener, error)

	server *grpc.Server
	client *Client
}

var _ kernel.Service = (*Service)(nil)

// Name returns ServiceName.
func (s *Service) Name() string { return ServiceName }

// Start listens for peers. It fails if the TLS files cannot be loaded or the
// address cannot be opened.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	serverCreds, clientCreds, err := transportCredentials(s.Settings.TLS)
	if err != nil {
		return err
	}
	l, err := s.Listen("tcp", s.Settings.Peers.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	s.client = &Client{creds: clientCreds}
	s.server = grpc.NewServer(
		grpc.Creds(serverCreds),
		grpc.MaxRecvMsgSize(_maxMessageBytes),
		grpc.MaxConcurrentStreams(_maxStreams),
		grpc.InitialWindowSize(_windowBytes),
		grpc.InitialConnWindowSize(4*_windowBytes),
		grpc.NumStreamWorkers(8),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: _pingTime, Timeout: _pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: _minPing, PermitWithoutStream: true}),
	)
	wire.RegisterPeerServer(s.server, &server{service: s})
	k.Go(ServiceName, func(context.Context) error { return s.server.Serve(l) })
	return nil
}

// Stop waits for open calls until ctx ends, and then closes all connections.
func (s *Service) Stop(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.server.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.server.Stop()
		<-done
	}
	s.client.close()
	return nil
}

// Client returns the client for other instances; it is nil before Start.
func (s *Service) Client() *Client {
	return s.client
}

func transportCredentials(t settings.TLS) (server, client credentials.TransportCredentials, err error) {
	if !t.Enabled() {
		return insecure.NewCredentials(), insecure.NewCredentials(), nil
	}
	files := &tlsFiles{settings: t}
	if err := files.load(); err != nil {
		return nil, nil, err
	}
	return credentials.NewTLS(files.server()), credentials.NewTLS(files.client()), nil
}
