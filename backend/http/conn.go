package http

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/socket"
)

// conn is a connection to a worker. Reads fail at a head that is broken.
type conn struct {
	socket.Conn

	mu   sync.Mutex
	head relay.HeadChecker
}

func dialWorker(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		_dials.Inc()
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: socket.Conn{Conn: c}, head: relay.HeadChecker{Answers: true}}, nil
	}
}

// expectHead starts the check of the head of the next answer.
func (c *conn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Expect()
}

// Read returns relay.ErrBrokenHead if what was read ends no proper head.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	broken := c.head.Check(p[:n])
	c.mu.Unlock()
	if broken != nil {
		return 0, broken
	}
	return n, err
}

// trailedBody is a body that ends with an error if the trailer behind it is broken.
type trailedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read returns relay.ErrBrokenHead instead of io.EOF before a broken trailer.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if broken := relay.CheckTrailer(b.resp.Trailer); broken != nil {
			return n, broken
		}
	}
	return n, err
}
