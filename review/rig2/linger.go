//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonlock/wigeonlock/standin"
)

func init() { _cases["linger"] = lingerCase }

const (
	// _guideBytes is the size of a download, the largest of its kind.
	_guideBytes = 540_000
	// _guideTime is the deadline of a download.
	_guideTime = 5 * time.Second
	// _secondAt is when a caller sends its second request, _readAt when it begins to read, after
	// its first request.
	_secondAt = 1200 * time.Millisecond
	_readAt   = 1500 * time.Millisecond
)

// lingerCase stops an instance right after callers have sent a download. The callers read slowly:
// they take nothing at first, and send a further idempotent request meanwhile. It is broken if a
// download that was passed on to a worker ends without its complete answer.
func lingerCase(binary, record string, trouble bool) (bool, error) {
	zones := []zone{{"alpen-a", "eu-alpen"}, {"nord-a", "eu-nord"}}
	r, err := newRig(binary, record, zones)
	if err != nil {
		return false, err
	}
	defer r.close()
	const host = "shop.example"
	r.store.Configure(1, []standin.Route{{
		Name: "guide", Host: host, Kind: "download", Objective: 800 * time.Millisecond, Service: "dokumente", MaxAttempts: 2,
	}}, []string{"dokumente"}, 6)
	for i := range 4 {
		w, err := r.addWorker(fmt.Sprintf("i-%d", i), "dokumente", zones[i%2].name, 6, 300*time.Millisecond)
		if err != nil {
			return false, err
		}
		w.decide = func(run) (int, int, string) { return http.StatusOK, _guideBytes, "" }
	}
	for i, z := range zones {
		if _, err := r.addEntry(fmt.Sprintf("edge-%d", i), z, options{memoryMb: 536, cores: 0.8, linkMbit: 200}); err != nil {
			return false, err
		}
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	const callers = 4
	e := r.entries[0]
	var wg sync.WaitGroup
	var answers [callers]answer
	var took [callers]time.Duration
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			began := time.Now()
			answers[n] = r.slowDownload(e.address(), host, n)
			took[n] = time.Since(began)
		}()
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		e.signal(syscall.SIGTERM)
	}
	wg.Wait()
	ran := make(map[string]bool)
	for _, w := range r.workers {
		for _, done := range w.allRuns() {
			ran[done.id] = true
		}
	}
	lost := 0
	for n, a := range answers {
		id := fmt.Sprintf("guide-%d-1", n)
		whole := a.err == nil && (a.status != http.StatusOK || len(a.body) == _guideBytes)
		// Not counted: the deadline was reached.
		if ran[id] && !whole && took[n] < _guideTime {
			lost++
		}
		r.logf("%s: status %d, %d of %d bytes, error %v, after %.1f s", id, a.status, len(a.body), _guideBytes, a.err, took[n].Seconds())
	}
	r.logf("%d of %d downloads that were passed on ended without their complete answer", lost, callers)
	return lost > 0, nil
}

// slowDownload sends a download, a further one later on the same connection, and then reads the
// answer to the first. Its receive buffer is small, as the windows of the users' links.
func (r *rig) slowDownload(address, host string, n int) answer {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10) })
	}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	began := time.Now()
	send := func(k int) error {
		id := fmt.Sprintf("guide-%d-%d", n, k)
		r.logf("sent %s GET /guide/%d", id, n)
		_, err := io.WriteString(c, requestHead(http.MethodGet, host, fmt.Sprintf("/guide/%d", n), id, _guideTime)+"\r\n")
		return err
	}
	if err := send(1); err != nil {
		return answer{err: err}
	}
	time.Sleep(time.Until(began.Add(_secondAt)))
	if err := send(2); err != nil {
		r.logf("guide-%d-2 could not be sent: %v", n, err)
	}
	time.Sleep(time.Until(began.Add(_readAt)))
	return readAnswer(bufio.NewReader(c), http.MethodGet)
}
