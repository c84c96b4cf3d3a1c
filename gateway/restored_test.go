package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/standin"
)

// _route is a route that a later configuration adds.
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
