//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/wigeonlock/wigeonlock/standin"
)

func init() { _cases["crossing"] = crossingCase }

const (
	// _lookTime is how long a worker runs a request.
	_lookTime = 112 * time.Millisecond
	// _stockTime is the deadline of a request.
	_stockTime = 600 * time.Millisecond
	// _lookers is the number of callers.
	_lookers = 20
)

// crossingCase stops an instance while callers send two idempotent requests on each connection, the
// second one before the first is answered. It is broken if a second request is passed on to a worker
// and its connection ends without its answer.
func crossingCase(binary, record string, trouble bool) (bool, error) {
	zones := []zone{{"alpen-a", "eu-alpen"}, {"nord-a", "eu-nord"}}
	r, err := newRig(binary, record, zones)
	if err != nil {
		return false, err
	}
	defer r.close()
	const host = "shop.example"
	r.store.Configure(1, []standin.Route{{
		Name: "stock", Host: host, Kind: "idempotent", Timeout: 800 * time.Millisecond, Objective: 200 * time.Millisecond,
		Service: "lager", MaxAttempts: 2,
	}}, []string{"lager"}, 6)
	for i := range 16 {
		if _, err := r.addWorker(fmt.Sprintf("i-%d", i), "lager", zones[i%2].name, 6, _lookTime); err != nil {
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
	e := r.entries[0]
	stop := time.Now().Add(5 * time.Second)
	var mu sync.Mutex
	var lost []string
	var pairs, whole atomic.Int64
	var wg sync.WaitGroup
	for n := range _lookers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := 0; time.Now().Before(stop); k++ {
				id := fmt.Sprintf("look-%d-%d", n, k)
				began := time.Now()
				first, second, sent := r.pair(e.address(), host, id)
				if !sent {
					continue
				}
				pairs.Add(1)
				if first.err == nil && second.err == nil {
					whole.Add(1)
					continue
				}
				// Not counted: the deadline was reached.
				if time.Since(began) < _stockTime {
					mu.Lock()
					lost = append(lost, id)
					mu.Unlock()
				}
			}
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		e.signal(syscall.SIGTERM)
	}
	wg.Wait()
	ran := make(map[string]bool)
	for _, w := range r.workers {
		for _, done := range w.allRuns() {
			ran[done.id] = true
		}
	}
	passedOn := 0
	for _, id := range lost {
		if ran[id+"-2"] {
			passedOn++
			r.logf("LOST: %s-2 was sent before the caller had the answer to %s-1, a worker ran it, and its connection ended without its answer", id, id)
		}
	}
	r.logf("%d pairs, %d of them answered; of the others, %d second requests were passed on to a worker", pairs.Load(), whole.Load(), passedOn)
	return passedOn > 0, nil
}

// pair sends two requests on a new connection, the second at a random time while the first is under
// way, and only if nothing of that answer has arrived. sent is set if both were sent.
func (r *rig) pair(address, host, id string) (first, second answer, sent bool) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return answer{}, answer{}, false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	send := func(k int) error {
		r.logf("sent %s-%d", id, k)
		_, err := io.WriteString(c, requestHead(http.MethodGet, host, fmt.Sprintf("/stock/%d", k), fmt.Sprintf("%s-%d", id, k), _stockTime)+"\r\n")
		return err
	}
	if send(1) != nil {
		return answer{}, answer{}, false
	}
	in := bufio.NewReader(c)
	began := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := in.Peek(1); err == nil {
			close(began)
		}
		first = readAnswer(in, http.MethodGet)
	}()
	select {
	case <-began:
		<-done
		return first, answer{}, false
	case <-time.After(_lookTime + rand.N(3*time.Millisecond)):
	}
	if send(2) != nil {
		<-done
		return first, answer{}, false
	}
	<-done
	if first.err != nil {
		return first, answer{}, true
	}
	second = readAnswer(in, http.MethodGet)
	r.logf("answer %s-1: %d, closes %v; %s-2: %d %v", id, first.status, first.closes, id, second.status, second.err)
	return first, second, true
}
