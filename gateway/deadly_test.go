package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/standin"
)

// startFragileWorkers starts workers that end when they run a request whose path contains
// "deadly".
func startFragileWorkers(t *testing.T, kv *standin.KV, n int) []*standin.Backend {
	t.Helper()
	list := make([]*standin.Backend, n)
	for i := range list {
		list[i] = &standin.Backend{
			ID: fmt.Sprint("i-", i), Service: "s1", Zone: []string{"a", "b"}[i%2], Slots: 8, Queue: 16,
			ServiceTime: func(string) time.Duration { return 30 * time.Millisecond },
			Deadly:      func(path string) bool { return strings.Contains(path, "deadly") },
		}
		require.NoError(t, list[i].Listen())
		t.Cleanup(list[i].Close)
		list[i].Register(kv, "ready")
	}
	return list
}

func countEnded(workers []*standin.Backend) int {
	n := 0
	for _, w := range workers {
		if w.HasEnded() {
			n++
		}
	}
	return n
}

// send sends a request for an object and returns its status, 0 without one.
func (i *instance) send(id, path, object string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+i.settings.Callers.Listen+path, nil)
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "2000")
	req.Header.Set("X-Affinity-Key", object)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestRequestsEndOneWorkerAfterTheOther has callers at three instances repeat a request that
// ends the worker that runs it, beside others for the same and for other objects.
func TestRequestsEndOneWorkerAfterTheOther(t *testing.T) {
	const deadlyObject = "7"
	kv := standin.NewKV()
	defer kv.Close()
	workers := startFragileWorkers(t, kv, 12)
	kv.Write("op/config", configOf(5, "s1"))
	instances := startFleet(t, kv, 3)
	var (
		mu       sync.Mutex
		statuses = make(map[int]int)
		callers  sync.WaitGroup
	)
	stop := make(chan struct{})
	for i, one := range instances {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				status := one.send(fmt.Sprintf("q-%d-%d", i, n), fmt.Sprintf("/r/%d/64", n%40), fmt.Sprint(n%40))
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	for n := range 60 {
		one := instances[n%3]
		status := one.send(fmt.Sprintf("d-%d", n), "/r/deadly/64", deadlyObject)
		assert.NotEqual(t, http.StatusOK, status)
		time.Sleep(20 * time.Millisecond)
	}
	assert.LessOrEqual(t, countEnded(workers), 3, "workers ended")
	refused := instances[0].send("last", "/r/deadly/64", deadlyObject)
	assert.Equal(t, http.StatusServiceUnavailable, refused, "a request that was sent to no worker has not run")
	for _, one := range instances {
		assert.Equal(t, http.StatusOK, one.send("o", "/r/harmless/64", deadlyObject), "other requests for the object")
	}
	close(stop)
	callers.Wait()
	failed := 0
	for status, n := range statuses {
		if status != http.StatusOK {
			failed += n
		}
	}
	assert.LessOrEqual(t, failed, 3, "requests beside it: %v", statuses)
	assert.Greater(t, statuses[http.StatusOK], 100)
}
