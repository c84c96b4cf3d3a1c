// Package relay has the request and the answer as they pass through an entry
// instance, and makes sure that a caller gets a whole answer or none.
//
// Buffer reads small answers whole, so that a short one can be tried again
// before the caller saw a byte. Resume continues a large document by Range
// after its connection broke, if a strong ETag shows that it is the same one.
//
// # Usage
//
//	answer := handler.Handle(ctx, request)
//	answer = relay.Buffer(answer)
//	if answer.Outcome == retry.Run {
//		// pass on answer.Body, then Close it
//	}
package relay

import (
	"bytes"
	"context"
	"io"
	"strings"
	"time"

	"github.com/wigeonlock/wigeonlock/retry"
)

// Names of headers in requests and answers.
const (
	HeaderService        = "Wigeonlock-Service"
	HeaderCustomer       = "Wigeonlock-Customer"
	HeaderTimeout        = "Wigeonlock-Timeout-Ms"
	HeaderAttempt        = "Wigeonlock-Attempt"
	HeaderOutcome        = "Wigeonlock-Outcome"
	HeaderReason         = "Wigeonlock-Reason"
	HeaderRequestID      = "Wigeonlock-Request-Id"
	HeaderRefused        = "Wigeonlock-Refused"
	HeaderDraining       = "Wigeonlock-Draining"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRetryAfter     = "Retry-After"
)

const (
	// BufferBytes is the size up to which an answer is read whole before its
	// first byte is passed on.
	BufferBytes = 256 << 10
	// LengthUnknown is the length of a body that ends with its stream.
	LengthUnknown = -1
)

// Reason tells why an outcome is as it is. It is sent to callers and names
// the counter that is raised.
type Reason string

// Reasons of outcomes.
const (
	Served             Reason = "served"
	BadRequest         Reason = "badRequest"
	UnknownService     Reason = "unknownService"
	UnknownCustomer    Reason = "unknownCustomer"
	NoLists            Reason = "noLists"
	NoAllowance        Reason = "noAllowance"
	AllowanceUsed      Reason = "allowanceUsed"
	NoRoom             Reason = "noRoom"
	QueueFull          Reason = "queueFull"
	TooLate            Reason = "tooLate"
	LinkFull           Reason = "linkFull"
	WorkerRefused      Reason = "workerRefused"
	WorkerUnreachable  Reason = "workerUnreachable"
	WorkerBroken       Reason = "workerBroken"
	WorkerSilent       Reason = "workerSilent"
	ForeignAnswer      Reason = "foreignAnswer"
	PeerUnreachable    Reason = "peerUnreachable"
	PeerBroken         Reason = "peerBroken"
	DeadlinePassed     Reason = "deadlinePassed"
	CallerLeft         Reason = "callerLeft"
	PaymentDuplicate   Reason = "paymentDuplicate"
	PaymentReplayed    Reason = "paymentReplayed"
	PaymentUnavailable Reason = "paymentClaimsUnavailable"
	PaymentFull        Reason = "paymentClaimsFull"
	BodyTooLarge       Reason = "bodyTooLarge"
	HeaderTooLarge     Reason = "headerTooLarge"
	UnknownRoute       Reason = "unknownRoute"
	RetryBudget        Reason = "retryBudget"
	NoWorkers          Reason = "noWorkers"
)

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// Get returns the first value of a header, whatever the case of its name.
func Get(headers []Header, name string) string {
	for _, h := range headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

// Body is the body of a request. A replayable one can be sent again; another
// one only while nothing of it was read.
type Body struct {
	// Bytes is the whole body if Stream is nil.
	Bytes []byte
	// Stream is a large body.
	Stream io.Reader
	// Length is the number of bytes, or LengthUnknown.
	Length int64

	read bool
}

// Open returns a reader of the body from its start.
func (b *Body) Open() io.Reader {
	if b.Stream == nil {
		return bytes.NewReader(b.Bytes)
	}
	return &streamReader{body: b}
}

// Replayable reports whether Open can still give the whole body.
func (b *Body) Replayable() bool {
	return b.Stream == nil || !b.read
}

type streamReader struct {
	body *Body
}

func (s *streamReader) Read(p []byte) (int, error) {
	s.body.read = true
	return s.body.Stream.Read(p)
}

// Request is a request on its way to a worker.
type Request struct {
	// ID identifies the request in logs and towards workers.
	ID       string
	Method   string
	URI      string
	Service  string
	Customer string
	// Host is the host that the caller named.
	Host string
	// Object names what the request concerns; empty if it does not say.
	Object string
	// TimeLeft is how long the caller waits from Received on; zero if it does
	// not say.
	TimeLeft time.Duration
	// Received is when the head of the request was whole.
	Received time.Time
	// HasLength is set when the caller gave the length of the body.
	HasLength bool
	// Close is set when the caller asks to end the connection after the answer.
	Close  bool
	Header []Header
	Body   *Body
	// FromZone is the zone of the first entry instance.
	FromZone string
	// Tried names the workers of the own zone that were tried already.
	Tried []string
}

// Answer is what came of a request.
type Answer struct {
	Outcome retry.Outcome
	Reason  Reason
	// Status is the HTTP status of a request that ran.
	Status int
	Header []Header
	// Length is the number of bytes of Body, or LengthUnknown.
	Length int64
	// Body gives an error if it ends early; it is nil unless the request ran.
	Body io.ReadCloser
	// Worker is the worker of the own zone that was tried.
	Worker string
}

// Handler brings a request to a worker. It always returns an answer; a body
// in it must be closed. ctx bounds the time until the head of the answer.
type Handler interface {
	Handle(ctx context.Context, r *Request) *Answer
}

// NotRun returns the answer of a request that no worker ran.
func NotRun(reason Reason) *Answer {
	return &Answer{Outcome: retry.NotRun, Reason: reason}
}

// Unknown returns the answer of a request that a worker may have run.
func Unknown(reason Reason) *Answer {
	return &Answer{Outcome: retry.Unknown, Reason: reason}
}

// Close closes the body of the answer, if it has one.
func (a *Answer) Close() {
	if a.Body != nil {
		_ = a.Body.Close()
	}
}

// OnClose calls f once, when the body is closed, or now if there is none.
func (a *Answer) OnClose(f func()) {
	if a.Body == nil {
		f()
		return
	}
	a.Body = &closeHook{ReadCloser: a.Body, f: f}
}

type closeHook struct {
	io.ReadCloser
	f func()
}

func (c *closeHook) Close() error {
	err := c.ReadCloser.Close()
	if c.f != nil {
		c.f()
		c.f = nil
	}
	return err
}

// IsHopByHop reports whether a header belongs to one connection and is not passed on.
func IsHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "host", "expect":
		return true
	default:
		return false
	}
}

// EndToEnd returns the headers that are passed on, leaving out those of one
// connection and those that a Connection header names.
func EndToEnd(headers []Header) []Header {
	var named []string
	for _, h := range headers {
		if strings.EqualFold(h.Name, "Connection") {
			named = append(named, strings.Split(h.Value, ",")...)
		}
	}
	kept := headers[:0]
	for _, h := range headers {
		if !IsHopByHop(h.Name) && !contains(named, h.Name) {
			kept = append(kept, h)
		}
	}
	return kept
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if strings.EqualFold(strings.TrimSpace(n), name) {
			return true
		}
	}
	return false
}
