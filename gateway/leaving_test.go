package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/standin"
)

// startFleet starts instances in turn in both zones, and waits until they are ready and
// know each other.
func startFleet(t *testing.T, kv *standin.KV, n int) []*instance {
	t.Helper()
	instances := make([]*instance, n)
	for i := range instances {
		instances[i] = startInstance(t, kv, fmt.Sprint("edge-", i), []string{"a", "b"}[i%2])
	}
	for _, i := range instances {
		require.Eventually(t, func() bool { return i.ready() && len(i.addresses(t)) >= n }, _waitTimeout, _pollInterval)
	}
	return instances
}

// visitsBySender returns the requests that reached a worker, by the number of the instance
// that sendLoad sent them to.
func visitsBySender(b *standin.Backend) map[string][]standin.Visit {
	bySender := make(map[string][]standin.Visit)
	for _, v := range b.Visits() {
		if id, ok := strings.CutPrefix(v.RequestID, "q-"); ok {
			sender, _, _ := strings.Cut(id, "-")
			bySender[sender] = append(bySender[sender], v)
		}
	}
	return bySender
}

// TestRequestsReachWorkerThatSaidItLeaves has a worker say in its answers that it leaves,
// while its entry says that it is ready.
func TestRequestsReachWorkerThatSaidItLeaves(t *testing.T) {
	kv := standin.NewKV()
	defer kv.Close()
	workers := startBackends(t, kv, 4)
	kv.Write("op/config", configOf(5, "s1"))
	instances := startFleet(t, kv, 3)
	stop := make(chan struct{})
	done := make(chan map[int]int, 1)
	go func() { done <- sendLoad(instances, 20*time.Millisecond, stop) }()
	time.Sleep(500 * time.Millisecond)
	workers[0].SayLeaving()
	said := time.Now()
	time.Sleep(500 * time.Millisecond)
	workers[0].Register(kv, "ready")
	time.Sleep(time.Second)
	restoredTo(kv, func() { workers[0].Register(kv, "ready") })
	time.Sleep(1500 * time.Millisecond)
	late := arrivalsAfter(workers[0], said.Add(300*time.Millisecond))
	assert.Empty(t, late, "requests after the worker had said that it leaves")

	workers[0].Restart()
	workers[0].Register(kv, "ready")
	restarted := time.Now()
	assert.Eventually(t, func() bool { return len(arrivalsAfter(workers[0], restarted)) > 0 }, _waitTimeout, _pollInterval,
		"the next incarnation of the worker gets requests")
	close(stop)
	statuses := <-done
	assert.Len(t, statuses, 1, "the other workers serve all: %v", statuses)
}

// TestRequestsReachWorkerThatAskedForRest has a worker refuse requests for a moment and ask
// each instance for a pause.
func TestRequestsReachWorkerThatAskedForRest(t *testing.T) {
	const (
		// After _restGrace, a worker takes at most _restSlack requests of an instance that it
		// asked for a pause.
		restGrace = 500 * time.Millisecond
		restSlack = 2
	)
	const manyObjects = 4000
	for _, rest := range []time.Duration{1250 * time.Millisecond, 3 * time.Second} {
		t.Run(rest.String(), func(t *testing.T) {
			kv := standin.NewKV()
			defer kv.Close()
			workers := startBackends(t, kv, 4)
			kv.Write("op/config", configOf(5, "s1"))
			instances := startFleet(t, kv, 3)
			stop := make(chan struct{})
			done := make(chan map[int]int, 1)
			go func() { done <- sendLoadOf(instances, manyObjects, 10*time.Millisecond, stop) }()
			time.Sleep(500 * time.Millisecond)
			workers[0].RefuseAndAskForRest(600*time.Millisecond, rest)
			asked := time.Now()
			time.Sleep(rest + 3*time.Second)
			close(stop)
			statuses := <-done
			assert.Len(t, statuses, 1, "the other workers serve all: %v", statuses)
			senders := 0
			for sender, visits := range visitsBySender(workers[0]) {
				for i, v := range visits {
					if v.RestAsked == 0 {
						continue
					}
					senders++
					var within []time.Time
					for _, later := range visits[i+1:] {
						if later.At.After(v.At.Add(restGrace)) && later.At.Before(v.At.Add(v.RestAsked)) {
							within = append(within, later.At)
						}
					}
					assert.LessOrEqual(t, len(within), restSlack, "requests of instance %s in the pause that it was asked for", sender)
					break
				}
			}
			assert.Positive(t, senders)
			assert.NotEmpty(t, arrivalsAfter(workers[0], asked.Add(rest+time.Second)), "the worker is used after the pause")
		})
	}
}

// TestNeighboursUseAWorkerThatSaidItLeaves has one instance hear that a worker leaves: the
// other one, and one that starts later, send nothing to the worker.
func TestNeighboursUseAWorkerThatSaidItLeaves(t *testing.T) {
	kv := standin.NewKV()
	defer kv.Close()
	workers := startBackends(t, kv, 2)
	kv.Write("op/config", configOf(5, "s1"))
	instances := startFleet(t, kv, 2)
	workers[0].SayLeaving()
	stop := make(chan struct{})
	done := make(chan map[int]int, 1)
	go func() { done <- sendLoadOf(instances[:1], 4000, 10*time.Millisecond, stop) }()
	require.Eventually(t, func() bool { return len(workers[0].Visits()) > 0 }, _waitTimeout, _pollInterval)
	time.Sleep(200 * time.Millisecond)
	close(stop)
	<-done
	kv.SetMode(standin.KVReset)
	before := len(workers[0].Visits())
	for n := range 40 {
		status, _, err := instances[1].get(fmt.Sprintf("/r/%d/64", n))
		require.NoError(t, err)
		assert.Equal(t, 200, status)
	}
	kv.SetMode(standin.KVServes)
	late := startInstance(t, kv, "edge-9", "a")
	require.Eventually(t, func() bool { return late.ready() && len(late.addresses(t)) == 3 }, _waitTimeout, _pollInterval)
	// An instance that starts asks its neighbours within half a second.
	time.Sleep(500 * time.Millisecond)
	for n := range 40 {
		status, _, err := late.get(fmt.Sprintf("/r/%d/64", n))
		require.NoError(t, err)
		assert.Equal(t, 200, status)
	}
	assert.Len(t, workers[0].Visits(), before)
}
