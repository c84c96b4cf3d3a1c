//go:build review

package rig3

import (
	"fmt"
	"os"
	"time"

	"github.com/wigeonlock/wigeonlock/standin"
)

// Deployment is a store, workers of one service, and one entry instance in each of three regions.
type Deployment struct {
	Store   *standin.KV
	Workers []*Worker
	Entries []*Entry

	dir  string
	stop chan struct{}
}

// Names of the deployment.
const (
	Service = "catalogue"
	Host    = "shop.example"
)

// Deploy starts a deployment with three workers in each region, and waits until all instances are
// ready. Its idempotent route is /look/.
func Deploy() (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Store: standin.NewKV(), dir: dir, stop: make(chan struct{})}
	d.Store.SetPageSize(500)
	d.Store.Configure(1, []standin.Route{{
		Name: "look", Host: Host, Kind: "idempotent", Timeout: 1500 * time.Millisecond, Objective: 400 * time.Millisecond,
		Service: Service, MaxAttempts: 2,
	}}, []string{Service}, 8)
	zones := []Zone{{Name: "alpen-a", Region: "alpen"}, {Name: "nord-a", Region: "nord"}, {Name: "west-a", Region: "west"}}
	for n := range 9 {
		w := &Worker{ID: fmt.Sprintf("i-%04d", n), Service: Service, Zone: zones[n%3].Name, Slots: 4, Work: 25 * time.Millisecond}
		d.Workers = append(d.Workers, w)
		if err := w.Start(d.Store); err != nil {
			d.Close()
			return nil, err
		}
	}
	for n, z := range zones {
		e := &Entry{Name: "edge-" + z.Name + "-1", Zone: z, Zones: zones, Store: d.Store.Address(), Dir: dir}
		d.Entries = append(d.Entries, e)
		err := e.Prepare(n)
		if err == nil {
			err = e.Start()
		}
		if err != nil {
			d.Close()
			return nil, err
		}
	}
	for _, e := range d.Entries {
		if err := e.AwaitReady(10 * time.Second); err != nil {
			d.Close()
			return nil, err
		}
	}
	go d.beat()
	return d, nil
}

// Close ends all processes and stand-ins.
func (d *Deployment) Close() {
	close(d.stop)
	for _, e := range d.Entries {
		e.Kill()
	}
	for _, w := range d.Workers {
		w.Close()
	}
	d.Store.Close()
	_ = os.RemoveAll(d.dir)
}

// beat writes the entries of the workers every 1.5 s.
func (d *Deployment) beat() {
	tick := time.NewTicker(1500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-d.stop:
			return
		}
		for _, w := range d.Workers {
			w.Beat(d.Store)
		}
	}
}

// Look returns callers that send requests to the first instance only.
func (d *Deployment) Look() *Callers {
	return &Callers{
		Address: d.Entries[0].Callers, Host: Host, Path: "/look/", Method: "GET", Count: 20, Pause: 200 * time.Millisecond,
		Objects: 60, Limit: 1500 * time.Millisecond, Prefix: "c",
	}
}
