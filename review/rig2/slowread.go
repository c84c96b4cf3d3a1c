//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonlock/wigeonlock/standin"
)

func init() { _cases["slowread"] = slowReadCase }

const (
	// _readPause is how long the worker takes nothing of a body that it has begun to read.
	_readPause = 2500 * time.Millisecond
	// _photoBytes is the size of an upload, below the largest of its kind.
	_photoBytes = 300_000
	// _photoTime is the deadline of an upload, _grace is grace_s.
	_photoTime = 4 * time.Second
	_grace     = 6 * time.Second
)

// slowReadCase stops the only instance of a zone while uploads run. The worker begins to work on
// an upload with its first bytes, then takes nothing for _readPause, and then reads the rest.
// Without the instance's doing, each upload ends a second and more before the last sixth of the
// grace, and before its deadline. It is broken if an upload that a worker was at work at gets no
// answer of the worker.
func slowReadCase(binary, record string, trouble bool) (bool, error) {
	zones := []zone{{"fukuoka-a", "fukuoka"}, {"kumamoto-a", "kumamoto"}}
	r, err := newRig(binary, record, zones)
	if err != nil {
		return false, err
	}
	defer r.close()
	const host = "sheets.example"
	r.store.Configure(1, []standin.Route{{
		Name: "photos", Host: host, Kind: "upload", Objective: 600 * time.Millisecond,
		Service: "sheet-store", MaxAttempts: 2,
	}}, []string{"sheet-store"}, 6)
	var mu sync.Mutex
	paused := make(map[string]time.Time)
	brokenAt := make(map[string]time.Time)
	for i, z := range []zone{zones[0], zones[0], zones[1], zones[1]} {
		w, err := r.addWorker(fmt.Sprintf("i-%d", i), "sheet-store", z.name, 6, 300*time.Millisecond)
		if err != nil {
			return false, err
		}
		if err := setReceiveBuffer(w.listener, 32<<10); err != nil {
			return false, err
		}
		w.read = func(req *http.Request, _ *bufio.Reader) ([]byte, error) {
			id := req.Header.Get("X-Request-Id")
			first := make([]byte, 4<<10)
			if _, err := io.ReadFull(req.Body, first); err != nil {
				return nil, err
			}
			mu.Lock()
			paused[id] = time.Now()
			mu.Unlock()
			r.logf("%s began to work on %s (%d bytes)", w.id, id, req.ContentLength)
			if trouble {
				time.Sleep(_readPause)
			}
			rest, err := io.ReadAll(req.Body)
			if err != nil {
				mu.Lock()
				brokenAt[id] = time.Now()
				mu.Unlock()
				r.logf("%s lost the rest of %s after %d bytes: %v", w.id, id, len(first)+len(rest), err)
			}
			return append(first, rest...), err
		}
	}
	for i, z := range zones {
		if _, err := r.addEntry(fmt.Sprintf("edge-%d", i), z, options{memoryMb: 184, cores: 0.16, linkMbit: 10}); err != nil {
			return false, err
		}
	}
	if err := r.startAll(); err != nil {
		return false, err
	}

	const uploads = 6
	var answers [uploads]answer
	var took [uploads]time.Duration
	var endedAt [uploads]time.Time
	body := make([]byte, _photoBytes)
	e := r.entries[0]
	var wg sync.WaitGroup
	for n := range uploads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			began := time.Now()
			answers[n] = r.call(e.address(), http.MethodPost, host, fmt.Sprintf("/photos/%d", n), fmt.Sprintf("photo-%d", n), body, _photoTime)
			endedAt[n] = time.Now()
			took[n] = endedAt[n].Sub(began)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	mu.Lock()
	begun := len(paused)
	mu.Unlock()
	if begun < uploads {
		return false, fmt.Errorf("workers began %d of %d uploads", begun, uploads)
	}
	stopped := time.Now()
	e.signal(syscall.SIGTERM)
	wg.Wait()
	// The workers find out that the rest of a body does not come.
	time.Sleep(_readPause)
	lost := 0
	for n, a := range answers {
		id := fmt.Sprintf("photo-%d", n)
		stamp := a.header.Get(standin.StampHeader)
		mu.Lock()
		workerLostAt, cut := brokenAt[id]
		mu.Unlock()
		// Not counted: the worker broke off first, the deadline was reached, or the worker was still at
		// work in the last sixth of the grace.
		excused := cut && workerLostAt.Before(endedAt[n]) || took[n] >= _photoTime || endedAt[n].Sub(stopped) >= _grace*5/6
		if stamp == "" && !excused {
			lost++
		}
		r.logf("%s: status %d, stamp %q, error %v, after %.1f s: %s", id, a.status, stamp, a.err, took[n].Seconds(), short(a.body, stamp))
	}
	r.logf("%d of %d uploads at which a worker was at work were broken off", lost, uploads)
	return lost > 0, nil
}

func short(body []byte, stamp string) string {
	if stamp != "" {
		return "the worker's answer"
	}
	return string(body[:min(len(body), 120)])
}

// setReceiveBuffer bounds what the kernel takes for a listener's connections: on the users'
// platform links have small windows.
func setReceiveBuffer(l net.Listener, size int) error {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return errors.New("listener is not TCP")
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	if err := raw.Control(func(fd uintptr) { set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size) }); err != nil {
		return err
	}
	return set
}
