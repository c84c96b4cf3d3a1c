//go:build review

// Command rig2 plays the cases of the second review: it starts entry instances as processes of
// their own, with a store, workers and callers as stand-ins, and checks one rule in each case.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonlock/wigeonlock/platform"
	"github.com/wigeonlock/wigeonlock/standin"
)

// zone is an availability zone of the deployment and its region.
type zone struct{ name, region string }

// rig is the deployment of a case.
type rig struct {
	dir     string
	binary  string
	store   *standin.KV
	zones   []zone
	entries []*entry
	workers []*backend
	began   time.Time
	// subnet is the beginning of the loopback addresses of the instances.
	subnet string

	mu     sync.Mutex
	record *os.File
}

// newRig returns a rig that writes its record to a file.
func newRig(binary, record string, zones []zone) (*rig, error) {
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &rig{dir: dir, binary: binary, store: standin.NewKV(), zones: zones, began: time.Now(), record: f}
	r.subnet = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
	r.store.SetPageSize(500)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		r.close()
		os.Exit(2)
	}()
	return r, nil
}

// logf writes a line to the record, with the seconds since the start.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and stand-ins.
func (r *rig) close() {
	for _, e := range r.entries {
		e.kill()
	}
	for _, w := range r.workers {
		w.close()
	}
	r.store.Close()
	_ = r.record.Close()
	_ = os.RemoveAll(r.dir)
}

// options are the settings of an instance that differ between cases.
type options struct {
	memoryMb int
	cores    float64
	linkMbit float64
}

// entry is an instance of the system under test.
type entry struct {
	name, host, zone string
	port             int
	ready            string
	settings         string
	rig              *rig
	cmd              *exec.Cmd
	done             chan struct{}
}

func freePorts(host string, n int) ([]int, error) {
	var ports []int
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// addEntry writes the settings of an instance, in the form of the template of the deploy file.
func (r *rig) addEntry(name string, z zone, o options) (*entry, error) {
	// Connections to other addresses take their own ports on 127.0.0.1, so that none of them can
	// take a port here before the instance does.
	host := fmt.Sprintf("%s.%d", r.subnet, len(r.entries)+1)
	ports, err := freePorts(host, 6)
	if err != nil {
		return nil, err
	}
	at := func(i int) map[string]any { return map[string]any{"listen": fmt.Sprintf("%s:%d", host, ports[i])} }
	var zones []map[string]string
	for _, other := range r.zones {
		zones = append(zones, map[string]string{"name": other.name, "region": other.region})
	}
	settings := map[string]any{
		"instance": name, "region": z.region, "zone": z.name, "zones": zones,
		"callers": at(0), "readiness": at(1), "directory": at(2), "peers": at(3), "permits": at(4), "admin": at(5),
		"store": map[string]any{"address": r.store.Address()}, "memoryMb": o.memoryMb, "cores": o.cores, "linkMbit": o.linkMbit,
		"stopSeconds": 6, "ttlSeconds": 5,
		"retry": map[string]any{"ratio": 0.2, "extra": 62, "windowSeconds": 10},
		"cold":  map[string]any{"overrun": 1.5, "slack": 5},
		"log":   map[string]any{"level": "info"},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	e := &entry{name: name, host: host, zone: z.name, port: ports[0], ready: fmt.Sprintf("%s:%d", host, ports[1]), rig: r}
	e.settings = filepath.Join(r.dir, name+".jsonc")
	r.entries = append(r.entries, e)
	return e, os.WriteFile(e.settings, data, 0o600)
}

// address is where callers connect.
func (e *entry) address() string { return fmt.Sprintf("%s:%d", e.host, e.port) }

// start starts the process.
func (e *entry) start() error {
	out, err := os.OpenFile(filepath.Join(e.rig.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(e.rig.binary, "entry", "--settings", e.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	e.cmd, e.done = cmd, done
	e.rig.logf("%s started", e.name)
	go func() {
		err := cmd.Wait()
		e.rig.logf("%s ended: %v", e.name, err)
		close(done)
	}()
	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.rig.logf("%s gets %v", e.name, s)
	_ = e.cmd.Process.Signal(s)
}

func (e *entry) kill() {
	if e.cmd == nil {
		return
	}
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	<-e.done
}

// awaitReady waits until the instance counts as ready.
func (e *entry) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + e.ready + "/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// _lead is the time from the start of the instances to the first request: longer than contact_ms,
// so that the start excuses nothing.
const _lead = 10 * time.Second

// startAll starts all instances, waits until they are ready, and until _lead has passed.
func (r *rig) startAll() error {
	for _, e := range r.entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range r.entries {
		if !e.awaitReady(15 * time.Second) {
			return fmt.Errorf("%s is not ready", e.name)
		}
	}
	time.Sleep(time.Until(r.began.Add(_lead)))
	return nil
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	// closes is set if the connection ends after the answer.
	closes bool
}

// call sends one request on a new connection and reads the answer.
func (r *rig) call(address, method, host, path, id string, body []byte, limit time.Duration) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		r.logf("%s not sent: %v", id, err)
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(limit + time.Second))
	return r.exchange(c, bufio.NewReader(c), method, host, path, id, body, limit)
}

// exchange sends one request on a connection and reads the answer.
func (r *rig) exchange(c net.Conn, in *bufio.Reader, method, host, path, id string, body []byte, limit time.Duration) answer {
	r.logf("sent %s %s %s", id, method, path)
	head := requestHead(method, host, path, id, limit)
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := c.Write(append([]byte(head+"\r\n"), body...)); err != nil {
		r.logf("%s broke off: %v", id, err)
		return answer{err: err}
	}
	a := readAnswer(in, method)
	if a.err != nil {
		r.logf("answer %s broke off: %v", id, a.err)
		return a
	}
	r.logf("answer %s: %d, stamp %q, %d bytes", id, a.status, a.header.Get(standin.StampHeader), len(a.body))
	return a
}

// requestHead returns the head of a request without its last, empty line.
func requestHead(method, host, path, id string, limit time.Duration) string {
	names := platform.CallerHeaders()
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host) +
		fields(names.RequestID, id, names.TimeLeft, strconv.FormatInt(limit.Milliseconds(), 10))
}

func readAnswer(in *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: data, err: err, closes: resp.Close}
}
