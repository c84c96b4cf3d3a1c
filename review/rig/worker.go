//go:build review

package rig

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wigeonlock/wigeonlock/platform"
	"github.com/wigeonlock/wigeonlock/standin"
)

// _names are the names of the headers between instances and workers.
var _names = platform.WorkerHeaders()

// Run is a request that reached a worker.
type Run struct {
	ID      string
	Method  string
	Path    string
	Worker  string
	Arrived time.Time
	// Started and Ended are zero if the worker did not run the request.
	Started time.Time
	Ended   time.Time
	// Cut is set if the connection closed before the run was over.
	Cut  bool
	Size int64
	Hash uint64
}

// Worker is a stand-in of a sound worker. The exported fields are set before Listen.
type Worker struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	Queue   int
	// Work returns how long a request runs.
	Work func(r *http.Request) time.Duration
	// Answer returns the body of the answer; a short text by default.
	Answer func(r *http.Request) []byte
	// Handle, if set, is called first for each request that is meant for the worker. It returns
	// true if it has answered.
	Handle func(rw http.ResponseWriter, r *http.Request) bool
	// Limit is the number of requests a second that all answers name, or zero.
	Limit float64
	// NoRegister keeps the worker out of the store.
	NoRegister bool

	d        *Deployment
	listener net.Listener
	server   *http.Server
	entry    *standin.Backend
	slots    chan struct{}
	stop     chan struct{}

	mu      sync.Mutex
	waiting int
	runs    []*Run
}

// AddWorker starts a worker and registers it in the store.
func (d *Deployment) AddWorker(w *Worker) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.d, w.listener = d, l
	// The project's stand-in writes the entry. It serves nothing itself.
	w.entry = &standin.Backend{
		ID: w.ID, Service: w.Service, Zone: w.Zone, Slots: w.Slots, AdvertisedAddress: l.Addr().String(),
		ServiceTime: func(string) time.Duration { return 0 },
	}
	if err := w.entry.Listen(); err != nil {
		return err
	}
	w.entry.Close()
	w.slots, w.stop = make(chan struct{}, w.Slots), make(chan struct{})
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle), IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	d.mu.Lock()
	d.workers = append(d.workers, w)
	d.mu.Unlock()
	if w.NoRegister {
		return nil
	}
	w.Beat()
	go func() {
		tick := time.NewTicker(1500 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-w.stop:
				return
			case <-tick.C:
				w.Beat()
			}
		}
	}()
	return nil
}

// Address returns the address of the worker.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Close ends the worker at once.
func (w *Worker) Close() {
	w.mu.Lock()
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	w.mu.Unlock()
	_ = w.server.Close()
}

// Beat writes the worker's entry, with the next count of its heartbeats.
func (w *Worker) Beat() { w.entry.Register(w.d.KV, "ready") }

// Runs returns the requests that reached the worker.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := make([]Run, len(w.runs))
	for i, r := range w.runs {
		runs[i] = *r
	}
	return runs
}

// Runs returns the requests that reached the workers, by their ID.
func (d *Deployment) Runs() map[string][]Run {
	runs := make(map[string][]Run)
	for _, w := range d.workers {
		for _, r := range w.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	return runs
}

func (w *Worker) handle(rw http.ResponseWriter, r *http.Request) {
	run := &Run{ID: r.Header.Get(_names.RequestID), Method: r.Method, Path: r.URL.Path, Worker: w.ID, Arrived: time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, run)
	w.mu.Unlock()
	rw.Header().Set(_names.RequestID, run.ID)
	rw.Header().Set("Keep-Alive", "timeout=10")
	if w.Limit > 0 {
		rw.Header().Set(_names.Limit, fmt.Sprint(w.Limit))
	}
	if expect := r.Header.Get(_names.Expect); expect != "" && expect != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.Handle != nil && w.Handle(rw, r) {
		return
	}
	sum := fnv.New64a()
	size, err := io.Copy(sum, r.Body)
	if err != nil {
		// A truncated request has not arrived and does not run.
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	run.Size, run.Hash = size, sum.Sum64()
	full := len(w.slots) == w.Slots && w.waiting >= w.Queue
	if !full {
		w.waiting++
	}
	w.mu.Unlock()
	if full {
		w.load(rw)
		rw.Header().Set(_names.NotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		w.mu.Lock()
		w.waiting--
		w.mu.Unlock()
		return
	}
	defer func() { <-w.slots }()
	w.mu.Lock()
	w.waiting--
	run.Started = time.Now()
	w.mu.Unlock()
	timer := time.NewTimer(w.Work(r))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		w.mu.Lock()
		run.Ended, run.Cut = time.Now(), true
		w.mu.Unlock()
		return
	}
	w.mu.Lock()
	run.Ended = time.Now()
	w.mu.Unlock()
	w.load(rw)
	body := []byte("done " + run.ID + "\n")
	if w.Answer != nil {
		body = w.Answer(r)
	}
	rw.Header().Set(standin.StampHeader, w.ID+"."+run.ID)
	rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = rw.Write(body)
}

func (w *Worker) load(rw http.ResponseWriter) {
	w.mu.Lock()
	waiting := w.waiting
	w.mu.Unlock()
	rw.Header().Set(_names.Load, fmt.Sprintf("%d,%d,%d", len(w.slots), waiting, w.Slots))
}

// ErrNoAnswer is returned by Client for a connection that ended without a complete answer.
var ErrNoAnswer = errors.New("connection ended without an answer")
