package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/discovery"
	directory "github.com/wigeonlock/wigeonlock/discovery/memory"
	"github.com/wigeonlock/wigeonlock/store"
	storehttp "github.com/wigeonlock/wigeonlock/store/http"
	"github.com/wigeonlock/wigeonlock/store/memory"
)

// Platform is a stand-in for the platform's store and its list of instances. The
// exported fields must be set before Listen.
type Platform struct {
	// ListLag is the age of the list that the platform returns.
	ListLag time.Duration
	// Delay is added to each store call.
	Delay time.Duration

	kv        *memory.Store
	directory *directory.Directory
	server    *http.Server
	listener  net.Listener
	calls     atomic.Int64
	writes    atomic.Int64

	era atomic.Uint64

	mu        sync.Mutex
	behaviour Behaviour
	// copies holds the content of the store after each of the latest writes.
	copies []platformCopy
}

// platformCopy is the content of the store as of a time.
type platformCopy struct {
	at   time.Time
	copy memory.Copy
}

// Listen starts serving on an address. Port 0 picks a free port.
func (p *Platform) Listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	p.kv = memory.New(time.Now)
	p.directory = &directory.Directory{Lag: p.ListLag, Now: time.Now}
	p.behaviour = Behaviour{Mode: OK}
	p.era.Store(1)
	p.listener = l
	p.server = &http.Server{Handler: p.routes(), ReadHeaderTimeout: _readHeaderTimeout}
	go func() { _ = p.server.Serve(l) }()
	return nil
}

// Address returns the address that the platform listens on.
func (p *Platform) Address() string {
	return p.listener.Addr().String()
}

// URL returns the base URL of the platform.
func (p *Platform) URL() string {
	return "http://" + p.Address()
}

// Close stops the platform at once.
func (p *Platform) Close() error {
	return closeServer(p.server, p.listener)
}

// SetBehaviour changes the behaviour of the store; the list is not affected.
func (p *Platform) SetBehaviour(b Behaviour) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behaviour = b
}

// Calls returns the number of store calls received so far and how many were writes.
func (p *Platform) Calls() (calls, writes int64) {
	return p.calls.Load(), p.writes.Load()
}

func (p *Platform) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key}", p.injectFaults(p.get))
	mux.HandleFunc("PUT /v1/kv/{key}", p.injectFaults(p.swap))
	mux.HandleFunc("DELETE /v1/kv/{key}", p.injectFaults(p.remove))
	mux.HandleFunc("GET /v1/watch/{key}", p.injectFaults(p.watch))
	mux.HandleFunc("POST /v1/leases", p.injectFaults(p.grant))
	mux.HandleFunc("POST /v1/leases/{lease}", p.injectFaults(p.renew))
	mux.HandleFunc("DELETE /v1/leases/{lease}", p.injectFaults(p.revoke))
	mux.HandleFunc("GET /v1/instances", p.list)
	mux.HandleFunc("PUT /v1/instances/{name}", p.register)
	mux.HandleFunc("DELETE /v1/instances/{name}", p.deregister)
	mux.HandleFunc("POST /standin/behaviour", func(w http.ResponseWriter, r *http.Request) {
		if b, ok := readBehaviour(w, r, OK, Down, Slow, LoseReplies); ok {
			p.SetBehaviour(b)
		}
	})
	mux.HandleFunc("POST /standin/restore", p.restore)
	mux.HandleFunc("GET /standin/calls", func(w http.ResponseWriter, _ *http.Request) {
		calls, writes := p.Calls()
		writeJSON(w, struct {
			Calls  int64 `json:"calls"`
			Writes int64 `json:"writes"`
		}{calls, writes})
	})
	return mux
}

// injectFaults applies the current behaviour to a store call. Down closes the
// connection without an answer; LoseReplies does so after the call took effect.
func (p *Platform) injectFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.calls.Add(1)
		if r.Method != http.MethodGet {
			p.writes.Add(1)
		}
		p.mu.Lock()
		b := p.behaviour
		p.mu.Unlock()
		time.Sleep(p.Delay)
		switch b.Mode {
		case Down:
			abort()
		case Slow:
			time.Sleep(b.Delay())
		case LoseReplies:
			next(discardWriter{header: make(http.Header)}, r)
			p.copy(r)
			abort()
		}
		w.Header().Set(storehttp.EraHeader, strconv.FormatUint(p.era.Load(), 10))
		next(w, r)
		p.copy(r)
	}
}

// copy keeps a copy of the content after a write.
func (p *Platform) copy(r *http.Request) {
	if r.Method == http.MethodGet {
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := 0
	for kept+1 < len(p.copies) && now.Sub(p.copies[kept+1].at) > _kvCopiedTime {
		kept++
	}
	p.copies = append(p.copies[kept:], platformCopy{at: now, copy: p.kv.Copy()})
}

// Restore replaces the content of the store by a copy of a time before, and begins the next
// era.
func (p *Platform) Restore(age time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	from, kept := memory.Copy{}, 0
	for i, c := range p.copies {
		if now.Sub(c.at) < age {
			break
		}
		from, kept = c.copy, i+1
	}
	p.copies = p.copies[:kept]
	p.era.Add(1)
	p.kv.Restore(from)
}

// restore handles a request to restore the store.
func (p *Platform) restore(w http.ResponseWriter, r *http.Request) {
	var body struct {
		AgeMs int64 `json:"ageMs"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, _maxRecordBytes)).Decode(&body); err != nil || body.AgeMs < 0 {
		http.Error(w, "body must be {\"ageMs\": age of the copy in milliseconds}", http.StatusBadRequest)
		return
	}
	p.Restore(time.Duration(body.AgeMs) * time.Millisecond)
}

// discardWriter is a response writer that discards the answer.
type discardWriter struct {
	header http.Header
}

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	e, err := p.kv.Get(r.Context(), r.PathValue("key"))
	writeEntry(w, e, err)
}

func (p *Platform) swap(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueBytes))
	if err != nil {
		http.Error(w, "value cannot be read or is too large", http.StatusRequestEntityTooLarge)
		return
	}
	v, err := p.kv.Swap(r.Context(), r.PathValue("key"), versionOf(r, "version"), body,
		store.Lease(r.URL.Query().Get("lease")))
	writeEntry(w, store.Entry{Version: v}, err)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	writeEntry(w, store.Entry{}, p.kv.Delete(r.Context(), r.PathValue("key"), versionOf(r, "version")))
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	e, err := p.kv.Watch(r.Context(), r.PathValue("key"), versionOf(r, "after"), millisOf(r, "waitMs"))
	if err == nil && e.Version == 0 {
		err = store.ErrNotFound
	}
	writeEntry(w, e, err)
}

func (p *Platform) grant(w http.ResponseWriter, r *http.Request) {
	lease, err := p.kv.Grant(r.Context(), millisOf(r, "ttlMs"))
	if err != nil {
		writeEntry(w, store.Entry{}, err)
		return
	}
	writeJSON(w, struct {
		Lease store.Lease `json:"lease"`
	}{lease})
}

func (p *Platform) renew(w http.ResponseWriter, r *http.Request) {
	writeEntry(w, store.Entry{}, p.kv.Renew(r.Context(), store.Lease(r.PathValue("lease"))))
}

func (p *Platform) revoke(w http.ResponseWriter, r *http.Request) {
	writeEntry(w, store.Entry{}, p.kv.Revoke(r.Context(), store.Lease(r.PathValue("lease"))))
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	list, err := p.directory.List(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, struct {
		Instances []discovery.Record `json:"instances"`
	}{list})
}

func (p *Platform) register(w http.ResponseWriter, r *http.Request) {
	var rec discovery.Record
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, _maxRecordBytes)).Decode(&rec)
	if err != nil || rec.Name != r.PathValue("name") {
		http.Error(w, "body must be a record with the name in the path", http.StatusBadRequest)
		return
	}
	_ = p.directory.Register(r.Context(), rec, millisOf(r, "ttlMs"))
}

func (p *Platform) deregister(_ http.ResponseWriter, r *http.Request) {
	_ = p.directory.Deregister(context.WithoutCancel(r.Context()), r.PathValue("name"))
}

func writeEntry(w http.ResponseWriter, e store.Entry, err error) {
	switch {
	case err == nil:
		w.Header().Set(storehttp.VersionHeader, strconv.FormatUint(uint64(e.Version), 10))
		_, _ = w.Write(e.Value)
	case errors.Is(err, store.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func versionOf(r *http.Request, name string) store.Version {
	v, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return store.Version(v)
}

func millisOf(r *http.Request, name string) time.Duration {
	ms, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return time.Duration(ms) * time.Millisecond
}
