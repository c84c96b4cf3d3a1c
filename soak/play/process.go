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
	// _restartPause is how long an instance stays down before it is restarted.
	_restartPause = 300 * time.Millisecond
	// _startTimeout limits the time until a started instance becomes ready.
	_startTimeout  = 8 * time.Second
	_portCallers   = 8641
	_portReady     = 8640
	_portDirectory = 8644
	_portPeers     = 7620
	_portAdmin     = 7621
	_portPermits   = 7622
)

// instance is one entry instance, whose process is restarted after events that end
// it.
type instance struct {
	run   *run
	name  string
	host  string
	zone  string
	store *link.Link
	peers *link.Link
	// permits relays the datagrams about permits.
	permits *link.Datagrams

	mu     sync.Mutex
	cmd    *exec.Cmd
	starts int
	// downtime is the index of the instance's open entry in the log's Downtimes, or -1.
	downtime int
	// expectExit is set once the process was sent a signal that ends it.
	expectExit bool
	exited     chan struct{}
}

func (i *instance) address(port int) string { return fmt.Sprintf("%s:%d", i.host, port) }

// writeSettings writes the settings file. extra is the number of retries allowed
// beyond the ratio.
func (i *instance) writeSettings(extra float64) error {
	limits := i.run.log.Limits
	listen := func(port int) map[string]any { return map[string]any{"listen": i.address(port)} }
	peers := listen(_portPeers)
	peers["advertise"] = i.peers.Address()
	permits := listen(_portPermits)
	permits["advertise"] = i.permits.Address()
	settings := map[string]any{
		"instance": i.name, "region": _regions[i.zone], "zone": i.zone, "zones": zoneSettings(),
		"callers": listen(_portCallers), "readiness": listen(_portReady), "directory": listen(_portDirectory),
		"peers": peers, "permits": permits, "admin": listen(_portAdmin), "store": map[string]any{"address": i.store.Address()},
		"memoryMb": 256, "cores": 0.5, "linkMbit": 1000, "stopSeconds": _stopTime.Seconds(), "ttlSeconds": 5,
		"retry": map[string]any{"ratio": limits.RetryRatio, "extra": extra, "windowSeconds": limits.RetryWindow.Seconds()},
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

// start starts the process with a new incarnation.
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
	i.cmd, i.expectExit, i.exited = cmd, false, exited
	i.starts++
	i.mu.Unlock()
	go i.wait(cmd, exited)
	return nil
}

// wait waits until a process exits and records it.
func (i *instance) wait(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait()
	i.mu.Lock()
	expectExit := i.expectExit
	i.mu.Unlock()
	i.run.record(func(l *check.Log) {
		if !expectExit {
			l.UnexpectedExits = append(l.UnexpectedExits, i.name)
		}
		if i.downtime >= 0 {
			// It ended again before it was ready.
			return
		}
		l.Downtimes = append(l.Downtimes, check.Downtime{Instance: i.name, From: time.Now()})
		i.downtime = len(l.Downtimes) - 1
	})
	close(exited)
}

// awaitReady waits until a started process is ready, at most _startTimeout, and
// records the end of its downtime.
func (i *instance) awaitReady() {
	until := time.Now().Add(_startTimeout)
	for time.Now().Before(until) && !i.run.over() {
		if i.ready() {
			break
		}
		time.Sleep(_pollInterval)
	}
	i.run.record(func(l *check.Log) {
		if i.downtime >= 0 {
			l.Downtimes[i.downtime].Until = time.Now()
			i.downtime = -1
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

// signal sends a signal to the process if it runs; ends is set if the process exits
// on it. It returns a channel that is closed when the process has exited, or nil if
// none was started.
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
	i.expectExit = i.expectExit || ends
	_ = i.cmd.Process.Signal(s)
	return i.exited
}

// incarnation returns the number of the current process.
func (i *instance) incarnation() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.starts
}

// mayEnd reports whether the process may be ended now, and marks it as ending: of two events
// at the same time, one ends and restarts it.
func (i *instance) mayEnd() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.expectExit {
		return false
	}
	i.expectExit = true
	return true
}

// kill kills the process and restarts it.
func (i *instance) kill() {
	if !i.mayEnd() {
		return
	}
	end := i.run.recordDisruption(check.Disruption{Instance: i.name, Cause: "kill"})
	<-i.signal(syscall.SIGKILL, true)
	i.restart(end)
}

// restart starts the process after a pause, waits until it is ready and calls end.
func (i *instance) restart(end func()) {
	defer end()
	time.Sleep(_restartPause)
	if i.run.over() {
		return
	}
	if err := i.start(); err != nil {
		i.run.fail(err)
		return
	}
	i.awaitReady()
}

// terminate stops the process as planned and, if restart is set, restarts it. A
// process that does not exit within _stopTime is killed.
func (i *instance) terminate(restart bool) {
	if !i.mayEnd() {
		return
	}
	end := i.run.recordDisruption(check.Disruption{Instance: i.name, Cause: check.Stopping})
	index := i.run.recordStop(i.name)
	exited := i.signal(syscall.SIGTERM, true)
	killed := false
	select {
	case <-exited:
	case <-time.After(_stopTime):
		killed = true
		<-i.signal(syscall.SIGKILL, true)
	}
	i.run.record(func(l *check.Log) { l.Stops[index].Ended, l.Stops[index].Killed = time.Now(), killed })
	if restart {
		i.restart(end)
		return
	}
	end()
}

// freeze suspends the process for a while.
func (i *instance) freeze(d time.Duration) {
	end := i.run.recordDisruption(check.Disruption{Instance: i.name, Cause: check.Freezing})
	defer end()
	i.signal(syscall.SIGSTOP, false)
	time.Sleep(d)
	i.signal(syscall.SIGCONT, false)
}
