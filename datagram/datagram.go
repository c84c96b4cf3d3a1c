// Package datagram receives and sends datagrams between instances.
//
// # Usage
//
//	conn, err := datagram.Listen("10.1.0.9:7620")
//	go datagram.Serve(ctx, conn, log, func(from netip.AddrPort, data []byte) { ... })
//	_, err = conn.WriteToUDPAddrPort(data, to)
package datagram

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

const (
	// _maxBytes is the largest datagram that is read.
	_maxBytes = 4 << 10
	// _errorPause is the pause after a failed read.
	_errorPause = 300 * time.Millisecond
)

// Listen returns a socket for datagrams on host:port.
func Listen(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "address for datagrams")
	}
	conn, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, errors.Wrap(err, "listen for datagrams")
	}
	return conn, nil
}

// Serve calls receive with each datagram until ctx ends, and then closes conn. data is valid
// until receive returns.
func Serve(ctx context.Context, conn *net.UDPConn, log *zap.Logger, receive func(from netip.AddrPort, data []byte)) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	buffer := make([]byte, _maxBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			// An earlier datagram may have reached a machine without a listener.
			log.Debug("datagram was not read", zap.String("error", err.Error()))
			pause(ctx, _errorPause)
			continue
		}
		receive(from, buffer[:n])
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
