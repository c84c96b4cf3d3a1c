// Package relay defines the request and the answer that an entry instance
// forwards, and ensures that a caller gets a complete answer or an error.
//
// Buffer reads a small answer completely, so that a truncated one can be
// retried before the caller has received a byte. ResumingReader continues a
// large document with a Range request after its connection broke, if a strong
// ETag shows that the document is unchanged.
//
// # Usage
//
//	answer := handler.Handle(ctx, request)
//	answer = relay.Buffer(answer)
//	if answer.Outcome == retry.Run {
//		// forward answer.Body, then Close it
//	}
package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/wigeonlock/wigeonlock/bytebudget"
	"github.com/wigeonlock/wigeonlock/retry"
)

// Names of the headers that requests and answers carry.
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
	// BufferBytes is the size up to which an answer is read completely before
	// its first byte is forwarded.
	BufferBytes = 256 << 10
	// LengthUnknown is the length of a body that extends to the end of its stream.
	LengthUnknown = -1
)

// Reason is the cause of an outcome. It is sent to callers and is a label of
// the outcome counters.
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
	NoCapacity         Reason = "noRoom"
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
	CallerDisconnected Reason = "callerLeft"
	PaymentDuplicate   Reason = "paymentDuplicate"
	PaymentReplayed    Reason = "paymentReplayed"
	PaymentUnavailable Reason = "paymentClaimsUnavailable"
	PaymentFull        Reason = "paymentClaimsFull"
	BodyTooLarge       Reason = "bodyTooLarge"
	HeaderTooLarge     Reason = "headerTooLarge"
	UnknownRoute       Reason = "unknownRoute"
	RetryBudget        Reason = "retryBudget"
	NoWorkers          Reason = "noWorkers"
	WorkerLimit        Reason = "workerLimit"
	WorkersResting     Reason = "workersResting"
	EndsWorkers        Reason = "endsWorkers"
	NoConnections      Reason = "noConnections"
	TooManyCallers     Reason = "tooManyCallers"
	Stopping           Reason = "stopping"
	Internal           Reason = "internal"
	UnknownKey         Reason = "unknownKey"
	UnconfirmedKey     Reason = "unconfirmedKey"
	NoHomeRegion       Reason = "noHomeRegion"
	TeamQuota          Reason = "teamQuota"
	QuotaUnknown       Reason = "quotaUnknown"
	NoMemory           Reason = "noMemory"
	UnprovenRefusal    Reason = "unprovenRefusal"
)

// PromisesNotRun reports whether a status promises a caller that its request has not run and
// never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// Get returns the first value of the header name, ignoring case, or "" if it
// is absent.
func Get(headers []Header, name string) string {
	for _, h := range headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

// Body is the body of a request. A body in memory can be sent any number of
// times, a stream only until its first byte is read.
type Body struct {
	// Bytes is the complete body if Stream is nil.
	Bytes []byte
	// Stream reads a body that is not held in memory.
	Stream io.Reader
	// Length is the number of bytes, or LengthUnknown.
	Length int64
	// Room is the memory that Bytes takes; nil if it is not counted.
	Room *bytebudget.Lease

	read bool
}

// Open returns a reader of the body from its start.
func (b *Body) Open() io.Reader {
	if b.Stream == nil {
		return bytes.NewReader(b.Bytes)
	}
	return &streamReader{body: b}
}

// Replayable reports whether Open still returns the complete body.
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

// Request is a caller's request that is forwarded to a worker.
type Request struct {
	// ID identifies the request in logs and to workers.
	ID       string
	Method   string
	URI      string
	Service  string
	Customer string
	// Host is the Host header of the caller.
	Host string
	// Object names the object that the request concerns; empty if unspecified.
	Object string
	// Key is the key by which the caller names its team; it is not among Header. Team is the
	// name of that team, which workers are told, or empty.
	Key  string
	Team string
	// TimeLeft is how long the caller waits from Received on; zero if
	// unspecified.
	TimeLeft time.Duration
	// Received is when the head of the request was complete.
	Received time.Time
	// HasLength is set when the caller sent the length of the body.
	HasLength bool
	// CloseConn is set when the caller asks to close the connection after the answer.
	CloseConn bool
	Header    []Header
	Body      *Body
	// FromZone is the zone of the entry instance that received the request
	// from the caller.
	FromZone string
	// Tried names the workers of the local zone that were tried already.
	Tried []string
	// AnswerRoom is the memory that is reserved for the body of the answer; nil if it is not
	// counted.
	AnswerRoom *bytebudget.Lease
}

// Answer is the result of a request.
type Answer struct {
	Outcome retry.Outcome
	Reason  Reason
	// Status is the HTTP status of a request that ran.
	Status int
	Header []Header
	// Length is the number of bytes of Body, or LengthUnknown.
	Length int64
	// Body returns an error if it ends early; it is nil unless the request ran.
	Body io.ReadCloser
	// Worker is the worker of the local zone that was tried.
	Worker string
}

// Handler forwards a request to a worker. It always returns an answer, which
// the caller must close. ctx limits the time until the head of the answer.
type Handler interface {
	Handle(ctx context.Context, r *Request) *Answer
}

// NotRun returns the answer to a request that no worker ran.
func NotRun(reason Reason) *Answer {
	return &Answer{Outcome: retry.NotRun, Reason: reason}
}

// Unknown returns the answer to a request that a worker may have run.
func Unknown(reason Reason) *Answer {
	return &Answer{Outcome: retry.Unknown, Reason: reason}
}

// Close closes the body of the answer, if it has one.
func (a *Answer) Close() {
	if a.Body != nil {
		_ = a.Body.Close()
	}
}

// OnClose calls f once, when the body is closed, or at once if there is none.
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

// IsHopByHop reports whether a header belongs to one connection and is not
// forwarded.
func IsHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
		"te", "trailer", "transfer-encoding", "upgrade", "content-length", "host", "expect":
		return true
	default:
		return false
	}
}

// EndToEnd returns the headers to forward: all except the hop-by-hop ones and
// those that a Connection header names. It reuses the slice passed in.
func EndToEnd(headers []Header) []Header {
	var connectionOptions []string
	for _, h := range headers {
		if strings.EqualFold(h.Name, "Connection") {
			connectionOptions = append(connectionOptions, strings.Split(h.Value, ",")...)
		}
	}
	forwarded := headers[:0]
	for _, h := range headers {
		if !IsHopByHop(h.Name) && !contains(connectionOptions, h.Name) {
			forwarded = append(forwarded, h)
		}
	}
	return forwarded
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if strings.EqualFold(strings.TrimSpace(n), name) {
			return true
		}
	}
	return false
}
