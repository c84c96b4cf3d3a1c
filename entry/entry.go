// Package entry is the HTTP server for the callers of an entry instance: it
// answers lookups and dispatches requests.
//
// When a caller disconnects, its request is cancelled. Invalid requests and
// oversized headers or bodies get a JSON error. If the body of an answer fails midway,
// the caller's connection is reset, so that the answer never appears complete.
//
// # Usage
//
//	frontend := &entry.Service{Settings: s, Dispatch: d, Lookup: l}
package entry

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/net/http/httpguts"

	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/lookup"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/settings"
)

const (
	// ServiceName is the name of the service in its kernel.
	ServiceName = "entry"
	// LookupPath is the path of lookups.
	LookupPath = "/.wigeonlock/v1/entries"
	// ListsPath is the path that returns the version of the active lists.
	ListsPath = "/.wigeonlock/v1/lists"
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes = 64 << 20
	// MaxHeaderBytes is the maximum size of a request header.
	MaxHeaderBytes = 16 << 10
	// ReplayBytes is the size up to which a request body is held in memory, so
	// that the request can be retried.
	ReplayBytes = 64 << 10

	_reservedPrefix = "/.wigeonlock/"
	_readTimeout    = 10 * time.Second
	_bodyTimeout    = 60 * time.Second
	_writeTimeout   = 60 * time.Second
	_idleTimeout    = 60 * time.Second
	_maxCallers     = 64 << 10
)

// Dispatcher returns the answers to requests. ctx limits the time until the head
// of an answer.
type Dispatcher interface {
	Do(ctx context.Context, r *relay.Request) *relay.Answer
}

// Service is the HTTP server for callers. The exported fields are set before Start.
type Service struct {
	Settings *settings.Settings
	Dispatch Dispatcher
	Lookup   *lookup.Service
	// Version returns the version of the active lists.
	Version func() uint64
	Log     *zap.Logger
	// Listen opens the listener, as net.Listen does.
	Listen func(network, address string) (net.Listener, error)

	app *fiber.App
	// cacheControl is the Cache-Control header of lookup answers.
	cacheControl      string
	disconnectWatcher disconnectWatcher
	keepAliveDisabled atomic.Bool
}

var _ kernel.Service = (*Service)(nil)

// Name returns ServiceName.
func (s *Service) Name() string { return ServiceName }

// Start listens for callers. It fails if the address cannot be opened.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	l, err := s.Listen("tcp", s.Settings.Callers.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	s.cacheControl = "private, max-age=" + strconv.Itoa(max(s.Settings.LookupTTLMs/1000, 1))
	s.app = fiber.New(fiber.Config{
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		DisableDefaultDate:           true,
		DisableDefaultContentType:    true,
		DisableHeadAutoRegister:      true,
		BodyLimit:                    MaxBodyBytes,
		ReadBufferSize:               MaxHeaderBytes,
		ReadTimeout:                  _readTimeout,
		WriteTimeout:                 _writeTimeout,
		IdleTimeout:                  _idleTimeout,
		Concurrency:                  _maxCallers,
		ErrorHandler:                 s.fail,
	})
	s.app.Use(s.handle)
	s.app.Server().CloseOnShutdown = true
	k.Go(ServiceName, s.disconnectWatcher.run)
	k.Go(ServiceName, func(context.Context) error {
		return s.app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
	})
	return nil
}

// DisableKeepAlive makes each answer close its connection, so that callers connect
// to other instances.
func (s *Service) DisableKeepAlive() {
	s.keepAliveDisabled.Store(true)
}

// Stop waits for open requests until ctx ends.
func (s *Service) Stop(ctx context.Context) error {
	if err := s.app.ShutdownWithContext(ctx); err != nil {
		return errors.Wrap(err, "close connections of callers")
	}
	return nil
}

func (s *Service) handle(c fiber.Ctx) error {
	if s.keepAliveDisabled.Load() {
		c.RequestCtx().SetConnectionClose()
	}
	path := c.Path()
	switch {
	case path == LookupPath:
		return s.lookup(c)
	case path == ListsPath:
		return s.lists(c)
	case strings.HasPrefix(path, _reservedPrefix):
		return s.refuse(c, fiber.StatusNotFound, relay.BadRequest, "no such path")
	}
	started := time.Now()
	r, problem := s.request(c)
	if problem != nil {
		return s.refuse(c, problem.status, problem.reason, problem.message)
	}
	timeout, problem := s.timeout(c, r.Service)
	if problem != nil {
		return s.refuse(c, problem.status, problem.reason, problem.message)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	done := s.disconnectWatcher.watch(c.RequestCtx().Conn(), cancel)
	answer := s.Dispatch.Do(ctx, r)
	done()
	observe(answer, time.Since(started))
	s.Log.Debug("request ended", zap.String("requestId", r.ID), zap.String("outcome", string(answer.Outcome)),
		zap.String("reason", string(answer.Reason)), zap.Int("status", answer.Status))
	return s.write(c, r, answer)
}

// problem is the reason why a request is invalid.
type problem struct {
	status  int
	reason  relay.Reason
	message string
}

func (s *Service) request(c fiber.Ctx) (*relay.Request, *problem) {
	req := c.Request()
	r := &relay.Request{
		ID:       newRequestID(),
		Method:   string(req.Header.Method()),
		URI:      string(req.Header.RequestURI()),
		Service:  string(req.Header.Peek(relay.HeaderService)),
		Customer: string(req.Header.Peek(relay.HeaderCustomer)),
	}
	switch {
	case r.Service == "":
		return nil, badRequest(relay.HeaderService + " is required")
	case r.Customer == "":
		return nil, badRequest(relay.HeaderCustomer + " is required")
	case !strings.HasPrefix(r.URI, "/"):
		return nil, badRequest("request target must be a path")
	case r.Method == fiber.MethodConnect || r.Method == fiber.MethodTrace:
		return nil, badRequest("method " + r.Method + " is not served")
	}
	r.Header = headersOf(req)
	if !areFields(r.Header) {
		// Such a field may hide the length of the body, which would be read as the next request.
		c.RequestCtx().SetConnectionClose()
		return nil, badRequest("header holds a field without a proper name or value")
	}
	var p *problem
	r.Body, p = body(c)
	return r, p
}

func headersOf(req *fasthttp.Request) []relay.Header {
	headers := make([]relay.Header, 0, req.Header.Len())
	for name, value := range req.Header.All() {
		headers = append(headers, relay.Header{Name: string(name), Value: string(value)})
	}
	endToEnd := relay.EndToEnd(headers)
	forwarded := endToEnd[:0]
	for _, h := range endToEnd {
		if h.Name != relay.HeaderRequestID && h.Name != relay.HeaderTimeout {
			forwarded = append(forwarded, h)
		}
	}
	return forwarded
}

// areFields reports whether the names and values of headers are ones that the protocol allows.
func areFields(headers []relay.Header) bool {
	return !slices.ContainsFunc(headers, func(h relay.Header) bool {
		return !httpguts.ValidHeaderFieldName(h.Name) || !httpguts.ValidHeaderFieldValue(h.Value)
	})
}

// timeout returns the timeout that the caller requested, at most that of the
// service, which is also the default.
func (s *Service) timeout(c fiber.Ctx, service string) (time.Duration, *problem) {
	svc, ok := s.Settings.Service(service)
	if !ok {
		return 0, &problem{fiber.StatusBadRequest, relay.UnknownService, "unknown service " + strconv.Quote(service)}
	}
	text := c.Get(relay.HeaderTimeout)
	if text == "" {
		return svc.Timeout(), nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, badRequest(relay.HeaderTimeout + " must be a positive whole number of milliseconds")
	}
	return min(time.Duration(ms)*time.Millisecond, svc.Timeout()), nil
}

func badRequest(message string) *problem {
	return &problem{fiber.StatusBadRequest, relay.BadRequest, message}
}

// write writes an answer to the caller.
func (s *Service) write(c fiber.Ctx, r *relay.Request, a *relay.Answer) error {
	resp := c.Response()
	resp.Header.Set(relay.HeaderOutcome, string(a.Outcome))
	resp.Header.Set(relay.HeaderReason, string(a.Reason))
	resp.Header.Set(relay.HeaderRequestID, r.ID)
	if a.Outcome != retry.Run {
		for _, h := range a.Header {
			resp.Header.Set(h.Name, h.Value)
		}
		return s.writeError(c, statusOf(a), a.Reason, messageOf(a))
	}
	for _, h := range a.Header {
		if !strings.HasPrefix(h.Name, "Wigeonlock-") {
			resp.Header.Add(h.Name, h.Value)
		}
	}
	c.Status(a.Status)
	if data, ok := relay.Bytes(a); ok {
		resp.SetBodyRaw(data)
		return nil
	}
	_ = c.RequestCtx().Conn().SetWriteDeadline(time.Now().Add(_writeTimeout))
	resp.SetBodyStream(a.Body, int(a.Length))
	return nil
}

func (s *Service) lookup(c fiber.Ctx) error {
	service := c.Query("service")
	if _, ok := s.Settings.Service(service); !ok {
		return s.refuse(c, fiber.StatusBadRequest, relay.UnknownService, "query service must name a known service")
	}
	answer := s.Lookup.Answer(callerAddress(c), service)
	if answer == nil {
		return s.refuse(c, fiber.StatusServiceUnavailable, relay.NoLists, "no entry instance is known yet")
	}
	_lookups.Inc()
	c.Response().Header.Set(fiber.HeaderCacheControl, s.cacheControl)
	c.Response().Header.SetContentType(fiber.MIMEApplicationJSON)
	c.Response().SetBodyRaw(answer)
	return nil
}

// lists returns the version of the lists that is active on this instance, for
// operators' tools.
func (s *Service) lists(c fiber.Ctx) error {
	return c.JSON(struct {
		Version uint64 `json:"version"`
	}{s.Version()})
}
