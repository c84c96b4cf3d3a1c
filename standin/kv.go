package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// KV is a stand-in for the store of the users' platform: keys with revisions,
// ranges, watches, transactions and leases. Its exported methods change the
// stored data or how the store answers its clients.
type KV struct {
	server *httptest.Server

	mu          sync.Mutex
	items       map[string]kvItem
	history     []kvItem
	revision    uint64
	leases      map[uint64]time.Time
	ttls        map[uint64]time.Duration
	lastLease   uint64
	mode        string
	modeChanged chan struct{}
	calls       int
	// refuseIn is the number of calls up to the one to refuse, 0 for none.
	refuseIn int
	// pageKeys is the maximum number of keys in a page of a range.
	pageKeys int
	// compacted is the revision up to which the history was compacted.
	compacted uint64
	// era counts the restores, and copies holds the data as of each of the latest writes.
	era    uint64
	copies []kvCopy
}

// kvCopy is the data of a store as of a time.
type kvCopy struct {
	at        time.Time
	items     map[string]kvItem
	history   []kvItem
	leases    map[uint64]time.Time
	ttls      map[uint64]time.Duration
	revision  uint64
	lastLease uint64
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
	// KVLosesReplies applies writes and closes their connections without an answer.
	KVLosesReplies = "losesWrites"
	// KVLate closes the connections of writes without an answer and applies the
	// writes after _kvLateWriteDelay.
	KVLate = "late"
	// KVSlow answers after _kvSlowDelay.
	KVSlow = "slow"
	// KVSilent holds each call until the mode changes, then closes the connection.
	KVSilent = "silent"
	// KVReset closes each connection without an answer.
	KVReset = "reset"
)

const (
	// _kvSlowDelay is the delay of a call in mode KVSlow, and _kvLateWriteDelay that
	// of a write in mode KVLate.
	_kvSlowDelay      = 250 * time.Millisecond
	_kvLateWriteDelay = time.Second
	// _kvPageKeys is the number of keys in a page, small so that tests read several.
	_kvPageKeys = 3
	// _kvCopiedTime is how far back the store can be restored.
	_kvCopiedTime = 30 * time.Second
	// EraHeader is the header of all answers with the number of restores, from 1.
	EraHeader = "Store-Era"
)

// NewKV returns a store that serves on a loopback address.
func NewKV() *KV {
	kv := &KV{
		items: map[string]kvItem{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{}, revision: 1, lastLease: 1, era: 1,
		pageKeys: _kvPageKeys, modeChanged: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", kv.rangeKeys)
	mux.HandleFunc("GET /kv-watch", kv.watch)
	mux.HandleFunc("POST /kv-txn", kv.txn)
	mux.HandleFunc("POST /kv-lease", kv.grant)
	mux.HandleFunc("POST /kv-keep/{id}", kv.renew)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", kv.revoke)
	kv.server = httptest.NewServer(kv.injectFaults(mux))
	return kv
}

// injectFaults applies the mode to each call and passes it to next, one at a time.
func (kv *KV) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kv.mu.Lock()
		w.Header().Set(EraHeader, strconv.FormatUint(kv.era, 10))
		kv.calls++
		mode, modeChanged := kv.mode, kv.modeChanged
		if kv.refuseIn > 0 {
			if kv.refuseIn--; kv.refuseIn == 0 {
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
			time.Sleep(_kvSlowDelay)
		case mode == KVSilent:
			select {
			case <-modeChanged:
			case <-r.Context().Done():
			}
			abort()
		case mode == KVLate && r.Method != http.MethodGet:
			body, err := io.ReadAll(r.Body)
			late := r.Clone(context.Background())
			late.Body = io.NopCloser(bytes.NewReader(body))
			if err == nil {
				time.AfterFunc(_kvLateWriteDelay, func() { kv.serve(next, discardWriter{header: make(http.Header)}, late) })
			}
			abort()
		}
		kv.serve(next, w, r)
		if mode == KVLosesReplies && r.Method != http.MethodGet {
			abort()
		}
	})
}

// serve handles one call with kv.mu held, after the removal of expired leases.
func (kv *KV) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expire()
	w.Header().Set(EraHeader, strconv.FormatUint(kv.era, 10))
	next.ServeHTTP(w, r)
	kv.copy()
}

// copy records a copy of the data unless nothing was written since the last one. The
// caller holds mu.
func (kv *KV) copy() {
	if n := len(kv.copies); n > 0 && kv.copies[n-1].revision == kv.revision && kv.copies[n-1].lastLease == kv.lastLease {
		return
	}
	now := time.Now()
	kept := 0
	for kept+1 < len(kv.copies) && now.Sub(kv.copies[kept+1].at) > _kvCopiedTime {
		kept++
	}
	kv.copies = append(kv.copies[kept:], kvCopy{
		at: now, items: maps.Clone(kv.items), history: slices.Clone(kv.history), leases: maps.Clone(kv.leases),
		ttls: maps.Clone(kv.ttls), revision: kv.revision, lastLease: kv.lastLease, compacted: kv.compacted,
	})
}

// Restore replaces the data by a copy of a time before, and begins the next era. Revisions
// and the numbers of leases written since are given out again. The leases in the copy run
// anew.
func (kv *KV) Restore(age time.Duration) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	now := time.Now()
	from := kvCopy{revision: 1, lastLease: 1}
	last := 0
	for i, c := range kv.copies {
		if now.Sub(c.at) < age {
			break
		}
		from, last = c, i
	}
	kv.copies = kv.copies[:min(last+1, len(kv.copies))]
	kv.items, kv.leases, kv.ttls = map[string]kvItem{}, map[uint64]time.Time{}, map[uint64]time.Duration{}
	maps.Copy(kv.items, from.items)
	maps.Copy(kv.ttls, from.ttls)
	for id := range from.leases {
		kv.leases[id] = now.Add(from.ttls[id])
	}
	kv.history = slices.Clone(from.history)
	kv.revision, kv.lastLease, kv.compacted = from.revision, from.lastLease, from.compacted
	kv.era++
}

// Address returns the address that the store listens on.
func (kv *KV) Address() string {
	return kv.server.Listener.Addr().String()
}

// Close stops the store and closes its connections.
func (kv *KV) Close() {
	kv.server.CloseClientConnections()
	kv.server.Close()
}

// SetMode changes the mode of the store, one of the KV constants.
func (kv *KV) SetMode(mode string) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.mode = mode
	close(kv.modeChanged)
	kv.modeChanged = make(chan struct{})
}

// RefuseCall makes the store answer 503 to the n-th call from now.
func (kv *KV) RefuseCall(n int) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.refuseIn = n
}

// SetPageSize changes the maximum number of keys in a page of a range.
func (kv *KV) SetPageSize(keys int) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.pageKeys = keys
}

// Write stores a key without a lease, as the operator or a worker would.
func (kv *KV) Write(key, value string) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.put(key, []byte(value), 0)
	kv.copy()
}

// Delete removes a key.
func (kv *KV) Delete(key string) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.remove(key)
	kv.copy()
}

// Compact drops the history: a watch from an earlier revision is answered 410.
func (kv *KV) Compact() {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.compacted, kv.history = kv.revision, nil
}

// Keys returns the keys with a prefix, sorted.
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
	if existing, ok := kv.items[key]; ok {
		created = existing.Created
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

// expire removes the leases that expired, with their keys.
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
	more := len(items) > kv.pageKeys
	if more {
		items = items[:kv.pageKeys]
	}
	writeKVAnswer(w, map[string]any{"items": items, "has_more": more, "as_of": kv.revision})
}

// watch answers at once, whatever wait the client asks for.
func (kv *KV) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if after < kv.compacted || after > kv.revision {
		w.WriteHeader(http.StatusGone)
		return
	}
	events := []kvItem{}
	for _, item := range kv.history {
		if item.Revision > after && strings.HasPrefix(item.Key, r.URL.Query().Get("prefix")) {
			events = append(events, item)
		}
	}
	writeKVAnswer(w, map[string]any{"events": events, "as_of": kv.revision})
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
	writeKVAnswer(w, map[string]any{"revision": kv.revision})
}

func (kv *KV) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kv.lastLease++
	ttl := time.Duration(call.TTL) * time.Millisecond
	kv.leases[kv.lastLease], kv.ttls[kv.lastLease] = time.Now().Add(ttl), ttl
	writeKVAnswer(w, map[string]any{"lease": kv.lastLease, "ttl_ms": call.TTL})
}

func (kv *KV) renew(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if _, ok := kv.leases[id]; err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kv.leases[id] = time.Now().Add(kv.ttls[id])
	writeKVAnswer(w, map[string]any{"ttl_ms": kv.ttls[id].Milliseconds()})
}

func (kv *KV) revoke(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if _, ok := kv.leases[id]; err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kv.endLease(id)
	writeKVAnswer(w, map[string]any{})
}

func writeKVAnswer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// LoopbackAddress returns a free loopback address. Another process may take it
// before the caller listens on it.
func LoopbackAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}
