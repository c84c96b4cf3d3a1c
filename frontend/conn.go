package frontend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/relay"
)

const (
	_readBuffer = 4 << 10
	// _unlimited lifts the bound on what is read.
	_unlimited = 1 << 62
)

var errHeaderTooLarge = errors.New("header is too large")

// conn is the connection of a caller.
type conn struct {
	net.Conn
	server *Server
	limit  *limitedReader
	reader *bufio.Reader
	ctx    context.Context
	leave  context.CancelFunc
	// pending counts the requests that are not answered yet.
	pending atomic.Int32
	slots   chan struct{}
	// ended is set once an answer closed the connection.
	ended atomic.Bool
	// idleSince is when the last answer was written, in nanoseconds.
	idleSince atomic.Int64

	mu      sync.Mutex
	stopped bool
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{Conn: nc, server: s, slots: make(chan struct{}, _ahead)}
	c.limit = &limitedReader{r: nc, left: _unlimited}
	c.reader = bufio.NewReaderSize(c.limit, _readBuffer)
	c.ctx, c.leave = context.WithCancel(context.Background())
	return c
}

// limitedReader bounds how much of a header is read.
type limitedReader struct {
	r    io.Reader
	left int64
	// err is the last error; a parser may take what was cut for a whole line.
	err error
}

// Read fails with errHeaderTooLarge beyond the bound.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		l.err = errHeaderTooLarge
		return 0, l.err
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	if err != nil {
		l.err = err
	}
	return n, err
}

// setReadDeadline sets a deadline unless reading was stopped.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopped {
		_ = c.SetReadDeadline(t)
	}
}

// stopReading ends the reading of requests; those that were read are answered.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

func (c *conn) isStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

// serve reads requests until the caller leaves or an answer ends the
// connection.
func (c *conn) serve() {
	defer c.server.remove(c)
	previous := make(chan struct{})
	close(previous)
	gone := false
	for !c.ended.Load() {
		if err := c.awaitRequest(); err != nil {
			gone = !c.isStopped() && !c.isTimeout(err)
			break
		}
		r, problem := c.readRequest(previous)
		if r == nil && problem == nil {
			gone = !c.isStopped()
			break
		}
		previous = c.start(r, problem, previous)
		if problem != nil || r.CloseConn {
			break
		}
	}
	if gone {
		_left.Inc()
		c.leave()
	}
	<-previous
	c.leave()
	c.linger()
}

func (c *conn) isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// awaitRequest waits for the first byte of a request. A connection may be idle
// only between answers.
func (c *conn) awaitRequest() error {
	c.idleSince.Store(time.Now().UnixNano())
	for {
		limits := c.server.Limits()
		since := time.Unix(0, c.idleSince.Load())
		c.setReadDeadline(since.Add(limits.IdleTime))
		c.limit.left = _unlimited
		_, err := c.reader.Peek(1)
		if err == nil || !c.isTimeout(err) || c.isStopped() || c.ended.Load() {
			return err
		}
		now := time.Now()
		if c.pending.Load() > 0 {
			c.idleSince.Store(now.UnixNano())
			continue
		}
		if now.Sub(time.Unix(0, c.idleSince.Load())) >= limits.IdleTime {
			return err
		}
	}
}

// problem is a request that cannot be taken.
type problem struct {
	status  int
	reason  relay.Reason
	message string
}

// readRequest reads a request whole. Without a request and a problem, the
// caller left midway.
func (c *conn) readRequest(previous <-chan struct{}) (*relay.Request, *problem) {
	limits := c.server.Limits()
	c.setReadDeadline(time.Now().Add(limits.HeaderTime))
	c.limit.left = int64(limits.HeaderBytes) + _readBuffer - int64(c.reader.Buffered())
	c.limit.err = nil
	req, err := http.ReadRequest(c.reader)
	c.limit.left = _unlimited
	if err != nil {
		if c.limit.err != nil {
			err = c.limit.err
		}
		return nil, c.headProblem(err)
	}
	if headBytes(req) > limits.HeaderBytes {
		return nil, &problem{http.StatusRequestHeaderFieldsTooLarge, relay.HeaderTooLarge, "header is too large"}
	}
	r, p := c.toRequest(req)
	if p != nil {
		return nil, p
	}
	return c.readBody(req, r, limits, previous)
}

func (c *conn) headProblem(err error) *problem {
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return &problem{http.StatusRequestHeaderFieldsTooLarge, relay.HeaderTooLarge, "header is too large"}
	case c.isStopped():
		return nil
	case c.isTimeout(err):
		return &problem{http.StatusRequestTimeout, relay.BadRequest, "header took too long"}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return nil
	}
	var network *net.OpError
	if errors.As(err, &network) {
		return nil
	}
	return badRequest("not a request: " + err.Error())
}

func badRequest(message string) *problem {
	return &problem{http.StatusBadRequest, relay.BadRequest, message}
}

func headBytes(req *http.Request) int {
	n := len(req.Method) + len(req.RequestURI) + len(req.Host)
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

func (c *conn) toRequest(req *http.Request) (*relay.Request, *problem) {
	r := &relay.Request{
		ID: req.Header.Get(c.server.HeaderNames.RequestID), Method: req.Method, URI: req.RequestURI, Host: req.Host,
		Object: req.Header.Get(c.server.HeaderNames.Object), Received: time.Now(), Body: &relay.Body{},
		CloseConn: req.Close,
	}
	if r.URI == "" || r.URI[0] != '/' || req.Method == http.MethodConnect {
		return nil, badRequest("request target must be a path")
	}
	if r.ID == "" {
		return nil, badRequest("a request needs an id")
	}
	if text := req.Header.Get(c.server.HeaderNames.TimeLeft); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return nil, badRequest("the time left must be a positive whole number of milliseconds")
		}
		r.TimeLeft = time.Duration(ms) * time.Millisecond
	}
	r.Header = make([]relay.Header, 0, len(req.Header))
	for name, values := range req.Header {
		if name == c.server.HeaderNames.RequestID || name == c.server.HeaderNames.TimeLeft {
			continue
		}
		for _, v := range values {
			r.Header = append(r.Header, relay.Header{Name: name, Value: v})
		}
	}
	r.Header = relay.EndToEnd(r.Header)
	return r, nil
}

func (c *conn) readBody(
	req *http.Request, r *relay.Request, limits Limits, previous <-chan struct{},
) (*relay.Request, *problem) {
	r.HasLength = req.ContentLength > 0 || req.Header.Get("Content-Length") != "" || len(req.TransferEncoding) > 0 ||
		req.ContentLength == 0 && (req.Method == http.MethodPost || req.Method == http.MethodPut)
	if req.ContentLength == 0 {
		return r, nil
	}
	if req.ContentLength > int64(limits.BodyBytes) {
		return nil, &problem{http.StatusRequestEntityTooLarge, relay.BodyTooLarge, "body is too large"}
	}
	if req.Header.Get("Expect") != "" {
		<-previous
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil
		}
	}
	buf := make([]byte, 0, max(min(req.ContentLength, 64<<10), 512))
	for {
		c.setReadDeadline(time.Now().Add(_bodyTime))
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := req.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if len(buf) > limits.BodyBytes {
			return nil, &problem{http.StatusRequestEntityTooLarge, relay.BodyTooLarge, "body is too large"}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, c.bodyProblem(err)
		}
	}
	r.Body = &relay.Body{Bytes: buf, Length: int64(len(buf))}
	return r, nil
}

func (c *conn) bodyProblem(err error) *problem {
	if c.isTimeout(err) && !c.isStopped() {
		return &problem{http.StatusRequestTimeout, relay.BadRequest, "body took too long"}
	}
	var network *net.OpError
	if errors.As(err, &network) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return badRequest("body cannot be read")
}

// start works on a request. The channel returned closes once it is answered.
func (c *conn) start(r *relay.Request, p *problem, previous <-chan struct{}) chan struct{} {
	_requests.Inc()
	done := make(chan struct{})
	c.pending.Add(1)
	c.slots <- struct{}{}
	go func() {
		defer func() {
			c.idleSince.Store(time.Now().UnixNano())
			c.pending.Add(-1)
			<-c.slots
			close(done)
		}()
		if p != nil {
			<-previous
			c.write(nil, errorAnswer(p), true)
			return
		}
		if c.server.Handler.Exclusive(r) {
			<-previous
			if c.ended.Load() || c.ctx.Err() != nil {
				return
			}
		}
		answer := c.server.Handler.Handle(c.ctx, r)
		<-previous
		c.write(r, answer, r.CloseConn)
	}()
	return done
}
