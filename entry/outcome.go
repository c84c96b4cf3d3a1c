package entry

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/wigeonlock/wigeonlock/quota"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

const (
	_requestIDBytes = 12
	// Retry-After is a random number of seconds, at least _minRetryAfterSeconds and
	// less than _minRetryAfterSeconds + _retryAfterRangeSeconds.
	_minRetryAfterSeconds   = 1
	_retryAfterRangeSeconds = 4
)

var (
	_lookups  = metrics.NewCounter("wigeonlock_lookups_total")
	_duration = metrics.NewHistogram("wigeonlock_request_duration_seconds")
	_outcomes sync.Map
)

type outcomeKey struct {
	outcome retry.Outcome
	reason  relay.Reason
}

// observe records the duration of a request and counts its outcome and reason.
func observe(a *relay.Answer, d time.Duration) {
	_duration.Update(d.Seconds())
	count(a.Outcome, a.Reason)
}

func count(outcome retry.Outcome, reason relay.Reason) {
	key := outcomeKey{outcome, reason}
	counter, ok := _outcomes.Load(key)
	if !ok {
		name := `wigeonlock_outcomes_total{outcome="` + string(outcome) + `",reason="` + string(reason) + `"}`
		counter, _ = _outcomes.LoadOrStore(key, metrics.GetOrCreateCounter(name))
	}
	if c, isCounter := counter.(*metrics.Counter); isCounter {
		c.Inc()
	}
}

// statusOf returns the HTTP status for a request that did not run or whose outcome
// is unknown.
func statusOf(a *relay.Answer) int {
	if a.Outcome == retry.Unknown {
		return fiber.StatusGatewayTimeout
	}
	switch a.Reason {
	case relay.BadRequest, relay.UnknownService, relay.UnknownCustomer:
		return fiber.StatusBadRequest
	case relay.NoAllowance, relay.AllowanceUsed, relay.Reason(quota.NoShare):
		return fiber.StatusTooManyRequests
	default:
		return fiber.StatusServiceUnavailable
	}
}

func messageOf(a *relay.Answer) string {
	if a.Outcome == retry.Unknown {
		return "the request may have run; its answer is not known"
	}
	return "the request was not run"
}

// refuse writes the error for a request that was not dispatched.
func (s *Service) refuse(c fiber.Ctx, status int, reason relay.Reason, message string) error {
	count(retry.NotRun, reason)
	c.Set(relay.HeaderOutcome, string(retry.NotRun))
	c.Set(relay.HeaderReason, string(reason))
	return s.writeError(c, status, reason, message)
}

// writeError writes a JSON error. For errors that may be retried it sets a random
// Retry-After, which spreads the retries over a few seconds.
func (s *Service) writeError(c fiber.Ctx, status int, reason relay.Reason, message string) error {
	if status == fiber.StatusServiceUnavailable || status == fiber.StatusTooManyRequests {
		c.Set(relay.HeaderRetryAfter, strconv.Itoa(_minRetryAfterSeconds+mathrand.IntN(_retryAfterRangeSeconds)))
	}
	type detail struct {
		Reason  relay.Reason `json:"reason"`
		Message string       `json:"message"`
	}
	return c.Status(status).JSON(struct {
		Error detail `json:"error"`
	}{detail{reason, message}})
}

// fail writes the error for a request that the HTTP library rejected.
func (s *Service) fail(c fiber.Ctx, err error) error {
	status, reason := fiber.StatusBadRequest, relay.BadRequest
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
	}
	switch status {
	case fiber.StatusRequestHeaderFieldsTooLarge:
		reason = relay.HeaderTooLarge
	case fiber.StatusRequestEntityTooLarge:
		reason = relay.BodyTooLarge
	}
	c.RequestCtx().SetConnectionClose()
	return s.refuse(c, status, reason, err.Error())
}

func newRequestID() string {
	var b [_requestIDBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

func newReader(data []byte) io.Reader {
	return bytes.NewReader(data)
}

func callerAddress(c fiber.Ctx) netip.Addr {
	if tcp, ok := c.RequestCtx().RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr()
	}
	return netip.Addr{}
}
