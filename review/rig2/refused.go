//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/wigeonlock/wigeonlock/standin"
)

func init() { _cases["refused"] = refusedCase }

const (
	// _greyTime is how long the worker fails requests, _greyShare the part of them that it fails.
	_greyTime  = 6500 * time.Millisecond
	_greyShare = 0.45
	// _orderTime is how long a caller waits for an order.
	_orderTime = 2 * time.Second
)

// refusedCase has one worker of eight fail a part of the orders that it ran with a 503 of its
// own, without the header that says that it has not run. It is broken if a caller gets a 503 (or 429, 408, 421) for an
// order that a worker ran. Callers then do what the status tells them: they send the order again.
func refusedCase(binary, record string, trouble bool) (bool, error) {
	zones := []zone{{"alpen-a", "eu-alpen"}, {"nord-a", "eu-nord"}, {"west-a", "eu-west"}}
	r, err := newRig(binary, record, zones)
	if err != nil {
		return false, err
	}
	defer r.close()
	const host = "shop.example"
	r.store.Configure(1, []standin.Route{{
		Name: "order", Host: host, Kind: "non_idempotent", Timeout: 1200 * time.Millisecond, Objective: 300 * time.Millisecond,
		Service: "bestellung", MaxAttempts: 2,
	}}, []string{"bestellung"}, 6)
	for i := range 8 {
		if _, err := r.addWorker(fmt.Sprintf("i-%d", i), "bestellung", zones[i%3].name, 5, 40*time.Millisecond); err != nil {
			return false, err
		}
	}
	for i, z := range zones {
		if _, err := r.addEntry(fmt.Sprintf("edge-%d", i), z, options{memoryMb: 284, cores: 0.32, linkMbit: 1000}); err != nil {
			return false, err
		}
	}
	if err := r.startAll(); err != nil {
		return false, err
	}

	var mu sync.Mutex
	greyFrom := r.began.Add(time.Hour)
	grey := r.workers[0]
	due := 0.0
	grey.decide = func(done run) (int, int, string) {
		mu.Lock()
		defer mu.Unlock()
		since := time.Since(greyFrom)
		if !trouble || since < 0 || since > _greyTime {
			return http.StatusOK, 64, ""
		}
		if due += _greyShare; due < 1 {
			return http.StatusOK, 64, ""
		}
		due--
		r.logf("%s ran %s and answers 503 without the header that says that it has not run", done.worker, done.id)
		return http.StatusServiceUnavailable, 16, ""
	}

	type order struct {
		attempts []string
		answers  []int
	}
	orders := make([]*order, 0, 1000)
	var wg sync.WaitGroup
	mu.Lock()
	greyFrom = time.Now().Add(2 * time.Second)
	mu.Unlock()
	for n := range 480 {
		o := &order{}
		orders = append(orders, o)
		wg.Add(1)
		go func() {
			defer wg.Done()
			began := time.Now()
			for attempt := range 2 {
				// Each attempt has an ID and a connection of its own, and what is left of the time.
				left := _orderTime - time.Since(began)
				id := fmt.Sprintf("order-%d-%d", n, attempt)
				a := r.call(r.entries[n%3].address(), http.MethodPost, host, fmt.Sprintf("/order/%d", n), id, []byte("gloves"), left)
				o.attempts, o.answers = append(o.attempts, id), append(o.answers, a.status)
				if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()

	ran := make(map[string]string)
	for _, w := range r.workers {
		for _, done := range w.allRuns() {
			ran[done.id] = done.worker
		}
	}
	falseRefusals, doubled, served := 0, 0, 0
	for n, o := range orders {
		runs := 0
		for i, id := range o.attempts {
			worker, didRun := ran[id]
			if didRun {
				runs++
			}
			switch s := o.answers[i]; {
			case s == http.StatusOK:
				served++
			case didRun && (s == 503 || s == 429 || s == 408 || s == 421):
				falseRefusals++
				r.logf("REFUSED: %s was run by %s and answered %d", id, worker, s)
			default:
				r.logf("%s answered %d, ran: %v", id, s, didRun)
			}
		}
		if runs > 1 {
			doubled++
			r.logf("order %d was run %d times", n, runs)
		}
	}
	r.logf("%d orders, %d answers 200, %d answered as not run that ran, %d orders run twice as their callers sent them again",
		len(orders), served, falseRefusals, doubled)
	return falseRefusals > 0, nil
}
