//go:build review

package rig

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonlock/wigeonlock/standin"
)

const (
	_host     = "shop.example"
	_orderers = 24
	_playTime = 24 * time.Second
	// The zone loses power once, for as long as in the days of the site.
	_lossAt   = 8 * time.Second
	_lossTime = 5500 * time.Millisecond
)

// Bulk describes the clients that send or fetch large bodies, beside those that place orders.
type Bulk struct {
	Clients int
	Request Request
	// Kind is the kind of their route, Answer the size of its answers.
	Kind   string
	Answer int
	Pause  time.Duration
}

// ZoneLoss plays a deployment of a region with two machines in one zone and one in the other.
// The zone with two loses power for a while, unless TROUBLE is 0, so that all clients turn to
// the third machine. The platform kills a process that exceeds its memory. It returns the exit
// code.
func ZoneLoss(bulk Bulk) int {
	rec, err := OpenRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return NotPlay
	}
	code, err := zoneLoss(rec, bulk)
	if err != nil {
		rec.Sayf("could not run: %v", err)
		return NotPlay
	}
	return code
}

func zoneLoss(rec *Record, bulk Bulk) (int, error) {
	zones := []Zone{{Name: "tunis-medina", Region: "tunis"}, {Name: "tunis-lac", Region: "tunis"}}
	d, err := New(rec, zones)
	if err != nil {
		return NotPlay, err
	}
	defer d.Close()
	d.KV.Configure(7, []standin.Route{
		{Name: "order", Host: _host, Kind: "non_idempotent", Timeout: 10 * time.Second, Objective: 500 * time.Millisecond, Service: "commandes", MaxAttempts: 2},
		{Name: "bulk", Host: _host, Kind: bulk.Kind, Timeout: 10 * time.Second, Objective: 4 * time.Second, Service: "maquettes", MaxAttempts: 2},
	}, []string{"commandes", "maquettes"}, 20)
	document := make([]byte, bulk.Answer)
	for i := range 8 {
		service, work := "commandes", 640*time.Millisecond
		if i%2 == 1 {
			service, work = "maquettes", 640*time.Millisecond
		}
		w := &Worker{
			ID: fmt.Sprintf("i-%04x", 0xa0+i), Service: service, Zone: zones[1].Name, Slots: 8, Queue: 24,
			Work: func(*http.Request) time.Duration { return work },
			Answer: func(r *http.Request) []byte {
				if strings.HasPrefix(r.URL.Path, "/bulk/") && bulk.Answer > 0 {
					return document
				}
				return []byte("done\n")
			},
		}
		if err := d.AddWorker(w); err != nil {
			return NotPlay, err
		}
	}
	var entries []*Entry
	for i, z := range []Zone{zones[0], zones[0], zones[1]} {
		e, err := d.AddEntry(fmt.Sprintf("edge-%s-%d", z.Name, i%2+1), z, nil)
		if err != nil {
			return NotPlay, err
		}
		entries = append(entries, e)
	}
	if err := d.AwaitReady(15 * time.Second); err != nil {
		return NotPlay, err
	}
	time.Sleep(2500 * time.Millisecond)
	var killed atomic.Int64
	for _, e := range entries {
		go d.LimitMemory(e, func() { killed.Add(1) })
	}
	start := time.Now()
	end := start.Add(_playTime)
	var mu sync.Mutex
	var attempts []Attempt
	var group sync.WaitGroup
	client := func(n int, r Request, pause time.Duration) {
		defer group.Done()
		zone := zones[n%len(zones)]
		time.Sleep(rand.N(4 * time.Second))
		failed := make(map[string]time.Time)
		var c *Conn
		for time.Now().Before(end) {
			if c == nil {
				c = connect(d, zone, n, failed)
				if c == nil {
					time.Sleep(200 * time.Millisecond)
					continue
				}
			}
			a, closed := c.Do(r)
			mu.Lock()
			attempts = append(attempts, a)
			mu.Unlock()
			rec.Linef("client %02d %s %s to %s kept=%v: %d %s after %d ms", n, r.Path, a.ID, a.To, a.Kept, a.Status, a.Err, a.Ended.Sub(a.Began).Milliseconds())
			if closed {
				if a.Status == 0 {
					failed[c.To] = time.Now()
				}
				c = nil
			}
			time.Sleep(time.Duration(float64(pause) * (0.5 + rand.Float64())))
		}
	}
	for n := range bulk.Clients {
		group.Add(1)
		r := bulk.Request
		r.Host, r.Path, r.Object = _host, "/bulk/"+strconv.Itoa(n), strconv.Itoa(n)
		go client(n, r, bulk.Pause)
	}
	for n := range _orderers {
		group.Add(1)
		go client(n, Request{
			Method: "POST", Host: _host, Path: "/order/" + strconv.Itoa(n), Object: strconv.Itoa(n), Deadline: 3 * time.Second, Size: 4000,
		}, 100*time.Millisecond)
	}
	if os.Getenv("TROUBLE") != "0" {
		time.Sleep(time.Until(start.Add(_lossAt)))
		rec.Sayf("zone %s loses power", zones[0].Name)
		for _, e := range entries[:2] {
			go e.Kill()
		}
		time.Sleep(_lossTime)
		rec.Sayf("zone %s is back", zones[0].Name)
		for _, e := range entries[:2] {
			if err := e.Start(); err != nil {
				return NotPlay, err
			}
		}
	}
	group.Wait()
	return judgeLost(d, rec, entries, attempts, int(killed.Load())), nil
}

// connect opens a connection to an instance that the directory names and that has not failed
// this client just before.
func connect(d *Deployment, zone Zone, n int, failed map[string]time.Time) *Conn {
	addresses := d.Resolve(_host, zone)
	for i := range addresses {
		address := addresses[(n+i)%len(addresses)]
		if at, ok := failed[address]; ok && time.Since(at) < 2*time.Second {
			continue
		}
		c, err := Open(address)
		if err != nil {
			failed[address] = time.Now()
			continue
		}
		return c
	}
	return nil
}

// judgeLost counts the requests that LOST names: passed on from a kept connection to a sound
// worker, the connection closed without an answer, by the machine of the zone
// that kept its power.
func judgeLost(d *Deployment, rec *Record, entries []*Entry, attempts []Attempt, killed int) int {
	runs := d.Runs()
	lost, served := 0, 0
	for _, a := range attempts {
		if a.Status == http.StatusOK {
			served++
		}
		if a.To == entries[0].Front || a.To == entries[1].Front || a.Status != 0 || a.Own || !a.Kept || len(runs[a.ID]) == 0 {
			continue
		}
		lost++
		rec.Linef("lost: %s %s to %s: %s, although it reached %s", a.Path, a.ID, a.To, a.Err, runs[a.ID][0].Worker)
	}
	for _, e := range entries {
		rec.Sayf("%s: at most %d kB of anonymous memory, memory_mb %d", e.Name, e.PeakKb, MemoryMb)
	}
	rec.Sayf("%d attempts, %d served, %d processes killed for memory, %d requests lost (LOST allows 3)", len(attempts), served, killed, lost)
	if lost > 3 {
		return Broken
	}
	if served == 0 {
		return NotPlay
	}
	return Held
}
