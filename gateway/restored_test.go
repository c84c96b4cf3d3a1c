package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/standin"
)

// addedRoute returns a route that a later configuration adds.
func addedRoute(name string) string {
	return fmt.Sprintf(`[%q,"h.example","/%s/","idempotent",2000,500,1,"s1",2,true,[],null]`, name, name)
}

// outage makes the store unavailable for a while and then restores it from a copy.
func outage(kv *standin.KV, down, age time.Duration) {
	kv.SetMode(standin.KVReset)
	time.Sleep(down)
	kv.Restore(age + down)
	kv.SetMode(standin.KVServes)
}

// TestConfigurationAfterRestoredStoreTakesEffect restores the store to before its last
// configurations, which the operator writes again before a further one: that has a lower
// revision than the instances have seen.
func TestConfigurationAfterRestoredStoreTakesEffect(t *testing.T) {
	kv := standin.NewKV()
	defer kv.Close()
	w := startWorker(t, kv, "i-1", "s1", "a")
	kv.Write("op/config", configOf(5, "s1"))
	instances := []*instance{startInstance(t, kv, "edge-1", "a"), startInstance(t, kv, "edge-2", "b")}
	everywhere := func(path string, status int) {
		t.Helper()
		for _, i := range instances {
			require.Eventually(t, i.answered(path, status, ""), 2500*time.Millisecond, _pollInterval, path)
		}
	}
	for _, i := range instances {
		require.Eventually(t, i.answered("/r/x", http.StatusOK, "i-1"), _waitTimeout, _pollInterval)
	}
	time.Sleep(time.Second)
	kv.Write("op/config", configOf(9, "s1", addedRoute("n")))
	for heartbeat := range 40 {
		w.publish(kv, "s1", "a", "ready", 2+heartbeat)
	}
	kv.Write("op/config", configOf(11, "s1", addedRoute("n"), addedRoute("m")))
	everywhere("/m/x", http.StatusOK)

	outage(kv, 1500*time.Millisecond, 2*time.Second)
	w.publish(kv, "s1", "a", "ready", 50)
	everywhere("/m/x", http.StatusOK)
	kv.Write("op/config", configOf(11, "s1", addedRoute("n"), addedRoute("m")))
	kv.Write("op/config", configOf(13, "s1", addedRoute("n"), addedRoute("o")))
	everywhere("/o/x", http.StatusOK)
	everywhere("/m/x", http.StatusNotFound)
}

// restoredTo makes the store unavailable for a while and then restores it to before a change.
func restoredTo(kv *standin.KV, change func()) {
	time.Sleep(1500 * time.Millisecond)
	began := time.Now()
	change()
	kv.SetMode(standin.KVReset)
	time.Sleep(700 * time.Millisecond)
	kv.Restore(time.Since(began) + 100*time.Millisecond)
	kv.SetMode(standin.KVServes)
}

// TestLeavingWorkerStaysAwayAfterRestore has the restored store hold a worker as ready that had
// reported that it leaves, and another one that had gone: neither gets a request, also from an
// instance that starts then.
func TestLeavingWorkerStaysAwayAfterRestore(t *testing.T) {
	kv := standin.NewKV()
	defer kv.Close()
	leaving, gone := startWorker(t, kv, "i-1", "s1", "a"), startWorker(t, kv, "i-2", "s1", "b")
	stays := startWorker(t, kv, "i-3", "s1", "a")
	kv.Write("op/config", configOf(5, "s1"))
	instances := []*instance{startInstance(t, kv, "edge-1", "a"), startInstance(t, kv, "edge-2", "b")}
	for _, i := range instances {
		require.Eventually(t, i.answered("/r/x", http.StatusOK, ""), _waitTimeout, _pollInterval)
		require.Eventually(t, func() bool { return len(i.addresses(t)) == 2 }, _waitTimeout, _pollInterval)
	}
	restoredTo(kv, func() {
		leaving.publish(kv, "s1", "a", "draining", 2)
		kv.Delete("servers/i-2")
		time.Sleep(1500 * time.Millisecond)
	})
	require.Equal(t, []string{"servers/i-1", "servers/i-2", "servers/i-3"}, kv.Keys("servers/"))
	time.Sleep(2500 * time.Millisecond)
	before := leaving.count() + gone.count()
	instances = append(instances, startInstance(t, kv, "edge-3", "a"))
	require.Eventually(t, instances[2].answered("/r/x", http.StatusOK, "i-3"), _waitTimeout, _pollInterval)
	for n := range 60 {
		for _, i := range instances {
			require.True(t, i.answered(fmt.Sprint("/r/", n), http.StatusOK, "i-3")())
		}
	}
	assert.Equal(t, before, leaving.count()+gone.count())

	kv.Delete("servers/i-1")
	stays.publish(kv, "s1", "a", "ready", 2)
	gone.publish(kv, "s1", "b", "ready", 2)
	require.Eventually(t, func() bool {
		_, body, err := instances[0].get(fmt.Sprint("/r/", time.Now().UnixNano()))
		return err == nil && body == "i-2"
	}, _waitTimeout, _pollInterval, "a later entry counts")
}

// TestLostEvacuationStaysInForce has the store lose the request to close a zone, which is written
// again seconds later and then taken back.
func TestLostEvacuationStaysInForce(t *testing.T) {
	kv := standin.NewKV()
	defer kv.Close()
	closed := startWorker(t, kv, "i-1", "s1", "b")
	startWorker(t, kv, "i-2", "s1", "a")
	kv.Write("op/config", configOf(5, "s1"))
	i := startInstance(t, kv, "edge-1", "a")
	require.Eventually(t, i.answered("/r/x", http.StatusOK, ""), _waitTimeout, _pollInterval)
	restoredTo(kv, func() {
		kv.Write("op/evacuate/b", "{}")
		time.Sleep(1500 * time.Millisecond)
	})
	require.Empty(t, kv.Keys("op/evacuate/"))
	before := closed.count()
	serves := func(seconds float64) {
		for end := time.Now().Add(time.Duration(seconds * float64(time.Second))); time.Now().Before(end); time.Sleep(_pollInterval) {
			require.True(t, i.answered(fmt.Sprint("/r/", time.Now().UnixNano()), http.StatusOK, "i-2")())
		}
	}
	serves(3)
	kv.Write("op/evacuate/b", "{}")
	serves(2)
	assert.Equal(t, before, closed.count())
	kv.Delete("op/evacuate/b")
	require.Eventually(t, func() bool {
		_, body, err := i.get(fmt.Sprint("/r/", time.Now().UnixNano()))
		return err == nil && body == "i-1"
	}, _waitTimeout, _pollInterval)
}

// TestRegistrationsAreWrittenAgain restores the store to before the instances registered: both
// must be back without being missed by callers, and the stop of one must not end the lease of
// the other, whose number it had itself before.
func TestRegistrationsAreWrittenAgain(t *testing.T) {
	kv := standin.NewKV()
	defer kv.Close()
	startWorker(t, kv, "i-1", "s1", "a")
	kv.Write("op/config", configOf(5, "s1"))
	var instances []*instance
	restoredTo(kv, func() {
		instances = []*instance{startInstance(t, kv, "edge-1", "a"), startInstance(t, kv, "edge-2", "b")}
		for _, i := range instances {
			require.Eventually(t, i.ready, _waitTimeout, _pollInterval)
			require.Eventually(t, func() bool { return len(i.addresses(t)) == 2 }, _waitTimeout, _pollInterval)
		}
	})
	require.Empty(t, kv.Keys("wigeonlock/"))
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(_pollInterval) {
		for _, i := range instances {
			require.Len(t, i.addresses(t), 2)
		}
	}
	require.Len(t, kv.Keys("wigeonlock/instances/"), 2)
	instances[0].stop(t)
	assert.Equal(t, []string{"wigeonlock/instances/edge-2"}, kv.Keys("wigeonlock/instances/"))
	time.Sleep(2 * time.Second)
	assert.Equal(t, []string{"wigeonlock/instances/edge-2"}, kv.Keys("wigeonlock/instances/"))
}
