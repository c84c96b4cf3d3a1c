package exchange

import (
	"bytes"
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/socket"
)

const (
	// _maxHead is the maximum size of the head of an answer, together with interim
	// answers before it, in bytes.
	_maxHead = 64 << 10
	// _maxInterim is the maximum number of interim answers before an answer.
	_maxInterim = 64
	// _maxSingleWrite is the size in bytes up to which a body is written together
	// with the head, before the answer is read. A longer body is written while the
	// answer is read, since the worker may answer before it has read the body.
	_maxSingleWrite = 16 << 10
	// _loadFigures is the number of figures of a load report. The last may be missing.
	_loadFigures = 4
	// _usualPace is the fourth figure of a load report while work takes as long as usual.
	_usualPace = 100
)

var (
	errStray    = errors.New("answer belongs to another request")
	errEncoded  = errors.New("answer has a content encoding that was not requested")
	errTooLarge = errors.New("answer is too large")
	errStatus   = errors.New("answer has a status that is none of an answer")

	errNoConnections = errors.New("all connections to workers are in use")
)

// Do sends a request to a worker and reads its complete answer. ctx cancels the
// exchange; the time until its deadline is sent to the worker. A request that is
// not repeatable uses only connections that were idle for a short time.
func (p *Pool) Do(ctx context.Context, t Target, r *relay.Request, repeatable bool) Result {
	started := time.Now()
	maxIdle := _maxIdleNonRepeatable
	if repeatable {
		maxIdle = time.Hour
	}
	c := p.acquire(t.Address, maxIdle)
	connect := time.Duration(0)
	if c == nil {
		var err error
		c, err = p.dial(ctx, t.Address)
		if err != nil {
			return p.notSent(ctx, started, err)
		}
		connect = time.Since(started)
	}
	if t.Withdrawn != nil && t.Withdrawn() {
		c.close()
		return Result{Answer: relay.NotRun(relay.WorkerRefused), Fault: Withdrawn, Took: time.Since(started), Connect: connect}
	}
	result := p.exchange(ctx, c, t, r)
	result.Took, result.Connect = time.Since(started), connect
	return result
}

func (p *Pool) notSent(ctx context.Context, started time.Time, err error) Result {
	result := Result{Answer: relay.NotRun(relay.WorkerUnreachable), Fault: Unreachable, Took: time.Since(started)}
	if errors.Is(ctx.Err(), context.Canceled) {
		result.Answer.Reason, result.Fault = relay.CallerDisconnected, CallerDisconnected
	} else if errors.Is(err, errNoConnections) || socket.IsShortage(err) {
		result.Answer.Reason, result.Fault = relay.NoConnections, Starved
	}
	return result
}

func (p *Pool) exchange(ctx context.Context, c *conn, t Target, r *relay.Request) Result {
	result := Result{Sent: true, Reused: c.used, Opened: c.opened}
	if at, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(at)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	sent := time.Now()
	result.SentAt = sent
	written, err := p.send(ctx, c, t, r)
	if err == nil {
		err = p.awaitAnswer(ctx, c, r, sent, &result)
	}
	live := stop()
	if err != nil {
		c.close()
		return p.classifyFailure(ctx, result, err)
	}
	if !live || !p.reusable(c, written, &result) {
		c.close()
		return result
	}
	_ = c.SetDeadline(time.Time{})
	c.used = true
	p.release(t, c)
	return result
}

// awaitAnswer waits for the first byte of the answer and reads all of it.
func (p *Pool) awaitAnswer(ctx context.Context, c *conn, r *relay.Request, sent time.Time, result *Result) error {
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	began := time.Now()
	result.FirstByte = began.Sub(sent)
	err := p.receive(ctx, c, r, result)
	result.Body = time.Since(began)
	return err
}

// reusable reports whether the connection may serve another exchange: no surplus
// bytes arrived, the worker keeps it open, and the request was written completely.
func (p *Pool) reusable(c *conn, written func() bool, result *Result) bool {
	if c.reader.Buffered() > 0 {
		_surpluses.Inc()
		return false
	}
	return !result.closing && written()
}

// send writes the head and the body. The returned function reports whether the
// request was written completely.
func (p *Pool) send(ctx context.Context, c *conn, t Target, r *relay.Request) (func() bool, error) {
	var head bytes.Buffer
	p.writeHead(ctx, &head, t, r)
	body := r.Body.Bytes
	if len(body) <= _maxSingleWrite {
		head.Write(body)
		_, err := c.Write(head.Bytes())
		return func() bool { return true }, err
	}
	if _, err := c.Write(head.Bytes()); err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(body)
		done <- err
	}()
	return func() bool {
		select {
		case err := <-done:
			return err == nil
		default:
			return false
		}
	}, nil
}

func (p *Pool) writeHead(ctx context.Context, w *bytes.Buffer, t Target, r *relay.Request) {
	w.WriteString(r.Method)
	w.WriteByte(' ')
	w.WriteString(r.URI)
	w.WriteString(" HTTP/1.1\r\n")
	writeField(w, "Host", r.Host)
	for _, h := range r.Header {
		writeField(w, h.Name, h.Value)
	}
	writeField(w, p.HeaderNames.RequestID, r.ID)
	if at, ok := ctx.Deadline(); ok {
		writeField(w, p.HeaderNames.TimeLeft, strconv.FormatInt(max(time.Until(at).Milliseconds(), 1), 10))
	}
	writeField(w, p.HeaderNames.Expect, t.ID)
	if r.Team != "" {
		writeField(w, p.HeaderNames.Team, r.Team)
	}
	if r.Body.Length > 0 || r.HasLength {
		writeField(w, "Content-Length", strconv.FormatInt(r.Body.Length, 10))
	}
	w.WriteString("\r\n")
}

func writeField(w *bytes.Buffer, name, value string) {
	w.WriteString(name)
	w.WriteString(": ")
	w.WriteString(value)
	w.WriteString("\r\n")
}

// reply is a complete answer of a worker, before it is checked.
type reply struct {
	status int
	header http.Header
	body   []byte
	// length is the Content-Length, or negative if there is none.
	length int64
	// closing is set when the worker closes the connection after the answer.
	closing bool
}

// receive reads the answer to a request and skips up to _maxStray answers to other
// requests before it.
func (p *Pool) receive(ctx context.Context, c *conn, r *relay.Request, result *Result) error {
	for range _maxStray + 1 {
		answer, err := p.readReply(ctx, c, r, result, _maxBody)
		if err != nil {
			return err
		}
		if p.matches(c, answer, r) {
			return p.accept(c, answer, r, result)
		}
		if p.notRun(answer) && answer.header.Get(p.HeaderNames.RequestID) == "" {
			_unnamedRefusals.Inc()
			return errStray
		}
		_strays.Inc()
	}
	return errStray
}

// readReply reads one complete answer, with a body of up to maxBody bytes. Interim (1xx) answers
// are skipped. What the head says of the worker is recorded in result, also if the body breaks off.
func (p *Pool) readReply(ctx context.Context, c *conn, r *relay.Request, result *Result, maxBody int64) (*reply, error) {
	if err := c.expectHead(); err != nil {
		return nil, err
	}
	interim := 0
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if c.limit.failed != nil {
			return nil, c.limit.failed
		}
		if err != nil {
			return nil, err
		}
		if !isStatus(resp.StatusCode) {
			_badStatuses.Inc()
			return nil, errStatus
		}
		p.recordHead(c, resp, r, result)
		if resp.StatusCode < http.StatusOK {
			if interim++; interim > _maxInterim {
				return nil, errTooLarge
			}
			continue
		}
		c.limit.left = _unlimited
		body, err := p.readBody(ctx, resp, r, maxBody)
		if err == nil {
			err = resp.Body.Close()
		}
		if err == nil {
			err = relay.CheckTrailer(resp.Trailer)
		}
		// A body that was given up is not closed, as that would read the rest of it.
		if err != nil {
			return nil, err
		}
		return &reply{
			status: resp.StatusCode, header: resp.Header, body: body, length: resp.ContentLength,
			closing: resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
		}, nil
	}
}

// matches reports whether an answer belongs to a request. A refusal need not carry
// the request's ID, but on a connection that was used before it may be a late copy of
// one to an earlier request, while the worker runs this one.
func (p *Pool) matches(c *conn, a *reply, r *relay.Request) bool {
	id := a.header.Get(p.HeaderNames.RequestID)
	if id == "" {
		return p.notRun(a) && !c.used
	}
	return id == r.ID
}

// notRun reports whether an answer states that the worker did not run the request. A status
// alone states that only if another worker than the expected one answered.
func (p *Pool) notRun(a *reply) bool {
	return a.header.Get(p.HeaderNames.NotRun) != "" || p.misdirected(a.status, a.header)
}

// misdirected reports whether an answer is that of another worker than the expected one. With a
// stamp, it is that of a worker that ran the request.
func (p *Pool) misdirected(status int, header http.Header) bool {
	return status == http.StatusMisdirectedRequest &&
		(header.Get(p.HeaderNames.Stamp) == "" || header.Get(p.HeaderNames.NotRun) != "")
}

// accept turns a complete answer into a result.
func (p *Pool) accept(c *conn, a *reply, r *relay.Request, result *Result) error {
	result.Load = parseLoad(a.header.Get(p.HeaderNames.Load))
	result.Limit = parseLimit(a.header.Get(p.HeaderNames.Limit))
	result.closing = a.closing
	c.readKeepAlive(a.header)
	switch {
	case p.misdirected(a.status, a.header):
		// Another worker answered, whose load and limit are its own.
		result.Load, result.Limit = nil, nil
		result.Fault = Misdirected
		result.Answer = relay.NotRun(relay.WorkerRefused)
	case p.notRun(a):
		result.Fault = Refused
		result.Answer = relay.NotRun(relay.WorkerRefused)
	case a.header.Get("Content-Encoding") != "":
		return errEncoded
	default:
		result.Answer = answerOf(a, r)
	}
	return nil
}

func answerOf(from *reply, r *relay.Request) *relay.Answer {
	a := &relay.Answer{Outcome: retry.Run, Reason: relay.Served, Status: from.status}
	relay.SetBytes(a, from.body)
	if r.Method == http.MethodHead {
		a.Length = max(from.length, 0)
	}
	a.Header = make([]relay.Header, 0, len(from.header))
	for name, values := range from.header {
		for _, v := range values {
			a.Header = append(a.Header, relay.Header{Name: name, Value: v})
		}
	}
	a.Header = relay.EndToEnd(a.Header)
	return a
}

// parseLoad returns the load report of an answer, or nil if it has none. Figures after the
// known ones are ignored. A report that is not understood is counted, and what is understood
// of it is used.
func parseLoad(text string) *Load {
	if text == "" {
		return nil
	}
	parts := strings.Split(text, ",")
	var values [_loadFigures]int
	known := 0
	for known < min(len(parts), _loadFigures) {
		v, err := strconv.Atoi(strings.TrimSpace(parts[known]))
		if err != nil || v < 0 {
			break
		}
		values[known] = v
		known++
	}
	if known < _loadFigures-1 || known < min(len(parts), _loadFigures) {
		_badLoads.Inc()
	}
	if known < _loadFigures-1 {
		return nil
	}
	return &Load{Running: values[0], Waiting: values[1], Slots: values[2], Pace: float64(values[3]) / _usualPace}
}

// parseLimit returns the limit that an answer names, or nil. A value that is not a
// number of requests per second is counted and ignored.
func parseLimit(text string) *float64 {
	if text == "" {
		return nil
	}
	limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || limit < 0 || math.IsInf(limit, 0) || math.IsNaN(limit) {
		_badLimits.Inc()
		return nil
	}
	return &limit
}

// classifyFailure classifies an exchange that failed after the request was sent, so
// that it may have run.
func (p *Pool) classifyFailure(ctx context.Context, result Result, err error) Result {
	result.Answer, result.Fault = relay.Unknown(relay.WorkerBroken), Broken
	var timeout net.Error
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		result.Answer.Reason, result.Fault = relay.CallerDisconnected, CallerDisconnected
	case ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout():
		result.Answer.Reason, result.Fault = relay.WorkerSilent, TimedOut
	case errors.Is(err, errStray), errors.Is(err, errEncoded), errors.Is(err, errTooLarge), errors.Is(err, errStatus),
		errors.Is(err, relay.ErrBrokenHead):
		result.Answer.Reason, result.Fault = relay.ForeignAnswer, InvalidAnswer
	}
	return result
}
