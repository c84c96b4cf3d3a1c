package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/gateway"
	"github.com/wigeonlock/wigeonlock/settings"
	"github.com/wigeonlock/wigeonlock/standin"
)

const (
	_waitTimeout  = 15 * time.Second
	_pollInterval = 20 * time.Millisecond
)

// worker is a worker of the users' platform that answers with its ID.
type worker struct {
	id, address string
	server      *http.Server
	mu          sync.Mutex
	served      int
	release     chan struct{}
	// last is the header of the last request.
	last http.Header
}

func startWorker(t *testing.T, kv *standin.KV, id, service, zone string) *worker {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w := &worker{id: id, address: l.Addr().String()}
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle), ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }()
	t.Cleanup(func() { _ = w.server.Close() })
	w.publish(kv, service, zone, "ready", 1)
	return w
}

func (w *worker) publish(kv *standin.KV, service, zone, state string, heartbeat int) {
	kv.Write("servers/"+w.id, fmt.Sprintf(
		`{"address":%q,"born":1,"info":{"service":%q,"zone":%q,"slots":4,"version":"v1"},"status":{"state":%q,"sequence":%d,"cold_left_ms":0}}`,
		w.address, service, zone, state, heartbeat))
}

func (w *worker) handle(rw http.ResponseWriter, r *http.Request) {
	if expect := r.Header.Get("X-Expect-Instance"); expect != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.served++
	w.last = r.Header
	release := w.release
	w.mu.Unlock()
	if release != nil {
		<-release
	}
	rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	rw.Header().Set("X-Server-Stamp", "stamp-"+w.id)
	_, _ = io.WriteString(rw, w.id)
}

func (w *worker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.served
}

func configOf(version int, service string, more ...string) string {
	rows := `["r","h.example","/r/","idempotent",2000,500,1,"` + service + `",2,true,[],null]`
	for _, m := range more {
		rows += "," + m
	}
	return fmt.Sprintf(`{"version":"%08x","routes":{"columns":["name","host","prefix","route_kind","timeout_ms","target_latency_ms","priority","service","max_attempts","sticky","home_regions","traffic_split"],"rows":[%s]},
"services":{"columns":["name","health_path","max_conns","protocol","tls","cold_start_s","cold_per_s"],"rows":[["s1","/health",330,"h1",false,3.0,7.9],["s2","/health",330,"h1",false,3.0,7.9]]},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, rows)
}

type instance struct {
	settings *gateway.Settings
	cancel   context.CancelFunc
	done     chan error
}

var _hosts atomic.Int32

// loopbackHost returns a loopback address that no other instance of the test processes has. On
// 127.0.0.1, a port that was found free may be taken by a connection before it is used.
func loopbackHost() string {
	n := _hosts.Add(1)
	return fmt.Sprintf("127.16.%d.%d", 1+os.Getpid()%250, n)
}

func startInstance(t *testing.T, kv *standin.KV, name, zone string) *instance {
	t.Helper()
	return startInstanceWith(t, kv, name, zone, func(*gateway.Settings) {})
}

func startInstanceWith(t *testing.T, kv *standin.KV, name, zone string, change func(*gateway.Settings)) *instance {
	t.Helper()
	host := loopbackHost()
	port := 8640
	address := func() settings.Listener {
		port++
		return settings.Listener{Listen: fmt.Sprintf("%s:%d", host, port)}
	}
	s := gateway.Default()
	s.Instance, s.Region, s.Zone = name, "r", zone
	s.Zones = []gateway.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}}
	s.Callers, s.Readiness, s.Directory, s.Peers, s.Permits, s.Admin = address(), address(), address(), address(), address(), address()
	s.Store.Address = kv.Address()
	s.StopSeconds = 2
	change(&s)
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{settings: &s, cancel: cancel, done: make(chan error, 1)}
	go func() { i.done <- gateway.New(&s, zap.NewNop()).Run(ctx) }()
	t.Cleanup(func() { i.stop(t) })
	return i
}

func (i *instance) stop(t *testing.T) {
	t.Helper()
	if i.cancel == nil {
		return
	}
	i.cancel()
	i.cancel = nil
	select {
	case err := <-i.done:
		assert.NoError(t, err)
	case <-time.After(_waitTimeout):
		t.Error("the instance did not stop")
	}
}

func (i *instance) ready() bool {
	resp, err := http.Get("http://" + i.settings.Readiness.Listen + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// metrics returns the metrics of the instance.
func (i *instance) metrics(t *testing.T) string {
	t.Helper()
	resp, err := http.Get("http://" + i.settings.Admin.Listen + "/metrics")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(text)
}

// addresses returns the addresses that the directory answers with.
func (i *instance) addresses(t *testing.T) []string {
	t.Helper()
	resp, err := http.Get("http://" + i.settings.Directory.Listen + "/resolve?name=h.example&region=r&zone=a")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&answer))
	assert.LessOrEqual(t, answer.TTL, 5.0)
	return answer.Addresses
}

func (i *instance) get(path string) (int, string, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+i.settings.Callers.Listen+path, nil)
	if err != nil {
		return 0, "", err
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", fmt.Sprint("q", time.Now().UnixNano()))
	req.Header.Set("X-Deadline-Ms", "2000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// answered returns a condition: a request ends with a status, and its answer
// contains a text.
func (i *instance) answered(path string, status int, body string) func() bool {
	return func() bool {
		got, text, err := i.get(path)
		return err == nil && got == status && strings.Contains(text, body)
	}
}

// TestLifecycle runs two instances through the first configuration, a new one, a
// draining worker, an evacuated zone, a store outage and a planned stop.
func TestLifecycle(t *testing.T) {
	kv := standin.NewKV()
	defer kv.Close()
	one := startInstance(t, kv, "edge-1", "a")
	require.Eventually(t, one.answered("/r/x", http.StatusServiceUnavailable, "noLists"), _waitTimeout, _pollInterval)
	assert.False(t, one.ready(), "no configuration was received")

	w1 := startWorker(t, kv, "i-1", "s1", "a")
	w2 := startWorker(t, kv, "i-2", "s2", "b")
	kv.Write("servers/i-foreign", "not a worker")
	kv.Write("op/config", configOf(5, "s1"))
	two := startInstance(t, kv, "edge-2", "b")
	instances := []*instance{one, two}
	for _, i := range instances {
		require.Eventually(t, i.answered("/r/x", http.StatusOK, "i-1"), _waitTimeout, _pollInterval)
		require.Eventually(t, i.ready, _waitTimeout, _pollInterval)
		require.Eventually(t, func() bool { return len(i.addresses(t)) == 2 }, _waitTimeout, _pollInterval)
	}

	kv.Write("op/config", configOf(9, "s2", `["n","h.example","/n/","idempotent",2000,500,1,"s1",2,true,[],null]`))
	for _, i := range instances {
		require.Eventually(t, i.answered("/r/x", http.StatusOK, "i-2"), _waitTimeout, _pollInterval)
		require.Eventually(t, i.answered("/n/x", http.StatusOK, "i-1"), _waitTimeout, _pollInterval)
	}
	kv.Write("op/config", configOf(8, "s1"))
	time.Sleep(1500 * time.Millisecond)
	assert.True(t, one.answered("/n/x", http.StatusOK, "i-1")(), "an older version is ignored")

	w1.publish(kv, "s1", "a", "draining", 2)
	require.Eventually(t, one.answered("/n/x", http.StatusServiceUnavailable, "noWorkers"), _waitTimeout, _pollInterval)
	require.Eventually(t, two.answered("/n/x", http.StatusServiceUnavailable, "noWorkers"), _waitTimeout, _pollInterval)
	before := w1.count()
	assert.True(t, one.answered("/n/x", http.StatusServiceUnavailable, "noWorkers")())
	assert.True(t, two.answered("/n/x", http.StatusServiceUnavailable, "noWorkers")())
	assert.Equal(t, before, w1.count(), "a leaving worker gets no new requests")

	kv.Write("op/evacuate/b", "{}")
	for _, i := range instances {
		require.Eventually(t, i.answered("/r/x", http.StatusServiceUnavailable, "noWorkers"), _waitTimeout, _pollInterval)
	}
	before = w2.count()
	assert.True(t, one.answered("/r/x", http.StatusServiceUnavailable, "noWorkers")())
	assert.Equal(t, before, w2.count())
	kv.Delete("op/evacuate/b")
	for _, i := range instances {
		require.Eventually(t, i.answered("/r/x", http.StatusOK, "i-2"), _waitTimeout, _pollInterval)
	}

	text := one.metrics(t)
	for _, name := range []string{
		`wigeonlock_belief_age_seconds{belief="store"}`, `wigeonlock_workers_known{state="usable"} 1`,
		`wigeonlock_workers_known{state="leaving"} 1`, "wigeonlock_configuration_version 9", "wigeonlock_instances_known 2",
		`wigeonlock_request_seconds_count{kind="idempotent",outcome="run"}`,
		`wigeonlock_request_phase_seconds_count{kind="idempotent",phase="connect"}`,
		`wigeonlock_request_phase_seconds_count{kind="idempotent",phase="firstByte"}`,
	} {
		assert.Contains(t, text, name)
	}

	kv.SetMode(standin.KVBusy)
	time.Sleep(2500 * time.Millisecond)
	for _, i := range instances {
		assert.True(t, i.answered("/r/x", http.StatusOK, "i-2")(), "requests are served from the known state")
		assert.True(t, i.ready())
	}
	kv.SetMode(standin.KVServes)

	release := make(chan struct{})
	w2.mu.Lock()
	w2.release = release
	w2.mu.Unlock()
	count := w2.count()
	last := make(chan bool, 1)
	go func() { last <- two.answered("/r/x", http.StatusOK, "i-2")() }()
	require.Eventually(t, func() bool { return w2.count() > count }, _waitTimeout, _pollInterval)
	go func() {
		time.Sleep(1200 * time.Millisecond)
		close(release)
	}()
	two.stop(t)
	assert.True(t, <-last, "a pending request is answered")
	require.Eventually(t, func() bool { return len(one.addresses(t)) == 1 }, _waitTimeout, _pollInterval)
	assert.Len(t, kv.Keys("wigeonlock/instances/"), 1)
}

// TestRegistrationIsRestored deletes the key of an instance, which must then
// register again.
func TestRegistrationIsRestored(t *testing.T) {
	kv := standin.NewKV()
	defer kv.Close()
	startWorker(t, kv, "i-1", "s1", "a")
	kv.Write("op/config", configOf(5, "s1"))
	startInstance(t, kv, "edge-1", "a")
	const key = "wigeonlock/instances/edge-1"
	registered := func() bool { return len(kv.Keys(key)) == 1 }
	require.Eventually(t, registered, _waitTimeout, _pollInterval)
	time.Sleep(time.Second)
	kv.Delete(key)
	require.Eventually(t, registered, _waitTimeout, _pollInterval)
}

// TestSilentWorkerKeepsItsRequest has the entry of a worker lapse while it runs a request,
// as when the worker is slow to report: the request goes on there and is not sent again.
func TestSilentWorkerKeepsItsRequest(t *testing.T) {
	kv := standin.NewKV()
	defer kv.Close()
	silent := startWorker(t, kv, "i-1", "s1", "a")
	kv.Write("op/config", configOf(5, "s1"))
	i := startInstance(t, kv, "edge-1", "a")
	require.Eventually(t, i.answered("/r/x", http.StatusOK, "i-1"), _waitTimeout, _pollInterval)
	other := startWorker(t, kv, "i-2", "s1", "b")
	release := make(chan struct{})
	silent.mu.Lock()
	silent.release = release
	before := silent.served
	silent.mu.Unlock()
	done := make(chan string, 1)
	go func() {
		_, body, err := i.get("/r/x")
		assert.NoError(t, err)
		done <- body
	}()
	require.Eventually(t, func() bool { return silent.count() > before || other.count() > 0 }, _waitTimeout, _pollInterval)
	kv.Delete("servers/i-1")
	time.Sleep(1300 * time.Millisecond)
	close(release)
	body := <-done
	assert.Equal(t, 1, silent.count()-before+other.count(), "the request runs once")
	assert.Contains(t, []string{"i-1", "i-2"}, body)
}

// TestNeighboursCauseNoRenewals has many other instances register: if each of their keys
// made an instance renew its own lease, a rolling restart of hundreds of instances would
// cost each of them a call for each of the others.
func TestNeighboursCauseNoRenewals(t *testing.T) {
	kv := standin.NewKV()
	defer kv.Close()
	startWorker(t, kv, "i-1", "s1", "a")
	kv.Write("op/config", configOf(5, "s1"))
	i := startInstance(t, kv, "edge-1", "a")
	require.Eventually(t, func() bool { return len(kv.Keys("wigeonlock/instances/edge-1")) == 1 }, _waitTimeout, _pollInterval)
	renewals := func() int {
		n := 0
		for _, line := range strings.Split(i.metrics(t), "\n") {
			if strings.HasPrefix(line, `wigeonlock_platform_calls_total{call="kv-keep"}`) {
				_, err := fmt.Sscan(line[strings.LastIndexByte(line, ' '):], &n)
				require.NoError(t, err)
			}
		}
		return n
	}
	before := renewals()
	const seconds = 4
	for n := range 20 * seconds {
		kv.Write(fmt.Sprint("wigeonlock/instances/other-", n), fmt.Sprintf(`{"name":"other-%d","region":"q","zone":"c"}`, n))
		time.Sleep(50 * time.Millisecond)
	}
	assert.LessOrEqual(t, renewals()-before, seconds)
}

func TestSettings(t *testing.T) {
	good := `{"instance":"e","region":"r","zone":"a","zones":[{"name":"a","region":"r"}],
"callers":{"listen":"127.0.0.1:1"},"readiness":{"listen":"127.0.0.1:2"},"directory":{"listen":"127.0.0.1:3"},
"peers":{"listen":"127.0.0.1:4"},"permits":{"listen":"127.0.0.1:6"},"store":{"address":"127.0.0.1:5"}}`
	s, err := gateway.Parse("f.jsonc", []byte(good))
	require.NoError(t, err)
	assert.Equal(t, 6*time.Second, s.Stop())
	for name, tt := range map[string]struct{ old, by, want string }{
		"required":      {`"instance":"e",`, ``, "instance is required"},
		"address":       {`"127.0.0.1:5"`, `"there"`, `"there" is not host:port`},
		"other region":  {`"region":"r","zone"`, `"region":"q","zone"`, `but region is "q"`},
		"unknown key":   {`"store"`, `"stroe"`, "stroe"},
		"type":          {`"127.0.0.1:1"`, `1`, "must be a string"},
		"negative":      {`{"instance"`, `{"retry":{"ratio":-1},"instance"`, "-1 is below 0"},
		"no window":     {`{"instance"`, `{"retry":{"windowSeconds":0},"instance"`, "0 is not above 0"},
		"unknown level": {`{"instance"`, `{"log":{"level":"loud"},"instance"`, `"loud"`},
	} {
		_, err := gateway.Parse("f.jsonc", []byte(strings.Replace(good, tt.old, tt.by, 1)))
		require.Error(t, err, name)
		assert.Contains(t, err.Error(), "f.jsonc:", name)
		assert.Contains(t, err.Error(), tt.want, name)
	}
}

// TestMetricsPortInUse checks that an instance serves callers even if another
// process listens on the address of its metrics.
func TestMetricsPortInUse(t *testing.T) {
	kv := standin.NewKV()
	defer kv.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	startWorker(t, kv, "i-1", "s1", "a")
	kv.Write("op/config", configOf(5, "s1"))
	i := startInstanceWith(t, kv, "edge-1", "a", func(s *gateway.Settings) { s.Admin.Listen = listener.Addr().String() })
	require.Eventually(t, i.answered("/r/x", http.StatusOK, "i-1"), _waitTimeout, _pollInterval)
}

// TestStartFailsWhenPortIsInUse has another process use the port of the directory: the
// process must end with the error, not stay without serving.
func TestStartFailsWhenPortIsInUse(t *testing.T) {
	kv := standin.NewKV()
	defer kv.Close()
	listener, err := net.Listen("tcp", loopbackHost()+":0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	i := startInstanceWith(t, kv, "edge-1", "a", func(s *gateway.Settings) { s.Directory.Listen = listener.Addr().String() })
	select {
	case err := <-i.done:
		assert.ErrorContains(t, err, "address already in use")
	case <-time.After(_waitTimeout):
		t.Error("the instance neither serves nor ends")
	}
	i.cancel()
	i.cancel = nil
}
