package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// KV is a stand-in of the store of the users' platform: keys with revisions,
// ranges, changes, transactions and leases. The exported methods change what
// callers of it see.
type KV struct {
	server *httptest.Server

	mu       sync.Mutex
	items    map[string]kvItem
	history  []kvItem
	revision uint64
	leases   map[uint64]time.Time
	ttls     map[uint64]time.Duration
	next     uint64
	mode     string
	changed  chan struct{}
	calls    int
	// refused is the number of calls until one is refused, 0 for none.
	refused int
	// page is the number of keys in a page.
	page int
	// compacted is the revision up to which the history is gone.
	compacted uint64
}

type kvItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_rev,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Modes of a KV.
const (
	// KVServes answers all calls.
	KVServes = ""
	// KVBusy answers 503 to all calls.
	KVBusy = "busy"
	// KVLosesWrites does writes and answers nothing.
	KVLosesWrites = "losesWrites"
	// KVLate answers nothing to writes and does them a second later.
	KVLate = "late"
	// KVSlow answers late.
	KVSlow = "slow"
	// KVSilent answers nothing until the mode changes.
	KVSilent = "silent"
	// KVReset ends each connection without an answer.
	KVReset = "reset"
)

const (
	// _kvSlow is what a slow store takes for a call, and _kvLate the time after
	// which a late one does a write.
	_kvSlow = 250 * time.Millisecond
	_kvLate = time.Second
	// _kvPage is the number of keys in a page, small so that tests see several.
	_kvPage = 3
)

// NewKV starts a store on a loopback address.
func NewKV() *KV {
	kv := &KV{
		items: map[string]kvItem{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{}, revision: 1, next: 1,
		page: _kvPage, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", kv.rangeKeys)
	mux.HandleFunc("GET /kv-watch", kv.watch)
	mux.HandleFunc("POST /kv-txn", kv.txn)
	mux.HandleFunc("POST /kv-lease", kv.grant)
	mux.HandleFunc("POST /kv-keep/{id}", kv.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", kv.end)
	kv.server = httptest.NewServer(kv.misbehave(mux))
	return kv
}

// misbehave takes one call at a time and applies the mode.
func (kv *KV) misbehave(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kv.mu.Lock()
		kv.calls++
		mode, changed := kv.mode, kv.changed
		if kv.refused > 0 {
			if kv.refused--; kv.refused == 0 {
				mode = KVBusy
			}
		}
		kv.mu.Unlock()
		switch {
		case mode == KVBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case mode == KVReset:
			abort()
		case mode == KVSlow:
			time.Sleep(_kvSlow)
		case mode == KVSilent:
			select {
			case <-changed:
			case <-r.Context().Done():
			}
			abort()
		case mode == KVLate && r.Method != http.MethodGet:
			body, err := io.ReadAll(r.Body)
			late := r.Clone(context.Background())
			late.Body = io.NopCloser(bytes.NewReader(body))
			if err == nil {
				time.AfterFunc(_kvLate, func() { kv.serve(next, discard{header: make(http.Header)}, late) })
			}
			abort()
		}
		kv.serve(next, w, r)
		if mode == KVLosesWrites && r.Method != http.MethodGet {
			abort()
		}
	})
}

func (kv *KV) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expire()
	next.ServeHTTP(w, r)
}

// Address returns where the store listens.
func (kv *KV) Address() string {
	return kv.server.Listener.Addr().String()
}

// Close ends the store.
func (kv *KV) Close() {
	kv.server.CloseClientConnections()
	kv.server.Close()
}

// SetMode changes how the store behaves.
func (kv *KV) SetMode(mode string) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.mode = mode
	close(kv.changed)
	kv.changed = make(chan struct{})
}

// RefuseCall refuses one call, the n-th from now.
func (kv *KV) RefuseCall(n int) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.refused = n
}

// SetPageSize changes the number of keys in a page.
func (kv *KV) SetPageSize(keys int) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.page = keys
}

// Write writes a key, as the operator or a worker would.
func (kv *KV) Write(key, value string) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.put(key, []byte(value), 0)
}

// Delete removes a key.
func (kv *KV) Delete(key string) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.remove(key)
}

// Compact drops the history.
func (kv *KV) Compact() {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.compacted, kv.history = kv.revision, nil
}

// Keys returns the keys under a prefix.
func (kv *KV) Keys(prefix string) []string {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expire()
	var keys []string
	for key := range kv.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Calls returns the number of calls so far.
func (kv *KV) Calls() int {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.calls
}

func (kv *KV) put(key string, value []byte, lease uint64) {
	kv.revision++
	created := kv.revision
	if known, ok := kv.items[key]; ok {
		created = known.Created
	}
	item := kvItem{Key: key, Value: value, Revision: kv.revision, Created: created, Lease: lease}
	kv.items[key] = item
	kv.history = append(kv.history, item)
}

func (kv *KV) remove(key string) {
	if _, ok := kv.items[key]; !ok {
		return
	}
	kv.revision++
	delete(kv.items, key)
	kv.history = append(kv.history, kvItem{Key: key, Revision: kv.revision, Deleted: true})
}

// expire ends the leases that ran out.
func (kv *KV) expire() {
	now := time.Now()
	for id, until := range kv.leases {
		if now.After(until) {
			kv.endLease(id)
		}
	}
}

func (kv *KV) endLease(id uint64) {
	delete(kv.leases, id)
	for key, item := range kv.items {
		if item.Lease == id {
			kv.remove(key)
		}
	}
}

func (kv *KV) rangeKeys(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []kvItem{}
	for key, item := range kv.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > kv.page
	if more {
		items = items[:kv.page]
	}
	answerKV(w, map[string]any{"items": items, "has_more": more, "as_of": kv.revision})
}

// watch answers at once, whatever the wait.
func (kv *KV) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if after < kv.compacted {
		w.WriteHeader(http.StatusGone)
		return
	}
	events := []kvItem{}
	for _, item := range kv.history {
		if item.Revision > after && strings.HasPrefix(item.Key, r.URL.Query().Get("prefix")) {
			events = append(events, item)
		}
	}
	answerKV(w, map[string]any{"events": events, "as_of": kv.revision})
}

func (kv *KV) txn(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, write := range call.Writes {
		if _, ok := kv.leases[write.Lease]; write.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, write := range call.Writes {
		kv.put(write.Key, write.Value, write.Lease)
	}
	for _, key := range call.Deletes {
		kv.remove(key)
	}
	answerKV(w, map[string]any{"revision": kv.revision})
}

func (kv *KV) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kv.next++
	ttl := time.Duration(call.TTL) * time.Millisecond
	kv.leases[kv.next], kv.ttls[kv.next] = time.Now().Add(ttl), ttl
	answerKV(w, map[string]any{"lease": kv.next, "ttl_ms": call.TTL})
}

func (kv *KV) keep(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if _, ok := kv.leases[id]; err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kv.leases[id] = time.Now().Add(kv.ttls[id])
	answerKV(w, map[string]any{"ttl_ms": kv.ttls[id].Milliseconds()})
}

func (kv *KV) end(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if _, ok := kv.leases[id]; err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kv.endLease(id)
	answerKV(w, map[string]any{})
}

func answerKV(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// LoopbackAddress returns a free loopback address.
func LoopbackAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}
