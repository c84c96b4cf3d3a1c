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

// load sends requests from several callers until stopped, and keeps what is
// not a whole answer.
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

// Invariant leavingGetsNothing: within two seconds a leaving worker gets
// nothing new, by any one of the signals.
func TestLeavingWorkerGetsNothing(t *testing.T) {
	signals := map[string]func(w *standin.Worker){
		"list and report": func(w *standin.Worker) { w.BeginLeave(context.Background()) },
		"answer":          func(w *standin.Worker) { w.Behave(standin.Behaviour{Mode: standin.Draining}) },
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			c := start(t, nil)
			n := c.NodeIn("alpen-a")
			l := startLoad(4, func(int) string { return n.Settings.Callers.Listen })
			w := c.WorkersOf("alpen-a", _service)[0]
			require.Eventually(t, func() bool { return len(w.Runs()) > 5 }, _long, time.Millisecond)
			signal(w)
			time.Sleep(2 * time.Second) // the promise under test
			before := w.Arrivals()
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, before, w.Arrivals())
			assert.Empty(t, l.end())
		})
	}
}

// Invariant gracefulStop: an instance that stops as planned cuts nobody off
// that follows look-up answers.
func TestGracefulStop(t *testing.T) {
	c := start(t, nil)
	stopping, other := c.NodeIn("alpen-a"), c.NodeIn("alpen-b")
	var left atomic.Bool
	l := startLoad(6, func(i int) string {
		if i%2 == 0 && !left.Load() {
			return stopping.Settings.Callers.Listen
		}
		return other.Settings.Callers.Listen
	})
	// A slow answer is open while the instance stops.
	c.Workers[0].Behave(standin.Behaviour{Mode: standin.Slow, DelayMs: 500})
	time.Sleep(200 * time.Millisecond)
	stopping.Leave()
	require.Eventually(t, func() bool { return !inAnswer(c.NodeIn("nord-a"), stopping) }, _long, 5*time.Millisecond)
	time.Sleep(200 * time.Millisecond) // callers keep answers for the time to live
	left.Store(true)
	<-stopping.Gone()
	require.NoError(t, stopping.Err())
	assert.Empty(t, l.end())
	assert.Greater(t, l.sent.Load(), int64(100))
}

func inAnswer(asked, wanted *loopback.Node) bool {
	got := call{path: "/.wigeonlock/v1/entries?service=" + _service}.to(asked)
	return strings.Contains(string(got.body), wanted.Settings.Callers.Listen)
}

// Rolling restart of all entry instances under load loses no request.
func TestRollingRestart(t *testing.T) {
	c := start(t, nil)
	var current atomic.Pointer[[]string]
	set := func(nodes ...*loopback.Node) {
		addresses := make([]string, len(nodes))
		for i, n := range nodes {
			addresses[i] = n.Settings.Callers.Listen
		}
		current.Store(&addresses)
	}
	set(c.Nodes...)
	l := startLoad(6, func(i int) string {
		list := *current.Load()
		return list[i%len(list)]
	})
	for _, old := range append([]*loopback.Node(nil), c.Nodes...) {
		z := deployment.Zone{Name: old.Settings.Zone, Region: old.Settings.Region}
		_, err := c.StartNode(old.Settings.Instance+"-new", z)
		require.NoError(t, err)
		require.NoError(t, c.WaitReady(context.Background()))
		old.Leave()
		var rest []*loopback.Node
		for _, n := range c.Live() {
			if n != old && n.Ready() == nil {
				rest = append(rest, n)
			}
		}
		set(rest...)
		<-old.Gone()
		require.NoError(t, old.Err())
	}
	assert.Empty(t, l.end())
}

// A killed worker leaves only what was in it without an answer.
func TestKilledWorker(t *testing.T) {
	c := start(t, nil)
	n := c.NodeIn("alpen-a")
	for _, w := range c.WorkersOf("alpen-a", _service) {
		w.Behave(standin.Behaviour{Mode: standin.Slow, DelayMs: 500})
	}
	var wg sync.WaitGroup
	results := make([]result, 8)
	for i := range results {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = call{method: http.MethodPost, path: "/echo", body: []byte("x")}.to(n)
		}()
	}
	w := c.WorkersOf("alpen-a", _service)[0]
	other := c.WorkersOf("alpen-a", _service)[1]
	require.Eventually(t, func() bool { return len(w.Runs())+len(other.Runs()) == len(results) }, _long, time.Millisecond)
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

// Invariant atMostOnce: the same payment from many callers at once, over all
// instances, with replies of the store lost, runs once.
func TestPaymentRunsOnce(t *testing.T) {
	c := start(t, nil)
	for _, mode := range []standin.Mode{standin.OK, standin.LoseReplies} {
		c.Platform.Behave(standin.Behaviour{Mode: mode})
		key := "pay-" + string(mode)
		var wg sync.WaitGroup
		outcomes := make([]result, 24)
		for i := range outcomes {
			wg.Add(1)
			go func() {
				defer wg.Done()
				outcomes[i] = call{method: http.MethodPost, path: "/pay", key: key, body: []byte("1")}.to(c.Nodes[i%len(c.Nodes)])
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

// A repeated payment gets the recorded answer of the first.
func TestRepeatedPaymentGetsRecordedAnswer(t *testing.T) {
	c := start(t, nil)
	pay := call{method: http.MethodPost, path: "/pay", key: "again", body: []byte("1")}
	first := pay.to(c.Nodes[0])
	require.Equal(t, "run", first.outcome, first.reason)
	require.Eventually(t, func() bool {
		got := pay.to(c.Nodes[2])
		return got.outcome == "run" && got.reason == string(relay.PaymentReplayed) && string(got.body) == string(first.body)
	}, _long, 10*time.Millisecond)
	assert.Equal(t, 1, runsOf(c, "again"))
}

// While the store is out, requests without a key run as ever and payments are
// truthfully not run; afterwards payments run again.
func TestStoreOut(t *testing.T) {
	c := start(t, nil)
	c.Platform.Behave(standin.Behaviour{Mode: standin.Down})
	for i := range 30 {
		got := call{path: "/echo?q=1"}.to(c.Nodes[i%len(c.Nodes)])
		require.NoError(t, got.err)
		// The customer's home is alpen: in nord it would be shifted work.
		if c.Nodes[i%len(c.Nodes)].Settings.Region == "alpen" {
			assert.Equal(t, "run", got.outcome, got.reason)
		}
	}
	pay := call{method: http.MethodPost, path: "/pay", key: "out", body: []byte("1")}
	got := pay.to(c.Nodes[0])
	assert.Equal(t, "notRun", got.outcome)
	assert.Equal(t, string(relay.PaymentUnavailable), got.reason)
	assert.Zero(t, runsOf(c, "out"))
	c.Platform.Behave(standin.Behaviour{Mode: standin.OK})
	require.Eventually(t, func() bool { return pay.to(c.Nodes[0]).outcome == "run" }, _long, 10*time.Millisecond)
	assert.Equal(t, 1, runsOf(c, "out"))
}

// Invariant shiftCap: when the home region has no workers left, work moves to
// the other region, within the plan's cap.
func TestShiftWithinCap(t *testing.T) {
	var open, most atomic.Int64
	c := start(t, func(c *loopback.Cluster) {
		c.Arrived = func(region, _, customer string) func() {
			if region != "nord" || customer != _customer {
				return func() {}
			}
			n := open.Add(1)
			for {
				m := most.Load()
				if n <= m || most.CompareAndSwap(m, n) {
					break
				}
			}
			return func() { open.Add(-1) }
		}
	})
	for _, zone := range []string{"alpen-a", "alpen-b"} {
		behave(c.WorkersOf(zone, _service), standin.Shed)
	}
	moved := func() int {
		n := 0
		for _, w := range c.WorkersOf("nord-a", _service) {
			n += len(w.Runs())
		}
		return n
	}
	l := startLoad(16, func(i int) string { return c.Nodes[i%2].Settings.Callers.Listen })
	require.Eventually(t, func() bool { return moved() > 100 }, _long, 5*time.Millisecond)
	bad := l.end()
	assert.LessOrEqual(t, most.Load(), int64(4))
	for _, r := range bad {
		require.NoError(t, r.err)
		assert.Equal(t, "notRun", r.outcome, "%s: %s", r.reason, r.body)
	}
}

// An edit that takes the shift away is in force on all instances, and nothing
// is shifted any more.
func TestLoweredCapStopsShift(t *testing.T) {
	c := start(t, nil)
	nord := c.NodeIn("nord-a")
	require.Eventually(t, func() bool { return call{path: "/echo"}.to(nord).outcome == "run" }, _long, 5*time.Millisecond)
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
		got := call{path: "/echo"}.to(nord)
		if got.outcome == "run" { // at home, in alpen
			assert.False(t, ranIn(c, "nord-a", got.id))
			continue
		}
		assert.Contains(t, []string{string(quota.Adjusting), string(quota.NoShare), string(relay.NoRoom)}, got.reason)
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

// No allowance means that nothing runs, and the caller is told so.
func TestNoAllowance(t *testing.T) {
	c := start(t, func(c *loopback.Cluster) { c.Deployment.Lists.Allowances = nil })
	got := call{path: "/echo"}.to(c.Nodes[0])
	assert.Equal(t, http.StatusTooManyRequests, got.status)
	assert.Equal(t, "notRun", got.outcome)
	assert.Equal(t, string(relay.NoAllowance), got.reason)
}

// A new instance without the store takes its lists from its peers.
func TestNewInstanceWhileStoreIsOut(t *testing.T) {
	c := start(t, nil)
	c.Platform.Behave(standin.Behaviour{Mode: standin.Down})
	n, err := c.StartNode("alpen-a-late", deployment.Zone{Name: "alpen-a", Region: "alpen"})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return n.Ready() == nil }, _long, 5*time.Millisecond)
	require.Eventually(t, func() bool { return call{path: "/echo"}.to(n).outcome == "run" }, _long, 5*time.Millisecond)
}

// A killed instance leaves the look-up answers of all others.
func TestKilledInstanceLeavesAnswers(t *testing.T) {
	c := start(t, nil)
	victim := c.NodeIn("alpen-b")
	require.Eventually(t, func() bool { return inAnswer(c.NodeIn("nord-a"), victim) }, _long, 10*time.Millisecond)
	victim.Kill()
	for _, n := range []*loopback.Node{c.NodeIn("alpen-a"), c.NodeIn("nord-a")} {
		require.Eventually(t, func() bool { return !inAnswer(n, victim) }, _long, 10*time.Millisecond, n.Settings.Instance)
	}
}

// A payment repeated while the first one is under way gets its answer, once
// that is recorded.
func TestPaymentRepeatedWhileUnderWay(t *testing.T) {
	c := start(t, nil)
	for _, w := range c.Workers {
		w.Behave(standin.Behaviour{Mode: standin.Slow, DelayMs: 100})
	}
	pay := call{method: http.MethodPost, path: "/pay", key: "under way", body: []byte("1")}
	first := make(chan result, 1)
	go func() { first <- pay.to(c.Nodes[0]) }()
	require.Eventually(t, func() bool { return runsOf(c, "under way") == 1 }, _long, time.Millisecond)
	second := pay.to(c.Nodes[1])
	got := <-first
	require.Equal(t, "run", got.outcome, got.reason)
	assert.Equal(t, "run", second.outcome, second.reason)
	assert.Equal(t, string(got.body), string(second.body))
	assert.Equal(t, 1, runsOf(c, "under way"))
}
