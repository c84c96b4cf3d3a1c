package play

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/soak/check"
	"github.com/wigeonlock/wigeonlock/soak/link"
)

const (
	// _restartPause is how long an instance that ended stays down.
	_restartPause = 300 * time.Millisecond
	// _startTime bounds the time until an instance answers after its start.
	_startTime = 8 * time.Second
	_portFront = 8641
	_portReady = 8640
	_portNames = 8644
	_portPeers = 7620
	_portAdmin = 7621
)

// instance is one entry instance: a process that is started again when it ends.
type instance struct {
	run   *run
	name  string
	host  string
	zone  string
	store *link.Link
	peers *link.Link

	mu          sync.Mutex
	cmd         *exec.Cmd
	incarnation int
	// down is the index of its open entry in the run's downs, or -1.
	down int
	// told is set when it was told to end or was killed.
	told   bool
	exited chan struct{}
}

func (i *instance) address(port int) string { return fmt.Sprintf("%s:%d", i.host, port) }

// write writes the settings file. extra is the bound on what is sent again.
func (i *instance) write(extra float64) error {
	b := i.run.log.Limits
	listen := func(port int) map[string]any { return map[string]any{"listen": i.address(port)} }
	peers := listen(_portPeers)
	peers["advertise"] = i.peers.Address()
	settings := map[string]any{
		"instance": i.name, "region": _regions[i.zone], "zone": i.zone, "zones": zoneSettings(),
		"callers": listen(_portFront), "readiness": listen(_portReady), "directory": listen(_portNames),
		"peers": peers, "admin": listen(_portAdmin), "store": map[string]any{"address": i.store.Address()},
		"memoryMb": 256, "cores": 0.5, "linkMbit": 1000, "stopSeconds": _grace.Seconds(), "ttlSeconds": 5,
		"retry": map[string]any{"ratio": b.RetryRatio, "extra": extra, "windowSeconds": b.RetryWindow.Seconds()},
		"cold":  map[string]any{"overrun": _coldOverrun, "slack": _coldSlack},
		"log":   map[string]any{"level": "info"},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return os.WriteFile(i.file("jsonc"), data, 0o600)
}

func (i *instance) file(kind string) string {
	return filepath.Join(i.run.Dir, i.name+"."+kind)
}

// start starts the process.
func (i *instance) start() error {
	out, err := os.OpenFile(i.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = out.Close() }()
	cmd := exec.CommandContext(context.Background(), i.run.Binary, "entry", "--settings", i.file("jsonc"))
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start instance")
	}
	exited := make(chan struct{})
	i.mu.Lock()
	i.cmd, i.told, i.exited = cmd, false, exited
	i.incarnation++
	i.mu.Unlock()
	go i.wait(cmd, exited)
	return nil
}

// wait notes the end of a process.
func (i *instance) wait(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait()
	i.mu.Lock()
	told := i.told
	i.mu.Unlock()
	i.run.note(func(l *check.Log) {
		if !told {
			l.UnexpectedExits = append(l.UnexpectedExits, i.name)
		}
		l.Downtimes = append(l.Downtimes, check.Downtime{Instance: i.name, From: time.Now()})
		i.down = len(l.Downtimes) - 1
	})
	close(exited)
}

// up waits until a started process answers, and notes that it is up.
func (i *instance) up() {
	until := time.Now().Add(_startTime)
	for time.Now().Before(until) && !i.run.over() {
		if i.ready() {
			break
		}
		time.Sleep(_look)
	}
	i.run.note(func(l *check.Log) {
		if i.down >= 0 {
			l.Downtimes[i.down].Until = time.Now()
			i.down = -1
		}
	})
}

func (i *instance) ready() bool {
	resp, err := i.run.get("http://" + i.address(_portReady) + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the process if it runs.
func (i *instance) signal(s syscall.Signal, ends bool) (exited <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return nil
	}
	select {
	case <-i.exited:
		return i.exited
	default:
	}
	i.told = i.told || ends
	_ = i.cmd.Process.Signal(s)
	return i.exited
}

// life returns the number of the current process.
func (i *instance) life() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.incarnation
}

// busy takes an instance for one event that ends it; false if another has it.
func (i *instance) busy() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.told
}

// kill ends the process at once and starts it again.
func (i *instance) kill() {
	if i.busy() {
		return
	}
	end := i.run.trouble(check.Disruption{Instance: i.name, Cause: "kill"})
	<-i.signal(syscall.SIGKILL, true)
	i.again(end)
}

// again starts the process after a pause.
func (i *instance) again(end func()) {
	defer end()
	time.Sleep(_restartPause)
	if i.run.over() {
		return
	}
	if err := i.start(); err != nil {
		i.run.fail(err)
		return
	}
	i.up()
}

// terminate stops the process as planned and starts it again.
func (i *instance) terminate(again bool) {
	if i.busy() {
		return
	}
	end := i.run.trouble(check.Disruption{Instance: i.name, Cause: check.Stopping})
	at := i.run.noteStop(i.name)
	exited := i.signal(syscall.SIGTERM, true)
	killed := false
	select {
	case <-exited:
	case <-time.After(_grace):
		killed = true
		<-i.signal(syscall.SIGKILL, true)
	}
	i.run.note(func(l *check.Log) { l.Stops[at].Ended, l.Stops[at].Killed = time.Now(), killed })
	if again {
		i.again(end)
		return
	}
	end()
}

// freeze stops the process for a while.
func (i *instance) freeze(d time.Duration) {
	end := i.run.trouble(check.Disruption{Instance: i.name, Cause: "freeze"})
	defer end()
	i.signal(syscall.SIGSTOP, false)
	time.Sleep(d)
	i.signal(syscall.SIGCONT, false)
}
