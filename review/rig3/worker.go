//go:build review

// Package rig3 has the parts that the scripts of review/11 to review/15 share: workers and callers
// as stand-ins, and entry instances as processes.
package rig3

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wigeonlock/wigeonlock/platform"
	"github.com/wigeonlock/wigeonlock/standin"
)

// HealthPath is the health path in the configurations of standin.KV.
const HealthPath = "/health"

// Arrival is a request that reached a worker.
type Arrival struct {
	At     time.Time
	ID     string
	Method string
	Path   string
	Health bool
	// Status is that of the answer, and Ran is set if the worker ran the request.
	Status int
	Ran    bool
	// Body is the body of the answer to a request that ran, Spoiled is set if other bytes were sent.
	Body    string
	Spoiled bool
}

// Worker is a sound worker. It runs Slots requests at a time and refuses more. The exported
// fields are set before Start.
type Worker struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	Work    time.Duration
	// spoil, if set, returns the bytes that the worker in trouble sends instead of its answer to a
	// request that it ran, or nil for an answer as it should be. It then closes the connection.
	spoil func(a Arrival, head http.Header, body string) []byte

	listener net.Listener
	server   *http.Server
	entry    *standin.Backend

	mu       sync.Mutex
	running  int
	arrivals []Arrival
}

// Start begins to serve, and writes the worker's first entry.
func (w *Worker) Start(kv *standin.KV) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.listener = l
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	// Only its entry in the store is used.
	entry := &standin.Backend{ID: w.ID, Service: w.Service, Zone: w.Zone, Slots: w.Slots, AdvertisedAddress: l.Addr().String()}
	if err := entry.Listen(); err != nil {
		return err
	}
	w.entry = entry
	w.entry.Register(kv, "ready")
	return nil
}

// Beat writes the worker's entry again.
func (w *Worker) Beat(kv *standin.KV) { w.entry.Register(kv, "ready") }

// Close ends the worker.
func (w *Worker) Close() {
	if w.server != nil {
		_ = w.server.Close()
	}
	if w.entry != nil {
		w.entry.Close()
	}
}

// SetSpoil sets what the worker sends in place of answers.
func (w *Worker) SetSpoil(spoil func(a Arrival, head http.Header, body string) []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spoil = spoil
}

// Arrivals returns what reached the worker so far.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

func (w *Worker) handle(rw http.ResponseWriter, r *http.Request) {
	names := platform.WorkerHeaders()
	_, _ = io.Copy(io.Discard, r.Body)
	a := Arrival{At: time.Now(), ID: r.Header.Get(names.RequestID), Method: r.Method, Path: r.URL.Path, Health: r.URL.Path == HealthPath}
	head := rw.Header()
	head.Set(names.RequestID, a.ID)
	head.Set("Keep-Alive", "timeout=10")
	expected := r.Header.Get(names.Expect)
	w.mu.Lock()
	switch {
	case expected != "" && expected != w.ID:
		a.Status = http.StatusMisdirectedRequest
	case !a.Health && w.running >= w.Slots:
		a.Status = http.StatusServiceUnavailable
	default:
		a.Status, a.Ran = http.StatusOK, !a.Health
	}
	if a.Ran {
		w.running++
		a.Body = "run " + a.ID + " by " + w.ID
	}
	index := len(w.arrivals)
	head.Set(names.Load, fmt.Sprintf("%d,0,%d", w.running, w.Slots))
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
	if a.Health {
		head.Set(names.Self, w.ID)
		head.Set(names.Cold, "0")
	}
	if a.Status == http.StatusServiceUnavailable {
		head.Set(names.NotRun, "1")
	}
	if !a.Ran {
		rw.WriteHeader(a.Status)
		return
	}
	time.Sleep(w.Work)
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	head.Set(names.Stamp, w.ID+"."+a.ID)
	w.mu.Lock()
	spoil := w.spoil
	w.mu.Unlock()
	if spoil != nil {
		if raw := spoil(a, head, a.Body); raw != nil {
			w.mu.Lock()
			w.arrivals[index].Spoiled = true
			w.mu.Unlock()
			sendRaw(rw, raw)
			return
		}
	}
	_, _ = io.WriteString(rw, a.Body)
}

// sendRaw sends bytes in place of an answer and closes the connection.
func sendRaw(rw http.ResponseWriter, raw []byte) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	_, _ = conn.Write(raw)
	_ = conn.Close()
}
