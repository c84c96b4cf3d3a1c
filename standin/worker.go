package standin

import (
	"context"
	"fmt"
	"hash/crc64"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/discovery"
)

const (
	_registerInterval   = 2 * time.Second
	_registerTTL        = 8 * time.Second
	_maxRuns            = 1 << 20
	_refuseTime         = time.Millisecond
	_truncateAfterBytes = 512
	_minLateReplyDelay  = 500 * time.Millisecond
)

// _productRequestID is the header with the ID of a request, in requests and answers.
const _productRequestID = "Wigeonlock-Request-Id"

// RefusedHeader marks a 503 from a worker that did not run the request.
const RefusedHeader = "Wigeonlock-Refused"

// Run records a request that a worker ran.
type Run struct {
	RequestID      string `json:"requestId"`
	IdempotencyKey string `json:"idempotencyKey,omitempty"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	AtMs           int64  `json:"atMs"`
	Customer       string `json:"customer,omitempty"`
	EndMs          int64  `json:"endMs,omitempty"`
	// Start and End are the exact times; End is zero while the request runs.
	Start time.Time `json:"-"`
	End   time.Time `json:"-"`
}

// Worker is a stand-in for a backend server. The exported fields must be set before
// Listen.
type Worker struct {
	Name        string
	Region      string
	Zone        string
	Service     string
	Slots       int
	ServiceTime time.Duration
	ColdStart   time.Duration
	// OnArrival, if set, is called for each request that arrives, including refused
	// ones. It returns the function to call when the request ends.
	OnArrival func(customer string) (ended func())
	// Directory is where the worker registers itself; if nil, it does not register.
	Directory discovery.Directory

	server   *http.Server
	listener net.Listener
	started  time.Time
	stop     context.CancelFunc
	busy     atomic.Int64
	peak     atomic.Int64
	arrivals atomic.Int64
	probes   atomic.Int64

	mu           sync.Mutex
	behaviour    Behaviour
	leaving      bool
	leavingSince time.Time
	runs         []*Run
}

// Listen starts serving on an address and registers the worker.
func (w *Worker) Listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	w.listener = l
	w.started = time.Now()
	w.behaviour = Behaviour{Mode: OK}
	if w.Name == "" {
		w.Name = w.Service + "-" + l.Addr().String()
	}
	w.server = &http.Server{Handler: w.routes(), ReadHeaderTimeout: _readHeaderTimeout}
	go func() { _ = w.server.Serve(l) }()

	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	if w.Directory != nil {
		if err := w.register(ctx); err != nil {
			_ = w.Close()
			return errors.Wrap(err, "register worker")
		}
		go w.keepRegistered(ctx)
	}
	return nil
}

// Address returns the address that the worker listens on.
func (w *Worker) Address() string {
	return w.listener.Addr().String()
}

// Close stops the worker at once, as a crash would. It stays registered until its
// entry expires.
func (w *Worker) Close() error {
	w.stop()
	return closeServer(w.server, w.listener)
}

// Leave stops the worker gracefully: it is listed as leaving for the time linger,
// then it is deregistered and its server shut down.
func (w *Worker) Leave(ctx context.Context, linger time.Duration) error {
	w.MarkLeaving(ctx)
	select {
	case <-time.After(linger):
	case <-ctx.Done():
	}
	w.stop()
	if w.Directory != nil {
		_ = w.Directory.Deregister(context.WithoutCancel(ctx), w.Name)
	}
	return w.server.Shutdown(ctx)
}

// MarkLeaving marks the worker as leaving in the directory and as draining in its
// load report.
func (w *Worker) MarkLeaving(ctx context.Context) {
	w.mu.Lock()
	w.leaving = true
	w.leavingSince = time.Now()
	w.mu.Unlock()
	if w.Directory != nil {
		_ = w.register(ctx)
	}
}

// LeavingSince returns when the worker began to leave, and whether it did.
func (w *Worker) LeavingSince() (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leavingSince, w.leaving
}

// SetBehaviour changes the behaviour of the worker for requests that arrive from now on.
func (w *Worker) SetBehaviour(b Behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.behaviour = b
}

// Runs returns a copy of the requests run so far.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := make([]Run, len(w.runs))
	for i, r := range w.runs {
		runs[i] = *r
	}
	return runs
}

// Arrivals returns the number of requests that arrived, run or refused.
func (w *Worker) Arrivals() int {
	return int(w.arrivals.Load())
}

// Peak returns the largest number of requests that ran at the same time.
func (w *Worker) Peak() int {
	return int(w.peak.Load())
}

func (w *Worker) register(ctx context.Context) error {
	w.mu.Lock()
	state := discovery.Live
	if w.leaving {
		state = discovery.Leaving
	}
	w.mu.Unlock()
	return w.Directory.Register(ctx, discovery.Record{
		Name: w.Name, Kind: discovery.Worker, State: state, Region: w.Region, Zone: w.Zone,
		Service: w.Service, Address: w.Address(), Slots: w.Slots,
	}, _registerTTL)
}

func (w *Worker) keepRegistered(ctx context.Context) {
	tick := time.NewTicker(_registerInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			_ = w.register(ctx)
		}
	}
}

func (w *Worker) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", w.withSlot(w.answer))
	mux.HandleFunc("/bytes/{n}", w.withSlot(w.bytes))
	mux.HandleFunc("/echo", w.withSlot(w.echo))
	mux.HandleFunc("GET /load", w.load)
	mux.HandleFunc("GET /standin/runs", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, struct {
			Runs []Run `json:"runs"`
		}{w.Runs()})
	})
	mux.HandleFunc("POST /standin/behaviour", func(rw http.ResponseWriter, r *http.Request) {
		b, ok := readBehaviour(rw, r, OK, Shed, Slow, Errors, Truncate, Silent, LateReply, Draining)
		if ok {
			w.SetBehaviour(b)
		}
	})
	return mux
}

func (w *Worker) load(rw http.ResponseWriter, _ *http.Request) {
	w.probes.Add(1)
	w.mu.Lock()
	draining := w.leaving || w.behaviour.Mode == Draining
	w.mu.Unlock()
	writeJSON(rw, struct {
		Busy     int  `json:"busy"`
		Slots    int  `json:"slots"`
		Draining bool `json:"draining"`
	}{int(w.busy.Load()), w.Slots, draining})
}

// withSlot wraps next: it refuses the request if no slot is free, else records it as
// run and applies the behaviour.
func (w *Worker) withSlot(next http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		b, leaving := w.behaviour, w.leaving
		w.mu.Unlock()
		w.arrivals.Add(1)
		if w.OnArrival != nil {
			defer w.OnArrival(r.Header.Get("Wigeonlock-Customer"))()
		}
		busy := w.busy.Add(1)
		defer w.busy.Add(-1)
		if leaving || b.Mode == Draining || b.Mode == Shed || busy > int64(w.Slots) {
			time.Sleep(_refuseTime)
			rw.Header().Set(RefusedHeader, "true")
			rw.Header().Set(_productRequestID, r.Header.Get(_productRequestID))
			if leaving || b.Mode == Draining {
				rw.Header().Set("Wigeonlock-Draining", "true")
			}
			http.Error(rw, "no room", http.StatusServiceUnavailable)
			return
		}
		w.recordPeak(busy)
		// A request whose body is truncated has not arrived completely and is not run.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			abort()
		}
		ended := w.recordRun(r)
		defer ended()
		rw.Header().Set("Standin-Body-Sum", strconv.FormatUint(crc64.Checksum(body, _crcTable), 16))
		w.work(r.Context(), b)
		switch b.Mode {
		case Errors:
			http.Error(rw, "broken", http.StatusInternalServerError)
		case Silent:
			<-r.Context().Done()
		case Truncate:
			next(&truncatingWriter{ResponseWriter: rw, remaining: _truncateAfterBytes}, r)
		default:
			next(rw, r)
		}
	}
}

var _crcTable = crc64.MakeTable(crc64.ECMA)

func (w *Worker) work(ctx context.Context, b Behaviour) {
	d := w.ServiceTime
	if time.Since(w.started) < w.ColdStart {
		d *= 4
	}
	switch b.Mode {
	case Slow:
		d += b.Delay()
	case LateReply:
		d += max(b.Delay(), _minLateReplyDelay)
	case Errors:
		d = 0
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// recordRun records a request as running and returns the function that ends it. After
// _maxRuns requests no more are recorded.
func (w *Worker) recordRun(r *http.Request) func() {
	now := time.Now()
	run := &Run{
		Start:          now,
		RequestID:      r.Header.Get(_productRequestID),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Method:         r.Method,
		Path:           r.URL.Path,
		AtMs:           now.UnixMilli(),
		Customer:       r.Header.Get("Wigeonlock-Customer"),
	}
	w.mu.Lock()
	if len(w.runs) < _maxRuns {
		w.runs = append(w.runs, run)
	}
	w.mu.Unlock()
	return func() {
		w.mu.Lock()
		run.End = time.Now()
		run.EndMs = run.End.UnixMilli()
		w.mu.Unlock()
	}
}

func (w *Worker) recordPeak(busy int64) {
	for {
		peak := w.peak.Load()
		if busy <= peak || w.peak.CompareAndSwap(peak, busy) {
			return
		}
	}
}

func (w *Worker) answer(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(rw, "%s %s\n", w.Service, r.URL.Path)
}

func (w *Worker) echo(rw http.ResponseWriter, r *http.Request) {
	writeJSON(rw, struct {
		RequestID string `json:"requestId"`
		Query     string `json:"query"`
	}{r.Header.Get(_productRequestID), r.URL.RawQuery})
}

func (w *Worker) bytes(rw http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseInt(r.PathValue("n"), 10, 64)
	if err != nil || n < 0 {
		http.Error(rw, "path must be /bytes/N", http.StatusBadRequest)
		return
	}
	rw.Header().Set("Etag", `"bytes-`+strconv.FormatInt(n, 10)+`"`)
	rw.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(rw, r, "", time.Time{}, &Pattern{Size: n})
}

// truncatingWriter closes the connection after the remaining bytes of the body.
type truncatingWriter struct {
	http.ResponseWriter
	remaining int
}

func (t *truncatingWriter) Write(b []byte) (int, error) {
	if len(b) > t.remaining {
		_, _ = t.ResponseWriter.Write(b[:t.remaining])
		if f, ok := t.ResponseWriter.(http.Flusher); ok {
			f.Flush()
		}
		abort()
	}
	t.remaining -= len(b)
	return t.ResponseWriter.Write(b)
}

// Pattern is a document of Size bytes in which each byte is a function of its offset.
type Pattern struct {
	Size   int64
	offset int64
}

// At returns the byte of the pattern at an offset.
func (p *Pattern) At(offset int64) byte {
	return byte(offset*31 + offset>>8)
}

// Read reads from the current offset.
func (p *Pattern) Read(b []byte) (int, error) {
	if p.offset >= p.Size {
		return 0, io.EOF
	}
	n := int(min(int64(len(b)), p.Size-p.offset))
	for i := range n {
		b[i] = p.At(p.offset + int64(i))
	}
	p.offset += int64(n)
	return n, nil
}

// Seek sets the offset of the next read.
func (p *Pattern) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekStart:
		p.offset = offset
	case io.SeekCurrent:
		p.offset += offset
	case io.SeekEnd:
		p.offset = p.Size + offset
	}
	return p.offset, nil
}
