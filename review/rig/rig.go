//go:build review

// Package rig runs a small deployment for a review case: the project's own `entry`
// processes on loopback addresses, a stand-in of the platform's store, and small stand-ins of
// workers and clients. It records what was sent, run and answered.
package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonlock/wigeonlock/standin"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	NotPlay = 2
)

// MemoryMb is the memory that a process may use, as on the machines of both sites.
const MemoryMb = 284

// Record is the record of a run. Lines carry the time since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// OpenRecord creates the record file.
func OpenRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Linef writes a line.
func (r *Record) Linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Sayf writes a line to the record and to standard output.
func (r *Record) Sayf(format string, args ...any) {
	r.Linef(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Zone is an availability zone with its region.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Deployment is a running deployment.
type Deployment struct {
	Binary string
	Dir    string
	Rec    *Record
	KV     *standin.KV
	Zones  []Zone

	mu      sync.Mutex
	entries []*Entry
	workers []*Worker
	stopped bool
}

// New starts the store of a deployment. Logs and settings go into a temporary folder.
func New(rec *Record, zones []Zone) (*Deployment, error) {
	binary, err := filepath.Abs("target/wigeonlock")
	if err != nil {
		return nil, err
	}
	if _, err = os.Stat(binary); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	kv := standin.NewKV()
	kv.SetPageSize(500)
	return &Deployment{Binary: binary, Dir: dir, Rec: rec, KV: kv, Zones: zones}, nil
}

// Close ends all processes and stand-ins and removes the temporary folder, unless KEEP is set.
func (d *Deployment) Close() {
	d.mu.Lock()
	d.stopped = true
	entries, workers := d.entries, d.workers
	d.mu.Unlock()
	for _, e := range entries {
		e.Kill()
	}
	for _, w := range workers {
		w.Close()
	}
	d.KV.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.Dir)
	}
}

var (
	_portsMu   sync.Mutex
	_portsUsed = make(map[int]bool)
)

// FreeAddress returns a loopback address that is free for TCP and UDP, and that no other call
// returned. Its host belongs to this process, so that cases played at once don't clash, and its
// port lies below those that the system gives to outgoing connections.
func FreeAddress() string {
	const from, ports = 20000, 12000
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, 1+pid&127)
	_portsMu.Lock()
	defer _portsMu.Unlock()
	for {
		port := from + rand.IntN(ports)
		address := fmt.Sprintf("%s:%d", host, port)
		if _portsUsed[port] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = u.Close()
		_portsUsed[port] = true
		return address
	}
}

// Entry is an entry instance, a process of the project's binary.
type Entry struct {
	Name      string
	Front     string
	Ready     string
	Directory string
	Admin     string

	d    *Deployment
	file string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// ends is set when the case itself ends the process.
	ends bool
	// PeakKb is the largest anonymous memory seen, in kB.
	PeakKb int
}

// AddEntry starts an entry instance with settings like those of a small deployment. edit, if
// not nil, may change them.
func (d *Deployment) AddEntry(name string, zone Zone, edit func(settings map[string]any)) (*Entry, error) {
	e := &Entry{Name: name, Front: FreeAddress(), Ready: FreeAddress(), Directory: FreeAddress(), Admin: FreeAddress(), d: d}
	listen := func(address string) map[string]any { return map[string]any{"listen": address} }
	settings := map[string]any{
		"instance": name, "region": zone.Region, "zone": zone.Name, "zones": d.Zones,
		"callers": listen(e.Front), "readiness": listen(e.Ready), "directory": listen(e.Directory),
		"peers": listen(FreeAddress()), "permits": listen(FreeAddress()), "admin": listen(e.Admin),
		"store":    map[string]any{"address": d.KV.Address()},
		"memoryMb": MemoryMb, "cores": 0.32, "linkMbit": 1000, "stopSeconds": 6, "ttlSeconds": 5,
		"retry": map[string]any{"ratio": 0.2, "extra": 58, "windowSeconds": 10},
		"cold":  map[string]any{"overrun": 1.5, "slack": 5},
		"log":   map[string]any{"level": "info"},
	}
	if edit != nil {
		edit(settings)
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	e.file = filepath.Join(d.Dir, name+".jsonc")
	if err := os.WriteFile(e.file, data, 0o600); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.entries = append(d.entries, e)
	d.mu.Unlock()
	return e, e.Start()
}

// Start starts the process.
func (e *Entry) Start() error {
	out, err := os.OpenFile(filepath.Join(e.d.Dir, e.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(e.d.Binary, "entry", "--settings", e.file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.exited, e.ends = cmd, exited, false
	e.mu.Unlock()
	e.d.Rec.Linef("process %s started", e.Name)
	go func() {
		err := cmd.Wait()
		e.d.Rec.Linef("process %s ended: %v", e.Name, err)
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (e *Entry) Signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return
	}
	select {
	case <-e.exited:
	default:
		e.d.Rec.Linef("process %s gets signal %v", e.Name, s)
		_ = e.cmd.Process.Signal(s)
	}
}

// Kill ends the process at once and waits for its end.
func (e *Entry) Kill() {
	e.mu.Lock()
	e.ends = true
	exited := e.exited
	e.mu.Unlock()
	e.Signal(syscall.SIGKILL)
	if exited != nil {
		<-exited
	}
}

// Exited returns a channel that is closed when the current process has ended.
func (e *Entry) Exited() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.exited
}

// IsReady asks the readiness address.
func (e *Entry) IsReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + e.Ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all instances are ready.
func (d *Deployment) AwaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, e := range d.entries {
		for !e.IsReady() {
			if time.Now().After(until) {
				return fmt.Errorf("instance %s is not ready", e.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Resolve asks the directories, in order, for addresses of instances, as a client does.
func (d *Deployment) Resolve(host string, zone Zone) []string {
	for _, e := range d.entries {
		client := http.Client{Timeout: time.Second}
		resp, err := client.Get(fmt.Sprintf("http://%s/resolve?name=%s&region=%s&zone=%s", e.Directory, host, zone.Region, zone.Name))
		if err != nil {
			continue
		}
		var reply struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&reply)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK && len(reply.Addresses) > 0 {
			return reply.Addresses
		}
	}
	return nil
}

// AnonKb returns the anonymous resident memory of the process in kB: without the pages of
// the program file.
func (e *Entry) AnonKb() int {
	e.mu.Lock()
	cmd := e.cmd
	e.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range bytes.Split(data, []byte("\n")) {
		if text, ok := strings.CutPrefix(string(line), "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return kb
		}
	}
	return 0
}

// LimitMemory does what the platform does: it kills a process that exceeds MemoryMb and
// starts it again after a short delay. It returns when the deployment closes.
func (d *Deployment) LimitMemory(e *Entry, killed func()) {
	for {
		time.Sleep(10 * time.Millisecond)
		d.mu.Lock()
		stopped := d.stopped
		d.mu.Unlock()
		e.mu.Lock()
		ends := e.ends
		e.mu.Unlock()
		if stopped || ends {
			return
		}
		kb := e.AnonKb()
		e.PeakKb = max(e.PeakKb, kb)
		if kb <= MemoryMb<<10 {
			continue
		}
		d.Rec.Sayf("process %s uses %d kB, more than memory_mb %d: the platform kills it", e.Name, kb, MemoryMb)
		killed()
		e.Signal(syscall.SIGKILL)
		<-e.Exited()
		time.Sleep(500 * time.Millisecond)
		// Close must not miss a process that starts meanwhile.
		d.mu.Lock()
		ended := d.stopped || e.Start() != nil
		d.mu.Unlock()
		if ended {
			return
		}
	}
}

// Dial connects to an address within a second.
func Dial(address string) (net.Conn, error) {
	return net.DialTimeout("tcp", address, time.Second)
}
