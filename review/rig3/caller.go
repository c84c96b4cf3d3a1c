//go:build review

package rig3

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonlock/wigeonlock/platform"
	"github.com/wigeonlock/wigeonlock/standin"
)

// Sent is a request of a caller.
type Sent struct {
	At, Answered time.Time
	ID           string
	// Status is that of the answer, or 0 if there was none. Stamped is set if it has the stamp of a worker.
	Status  int
	Stamped bool
	// Body is the body of the answer, Whole is set if it ended as its head says.
	Body  string
	Whole bool
}

// Callers send requests to one instance, each over a kept connection of its own and one after the
// other.
type Callers struct {
	Address string
	Host    string
	Path    string
	Method  string
	// Count is the number of callers, Pause what each waits between two requests, and Objects the
	// number of objects that the requests concern.
	Count   int
	Pause   time.Duration
	Objects int
	Limit   time.Duration
	// Prefix begins the IDs of the requests.
	Prefix string

	ended   atomic.Bool
	group   sync.WaitGroup
	numbers atomic.Int64
	mu      sync.Mutex
	sent    []Sent
}

// Start starts the callers.
func (c *Callers) Start() {
	for n := range c.Count {
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			time.Sleep(c.Pause * time.Duration(n) / time.Duration(c.Count))
			c.loop()
		}()
	}
}

// Stop stops the callers and returns what they sent.
func (c *Callers) Stop() []Sent {
	c.ended.Store(true)
	c.group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

func (c *Callers) loop() {
	var conn net.Conn
	var reader *bufio.Reader
	for !c.ended.Load() {
		next := time.Now().Add(c.Pause)
		if conn == nil {
			nc, err := net.DialTimeout("tcp", c.Address, time.Second)
			if err != nil {
				time.Sleep(c.Pause)
				continue
			}
			conn, reader = nc, bufio.NewReader(nc)
		}
		if !c.exchange(conn, reader) {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(time.Until(next))
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// exchange sends one request and reads its answer. It reports whether the connection may be kept.
func (c *Callers) exchange(conn net.Conn, reader *bufio.Reader) bool {
	n := c.numbers.Add(1)
	s := Sent{At: time.Now(), ID: fmt.Sprintf("%s%06d", c.Prefix, n)}
	defer func() {
		c.mu.Lock()
		c.sent = append(c.sent, s)
		c.mu.Unlock()
	}()
	var head bytes.Buffer
	standin.WriteHead(&head, c.Method, c.Path+s.ID, c.Host, s.ID, fmt.Sprint(n%int64(c.Objects)), c.Limit)
	head.WriteString("\r\n")
	_ = conn.SetDeadline(time.Now().Add(c.Limit + time.Second))
	if _, err := conn.Write(head.Bytes()); err != nil {
		return false
	}
	resp, err := http.ReadResponse(reader, &http.Request{Method: c.Method})
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	s.Body, s.Whole = string(body), err == nil
	names := platform.WorkerHeaders()
	s.Answered, s.Status = time.Now(), resp.StatusCode
	s.Stamped = resp.Header.Get(names.Stamp) != ""
	return err == nil && !resp.Close
}
