package instance_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/deployment"
	"github.com/wigeonlock/wigeonlock/deployment/loopback"
	"github.com/wigeonlock/wigeonlock/plan"
	"github.com/wigeonlock/wigeonlock/quota"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/standin"
)

// load sends requests from several callers until stopped, and collects the
// results other than a complete answer of a request that ran.
type load struct {
	wg   sync.WaitGroup
	stop atomic.Bool
	sent atomic.Int64

	mu  sync.Mutex
	bad []result
}

func startLoad(callers int, address func(i int) string) *load {
	l := &load{}
	for i := range callers {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for !l.stop.Load() {
				got := call{path: "/echo?q=1"}.send(context.Background(), address(i))
				l.sent.Add(1)
				if got.err != nil || got.outcome != "run" {
					l.mu.Lock()
					l.bad = append(l.bad, got)
					l.mu.Unlock()
				}
			}
		}()
	}
	return l
}

func (l *load) end() []result {
	l.stop.Store(true)
	l.wg.Wait()
	return l.bad
}

// Invariant leavingGetsNothing: two seconds after any one of the signals, a
// leaving worker receives no new requests.
func TestLeavingWorkerGetsNoRequests(t *testing.T) {
	signals := map[string]func(w *standin.Worker){
		"list and report": func(w *standin.Worker) { w.MarkLeaving(context.Background()) },
		"answer":          func(w *standin.Worker) { w.SetBehaviour(standin.Behaviour{Mode: standin.Draining}) },
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			c := start(t, nil)
			n := c.InstanceIn("alpen-a")
			l := startLoad(4, func(int) string { return n.Settings.Callers.Listen })
			w := c.WorkersOf("alpen-a", _service)[0]
			require.Eventually(t, func() bool { return len(w.Runs()) > 5 }, _waitLimit, time.Millisecond)
			signal(w)
			time.Sleep(2 * time.Second) // the time limit of the invariant
			before := w.Arrivals()
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, before, w.Arrivals())
			assert.Empty(t, l.end())
		})
	}
}

// Invariant gracefulStop: a planned stop of an instance fails no request of
// callers that follow lookup answers.
func TestGracefulStop(t *testing.T) {
	c := start(t, nil)
	stopping, other := c.InstanceIn("alpen-a"), c.InstanceIn("alpen-b")
	var left atomic.Bool
	l := startLoad(6, func(i int) string {
		if i%2 == 0 && !left.Load() {
			return stopping.Settings.Callers.Listen
		}
		return other.Settings.Callers.Listen
	})
	// A slow request is running while the instance stops.
	c.Workers[0].SetBehaviour(standin.Behaviour{Mode: standin.Slow, DelayMs: 500})
	time.Sleep(200 * time.Millisecond)
	stopping.BeginShutdown()
	require.Eventually(t, func() bool { return !inAnswer(c.InstanceIn("nord-a"), stopping) }, _waitLimit, 5*time.Millisecond)
	time.Sleep(200 * time.Millisecond) // callers cache lookup answers for LookupTTLMs
	left.Store(true)
	<-stopping.Done()
	require.NoError(t, stopping.Err())
	assert.Empty(t, l.end())
	assert.Greater(t, l.sent.Load(), int64(100))
}

func inAnswer(asked, wanted *loopback.EntryInstance) bool {
	got := call{path: "/.wigeonlock/v1/entries?service=" + _service}.sendTo(asked)
	return strings.Contains(string(got.body), wanted.Settings.Callers.Listen)
}

// A rolling restart of all entry instances under load fails no request.
func TestRollingRestart(t *testing.T) {
	c := start(t, nil)
	var current atomic.Pointer[[]string]
	set := func(instances ...*loopback.EntryInstance) {
		addresses := make([]string, len(instances))
		for i, n := range instances {
			addresses[i] = n.Settings.Callers.Listen
		}
		current.Store(&addresses)
	}
	set(c.EntryInstances...)
	l := startLoad(6, func(i int) string {
		list := *current.Load()
		return list[i%len(list)]
	})
	for _, old := range append([]*loopback.EntryInstance(nil), c.EntryInstances...) {
		z := deployment.Zone{Name: old.Settings.Zone, Region: old.Settings.Region}
		_, err := c.StartInstance(old.Settings.Instance+"-new", z)
		require.NoError(t, err)
		require.NoError(t, c.WaitReady(context.Background()))
		old.BeginShutdown()
		var rest []*loopback.EntryInstance
		for _, n := range c.Live() {
			if n != old && n.Ready() == nil {
				rest = append(rest, n)
			}
		}
		set(rest...)
		<-old.Done()
		require.NoError(t, old.Err())
	}
	assert.Empty(t, l.end())
}

// When a worker is killed, only the requests that it was running get an unknown
// outcome.
func TestKilledWorker(t *testing.T) {
	c := start(t, nil)
	n := c.InstanceIn("alpen-a")
	for _, w := range c.WorkersOf("alpen-a", _service) {
		w.SetBehaviour(standin.Behaviour{Mode: standin.Slow, DelayMs: 500})
	}
	var wg sync.WaitGroup
	results := make([]result, 8)
	for i := range results {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = call{method: http.MethodPost, path: "/echo", body: []byte("x")}.sendTo(n)
		}()
	}
	w := c.WorkersOf("alpen-a", _service)[0]
	other := c.WorkersOf("alpen-a", _service)[1]
	require.Eventually(t, func() bool { return len(w.Runs())+len(other.Runs()) == len(results) }, _waitLimit, time.Millisecond)
	require.NoError(t, w.Close())
	wg.Wait()
	inWorker := make(map[string]bool)
	for _, r := range w.Runs() {
		inWorker[r.RequestID] = true
	}
	for _, r := range results {
		require.NoError(t, r.err)
		if inWorker[r.id] {
			assert.Equal(t, "unknown", r.outcome)
		} else {
			assert.Equal(t, "run", r.outcome, r.reason)
		}
	}
}

// Invariant atMostOnce: the same payment sent concurrently by many callers to all
// instances runs at most once, also while replies of the store are lost.
func TestPaymentRunsOnce(t *testing.T) {
	c := start(t, nil)
	for _, mode := range []standin.Mode{standin.OK, standin.LoseReplies} {
		c.Platform.SetBehaviour(standin.Behaviour{Mode: mode})
		key := "pay-" + string(mode)
		var wg sync.WaitGroup
		outcomes := make([]result, 24)
		for i := range outcomes {
			wg.Add(1)
			go func() {
				defer wg.Done()
				outcomes[i] = call{method: http.MethodPost, path: "/pay", key: key, body: []byte("1")}.sendTo(c.EntryInstances[i%len(c.EntryInstances)])
			}()
		}
		wg.Wait()
		assert.LessOrEqual(t, runsOf(c, key), 1, string(mode))
		for _, r := range outcomes {
			assert.NoError(t, r.err)
			if r.outcome == "notRun" {
				assert.False(t, ran(c, r.id))
			}
		}
	}
	assert.Equal(t, 1, runsOf(c, "pay-ok"))
}

// A repeated payment gets the stored answer of the first.
func TestRepeatedPaymentGetsStoredAnswer(t *testing.T) {
	c := start(t, nil)
	pay := call{method: http.MethodPost, path: "/pay", key: "again", body: []byte("1")}
	first := pay.sendTo(c.EntryInstances[0])
	require.Equal(t, "run", first.outcome, first.reason)
	require.Eventually(t, func() bool {
		got := pay.sendTo(c.EntryInstances[2])
		return got.outcome == "run" && got.reason == string(relay.PaymentReplayed) && string(got.body) == string(first.body)
	}, _waitLimit, 10*time.Millisecond)
	assert.Equal(t, 1, runsOf(c, "again"))
}

// During an outage of the store, requests without an idempotency key still run
// and payments are reported as not run, and are not; afterwards payments run.
func TestStoreOutage(t *testing.T) {
	c := start(t, nil)
	c.Platform.SetBehaviour(standin.Behaviour{Mode: standin.Down})
	for i := range 30 {
		got := call{path: "/echo?q=1"}.sendTo(c.EntryInstances[i%len(c.EntryInstances)])
		require.NoError(t, got.err)
		// The customer's home region is alpen: requests in nord need a slot of the
		// shift cap.
		if c.EntryInstances[i%len(c.EntryInstances)].Settings.Region == "alpen" {
			assert.Equal(t, "run", got.outcome, got.reason)
		}
	}
	pay := call{method: http.MethodPost, path: "/pay", key: "out", body: []byte("1")}
	got := pay.sendTo(c.EntryInstances[0])
	assert.Equal(t, "notRun", got.outcome)
	assert.Equal(t, string(relay.PaymentUnavailable), got.reason)
	assert.Zero(t, runsOf(c, "out"))
	c.Platform.SetBehaviour(standin.Behaviour{Mode: standin.OK})
	require.Eventually(t, func() bool { return pay.sendTo(c.EntryInstances[0]).outcome == "run" }, _waitLimit, 10*time.Millisecond)
	assert.Equal(t, 1, runsOf(c, "out"))
}

// Invariant shiftCap: when the workers of the home region refuse everything,
// requests run in the other region, within the plan's shift cap.
func TestShiftWithinCap(t *testing.T) {
	var open, peak atomic.Int64
	c := start(t, func(c *loopback.Cluster) {
		c.OnArrival = func(region, _, customer string) func() {
			if region != "nord" || customer != _customer {
				return func() {}
			}
			n := open.Add(1)
			for {
				m := peak.Load()
				if n <= m || peak.CompareAndSwap(m, n) {
					break
				}
			}
			return func() { open.Add(-1) }
		}
	})
	for _, zone := range []string{"alpen-a", "alpen-b"} {
		setMode(c.WorkersOf(zone, _service), standin.Shed)
	}
	moved := func() int {
		n := 0
		for _, w := range c.WorkersOf("nord-a", _service) {
			n += len(w.Runs())
		}
		return n
	}
	l := startLoad(16, func(i int) string { return c.EntryInstances[i%2].Settings.Callers.Listen })
	require.Eventually(t, func() bool { return moved() > 100 }, _waitLimit, 5*time.Millisecond)
	bad := l.end()
	assert.LessOrEqual(t, peak.Load(), int64(4))
	for _, r := range bad {
		require.NoError(t, r.err)
		assert.Equal(t, "notRun", r.outcome, "%s: %s", r.reason, r.body)
	}
}

// Once an edit that sets the shift cap to zero is active on all instances, no
// request is shifted.
func TestLoweredCapStopsShift(t *testing.T) {
	c := start(t, nil)
	nord := c.InstanceIn("nord-a")
	require.Eventually(t, func() bool { return call{path: "/echo"}.sendTo(nord).outcome == "run" }, _waitLimit, 5*time.Millisecond)
	lists := c.Deployment.Lists
	lists.Plans = append([]plan.Plan(nil), lists.Plans...)
	lists.Plans[0].ShiftSlots = 0
	head, err := c.Editor().Apply(context.Background(), lists)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = c.WaitVersion(ctx, head.Version)
	require.NoError(t, err)
	for range 20 {
		got := call{path: "/echo"}.sendTo(nord)
		if got.outcome == "run" { // at home, in alpen
			assert.False(t, ranIn(c, "nord-a", got.id))
			continue
		}
		assert.Contains(t, []string{string(quota.Adjusting), string(quota.NoShare), string(relay.NoCapacity)}, got.reason)
	}
}

func ranIn(c *loopback.Cluster, zone, id string) bool {
	for _, w := range c.WorkersOf(zone, _service) {
		for _, r := range w.Runs() {
			if r.RequestID == id {
				return true
			}
		}
	}
	return false
}

// Without an allowance no request runs, and the caller receives the reason.
func TestNoAllowance(t *testing.T) {
	c := start(t, func(c *loopback.Cluster) { c.Deployment.Lists.Allowances = nil })
	got := call{path: "/echo"}.sendTo(c.EntryInstances[0])
	assert.Equal(t, http.StatusTooManyRequests, got.status)
	assert.Equal(t, "notRun", got.outcome)
	assert.Equal(t, string(relay.NoAllowance), got.reason)
}

// During an outage of the store, a new instance gets its lists from its peers.
func TestNewInstanceDuringStoreOutage(t *testing.T) {
	c := start(t, nil)
	c.Platform.SetBehaviour(standin.Behaviour{Mode: standin.Down})
	n, err := c.StartInstance("alpen-a-late", deployment.Zone{Name: "alpen-a", Region: "alpen"})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return n.Ready() == nil }, _waitLimit, 5*time.Millisecond)
	require.Eventually(t, func() bool { return call{path: "/echo"}.sendTo(n).outcome == "run" }, _waitLimit, 5*time.Millisecond)
}

// A killed instance is removed from the lookup answers of all others.
func TestKilledInstanceIsRemovedFromLookups(t *testing.T) {
	c := start(t, nil)
	victim := c.InstanceIn("alpen-b")
	require.Eventually(t, func() bool { return inAnswer(c.InstanceIn("nord-a"), victim) }, _waitLimit, 10*time.Millisecond)
	victim.Kill()
	for _, n := range []*loopback.EntryInstance{c.InstanceIn("alpen-a"), c.InstanceIn("nord-a")} {
		require.Eventually(t, func() bool { return !inAnswer(n, victim) }, _waitLimit, 10*time.Millisecond, n.Settings.Instance)
	}
}

// A payment that is repeated while the first one runs gets the answer of the
// first once that is stored.
func TestPaymentRepeatedWhileRunning(t *testing.T) {
	c := start(t, nil)
	for _, w := range c.Workers {
		w.SetBehaviour(standin.Behaviour{Mode: standin.Slow, DelayMs: 100})
	}
	pay := call{method: http.MethodPost, path: "/pay", key: "under way", body: []byte("1")}
	first := make(chan result, 1)
	go func() { first <- pay.sendTo(c.EntryInstances[0]) }()
	require.Eventually(t, func() bool { return runsOf(c, "under way") == 1 }, _waitLimit, time.Millisecond)
	second := pay.sendTo(c.EntryInstances[1])
	got := <-first
	require.Equal(t, "run", got.outcome, got.reason)
	assert.Equal(t, "run", second.outcome, second.reason)
	assert.Equal(t, string(got.body), string(second.body))
	assert.Equal(t, 1, runsOf(c, "under way"))
}
