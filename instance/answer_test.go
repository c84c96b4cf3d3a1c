package instance_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/entry"
	"github.com/wigeonlock/wigeonlock/lookup"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/standin"
)

// Invariant wholeAnswer: each caller gets the complete answer to its own request.
// In the home region all requests run; in the other region some of a burst may
// be refused, and those must not have run.
func TestEachCallerGetsItsOwnCompleteAnswer(t *testing.T) {
	c := start(t, nil)
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			query := fmt.Sprintf("caller=%d", i)
			n := c.EntryInstances[i%len(c.EntryInstances)]
			got := call{path: "/echo?" + query}.sendTo(n)
			if got.outcome == "notRun" && n.Settings.Region != "alpen" {
				assert.False(t, ran(c, got.id))
				return
			}
			if !assert.NoError(t, got.err) || !assert.Equal(t, "run", got.outcome, got.reason) {
				return
			}
			var echo struct {
				RequestID string `json:"requestId"`
				Query     string `json:"query"`
			}
			assert.NoError(t, json.Unmarshal(got.body, &echo))
			assert.Equal(t, query, echo.Query)
			assert.Equal(t, got.id, echo.RequestID)
		}()
	}
	wg.Wait()
}

func TestLargeDocumentArrivesWhole(t *testing.T) {
	c := start(t, nil)
	const size = 20 << 20
	got := getDocument(size).sendTo(c.EntryInstances[0])
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusOK, got.status)
	assert.Equal(t, documentBytes(size), got.body)
}

func TestLargeUploadArrivesWhole(t *testing.T) {
	c := start(t, nil)
	upload := documentBytes(8 << 20)
	got := call{method: http.MethodPut, path: "/upload", body: upload}.sendTo(c.EntryInstances[0])
	require.NoError(t, got.err)
	require.Equal(t, "run", got.outcome, got.reason)
	direct := call{method: http.MethodPut, path: "/upload", body: upload}.send(context.Background(), c.Workers[0].Address())
	assert.Equal(t, direct.header.Get("Standin-Body-Sum"), got.header.Get("Standin-Body-Sum"))
}

// While one worker truncates its answers, small ones are retried on another
// worker and large ones are resumed from another, so that the caller receives
// only complete answers.
func TestTruncatedAnswersAreCompleted(t *testing.T) {
	c := start(t, nil)
	bad := c.WorkersOf("alpen-a", _service)[:1]
	setMode(bad, standin.Truncate)
	for _, size := range []int{4 << 10, 1 << 20} {
		for range 10 {
			got := getDocument(size).sendTo(c.InstanceIn("alpen-a"))
			require.NoError(t, got.err)
			require.Equal(t, "run", got.outcome, got.reason)
			assert.Equal(t, documentBytes(size), got.body)
		}
	}
	assert.NotEmpty(t, bad[0].Runs(), "the worker received requests")
}

// When every worker truncates its answers, a small one becomes an unknown outcome
// and a large one resets the connection: neither appears complete.
func TestTruncatedAnswersNeverAppearComplete(t *testing.T) {
	c := start(t, nil)
	setMode(c.Workers, standin.Truncate)
	got := getDocument(4 << 10).sendTo(c.EntryInstances[0])
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusGatewayTimeout, got.status)
	assert.Equal(t, "unknown", got.outcome)
	assert.Equal(t, string(relay.WorkerBroken), reasonOf(t, got.body))

	got = getDocument(1 << 20).sendTo(c.EntryInstances[0])
	assert.Error(t, got.err, "the caller detects that the answer is truncated")
}

func TestRequestIsRetriedAfterSilentWorker(t *testing.T) {
	c := start(t, nil)
	setMode(c.WorkersOf("alpen-a", _service)[:1], standin.Silent)
	for range 4 {
		got := call{path: "/echo?q=1"}.sendTo(c.InstanceIn("alpen-a"))
		require.NoError(t, got.err)
		assert.Equal(t, "run", got.outcome, got.reason)
	}
}

// The outcome of a payment sent to a silent worker is unknown: it is not retried.
func TestSilentWorkerLeavesPaymentUnknown(t *testing.T) {
	c := start(t, nil)
	setMode(c.Workers, standin.Silent)
	got := call{method: http.MethodPost, path: "/pay", key: "silent", body: []byte("1")}.sendTo(c.EntryInstances[0])
	require.NoError(t, got.err)
	assert.Equal(t, "unknown", got.outcome)
	assert.Equal(t, 1, runsOf(c, "silent"))
	setMode(c.Workers, standin.OK)
	got = call{method: http.MethodPost, path: "/pay", key: "silent", body: []byte("1")}.sendTo(c.EntryInstances[1])
	assert.Equal(t, "unknown", got.outcome)
	assert.Equal(t, string(relay.PaymentDuplicate), got.reason)
	assert.Equal(t, 1, runsOf(c, "silent"))
}

// Invariant notRunIsTrue: a request that is reported as not run was not run.
func TestNotRunIsTrue(t *testing.T) {
	c := start(t, nil)
	setMode(c.Workers, standin.Shed)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		got := call{method: method, path: "/echo"}.sendTo(c.EntryInstances[0])
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		assert.Equal(t, "notRun", got.outcome)
		assert.NotEmpty(t, got.header.Get(relay.HeaderRetryAfter))
		assert.False(t, ran(c, got.id))
	}
}

// A server error is the answer of a request that ran, and is not retried.
func TestServerErrorsAreNotRetried(t *testing.T) {
	c := start(t, nil)
	setMode(c.Workers, standin.Errors)
	got := call{method: http.MethodPost, path: "/pay", key: "error", body: []byte("1")}.sendTo(c.EntryInstances[0])
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusInternalServerError, got.status)
	assert.Equal(t, "run", got.outcome)
	assert.Equal(t, 1, runsOf(c, "error"))
}

func TestBadInput(t *testing.T) {
	c := start(t, nil)
	n := c.EntryInstances[0]
	tests := map[string]struct {
		call   call
		status int
		reason relay.Reason
	}{
		"unknown customer": {call{path: "/", customer: "nobody"}, 400, relay.UnknownCustomer},
		"unknown service":  {call{path: "/", header: map[string]string{relay.HeaderService: "x"}}, 400, relay.UnknownService},
		"bad timeout":      {call{path: "/", header: map[string]string{relay.HeaderTimeout: "2s"}}, 400, relay.BadRequest},
		"own path":         {call{path: "/.wigeonlock/v2/x"}, 404, relay.BadRequest},
		"large header": {
			call{path: "/", header: map[string]string{"X-Large": strings.Repeat("x", entry.MaxHeaderBytes)}}, 431, relay.HeaderTooLarge,
		},
		"large body": {
			call{method: http.MethodPost, path: "/", body: make([]byte, entry.MaxBodyBytes+1)}, 413, relay.BodyTooLarge,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := tt.call.sendTo(n)
			require.NoError(t, got.err)
			assert.Equal(t, tt.status, got.status)
			assert.Equal(t, "notRun", got.outcome)
			assert.Equal(t, string(tt.reason), reasonOf(t, got.body))
		})
	}
}

func TestLookup(t *testing.T) {
	c := start(t, nil)
	for _, zone := range []string{"alpen-a", "alpen-b"} {
		require.Eventually(t, func() bool { return inAnswer(c.InstanceIn("nord-a"), c.InstanceIn(zone)) }, _waitLimit, 5*time.Millisecond)
	}
	got := call{path: entry.LookupPath + "?service=" + _service}.sendTo(c.InstanceIn("nord-a"))
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status, string(got.body))
	var answer struct {
		Entries []lookup.Entry `json:"entries"`
		TTLMs   int            `json:"ttlMs"`
	}
	require.NoError(t, json.Unmarshal(got.body, &answer))
	assert.Equal(t, 200, answer.TTLMs)
	assert.NotEmpty(t, got.header.Get("Cache-Control"))
	var zones []string
	for _, e := range answer.Entries {
		zones = append(zones, e.Zone)
		assert.Positive(t, e.Weight)
	}
	assert.ElementsMatch(t, []string{"alpen-a", "alpen-b"}, zones, "the caller's home region")
}

// A request is cancelled at the worker when its caller disconnects.
func TestDisconnectCancelsRequest(t *testing.T) {
	c := start(t, nil)
	for _, w := range c.Workers {
		w.SetBehaviour(standin.Behaviour{Mode: standin.Slow, DelayMs: 1900})
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = call{path: "/echo"}.send(ctx, c.EntryInstances[0].Settings.Callers.Listen)
	}()
	var run standin.Run
	find := func(ended bool) func() bool {
		return func() bool {
			for _, w := range c.Workers {
				for _, r := range w.Runs() {
					if run = r; !ended || !r.End.IsZero() {
						return true
					}
				}
			}
			return false
		}
	}
	require.Eventually(t, find(false), _waitLimit, time.Millisecond)
	cancel()
	<-done
	require.Eventually(t, find(true), _waitLimit, time.Millisecond)
	assert.Less(t, run.End.Sub(run.Start), 1900*time.Millisecond)
}

// The connection of a caller that does not complete its header is closed.
func TestSlowCallerIsDisconnected(t *testing.T) {
	c := start(t, nil)
	conn, err := net.Dial("tcp", c.EntryInstances[0].Settings.Callers.Listen)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("GET /echo HTTP/1.1\r\nHost: x\r\n"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(_waitLimit)))
	_, err = io.ReadAll(conn) // ends only when the instance closes the connection
	assert.NoError(t, err)
}
