package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonlock/wigeonlock/entry"
	"github.com/wigeonlock/wigeonlock/lookup"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/standin"
)

const (
	_maxAttempts       = 6
	_backoffBase       = 60 * time.Millisecond
	_callTimeout       = 10 * time.Second
	_documentBytes     = 1 << 20
	_smallBytes        = 4 << 10
	_paymentPercent    = 5
	_documentPercent   = 2
	_smallPercent      = 20
	_hotServicePercent = 60
	_percent           = 100
	_maxLatencyMicros  = int64(60 * time.Second / time.Microsecond)
)

// tally counts what all callers observed.
type tally struct {
	mu           sync.Mutex
	requests     int
	outcomes     map[string]int
	truncated    int
	misdelivered int
	// disconnected counts connections lost to instances in a planned stop.
	disconnected int
	retries      int
	reasons      map[string]int
	// reported holds the outcome that the caller received, by request ID.
	reported map[string]retry.Outcome
	latency  *hdrhistogram.Histogram
	// stopping holds the start of each planned stop, by the address of the instance.
	stopping map[string]time.Time
}

func newTally() *tally {
	const digits = 3
	return &tally{
		outcomes: make(map[string]int), reasons: make(map[string]int), reported: make(map[string]retry.Outcome),
		latency: hdrhistogram.New(1, _maxLatencyMicros, digits), stopping: make(map[string]time.Time),
	}
}

// caller is one user of a customer. It looks up entry instances, caches the answer
// for its time to live, and sends requests with pauses.
type caller struct {
	customer string
	services []string
	client   *http.Client
	rng      *rand.Rand
	tally    *tally
	// bootstrap are the configured addresses of the entry instances that answer lookups.
	bootstrap []string

	// hotService returns the service to which _hotServicePercent of the requests go at
	// present; the others go to a random service. It returns "" if there is none.
	hotService func() string

	// cached holds the lookup answer for each service.
	cached map[string]lookupAnswer
}

// lookupAnswer is the answer to a lookup, valid until the time until.
type lookupAnswer struct {
	entries []lookup.Entry
	until   time.Time
}

// attemptResult is the result of one attempt. transport is set if the connection
// could not be opened or was lost.
type attemptResult struct {
	outcome   string
	reason    string
	requestID string
	transport bool
}

const (
	_complete       = "whole"
	_connectionLost = "broken"
)

func newCaller(customer, source string, services, bootstrap []string, seed uint64, t *tally) *caller {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}, Timeout: time.Second}
	return &caller{
		customer: customer, services: services, bootstrap: bootstrap, tally: t,
		rng:    rand.New(rand.NewPCG(seed, 7)),
		cached: make(map[string]lookupAnswer),
		client: &http.Client{
			Timeout:   _callTimeout,
			Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Second},
		},
	}
}

// run sends requests until ctx ends. pause returns the mean time between them.
func (c *caller) run(ctx context.Context, pause func() time.Duration) {
	defer c.client.CloseIdleConnections()
	for {
		d := time.Duration(c.rng.ExpFloat64() * float64(pause()))
		select {
		case <-ctx.Done():
			return
		case <-time.After(d):
			c.request(context.WithoutCancel(ctx))
		}
	}
}

// request sends one request with up to _maxAttempts attempts. It does not retry a
// payment that was answered with an unknown outcome.
func (c *caller) request(ctx context.Context) {
	service := c.services[c.rng.IntN(len(c.services))]
	if f := c.hotService(); f != "" && c.rng.IntN(_percent) < _hotServicePercent {
		service = f
	}
	spec := c.pickRequest()
	started := time.Now()
	var last attemptResult
	for attempt := range _maxAttempts {
		last = c.attempt(ctx, service, spec)
		if last.outcome == _complete || (last.outcome == string(retry.Unknown) && spec.key != "") {
			break
		}
		c.tally.mu.Lock()
		c.tally.retries++
		c.tally.mu.Unlock()
		pause := _backoffBase << attempt
		time.Sleep(pause/2 + time.Duration(c.rng.Int64N(int64(pause))))
	}
	c.tally.mu.Lock()
	defer c.tally.mu.Unlock()
	c.tally.requests++
	if last.outcome == _connectionLost {
		last.outcome = string(retry.Unknown)
	}
	c.tally.outcomes[last.outcome]++
	if last.outcome == _complete {
		_ = c.tally.latency.RecordValue(time.Since(started).Microseconds())
		return
	}
	c.tally.reasons[last.outcome+" "+last.reason]++
}

// requestSpec describes a request and the answer expected to it. key is its
// idempotency key, size the number of bytes in the answer.
type requestSpec struct {
	method string
	path   string
	key    string
	query  string
	size   int64
}

// pickRequest picks one of the kinds of requests at random, by their percentages.
func (c *caller) pickRequest() requestSpec {
	unique := strconv.FormatUint(c.rng.Uint64(), 36)
	switch n := c.rng.IntN(_percent); {
	case n < _paymentPercent:
		return requestSpec{method: http.MethodPost, path: "/pay", key: c.customer + "-" + unique}
	case n < _paymentPercent+_documentPercent:
		return requestSpec{method: http.MethodGet, path: fmt.Sprintf("/bytes/%d", _documentBytes), size: _documentBytes}
	case n < _paymentPercent+_documentPercent+_smallPercent:
		return requestSpec{method: http.MethodGet, path: fmt.Sprintf("/bytes/%d", _smallBytes), size: _smallBytes}
	default:
		return requestSpec{method: http.MethodGet, path: "/echo", query: "q=" + unique}
	}
}

// attempt sends the request to one entry instance.
func (c *caller) attempt(ctx context.Context, service string, spec requestSpec) attemptResult {
	address, ok := c.address(ctx, service)
	if !ok {
		return attemptResult{outcome: string(retry.NotRun), reason: "noEntry"}
	}
	started := time.Now()
	result := c.exchange(ctx, address, service, spec)
	if result.transport {
		c.tally.recordDisconnect(address, started)
		delete(c.cached, service)
	}
	c.tally.record(result)
	return result
}

func (c *caller) exchange(ctx context.Context, address, service string, spec requestSpec) attemptResult {
	target := "http://" + address + spec.path
	if spec.query != "" {
		target += "?" + spec.query
	}
	var body io.Reader
	if spec.method == http.MethodPost {
		body = bytes.NewReader([]byte(`{"amount":120}`))
	}
	req, err := http.NewRequestWithContext(ctx, spec.method, target, body)
	if err != nil {
		return attemptResult{outcome: _connectionLost, reason: "request"}
	}
	req.Header.Set(relay.HeaderService, service)
	req.Header.Set(relay.HeaderCustomer, c.customer)
	if spec.key != "" {
		// With this lower-case name net/http does not retry the request by itself.
		req.Header["idempotency-key"] = []string{spec.key}
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return attemptResult{outcome: _connectionLost, reason: "connection", transport: true}
	}
	defer func() { _ = resp.Body.Close() }()
	result := attemptResult{
		outcome: resp.Header.Get(relay.HeaderOutcome), reason: resp.Header.Get(relay.HeaderReason),
		requestID: resp.Header.Get(relay.HeaderRequestID),
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		result.outcome, result.reason, result.transport = _connectionLost, "reset", true
		return result
	}
	if result.outcome == string(retry.Run) {
		result.outcome = c.checkAnswer(resp, spec, data, result.requestID)
	}
	return result
}

// checkAnswer checks that an answer is complete and belongs to the request, and
// returns the outcome.
func (c *caller) checkAnswer(resp *http.Response, spec requestSpec, data []byte, requestID string) string {
	if resp.StatusCode != http.StatusOK {
		return "failed"
	}
	switch {
	case spec.size > 0:
		return c.checkBytes(spec, data)
	case spec.query != "":
		return c.checkEcho(spec, data, requestID)
	default:
		return _complete
	}
}

func (c *caller) checkBytes(spec requestSpec, data []byte) string {
	if int64(len(data)) != spec.size {
		c.tally.increment(&c.tally.truncated)
		return "truncated"
	}
	p := standin.Pattern{Size: spec.size}
	for i, b := range data {
		if b != p.At(int64(i)) {
			c.tally.increment(&c.tally.misdelivered)
			return "misdelivered"
		}
	}
	return _complete
}

func (c *caller) checkEcho(spec requestSpec, data []byte, requestID string) string {
	var echo struct {
		RequestID string `json:"requestId"`
		Query     string `json:"query"`
	}
	if err := json.Unmarshal(data, &echo); err != nil {
		c.tally.increment(&c.tally.truncated)
		return "truncated"
	}
	if echo.Query != spec.query || echo.RequestID != requestID {
		c.tally.increment(&c.tally.misdelivered)
		return "misdelivered"
	}
	return _complete
}

// address picks an entry instance by weight and returns its address. It looks the
// service up again if the cached answer has expired.
func (c *caller) address(ctx context.Context, service string) (string, bool) {
	cached, ok := c.cached[service]
	if !ok || time.Now().After(cached.until) {
		cached, ok = c.lookUp(ctx, service)
		if !ok {
			return "", false
		}
		c.cached[service] = cached
	}
	total := 0
	for _, e := range cached.entries {
		total += e.Weight
	}
	n := c.rng.IntN(max(total, 1))
	for _, e := range cached.entries {
		if n -= e.Weight; n < 0 {
			return e.Address, true
		}
	}
	return "", false
}

// lookUp sends the lookup to bootstrap instances picked at random until an instance
// answers with entries.
func (c *caller) lookUp(ctx context.Context, service string) (lookupAnswer, bool) {
	for range len(c.bootstrap) {
		address := c.bootstrap[c.rng.IntN(len(c.bootstrap))]
		target := "http://" + address + entry.LookupPath + "?service=" + url.QueryEscape(service)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
		if err != nil {
			return lookupAnswer{}, false
		}
		resp, err := c.client.Do(req)
		if err != nil {
			continue
		}
		var answer struct {
			Entries []lookup.Entry `json:"entries"`
			TTLMs   int            `json:"ttlMs"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && len(answer.Entries) > 0 {
			return lookupAnswer{answer.Entries, time.Now().Add(time.Duration(answer.TTLMs) * time.Millisecond)}, true
		}
	}
	return lookupAnswer{}, false
}

func (t *tally) increment(counter *int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*counter++
}

// record stores the outcome that the caller received for a request.
func (t *tally) record(result attemptResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if result.requestID != "" {
		t.reported[result.requestID] = retry.Outcome(result.outcome)
	}
}

// recordPlannedStop records when the planned stop of an instance began.
func (t *tally) recordPlannedStop(address string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping[address] = at
}

// recordDisconnect counts a lost connection to an instance in a planned stop.
func (t *tally) recordDisconnect(address string, _ time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, stopping := t.stopping[address]; stopping {
		t.disconnected++
	}
}
