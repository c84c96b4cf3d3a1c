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
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

const (
	_readBuffer = 4 << 10 // bytes
	// _dropBytes is the size of the reads, in bytes, while no request is accepted any more.
	_dropBytes = 512
	// _unlimited is a number of bytes that no request reaches.
	_unlimited = 1 << 62
)

var errHeaderTooLarge = errors.New("header is too large")

// conn is a connection of a caller.
type conn struct {
	net.Conn
	server *Server
	limit  *limitedReader
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// refused is set if there were too many connections when it was accepted.
	refused bool
	// evicted is set when the connection ends because it is idle and its descriptor is needed.
	evicted atomic.Bool
	// pending is the number of requests that are not yet answered, unsent the bytes of answers
	// that are not yet written.
	pending atomic.Int32
	unsent  atomic.Int64
	slots   chan struct{}
	// closing is set once an answer closed the connection, and closedAt is when, as Unix time in
	// nanoseconds.
	closing  atomic.Bool
	closedAt atomic.Int64
	// idleSince is when the last answer was written, as Unix time in nanoseconds.
	idleSince atomic.Int64

	// mu also excludes admit and closesAfter from each other.
	mu      sync.Mutex
	stopped bool
	// awaiting is set while the connection waits for the first byte of a request, until
	// lastRead if that is not zero.
	awaiting bool
	lastRead time.Time
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{Conn: nc, server: s, slots: make(chan struct{}, _maxPipelined)}
	c.limit = &limitedReader{r: nc, left: _unlimited}
	c.reader = bufio.NewReaderSize(c.limit, _readBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// limitedReader limits and checks the bytes that are read for a header.
type limitedReader struct {
	r    io.Reader
	left int64 // bytes
	head relay.HeadChecker
	// err is the last error. The parser may hide it, as it may take a truncated line
	// for a complete one.
	err error
}

// Read returns errHeaderTooLarge once the limit is reached, and relay.ErrBrokenHead if the header is
// broken.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		l.err = errHeaderTooLarge
		return 0, l.err
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	if broken := l.head.Check(p[:n]); broken != nil {
		n, err = 0, broken
	}
	if err != nil {
		l.err = err
	}
	return n, err
}

// setReadDeadline sets the read deadline unless reading was stopped.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopped {
		_ = c.SetReadDeadline(t)
	}
}

// stopReading stops the reading of requests. Requests already read are answered.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

func (c *conn) readingStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

// finish ends the connection unless the first byte of a request arrives until a time.
// A request of which a part was read is read to its end.
func (c *conn) finish(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRead = until
	if c.awaiting && !c.stopped {
		_ = c.SetReadDeadline(until)
	}
}

// await sets whether the connection waits for a request, at most until a time.
func (c *conn) await(awaiting bool, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = awaiting
	if !awaiting || c.stopped {
		return
	}
	if !c.lastRead.IsZero() && c.lastRead.Before(until) {
		until = c.lastRead
	}
	_ = c.SetReadDeadline(until)
}

func (c *conn) isStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped || !c.lastRead.IsZero() && !time.Now().Before(c.lastRead)
}

// serve reads and starts requests until the caller disconnects or an answer
// closes the connection.
func (c *conn) serve() {
	defer c.server.remove(c)
	previous := make(chan struct{})
	close(previous)
	disconnected := false
	for !c.closing.Load() {
		if err := c.awaitRequest(); err != nil {
			if c.evicted.Load() && c.pending.Load() == 0 {
				// Nothing was read that the caller has to be told of.
				c.cancel()
				_ = c.Close()
				return
			}
			disconnected = !c.isStopped() && !c.isTimeout(err)
			break
		}
		r, reqErr := c.readRequest(previous)
		if r == nil && reqErr == nil {
			disconnected = !c.isStopped()
			break
		}
		if !c.admit() {
			// It arrived with the answer that closed the connection: the caller takes it for unread.
			if r != nil {
				dropBody(r)
			}
			_crossed.Inc()
			break
		}
		previous = c.serveRequest(r, reqErr, previous)
		if reqErr != nil || r.CloseConn {
			break
		}
	}
	if disconnected {
		_disconnects.Inc()
		c.cancel()
	}
	c.awaitAnswers(previous)
	c.cancel()
	c.linger()
}

// admit counts a request that was read as pending, so that no earlier answer closes the
// connection. It returns false if one has.
func (c *conn) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing.Load() {
		return false
	}
	c.pending.Add(1)
	return true
}

// closesAfter decides whether the connection closes after an answer, and stops the reading of
// requests if it does. last is set if it must close.
func (c *conn) closesAfter(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// An answer must not close the connection while further requests are pending.
	if !last && (!c.server.closeAfterAnswer.Load() || c.pending.Load() > 1) {
		return false
	}
	c.closedAt.Store(time.Now().UnixNano())
	c.closing.Store(true)
	c.stopped = true
	_ = c.SetReadDeadline(time.Unix(1, 0))
	return true
}

// awaitAnswers waits until the requests that were read are answered. If the caller disconnects
// before, they are cancelled. What it sends meanwhile is dropped: no further request is
// accepted on the connection.
func (c *conn) awaitAnswers(answered <-chan struct{}) {
	select {
	case <-answered:
		return
	default:
	}
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if c.ctx.Err() == nil && c.awaitDisconnect() {
			_disconnects.Inc()
			c.cancel()
		}
	}()
	<-answered
	c.stopReading()
	<-watched
}

// awaitDisconnect reads until the caller disconnects, and reports false if reading is stopped
// before.
func (c *conn) awaitDisconnect() bool {
	c.setReadDeadline(time.Time{})
	dropped := make([]byte, _dropBytes)
	for {
		if _, err := c.Read(dropped); err != nil {
			return !c.isTimeout(err)
		}
	}
}

func (c *conn) isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// awaitRequest waits for the first byte of a request. The idle timeout runs only
// while no request is pending.
func (c *conn) awaitRequest() error {
	c.idleSince.Store(time.Now().UnixNano())
	for {
		limits := c.server.Limits()
		since := time.Unix(0, c.idleSince.Load())
		c.await(true, since.Add(limits.IdleTime))
		c.limit.left = _unlimited
		_, err := c.reader.Peek(1)
		c.await(false, time.Time{})
		if err == nil || !c.isTimeout(err) || c.isStopped() || c.closing.Load() {
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

// requestError is the error answer to an invalid request.
type requestError struct {
	status  int
	reason  relay.Reason
	message string
	// pause is the time after which the caller may return; zero if it may not.
	pause time.Duration
}

// readRequest reads a complete request. It returns neither a request nor an error
// if the caller disconnected or reading was stopped. previous is closed once the
// request before is answered.
func (c *conn) readRequest(previous <-chan struct{}) (*relay.Request, *requestError) {
	limits := c.server.Limits()
	c.setReadDeadline(time.Now().Add(limits.HeaderTime))
	c.limit.left = int64(limits.HeaderBytes) + _readBuffer - int64(c.reader.Buffered())
	c.limit.err = nil
	if err := c.expectHead(); err != nil {
		return nil, c.headError(err)
	}
	req, err := http.ReadRequest(c.reader)
	c.limit.left = _unlimited
	if err != nil {
		if c.limit.err != nil {
			err = c.limit.err
		}
		return nil, c.headError(err)
	}
	if headBytes(req) > limits.HeaderBytes {
		return nil, &requestError{status: http.StatusRequestHeaderFieldsTooLarge, reason: relay.HeaderTooLarge, message: "header is too large"}
	}
	r, reqErr := c.toRequest(req)
	if reqErr != nil {
		return nil, reqErr
	}
	return c.readBody(req, r, limits, previous)
}

// expectHead starts the check of a header, of which the first bytes have arrived.
func (c *conn) expectHead() error {
	c.limit.head.Expect()
	arrived, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.limit.head.Check(arrived)
}

func (c *conn) headError(err error) *requestError {
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return &requestError{status: http.StatusRequestHeaderFieldsTooLarge, reason: relay.HeaderTooLarge, message: "header is too large"}
	case c.isStopped():
		return nil
	case c.isTimeout(err):
		return &requestError{status: http.StatusRequestTimeout, reason: relay.BadRequest, message: "header took too long"}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return nil
	}
	var network *net.OpError
	if errors.As(err, &network) {
		return nil
	}
	return badRequest("malformed request: " + err.Error())
}

func badRequest(message string) *requestError {
	return &requestError{status: http.StatusBadRequest, reason: relay.BadRequest, message: message}
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

func (c *conn) toRequest(req *http.Request) (*relay.Request, *requestError) {
	r := &relay.Request{
		ID: req.Header.Get(c.server.HeaderNames.RequestID), Method: req.Method, URI: req.RequestURI, Host: req.Host,
		Object: req.Header.Get(c.server.HeaderNames.Object), Received: time.Now(), Body: &relay.Body{},
		CloseConn: req.Close,
	}
	// Two keys name no team.
	if keys := req.Header.Values(c.server.HeaderNames.Key); len(keys) == 1 {
		r.Key = keys[0]
	}
	if r.URI == "" || r.URI[0] != '/' || req.Method == http.MethodConnect {
		return nil, badRequest("request target must be a path")
	}
	if r.ID == "" {
		return nil, badRequest("request ID is missing")
	}
	if text := req.Header.Get(c.server.HeaderNames.TimeLeft); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return nil, badRequest("time left must be a positive integer of milliseconds")
		}
		r.TimeLeft = time.Duration(ms) * time.Millisecond
	}
	r.Header = make([]relay.Header, 0, len(req.Header))
	for name, values := range req.Header {
		if c.server.HeaderNames.isOwn(name) {
			continue
		}
		for _, v := range values {
			r.Header = append(r.Header, relay.Header{Name: name, Value: v})
		}
	}
	r.Header = relay.EndToEnd(r.Header)
	return r, nil
}

// isOwn reports whether a header is not passed on as the caller sent it.
func (n *HeaderNames) isOwn(name string) bool {
	return name == n.RequestID || name == n.TimeLeft || name == n.Key || name == n.Team
}

// serveRequest serves an admitted request in a goroutine. It blocks while _maxPipelined
// requests are being served. previous is closed once the request before is
// answered, the returned channel once r is answered.
func (c *conn) serveRequest(r *relay.Request, reqErr *requestError, previous <-chan struct{}) chan struct{} {
	_requests.Inc()
	done := make(chan struct{})
	c.takeSlot()
	go func() {
		defer func() {
			c.idleSince.Store(time.Now().UnixNano())
			c.pending.Add(-1)
			<-c.slots
			close(done)
		}()
		if reqErr != nil {
			<-previous
			c.write(nil, errorAnswer(reqErr), true)
			return
		}
		answer := c.handle(r, previous)
		if answer == nil {
			<-previous
			return
		}
		data, _ := relay.Bytes(answer)
		size := int64(len(data))
		c.unsent.Add(size)
		<-previous
		c.write(r, answer, r.CloseConn || c.refused)
		c.unsent.Add(-size)
	}()
	return done
}

// handle returns the answer to a request, or nil if the caller was told by the end of
// its connection that the request was not read. A panic of the handler becomes an answer
// that promises nothing.
func (c *conn) handle(r *relay.Request, previous <-chan struct{}) (answer *relay.Answer) {
	// Neither the worker nor a further attempt needs the body any more.
	defer dropBody(r)
	if c.ctx.Err() != nil {
		return nil
	}
	if c.refused {
		return c.refuse()
	}
	if c.unsent.Load() > _window {
		<-previous
		if c.closing.Load() || c.ctx.Err() != nil {
			return nil
		}
	}
	err := kernel.Guard(func() error {
		if c.server.Handler.Exclusive(r) {
			<-previous
			if c.closing.Load() || c.ctx.Err() != nil {
				return nil
			}
		}
		answer = c.server.Handler.Handle(c.ctx, r)
		return nil
	})
	if err == nil {
		return answer
	}
	_panics.Inc()
	if c.server.Log != nil {
		c.server.Log.Error("request panicked", zap.String("request", r.ID), zap.Error(err))
	}
	answer = Refusal(http.StatusBadGateway, relay.Internal, "the request may have run")
	answer.Outcome = retry.Unknown
	return answer
}
