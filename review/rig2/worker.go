//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wigeonlock/wigeonlock/platform"
	"github.com/wigeonlock/wigeonlock/standin"
)

// run is a request that a worker began to work on.
type run struct {
	worker, id, path string
	at               time.Time
	body             int
}

// backend is a stand-in for a worker (server) of the platform.
type backend struct {
	id, service, zone string
	slots             int
	work              time.Duration
	rig               *rig
	listener          net.Listener

	// entry writes the entry of the worker. It serves nothing itself.
	entry *standin.Backend

	mu      sync.Mutex
	written int
	stopped chan struct{}
	slot    chan struct{}
	runs    []run
	// read, if set, reads the body of a request.
	read func(req *http.Request, in *bufio.Reader) ([]byte, error)
	// decide, if set, returns how a request is answered after it ran.
	decide func(r run) (status int, size int, extra string)
}

// addWorker starts a worker, which registers itself and writes its entry at intervals.
func (r *rig) addWorker(id, service, zone string, slots int, work time.Duration) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		id: id, service: service, zone: zone, slots: slots, work: work, rig: r, listener: l,
		entry:   &standin.Backend{ID: id, Service: service, Zone: zone, Slots: slots, AdvertisedAddress: l.Addr().String()},
		stopped: make(chan struct{}), slot: make(chan struct{}, slots),
	}
	r.workers = append(r.workers, b)
	b.entry.Restart()
	b.beat()
	go func() {
		for {
			select {
			case <-b.stopped:
				return
			case <-time.After(1500 * time.Millisecond):
				b.beat()
			}
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b, nil
}

func (b *backend) close() {
	select {
	case <-b.stopped:
	default:
		close(b.stopped)
	}
	_ = b.listener.Close()
}

// beat writes the entry of the worker.
func (b *backend) beat() {
	b.entry.Register(b.rig.store, "ready")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.written++
}

// entries returns the number of entries that the worker has written.
func (b *backend) entries() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written
}

// _names are the names of the headers between instances and workers.
var _names = platform.WorkerHeaders()

// serve answers the requests of one connection, one after the other.
func (b *backend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReaderSize(c, 4<<10)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		read := b.read
		if read == nil {
			read = func(req *http.Request, _ *bufio.Reader) ([]byte, error) { return io.ReadAll(req.Body) }
		}
		body, err := read(req, in)
		if err != nil {
			return
		}
		if !b.handle(c, req, body) {
			return
		}
	}
}

// handle answers a request and reports whether the connection stays open.
func (b *backend) handle(c net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get(_names.RequestID)
	if req.URL.Path == "/health" {
		return write(c, http.StatusOK, fields(_names.RequestID, id, _names.Self, b.id, _names.Cold, "0"), nil)
	}
	if expect := req.Header.Get(_names.Expect); expect != "" && expect != b.id {
		return write(c, http.StatusMisdirectedRequest, fields(_names.RequestID, id), nil)
	}
	deadline, err := strconv.Atoi(req.Header.Get(_names.TimeLeft))
	if err != nil {
		deadline = 30000
	}
	select {
	case b.slot <- struct{}{}:
	case <-time.After(time.Duration(deadline) * time.Millisecond):
		return write(c, http.StatusServiceUnavailable, fields(_names.RequestID, id, _names.NotRun, "1"), nil)
	}
	defer func() { <-b.slot }()
	r := run{worker: b.id, id: id, path: req.URL.Path, at: time.Now(), body: len(body)}
	b.mu.Lock()
	b.runs = append(b.runs, r)
	decide := b.decide
	b.mu.Unlock()
	b.rig.logf("run %s by %s of %s", id, b.id, b.service)
	time.Sleep(b.work)
	status, size, extra := 200, 64, ""
	if decide != nil {
		status, size, extra = decide(r)
	}
	payload := make([]byte, size)
	for i := range payload {
		payload[i] = byte('a' + i%26)
	}
	load := fmt.Sprintf("%d,0,%d", len(b.slot), b.slots)
	return write(c, status, fields(
		_names.RequestID, id, standin.StampHeader, b.id+"."+id, "Keep-Alive", "timeout=10", _names.Load, load,
	)+extra, payload)
}

// fields returns header fields from names and values in turn.
func fields(list ...string) string {
	var text strings.Builder
	for i := 0; i+1 < len(list); i += 2 {
		text.WriteString(list[i] + ": " + list[i+1] + "\r\n")
	}
	return text.String()
}

// write writes an answer and reports whether the connection stays open.
func write(c net.Conn, status int, header string, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), header, len(body))
	_, err := c.Write(append([]byte(head), body...))
	return err == nil
}

func (b *backend) allRuns() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run(nil), b.runs...)
}
