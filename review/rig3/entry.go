//go:build review

package rig3

import (
	"context"
	"encoding/json"
	"fmt"
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
)

// Binary is the program of the build of the deploy file.
const Binary = "target/wigeonlock"

// Zone is a zone with its region.
type Zone struct{ Name, Region string }

// Entry is an entry instance that runs as a process.
type Entry struct {
	Name  string
	Zone  Zone
	Zones []Zone
	// Store is the address of the store, Dir where the settings and the log are.
	Store string
	Dir   string

	Callers string

	ready string
	cmd   *exec.Cmd
	done  chan struct{}
}

// Ports of an instance. Its host is its own.
const (
	_portCallers = 8641 + iota
	_portReady
	_portDirectory
	_portPeers
	_portPermits
	_portAdmin
)

// Prepare writes the settings, which are those of a small deployment. The instance gets a loopback
// address of its own, by the process that starts it and the number of the instance there, so that
// runs at the same time do not take each other's ports.
func (e *Entry) Prepare(number int) error {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 40+pid%200, 1+pid/200%250, 1+number)
	address := func(port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
	e.Callers, e.ready = address(_portCallers), address(_portReady)
	zones := make([]map[string]string, 0, len(e.Zones))
	for _, z := range e.Zones {
		zones = append(zones, map[string]string{"name": z.Name, "region": z.Region})
	}
	listen := func(port int) map[string]string { return map[string]string{"listen": address(port)} }
	data, err := json.MarshalIndent(map[string]any{
		"instance": e.Name, "region": e.Zone.Region, "zone": e.Zone.Name, "zones": zones,
		"callers": listen(_portCallers), "readiness": listen(_portReady), "directory": listen(_portDirectory),
		"peers": listen(_portPeers), "permits": listen(_portPermits), "admin": listen(_portAdmin),
		"store": map[string]string{"address": e.Store}, "memoryMb": 284, "cores": 0.32, "linkMbit": 1000.0, "stopSeconds": 6, "ttlSeconds": 5,
		"retry": map[string]any{"ratio": 0.2, "extra": 62, "windowSeconds": 10},
		"cold":  map[string]any{"overrun": 1.5, "slack": 5},
		"log":   map[string]string{"level": "info"},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(e.file("jsonc"), data, 0o600)
}

func (e *Entry) file(kind string) string { return filepath.Join(e.Dir, e.Name+"."+kind) }

// Start starts the process.
func (e *Entry) Start() error {
	out, err := os.OpenFile(e.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	e.cmd = exec.CommandContext(context.Background(), Binary, "entry", "--settings", e.file("jsonc"))
	e.cmd.Stdout, e.cmd.Stderr = out, out
	if err := e.cmd.Start(); err != nil {
		return err
	}
	track(e.cmd.Process)
	done := make(chan struct{})
	e.done = done
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		close(done)
	}(e.cmd)
	return nil
}

// AwaitReady waits until the instance says that it is ready.
func (e *Entry) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + e.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", e.Name)
}

// Pid returns the id of the process.
func (e *Entry) Pid() int { return e.cmd.Process.Pid }

// Signal sends a signal to the process.
func (e *Entry) Signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

// Ended reports whether the process has ended.
func (e *Entry) Ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// Kill ends the process at once and waits for it.
func (e *Entry) Kill() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	<-e.done
}

// Log returns what the process wrote.
func (e *Entry) Log() string {
	data, _ := os.ReadFile(e.file("log"))
	return string(data)
}

// _playLimit is the longest time of a play; a case may take 120 s.
const _playLimit = 110 * time.Second

var _processes struct {
	sync.Mutex
	watched bool
	started []*os.Process
}

// track remembers a process that was started. If the play is told to end, or takes too long, all are
// ended.
func track(p *os.Process) {
	_processes.Lock()
	defer _processes.Unlock()
	_processes.started = append(_processes.started, p)
	if _processes.watched {
		return
	}
	_processes.watched = true
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(_playLimit):
		}
		_processes.Lock()
		for _, started := range _processes.started {
			_ = started.Kill()
		}
		fmt.Fprintln(os.Stderr, "the play was ended")
		os.Exit(2)
	}()
}
