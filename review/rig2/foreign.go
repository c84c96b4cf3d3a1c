//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/wigeonlock/wigeonlock/platform"
	"github.com/wigeonlock/wigeonlock/standin"
)

func init() { _cases["foreign"] = foreignCase }

// foreignCase has another writer overwrite the entry of a worker of the service lager. Its entry
// has no version, so that it names no worker to use, and names the service bestellung. It is broken
// if orders, which the configuration sends to bestellung alone, are run by the worker of lager.
func foreignCase(binary, record string, trouble bool) (bool, error) {
	zones := []zone{{"alpen-a", "eu-alpen"}, {"nord-a", "eu-nord"}, {"west-a", "eu-west"}}
	r, err := newRig(binary, record, zones)
	if err != nil {
		return false, err
	}
	defer r.close()
	const host = "shop.example"
	r.store.Configure(1, []standin.Route{
		{Name: "order", Host: host, Kind: "non_idempotent", Timeout: 1200 * time.Millisecond, Objective: 300 * time.Millisecond, Service: "bestellung", MaxAttempts: 2},
		{Name: "stock", Host: host, Kind: "idempotent", Timeout: 800 * time.Millisecond, Objective: 200 * time.Millisecond, Service: "lager", MaxAttempts: 3},
	}, []string{"bestellung", "lager"}, 6)
	services := make(map[string]string)
	var victim *backend
	for i := range 12 {
		service := []string{"bestellung", "lager"}[i%2]
		w, err := r.addWorker(fmt.Sprintf("i-%d", i), service, zones[i/2%3].name, 5, 40*time.Millisecond)
		if err != nil {
			return false, err
		}
		services[w.id] = service
		if service == "lager" && victim == nil {
			victim = w
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
	if trouble {
		time.AfterFunc(2*time.Second, func() {
			// Once, right after the worker has written its entry: it writes the next one 1.5 s later.
			for before := victim.entries(); victim.entries() == before; {
				time.Sleep(5 * time.Millisecond)
			}
			if err := r.spoilEntry(victim.id, "bestellung"); err != nil {
				r.logf("the entry was not written: %v", err)
			}
		})
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[string]int)
	for n := range 400 {
		e := r.entries[n%3]
		wg.Add(2)
		go func() {
			defer wg.Done()
			a := r.call(e.address(), http.MethodPost, host, fmt.Sprintf("/order/%d", n), fmt.Sprintf("order-%d", n), []byte("gloves"), 2*time.Second)
			mu.Lock()
			counts[fmt.Sprintf("order %d", a.status)]++
			mu.Unlock()
		}()
		go func() {
			defer wg.Done()
			a := r.call(e.address(), http.MethodGet, host, fmt.Sprintf("/stock/%d", n), fmt.Sprintf("stock-%d", n), nil, 600*time.Millisecond)
			mu.Lock()
			counts[fmt.Sprintf("stock %d", a.status)]++
			mu.Unlock()
		}()
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	wrong := 0
	for _, w := range r.workers {
		for _, done := range w.allRuns() {
			want := "lager"
			if done.path[:7] == "/order/" {
				want = "bestellung"
			}
			if services[w.id] != want {
				wrong++
				r.logf("ROUTE: %s (%s) was run by %s, a worker of %s, at %.3f s", done.id, done.path, w.id, services[w.id], done.at.Sub(r.began).Seconds())
			}
		}
	}
	r.logf("answers: %v; %d requests were run by a service to which no configuration lets them go", counts, wrong)
	return wrong > 0, nil
}

// spoilEntry writes the entry of a worker once more, without its version and with another service,
// as another writer may.
func (r *rig) spoilEntry(worker, service string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	items, _, err := platform.NewClient(r.store.Address()).Range(ctx, "servers")
	if err != nil {
		return err
	}
	for _, item := range items {
		if !strings.HasSuffix(item.Key, "/"+worker) {
			continue
		}
		var entry map[string]any
		if err := json.Unmarshal(item.Value, &entry); err != nil {
			return err
		}
		info, ok := entry["info"].(map[string]any)
		if !ok {
			return errors.New("entry has no info")
		}
		info["service"] = service
		delete(info, "version")
		value, err := json.Marshal(entry)
		if err != nil {
			return err
		}
		r.store.Write(item.Key, string(value))
		r.logf("another writer wrote %s: %s", item.Key, value)
		return nil
	}
	return errors.New("no such entry")
}
