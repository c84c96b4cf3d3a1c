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
	_callerTries    = 6
	_callerPause    = 60 * time.Millisecond
	_callTimeout    = 10 * time.Second
	_documentBytes  = 1 << 20
	_smallBytes     = 4 << 10
	_paymentShare   = 5
	_documentShare  = 2
	_smallShare     = 20
	_favouriteShare = 60
	_percent        = 100
	_highestLatency = int64(60 * time.Second / time.Microsecond)
)

// tally is what callers saw.
type tally struct {
	mu           sync.Mutex
	requests     int
	outcomes     map[string]int
	truncated    int
	misdelivered int
	cutOff       int
	retries      int
	reasons      map[string]int
	told         map[string]retry.Outcome
	latency      *hdrhistogram.Histogram
	planned      map[string]time.Time
}

func newTally() *tally {
	const digits = 3
	return &tally{
		outcomes: make(map[string]int), reasons: make(map[string]int), told: make(map[string]retry.Outcome),
		latency: hdrhistogram.New(1, _highestLatency, digits), planned: make(map[string]time.Time),
	}
}

// caller is one user of a customer: it looks entry instances up, keeps the
// answer, and sends requests with pauses.
type caller struct {
	customer string
	services []string
	client   *http.Client
	rng      *rand.Rand
	tally    *tally
	// bootstrap are addresses that the caller knows from its own settings.
	bootstrap []string

	// favourite returns the service that most requests ask for now, if any.
	favourite func() string

	known map[string]answered
}

type answered struct {
	entries []lookup.Entry
	until   time.Time
}

// seen is the end of one try.
type seen struct {
	outcome   string
	reason    string
	requestID string
	transport bool
}

const (
	_whole  = "whole"
	_broken = "broken"
)

func newCaller(customer, source string, services, bootstrap []string, seed uint64, t *tally) *caller {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}, Timeout: time.Second}
	return &caller{
		customer: customer, services: services, bootstrap: bootstrap, tally: t,
		rng:   rand.New(rand.NewPCG(seed, 7)),
		known: make(map[string]answered),
		client: &http.Client{
			Timeout:   _callTimeout,
			Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Second},
		},
	}
}

// run sends requests until ctx ends; pause gives the time between them.
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

// request sends one request, again if it may be sent again.
func (c *caller) request(ctx context.Context) {
	service := c.services[c.rng.IntN(len(c.services))]
	if f := c.favourite(); f != "" && c.rng.IntN(_percent) < _favouriteShare {
		service = f
	}
	what := c.draw()
	started := time.Now()
	var last seen
	for try := range _callerTries {
		last = c.try(ctx, service, what)
		if last.outcome == _whole || (last.outcome == string(retry.Unknown) && what.key != "") {
			break
		}
		c.tally.mu.Lock()
		c.tally.retries++
		c.tally.mu.Unlock()
		pause := _callerPause << try
		time.Sleep(pause/2 + time.Duration(c.rng.Int64N(int64(pause))))
	}
	c.tally.mu.Lock()
	defer c.tally.mu.Unlock()
	c.tally.requests++
	if last.outcome == _broken {
		last.outcome = string(retry.Unknown)
	}
	c.tally.outcomes[last.outcome]++
	if last.outcome == _whole {
		_ = c.tally.latency.RecordValue(time.Since(started).Microseconds())
		return
	}
	c.tally.reasons[last.outcome+" "+last.reason]++
}

// kind is what a request asks for, and what its answer must be.
type kind struct {
	method string
	path   string
	key    string
	query  string
	size   int64
}

func (c *caller) draw() kind {
	unique := strconv.FormatUint(c.rng.Uint64(), 36)
	switch n := c.rng.IntN(_percent); {
	case n < _paymentShare:
		return kind{method: http.MethodPost, path: "/pay", key: c.customer + "-" + unique}
	case n < _paymentShare+_documentShare:
		return kind{method: http.MethodGet, path: fmt.Sprintf("/bytes/%d", _documentBytes), size: _documentBytes}
	case n < _paymentShare+_documentShare+_smallShare:
		return kind{method: http.MethodGet, path: fmt.Sprintf("/bytes/%d", _smallBytes), size: _smallBytes}
	default:
		return kind{method: http.MethodGet, path: "/echo", query: "q=" + unique}
	}
}

// try sends the request to one entry instance.
func (c *caller) try(ctx context.Context, service string, k kind) seen {
	address, ok := c.address(ctx, service)
	if !ok {
		return seen{outcome: string(retry.NotRun), reason: "noEntry"}
	}
	started := time.Now()
	s := c.exchange(ctx, address, service, k)
	if s.transport {
		c.tally.noteCut(address, started)
		delete(c.known, service)
	}
	c.tally.note(s)
	return s
}

func (c *caller) exchange(ctx context.Context, address, service string, k kind) seen {
	target := "http://" + address + k.path
	if k.query != "" {
		target += "?" + k.query
	}
	var body io.Reader
	if k.method == http.MethodPost {
		body = bytes.NewReader([]byte(`{"amount":120}`))
	}
	req, err := http.NewRequestWithContext(ctx, k.method, target, body)
	if err != nil {
		return seen{outcome: _broken, reason: "request"}
	}
	req.Header.Set(relay.HeaderService, service)
	req.Header.Set(relay.HeaderCustomer, c.customer)
	if k.key != "" {
		// Under its lower-case name net/http does not repeat it by itself.
		req.Header["idempotency-key"] = []string{k.key}
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return seen{outcome: _broken, reason: "connection", transport: true}
	}
	defer func() { _ = resp.Body.Close() }()
	s := seen{
		outcome: resp.Header.Get(relay.HeaderOutcome), reason: resp.Header.Get(relay.HeaderReason),
		requestID: resp.Header.Get(relay.HeaderRequestID),
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		s.outcome, s.reason, s.transport = _broken, "reset", true
		return s
	}
	if s.outcome == string(retry.Run) {
		s.outcome = c.judge(resp, k, data, s.requestID)
	}
	return s
}

// judge checks that an answer is whole and the one asked for.
func (c *caller) judge(resp *http.Response, k kind, data []byte, requestID string) string {
	if resp.StatusCode != http.StatusOK {
		return "failed"
	}
	switch {
	case k.size > 0:
		return c.judgeBytes(k, data)
	case k.query != "":
		return c.judgeEcho(k, data, requestID)
	default:
		return _whole
	}
}

func (c *caller) judgeBytes(k kind, data []byte) string {
	if int64(len(data)) != k.size {
		c.tally.add(&c.tally.truncated)
		return "truncated"
	}
	p := standin.Pattern{Size: k.size}
	for i, b := range data {
		if b != p.At(int64(i)) {
			c.tally.add(&c.tally.misdelivered)
			return "misdelivered"
		}
	}
	return _whole
}

func (c *caller) judgeEcho(k kind, data []byte, requestID string) string {
	var echo struct {
		RequestID string `json:"requestId"`
		Query     string `json:"query"`
	}
	if err := json.Unmarshal(data, &echo); err != nil {
		c.tally.add(&c.tally.truncated)
		return "truncated"
	}
	if echo.Query != k.query || echo.RequestID != requestID {
		c.tally.add(&c.tally.misdelivered)
		return "misdelivered"
	}
	return _whole
}

// address returns an entry instance by weight, looked up if the known answer ran out.
func (c *caller) address(ctx context.Context, service string) (string, bool) {
	known, ok := c.known[service]
	if !ok || time.Now().After(known.until) {
		known, ok = c.lookUp(ctx, service)
		if !ok {
			return "", false
		}
		c.known[service] = known
	}
	total := 0
	for _, e := range known.entries {
		total += e.Weight
	}
	n := c.rng.IntN(max(total, 1))
	for _, e := range known.entries {
		if n -= e.Weight; n < 0 {
			return e.Address, true
		}
	}
	return "", false
}

// lookUp asks the instances that it knows until one answers.
func (c *caller) lookUp(ctx context.Context, service string) (answered, bool) {
	for range len(c.bootstrap) {
		address := c.bootstrap[c.rng.IntN(len(c.bootstrap))]
		target := "http://" + address + entry.LookupPath + "?service=" + url.QueryEscape(service)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
		if err != nil {
			return answered{}, false
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
			return answered{answer.Entries, time.Now().Add(time.Duration(answer.TTLMs) * time.Millisecond)}, true
		}
	}
	return answered{}, false
}

func (t *tally) add(counter *int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*counter++
}

// note keeps what the caller was told of a request.
func (t *tally) note(s seen) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.requestID != "" {
		t.told[s.requestID] = retry.Outcome(s.outcome)
	}
}

// plan records that an instance's planned stop began.
func (t *tally) plan(address string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.planned[address] = at
}

// noteCut counts a connection that broke at an instance that stops as planned.
func (t *tally) noteCut(address string, _ time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, planned := t.planned[address]; planned {
		t.cutOff++
	}
}
