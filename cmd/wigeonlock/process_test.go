package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	discoveryhttp "github.com/wigeonlock/wigeonlock/discovery/http"
	"github.com/wigeonlock/wigeonlock/standin"
)

const _waitTimeout = 30 * time.Second

// process is one process of the deployment under test, with its output.
type process struct {
	cmd  *exec.Cmd
	logs bytes.Buffer
}

// processes is a deployment of separate processes of the built binary: a store,
// four workers in two zones, and four entry instances. Each process has its own
// loopback address, so that ports cannot collide.
type processes struct {
	t      *testing.T
	binary string
	dir    string
	byName map[string]*process
}

func address(n, port int) string {
	return fmt.Sprintf("127.77.%d.%d:%d", 1+os.Getpid()%250, n, port)
}

var _platformURL = "http://" + address(1, 7000)

// newProcesses builds the binary. All processes are killed at the end of the test.
func newProcesses(t *testing.T) *processes {
	p := &processes{t: t, dir: t.TempDir(), byName: make(map[string]*process)}
	p.binary = filepath.Join(p.dir, "wigeonlock")
	build := exec.Command("go", "build", "-o", p.binary, ".")
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	t.Cleanup(p.killAll)
	return p
}

func startProcesses(t *testing.T) *processes {
	p := newProcesses(t)

	p.start("store", "standin", "store", "--listen", address(1, 7000), "--list-lag", "300ms")
	p.waitHTTP("http://" + address(1, 7000) + "/standin/calls")
	for i := range 4 {
		zone := []string{"tunis-a", "tunis-b"}[i/2]
		p.start(fmt.Sprintf("worker-%d", i), "standin", "worker", "--listen", address(10+i, 9000),
			"--platform", _platformURL, "--region", "tunis", "--zone", zone, "--service", "calendrier",
			"--slots", "5", "--work", "5ms", "--linger", "1s")
		p.waitHTTP("http://" + address(10+i, 9000) + "/load")
	}
	p.write("plans.jsonc", `{"plans": [{"name": "boutiques", "priority": 1, "shiftSlots": 8, "customers": [
		{"name": "boulangerie", "homeRegion": "tunis", "blocks": ["127.0.0.0/8"]}]}]}`)
	p.write("allowances.jsonc",
		`{"allowances": [{"plan": "boutiques", "region": "tunis", "service": "calendrier", "slots": 100, "mbitPerSecond": 10000}]}`)
	p.must("lists", "apply", "--plans", p.path("plans.jsonc"), "--allowances", p.path("allowances.jsonc"),
		"--platform", _platformURL)
	for i := range 4 {
		p.write(fmt.Sprintf("instance-%d.jsonc", i), instanceSettings(i))
		p.start(fmt.Sprintf("instance-%d", i), "serve", "--settings", p.path(fmt.Sprintf("instance-%d.jsonc", i)))
	}
	for i := range 4 {
		p.waitHTTP("http://" + address(20+i, 8082) + "/readyz")
	}
	p.waitListed(8)
	return p
}

func instanceSettings(i int) string {
	zone := []string{"tunis-a", "tunis-b"}[i/2]
	return fmt.Sprintf(`{
		// Instance %d of the deployment under test.
		"instance": "instance-%d", "region": "tunis", "zone": %q,
		"callers": {"listen": %q}, "peers": {"listen": %q}, "admin": {"listen": %q},
		"platform": {"url": %q},
		"regions": [{"name": "tunis", "zones": ["tunis-a", "tunis-b"]}],
		"services": [{"name": "calendrier", "slotsPerWorker": 5, "connectionsPerWorker": 330, "timeoutMs": 2000}],
		"lookupTtlMs": 300, "drainMs": 5000,
	}`, i, i, zone, address(20+i, 8080), address(20+i, 8081), address(20+i, 8082), _platformURL)
}

func (p *processes) path(name string) string { return filepath.Join(p.dir, name) }

func (p *processes) write(name, text string) {
	require.NoError(p.t, os.WriteFile(p.path(name), []byte(text), 0o600))
}

func (p *processes) start(name string, args ...string) {
	proc := &process{cmd: exec.Command(p.binary, args...)}
	proc.cmd.Stdout = &proc.logs
	proc.cmd.Stderr = &proc.logs
	require.NoError(p.t, proc.cmd.Start())
	p.byName[name] = proc
}

// must runs a command, requires exit code 0 and returns its standard output.
func (p *processes) must(args ...string) []byte {
	out, err := exec.Command(p.binary, args...).Output()
	require.NoError(p.t, err, "%v", args)
	return out
}

// code runs a command and returns its exit code and standard error.
func (p *processes) code(args ...string) (int, string) {
	var stderr bytes.Buffer
	cmd := exec.Command(p.binary, args...)
	cmd.Stderr = &stderr
	_ = cmd.Run()
	return cmd.ProcessState.ExitCode(), stderr.String()
}

func (p *processes) killAll() {
	for _, proc := range p.byName {
		if proc.cmd.ProcessState == nil {
			_ = proc.cmd.Process.Kill()
			_ = proc.cmd.Wait()
		}
	}
	if p.t.Failed() {
		for name, proc := range p.byName {
			p.t.Logf("%s:\n%s", name, proc.logs.String())
		}
	}
}

func (p *processes) waitHTTP(url string) {
	require.Eventually(p.t, func() bool {
		resp, err := http.Get(url)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, _waitTimeout, 10*time.Millisecond, url)
}

// waitListed waits until the instance list, which lags, has n workers and instances.
func (p *processes) waitListed(n int) {
	require.Eventually(p.t, func() bool {
		list, err := (&discoveryhttp.Directory{URL: _platformURL}).List(context.Background())
		return err == nil && len(list) == n
	}, _waitTimeout, 10*time.Millisecond)
}

type reply struct {
	status  int
	outcome string
	reason  string
	id      string
	body    []byte
	err     error
}

func send(instance int, method, path, key string) reply {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+address(20+instance, 8080)+path, nil)
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Wigeonlock-Service", "calendrier")
	req.Header.Set("Wigeonlock-Customer", "boulangerie")
	if key != "" {
		req.Header["idempotency-key"] = []string{key}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{
		resp.StatusCode, resp.Header.Get("Wigeonlock-Outcome"), resp.Header.Get("Wigeonlock-Reason"),
		resp.Header.Get("Wigeonlock-Request-Id"), body, err,
	}
}

func (p *processes) runs(worker int) []standin.Run {
	resp, err := http.Get("http://" + address(10+worker, 9000) + "/standin/runs")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Runs []standin.Run `json:"runs"`
	}
	require.NoError(p.t, json.NewDecoder(resp.Body).Decode(&answer))
	return answer.Runs
}

// TestProcesses runs store, workers and entry instances as separate processes and
// checks requests, commands, a killed worker and a stopped instance.
func TestProcesses(t *testing.T) {
	p := startProcesses(t)
	t.Run("requests, payments and documents are complete", p.testComplete)
	t.Run("commands", p.testCommands)
	t.Run("a killed worker", p.testKilledWorker)
	t.Run("a stopped instance", p.testStoppedInstance)
}

func (p *processes) testComplete(t *testing.T) {
	for i := range 4 {
		got := send(i, http.MethodGet, "/echo?q=1", "")
		require.NoError(t, got.err)
		assert.Equal(t, "run", got.outcome, string(got.body))
		got = send(i, http.MethodPost, "/pay", "same key")
		require.NoError(t, got.err)
		assert.Contains(t, []string{"run", "unknown"}, got.outcome)
	}
	paid := 0
	for i := range 4 {
		for _, r := range p.runs(i) {
			if r.IdempotencyKey == "same key" {
				paid++
			}
		}
	}
	assert.Equal(t, 1, paid)

	const size = 20 << 20
	got := send(0, http.MethodGet, fmt.Sprintf("/bytes/%d", size), "")
	require.NoError(t, got.err)
	want, err := io.ReadAll(&standin.Pattern{Size: size})
	require.NoError(t, err)
	assert.True(t, bytes.Equal(want, got.body))
}

func (p *processes) testCommands(t *testing.T) {
	var applied struct {
		Version uint64 `json:"version"`
		Active  []struct {
			Instance string `json:"instance"`
			AfterMs  int64  `json:"afterMs"`
		} `json:"inForce"`
	}
	p.write("plans.jsonc", `{"plans": [{"name": "boutiques", "priority": 1, "shiftSlots": 9, "customers": [
		{"name": "boulangerie", "homeRegion": "tunis", "blocks": ["127.0.0.0/8"]}]}]}`)
	out := p.must("lists", "apply", "--plans", p.path("plans.jsonc"), "--allowances", p.path("allowances.jsonc"),
		"--platform", _platformURL, "--wait", "5s", "--format", "json")
	require.NoError(t, json.Unmarshal(out, &applied))
	assert.Equal(t, uint64(2), applied.Version)
	assert.Len(t, applied.Active, 4)

	code, stderr := p.code("lists", "apply", "--plans", p.path("plans.jsonc"), "--allowances", p.path("allowances.jsonc"),
		"--platform", _platformURL, "--base", "1")
	assert.Equal(t, 1, code)
	assert.Contains(t, stderr, "version 2")

	assert.Contains(t, string(p.must("lists", "show", "--platform", _platformURL)), `"shiftSlots": 9`)
	assert.Contains(t, string(p.must("lists", "history", "--platform", _platformURL)), "version 2")
	assert.Contains(t, string(p.must("status", "--settings", p.path("instance-0.jsonc"))), "instance-0 in tunis-a is ready")
	p.must("settings", "check", p.path("instance-0.jsonc"), p.path("instance-1.jsonc"))
	p.must("lists", "check", "--plans", p.path("plans.jsonc"), "--allowances", p.path("allowances.jsonc"))

	p.write("bad.jsonc", "{\"instance\": \"x\",\n \"regoin\": \"tunis\"}")
	code, stderr = p.code("settings", "check", p.path("bad.jsonc"))
	assert.Equal(t, 2, code)
	assert.Contains(t, stderr, `bad.jsonc:2:2: unknown key "regoin"; did you mean "region"?`)
	for _, args := range [][]string{{"serve"}, {"nonsense"}, {"demo", "--deployment", "x"}, {"demo", "--format", "xml"}} {
		code, stderr = p.code(args...)
		assert.Equal(t, 2, code, "%v: %s", args, stderr)
	}
}

// testKilledWorker checks that after a SIGKILL only requests in flight to the worker
// have an unknown outcome: at most one of each caller, sent before the process had
// ended. Requests that the worker would have refused count too, so there may be more
// than its slots.
func (p *processes) testKilledWorker(t *testing.T) {
	const callers = 8
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]int)
	var lastUnknown time.Time
	var stop atomic.Bool
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for !stop.Load() {
				sent := time.Now()
				got := send(i%4, http.MethodPost, "/order", "")
				mu.Lock()
				if got.err != nil {
					outcomes["error"]++
				}
				if got.outcome == "unknown" && sent.After(lastUnknown) {
					lastUnknown = sent
				}
				outcomes[got.outcome]++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	victim := p.byName["worker-0"]
	require.NoError(t, victim.cmd.Process.Kill())
	_ = victim.cmd.Wait()
	killed := time.Now()
	time.Sleep(500 * time.Millisecond)
	stop.Store(true)
	wg.Wait()
	assert.Zero(t, outcomes["error"], "%v", outcomes)
	assert.Positive(t, outcomes["run"])
	assert.LessOrEqual(t, outcomes["unknown"], callers, "more than the requests in flight are unknown: %v", outcomes)
	assert.False(t, lastUnknown.After(killed), "a request sent after the worker was killed is unknown: %v", outcomes)
}

// testStoppedInstance checks that SIGTERM under load disconnects no caller that uses
// current lookup answers, and that the process exits with 0.
func (p *processes) testStoppedInstance(t *testing.T) {
	stopping := p.byName["instance-3"]
	var removed, stop atomic.Bool
	var wg sync.WaitGroup
	var failed atomic.Int64
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for !stop.Load() {
				instance := i % 4
				if instance == 3 && removed.Load() {
					instance = 0
				}
				if got := send(instance, http.MethodGet, "/echo?q=1", ""); got.err != nil {
					failed.Add(1)
				}
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	require.NoError(t, stopping.cmd.Process.Signal(syscall.SIGTERM))
	lookup := "http://" + address(20, 8080) + "/.wigeonlock/v1/entries?service=calendrier"
	require.Eventually(t, func() bool {
		resp, err := http.Get(lookup)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return err == nil && !bytes.Contains(body, []byte(address(23, 8080)))
	}, _waitTimeout, 10*time.Millisecond)
	time.Sleep(300 * time.Millisecond) // time to live of the lookup answers that callers cache
	removed.Store(true)
	require.NoError(t, stopping.cmd.Wait())
	stop.Store(true)
	wg.Wait()
	assert.Zero(t, failed.Load())
}
