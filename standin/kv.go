package standin

import (
	"encoding/json"
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
	calls    int
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
)

// NewKV starts a store on a loopback address.
func NewKV() *KV {
	kv := &KV{
		items: map[string]kvItem{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{}, revision: 1, next: 1,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", kv.rangeKeys)
	mux.HandleFunc("GET /kv-watch", kv.watch)
	mux.HandleFunc("POST /kv-txn", kv.txn)
	mux.HandleFunc("POST /kv-lease", kv.grant)
	mux.HandleFunc("POST /kv-keep/{id}", kv.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", kv.end)
	kv.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kv.mu.Lock()
		defer kv.mu.Unlock()
		kv.calls++
		if kv.mode == KVBusy {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		kv.expire()
		mux.ServeHTTP(w, r)
		if kv.mode == KVLosesWrites && r.Method != http.MethodGet {
			panic(http.ErrAbortHandler)
		}
	}))
	return kv
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

// Set changes how the store behaves.
func (kv *KV) Set(mode string) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.mode = mode
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

// Forget drops the history.
func (kv *KV) Forget() {
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

// _kvPage is the number of keys in a page, small so that tests see several.
const _kvPage = 3

func (kv *KV) rangeKeys(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []kvItem{}
	for key, item := range kv.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > _kvPage
	if more {
		items = items[:_kvPage]
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
