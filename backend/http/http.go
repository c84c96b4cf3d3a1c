// Package http sends requests to workers over HTTP/1.1.
//
// It classifies each exchange: the request did not reach the worker, the worker
// refused it, it ran, or it may have run. Each worker has a connection pool of its
// own, so that the connections to a worker that does not answer can be closed
// without closing those to other workers.
//
// # Usage
//
//	t := &http.Transport{Connections: 165}
//	answer, result := t.Handle(ctx, worker, request)
package http

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/backend"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/socket"
)

const (
	// BodyTime is the longest time that the body of an answer may take.
	BodyTime = 30 * time.Second

	_dialTimeout   = time.Second
	_idleTimeout   = 30 * time.Second
	_keepAlive     = 5 * time.Second
	_userTimeout   = 8 * time.Second
	_stallTimeout  = 5 * time.Second
	_maxHeadBytes  = 64 << 10
	_maxProbeBytes = 4 << 10
	_bufferBytes   = 32 << 10
	// _maxStatus is the highest status of an answer. net/http lets others pass.
	_maxStatus = 599
)

// Transport sends requests to workers. The exported fields are set before the
// first use.
type Transport struct {
	// Connections limits the connections to each worker.
	Connections int

	mu      sync.Mutex
	clients map[string]*http.Transport
}

// Load is the load report of a worker.
type Load struct {
	Busy     int  `json:"busy"`
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}

var (
	_foreign = metrics.NewCounter("wigeonlock_foreign_answers_total")
	_silent  = metrics.NewCounter("wigeonlock_silent_connections_total")
	_dials   = metrics.NewCounter("wigeonlock_worker_connections_total")
)

// Handle sends a request to a worker and returns its answer, whose body must be
// closed. ctx limits only the time until the head of the answer.
func (t *Transport) Handle(ctx context.Context, w backend.Worker, r *relay.Request) (*relay.Answer, backend.Result) {
	exchangeCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	var sent, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		sent.Store(true)
		reused.Store(info.Reused)
		if c, ok := info.Conn.(*conn); ok {
			c.expectHead()
		}
	}}
	req := newRequest(httptrace.WithClientTrace(exchangeCtx, trace), ctx, w, r)
	resp, err := t.client(w.Address).RoundTrip(req)
	stopped := stop()
	if err == nil && !stopped {
		// ctx ended after the head arrived, which truncates the body.
		_ = resp.Body.Close()
		err = ctx.Err()
	}
	if err != nil {
		cancel(nil)
		return t.classifyFailure(ctx, w, sent.Load())
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > _maxStatus {
		// Bytes that are no answer. A connection without more of them counts as idle already.
		_ = resp.Body.Close()
		cancel(nil)
		t.CloseIdle(w.Address)
		_foreign.Inc()
		answer := relay.Unknown(relay.ForeignAnswer)
		answer.Worker = w.Name
		return answer, backend.Broken
	}
	answer, result := newAnswer(w, r, resp, reused.Load())
	if answer.Body == nil {
		_ = resp.Body.Close()
		cancel(nil)
		return answer, result
	}
	answer.Body = newBody(&trailedBody{ReadCloser: answer.Body, resp: resp}, answer.Length, cancel)
	return answer, result
}

// Probe requests the load of a worker.
func (t *Transport) Probe(ctx context.Context, w backend.Worker) (Load, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.Address+"/load", nil)
	if err != nil {
		return Load{}, errors.Wrap(err, "build probe")
	}
	resp, err := t.client(w.Address).RoundTrip(req)
	if err != nil {
		return Load{}, errors.Wrap(err, "probe")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, _maxProbeBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		return Load{}, errors.Errorf("probe answered %d", resp.StatusCode)
	}
	return decodeLoad(data)
}

// CloseIdle closes the idle connections to a worker. It is called when one connection
// got no answer, as the others may be dead as well.
func (t *Transport) CloseIdle(address string) {
	t.client(address).CloseIdleConnections()
}

// CloseUnlisted closes the idle connections to workers that are not in addresses.
func (t *Transport) CloseUnlisted(addresses map[string]struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, c := range t.clients {
		if _, ok := addresses[address]; !ok {
			c.CloseIdleConnections()
			delete(t.clients, address)
		}
	}
}

func (t *Transport) client(address string) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.clients[address]; ok {
		return c
	}
	if t.clients == nil {
		t.clients = make(map[string]*http.Transport)
	}
	dialer := &net.Dialer{Timeout: _dialTimeout, KeepAlive: _keepAlive, Control: socket.UserTimeout(_userTimeout)}
	c := &http.Transport{
		DialContext:            dialWorker(dialer),
		MaxConnsPerHost:        t.Connections,
		MaxIdleConnsPerHost:    t.Connections,
		IdleConnTimeout:        _idleTimeout,
		MaxResponseHeaderBytes: _maxHeadBytes,
		DisableCompression:     true,
		WriteBufferSize:        _bufferBytes,
		ReadBufferSize:         _bufferBytes,
	}
	t.clients[address] = c
	return c
}

// classifyFailure classifies an exchange without an answer.
func (t *Transport) classifyFailure(
	ctx context.Context, w backend.Worker, sent bool,
) (*relay.Answer, backend.Result) {
	answer, result := relay.Unknown(relay.WorkerBroken), backend.Broken
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		answer.Reason = relay.WorkerSilent
		_silent.Inc()
		t.CloseIdle(w.Address)
	case ctx.Err() != nil:
		answer.Reason, result = relay.CallerDisconnected, backend.Cancelled
	case !sent:
		answer.Reason, result = relay.WorkerUnreachable, backend.Unreachable
	}
	if !sent {
		answer.Outcome = retry.NotRun
	}
	answer.Worker = w.Name
	return answer, result
}

// newRequest builds the request to a worker. The idempotency key is set under its
// lower-case name, because net/http retries requests that have the canonical one.
func newRequest(ctx, deadline context.Context, w backend.Worker, r *relay.Request) *http.Request {
	target, err := url.ParseRequestURI(r.URI)
	if err != nil {
		target = &url.URL{Path: "/"}
	}
	target.Scheme = "http"
	target.Host = w.Address
	req := (&http.Request{
		Method: r.Method, URL: target, Host: w.Address, Header: make(http.Header, len(r.Header)+4),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	for _, h := range r.Header {
		if http.CanonicalHeaderKey(h.Name) == relay.HeaderIdempotencyKey {
			req.Header["idempotency-key"] = []string{h.Value}
			continue
		}
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(relay.HeaderRequestID, r.ID)
	if at, ok := deadline.Deadline(); ok {
		req.Header.Set(relay.HeaderTimeout, strconv.FormatInt(max(time.Until(at).Milliseconds(), 1), 10))
	}
	if r.Body != nil && r.Body.Length != 0 {
		req.Body = io.NopCloser(r.Body.Open())
		req.ContentLength = r.Body.Length
	}
	return req
}

// newAnswer converts the head of an answer. Its body stays open unless the worker
// refused or the answer belongs to another request. A refusal without a request ID may, on a
// connection that was used before, be a late copy of one to an earlier request, while the
// worker runs this one.
func newAnswer(w backend.Worker, r *relay.Request, resp *http.Response, reused bool) (*relay.Answer, backend.Result) {
	id := resp.Header.Get(relay.HeaderRequestID)
	refused := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(relay.HeaderRefused) == "true"
	if id != "" && id != r.ID || refused && reused && id == "" {
		_foreign.Inc()
		answer := relay.Unknown(relay.ForeignAnswer)
		answer.Worker = w.Name
		return answer, backend.Broken
	}
	if refused {
		answer := relay.NotRun(relay.WorkerRefused)
		answer.Worker = w.Name
		if resp.Header.Get(relay.HeaderDraining) != "" {
			answer.Header = []relay.Header{{Name: relay.HeaderDraining, Value: "true"}}
		}
		return answer, backend.Refused
	}
	result := backend.Answered
	if resp.StatusCode >= http.StatusInternalServerError {
		result = backend.Errored
	}
	answer := &relay.Answer{
		Outcome: retry.Run, Reason: relay.Served, Status: resp.StatusCode,
		Length: resp.ContentLength, Body: resp.Body, Worker: w.Name,
	}
	if r.Method == http.MethodHead {
		answer.Length = 0
	}
	for name, values := range resp.Header {
		for _, v := range values {
			answer.Header = append(answer.Header, relay.Header{Name: name, Value: v})
		}
	}
	answer.Header = relay.EndToEnd(answer.Header)
	return answer, result
}
