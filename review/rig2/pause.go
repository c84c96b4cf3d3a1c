//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wigeonlock/wigeonlock/standin"
)

func init() { _cases["pause"] = pauseCase }

const (
	// _outage is how long the store is down.
	_outage = 4500 * time.Millisecond
	// _pauseAt is when the worker begins to turn requests away, after the store is down, and
	// _pause the time for which it wants nothing.
	_pauseAt = 2200 * time.Millisecond
	_pause   = 4 * time.Second
)

// arrival is a request that reached the worker.
type arrival struct {
	at   time.Time
	id   string
	path string
}

// pauseCase takes the store down. Meanwhile a worker turns requests away with 503 and Retry-After.
// It is broken if more than two requests reach the worker from the only instance of the deployment
// between half a second after its first such answer and the end of the pause.
func pauseCase(binary, record string, trouble bool) (bool, error) {
	zones := []zone{{"alpen-a", "eu-alpen"}}
	r, err := newRig(binary, record, zones)
	if err != nil {
		return false, err
	}
	defer r.close()
	const host = "shop.example"
	r.store.Configure(1, []standin.Route{{
		Name: "stock", Host: host, Kind: "idempotent", Timeout: 800 * time.Millisecond, Objective: 200 * time.Millisecond,
		Service: "lager", MaxAttempts: 3,
	}}, []string{"lager"}, 6)
	var mu sync.Mutex
	var asked time.Time
	var pauseFrom time.Time
	var arrivals []arrival
	for i := range 4 {
		w, err := r.addWorker(fmt.Sprintf("i-%d", i), "lager", zones[0].name, 3, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		if i > 0 {
			continue
		}
		w.refuse = func(req *http.Request) string {
			mu.Lock()
			defer mu.Unlock()
			now := time.Now()
			if pauseFrom.IsZero() || now.Before(pauseFrom) {
				return ""
			}
			end := pauseFrom.Add(_pause)
			if !now.Before(end) {
				return ""
			}
			arrivals = append(arrivals, arrival{now, req.Header.Get("X-Request-Id"), req.URL.Path})
			if asked.IsZero() {
				asked = now
			}
			r.logf("i-0 turns away %s (%s): nothing for %.1f s", req.Header.Get("X-Request-Id"), req.URL.Path, end.Sub(now).Seconds())
			return "Retry-After: " + strconv.FormatFloat(end.Sub(now).Seconds(), 'f', 3, 64) + "\r\n"
		}
	}
	e, err := r.addEntry("edge-0", zones[0], options{memoryMb: 284, cores: 0.32, linkMbit: 1000})
	if err != nil {
		return false, err
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	end := time.Now().Add(11 * time.Second)
	counts := make(map[int]int)
	for n := 0; time.Now().Before(end); n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := r.call(e.address(), http.MethodGet, host, fmt.Sprintf("/stock/%d", n), fmt.Sprintf("stock-%d", n), nil, 600*time.Millisecond)
			mu.Lock()
			counts[a.status]++
			mu.Unlock()
		}()
		if n == 50 {
			down := time.Now()
			if trouble {
				r.takeStoreDown(_outage)
			}
			mu.Lock()
			pauseFrom = down.Add(_pauseAt)
			mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	if asked.IsZero() {
		return false, fmt.Errorf("no request reached the worker in its pause")
	}
	late, probes := 0, 0
	for _, a := range arrivals {
		if a.at.Sub(asked) > 500*time.Millisecond && a.at.Before(pauseFrom.Add(_pause)) {
			late++
			if a.path == "/health" {
				probes++
			}
		}
	}
	r.logf("answers by status: %v", counts)
	r.logf("%d requests reached i-0 from edge-0 later than 0.5 s after it had asked for a pause and within it, %d of them at its health path", late, probes)
	return late > 2, nil
}
