// Package http implements store.Store by HTTP calls to the platform.
//
// Every call has a timeout and is counted. After consecutive failures the circuit
// breaker opens and calls fail at once, until a probe succeeds.
//
// # Usage
//
//	s := http.New("http://127.0.0.1:7000")
//	entry, err := s.Get(ctx, "lists/head")
package http

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
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

	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/store"
)

const (
	// VersionHeader is the response header with the version of an entry.
	VersionHeader = "Store-Version"
	// EraHeader is the response header with the number of times that the store was
	// restored from a copy, from 1. Stores that cannot be restored send none.
	EraHeader = "Store-Era"

	_callTimeout      = 3 * time.Second
	_dialTimeout      = time.Second
	_circuitThreshold = 4
	_circuitBase      = 250 * time.Millisecond
	_circuitMax       = 2 * time.Second
	_maxIdle          = 16
)

// Store calls the platform's key-value service.
type Store struct {
	// Timeout limits each call. A watch may take its wait in addition.
	Timeout time.Duration

	base    string
	client  *http.Client
	calls   *metrics.Counter
	failed  *metrics.Counter
	refused *metrics.Counter
	// restores counts the eras that began.
	restores *metrics.Counter

	era atomic.Uint32

	mu      sync.Mutex
	circuit retry.Circuit
}

var _ store.Store = (*Store)(nil)

// New returns a store that calls the platform at the given base URL.
func New(base string) *Store {
	return &Store{
		Timeout: _callTimeout,
		base:    base,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: _dialTimeout}).DialContext,
			MaxIdleConnsPerHost: _maxIdle,
			DisableCompression:  true,
		}},
		calls:    metrics.GetOrCreateCounter("wigeonlock_store_calls_total"),
		failed:   metrics.GetOrCreateCounter("wigeonlock_store_failures_total"),
		refused:  metrics.GetOrCreateCounter("wigeonlock_store_circuit_refusals_total"),
		restores: metrics.GetOrCreateCounter("wigeonlock_store_restores_total"),
		circuit: retry.Circuit{
			Threshold: _circuitThreshold,
			Backoff:   retry.Backoff{Base: _circuitBase, Max: _circuitMax},
		},
	}
}

// Get returns the entry of a key.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	r, err := s.call(ctx, call{method: http.MethodGet, path: keyPath(key)})
	if err != nil {
		return store.Entry{}, errors.Wrapf(err, "get %q", key)
	}
	return store.Entry{Value: r.body, Version: r.version}, nil
}

// Swap writes a value if the key still has the expected version, and returns the
// new version.
func (s *Store) Swap(
	ctx context.Context, key string, expected store.Version, value []byte, lease store.Lease,
) (store.Version, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	if s.outdated(expected) {
		return 0, store.ErrConflict
	}
	query := url.Values{"version": {formatVersion(expected)}}
	if lease != "" {
		query.Set("lease", string(lease))
	}
	r, err := s.call(ctx, call{
		method: http.MethodPut, path: keyPath(key) + "?" + query.Encode(), body: value, write: true,
	})
	if err != nil {
		return 0, errors.Wrapf(err, "swap %q", key)
	}
	if expected != 0 && r.version.Era() != expected.Era() {
		// Since it was restored, the store has given out the expected count again.
		return 0, errors.Wrapf(store.ErrUnknown, "swap %q", key)
	}
	return r.version, nil
}

// Delete removes a key if it still has the expected version.
func (s *Store) Delete(ctx context.Context, key string, expected store.Version) error {
	if s.outdated(expected) {
		return store.ErrConflict
	}
	_, err := s.call(ctx, call{
		method: http.MethodDelete, path: keyPath(key) + "?version=" + formatVersion(expected), write: true,
	})
	if err != nil {
		return errors.Wrapf(err, "delete %q", key)
	}
	return nil
}

// Watch waits until the version of a key differs from after or wait has passed,
// and returns the entry.
func (s *Store) Watch(
	ctx context.Context, key string, after store.Version, wait time.Duration,
) (store.Entry, error) {
	if s.outdated(after) {
		after = 0
	}
	path := "/v1/watch/" + url.PathEscape(key) +
		"?after=" + formatVersion(after) + "&waitMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
	r, err := s.call(ctx, call{method: http.MethodGet, path: path, wait: wait})
	if errors.Is(err, store.ErrNotFound) {
		return store.Entry{}, nil
	}
	if err != nil {
		return store.Entry{}, errors.Wrapf(err, "watch %q", key)
	}
	return store.Entry{Value: r.body, Version: r.version}, nil
}

// Grant creates a lease that expires after ttl without renewal.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	path := "/v1/leases?ttlMs=" + strconv.FormatInt(ttl.Milliseconds(), 10)
	r, err := s.call(ctx, call{method: http.MethodPost, path: path, write: true})
	if err != nil {
		return "", errors.Wrap(err, "grant lease")
	}
	var response struct {
		Lease store.Lease `json:"lease"`
	}
	if err := json.Unmarshal(r.body, &response); err != nil {
		return "", errors.Wrap(err, "decode lease")
	}
	return response.Lease, nil
}

// Renew restarts the time to live of a lease.
func (s *Store) Renew(ctx context.Context, lease store.Lease) error {
	_, err := s.call(ctx, call{
		method: http.MethodPost, path: "/v1/leases/" + url.PathEscape(string(lease)), write: true,
	})
	if err != nil {
		return errors.Wrap(err, "renew lease")
	}
	return nil
}

// Revoke ends a lease and removes its entries.
func (s *Store) Revoke(ctx context.Context, lease store.Lease) error {
	_, err := s.call(ctx, call{
		method: http.MethodDelete, path: "/v1/leases/" + url.PathEscape(string(lease)), write: true,
	})
	if err != nil {
		return errors.Wrap(err, "revoke lease")
	}
	return nil
}

type call struct {
	method string
	path   string
	body   []byte
	wait   time.Duration
	write  bool
}

type reply struct {
	body    []byte
	version store.Version
}

func (s *Store) call(ctx context.Context, c call) (reply, error) {
	if !s.allow() {
		s.refused.Inc()
		return reply{}, store.ErrUnavailable
	}
	s.calls.Inc()
	callCtx, cancel := context.WithTimeout(ctx, s.Timeout+c.wait)
	defer cancel()
	r, err := s.exchange(callCtx, c)
	s.record(ctx, err)
	return r, err
}

func (s *Store) exchange(ctx context.Context, c call) (reply, error) {
	// connected is atomic because an abandoned dial may still call GotConn.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(
		httptrace.WithClientTrace(ctx, trace), c.method, s.base+c.path, bytes.NewReader(c.body))
	if err != nil {
		return reply{}, errors.Wrap(err, "build request")
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return reply{}, failure(c, connected.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, store.MaxValueBytes+1))
	if err != nil {
		return reply{}, failure(c, true)
	}
	era, current := s.observe(resp.Header)
	if !current {
		return reply{}, failure(c, true)
	}
	version, _ := strconv.ParseUint(resp.Header.Get(VersionHeader), 10, 64)
	return reply{body: body, version: store.VersionOf(era, version)}, statusError(c, resp.StatusCode)
}

// Era returns the latest era that the store has named.
func (s *Store) Era() store.Era {
	return store.Era(s.era.Load())
}

// outdated reports whether a version was given out before the store was restored.
func (s *Store) outdated(v store.Version) bool {
	return v != 0 && v.Era() != s.Era()
}

// observe records the era that an answer names and returns it, and false for an answer of an
// earlier era.
func (s *Store) observe(header http.Header) (era store.Era, current bool) {
	named, err := strconv.ParseUint(header.Get(EraHeader), 10, 32)
	if err != nil {
		return s.Era(), true
	}
	for known := s.era.Load(); uint32(named) > known; known = s.era.Load() {
		if s.era.CompareAndSwap(known, uint32(named)) && known > 0 {
			s.restores.Inc()
		}
	}
	return store.Era(named), uint32(named) == s.era.Load()
}

// failure returns the error of a call without a complete reply. sent is whether
// the request may have reached the platform: a write may then have been applied.
func failure(c call, sent bool) error {
	if c.write && sent {
		return store.ErrUnknown
	}
	return store.ErrUnavailable
}

func statusError(c call, status int) error {
	switch {
	case status/100 == 2:
		return nil
	case status == http.StatusNotFound:
		return store.ErrNotFound
	case status == http.StatusConflict:
		return store.ErrConflict
	case status == http.StatusRequestEntityTooLarge:
		return store.ErrTooLarge
	case status == http.StatusServiceUnavailable:
		return store.ErrUnavailable
	default:
		return failure(c, true)
	}
}

func (s *Store) allow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.circuit.Allow(time.Now())
}

// record updates the circuit breaker with the result of a call. A failed call
// whose caller cancelled it is ignored, as it says nothing about the platform.
func (s *Store) record(ctx context.Context, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown):
		if ctx.Err() != nil {
			return
		}
		s.failed.Inc()
		s.circuit.Fail(time.Now(), rand.Float64())
	default:
		s.circuit.Succeed()
	}
}

func keyPath(key string) string {
	return "/v1/kv/" + url.PathEscape(key)
}

func formatVersion(v store.Version) string {
	return strconv.FormatUint(v.Count(), 10)
}
