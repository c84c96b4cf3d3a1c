package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/standin"
)

const (
	// _limitWindow is the window in which a worker that named a limit counts, _limitFactor
	// and _limitSlack what it takes beyond the limit in it.
	_limitWindow = 4 * time.Second
	_limitFactor = 1.5
	_limitSlack  = 5
)

// mostWithin returns the largest number of times within a window.
func mostWithin(times []time.Time, window time.Duration) int {
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// arrivalsAfter returns when requests reached a worker after a time.
func arrivalsAfter(b *standin.Backend, from time.Time) []time.Time {
	var times []time.Time
	for _, v := range b.Visits() {
		if v.At.After(from) {
			times = append(times, v.At)
		}
	}
	return times
}

// startBackends starts workers of service s1 that answer at once.
func startBackends(t *testing.T, kv *standin.KV, n int) []*standin.Backend {
	t.Helper()
	list := make([]*standin.Backend, n)
	for i := range list {
		list[i] = &standin.Backend{
			ID: fmt.Sprint("i-", i), Service: "s1", Zone: []string{"a", "b"}[i%2], Slots: 8, Queue: 16,
			ServiceTime: func(string) time.Duration { return 5 * time.Millisecond },
		}
		require.NoError(t, list[i].Listen())
		t.Cleanup(list[i].Close)
		list[i].Register(kv, "ready")
	}
	return list
}

// sendLoad has a caller at each instance send requests for 40 objects until stop is
// closed. It returns the number of answers by status.
func sendLoad(instances []*instance, pause time.Duration, stop <-chan struct{}) map[int]int {
	return sendLoadOf(instances, 40, pause, stop)
}

// sendLoadOf is sendLoad for a number of objects.
func sendLoadOf(instances []*instance, objects int, pause time.Duration, stop <-chan struct{}) map[int]int {
	var (
		mu       sync.Mutex
		statuses = make(map[int]int)
		group    sync.WaitGroup
	)
	for i, one := range instances {
		group.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				object := (n*7 + i*13) % objects
				req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/r/%d/64", one.settings.Callers.Listen, object), nil)
				if err != nil {
					return
				}
				req.Host = "h.example"
				req.Header.Set("X-Request-Id", fmt.Sprintf("q-%d-%d", i, n))
				req.Header.Set("X-Deadline-Ms", "2000")
				req.Header.Set("X-Affinity-Key", fmt.Sprint(object))
				resp, err := client.Do(req)
				if err != nil {
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				mu.Lock()
				statuses[resp.StatusCode]++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return statuses
}

// TestWorkerGetsNoMoreThanItsLimit has a worker name a limit while nine instances send to
// it: all together have to keep it, and to use it, and the others serve the rest.
func TestWorkerGetsNoMoreThanItsLimit(t *testing.T) {
	for _, perSecond := range []float64{0.5, 3.3, 20} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			kv := standin.NewKV()
			defer kv.Close()
			workers := startBackends(t, kv, 4)
			kv.Write("op/config", configOf(5, "s1"))
			instances := make([]*instance, 9)
			for i := range instances {
				instances[i] = startInstance(t, kv, fmt.Sprint("edge-", i), []string{"a", "b"}[i%2])
			}
			for _, i := range instances {
				require.Eventually(t, func() bool { return i.ready() && len(i.addresses(t)) >= 5 }, _waitTimeout, _pollInterval)
			}
			stop := make(chan struct{})
			done := make(chan map[int]int, 1)
			go func() { done <- sendLoad(instances, 40*time.Millisecond, stop) }()
			time.Sleep(time.Second)
			workers[0].NameLimit(&perSecond)
			// Each instance is told by its first answer.
			from := time.Now().Add(500 * time.Millisecond)
			time.Sleep(6500 * time.Millisecond)
			assert.Contains(t, instances[3].metrics(t), fmt.Sprintf(`wigeonlock_worker_limit{worker="i-0"} %g`, perSecond))
			close(stop)
			statuses := <-done
			arrivals := arrivalsAfter(workers[0], from)
			most := mostWithin(arrivals, _limitWindow)
			allowed := _limitFactor*perSecond*_limitWindow.Seconds() + _limitSlack
			assert.LessOrEqual(t, float64(most), allowed, "requests in %s", _limitWindow)
			used := len(arrivalsAfter(workers[0], time.Now().Add(-_limitWindow)))
			assert.GreaterOrEqual(t, float64(used), perSecond*_limitWindow.Seconds()/2, "what the limit allows is used")
			assert.Greater(t, statuses[http.StatusOK], 500)
			assert.Less(t, len(statuses), 2, "all are served by the other workers: %v", statuses)
		})
	}
}
