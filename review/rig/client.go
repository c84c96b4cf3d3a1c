//go:build review

package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonlock/wigeonlock/standin"
)

var _ids atomic.Int64

// NewID returns an ID that no other request of this run has.
func NewID() string {
	return fmt.Sprintf("%016x", time.Now().UnixNano()^_ids.Add(1)<<48)
}

// Attempt is one attempt of a client, as the client saw it.
type Attempt struct {
	ID     string
	Method string
	Path   string
	// To is the address of the instance. Kept is set if the connection had served a request before.
	To   string
	Kept bool
	// Began is when the client began to send, Sent when it had sent all, zero if it could not.
	Began time.Time
	Sent  time.Time
	Ended time.Time
	// Status is that of a complete answer, 0 if there was none. Err says why not.
	Status int
	Err    string
	// Own is set if the client itself gave up at its deadline.
	Own bool
}

// Conn is a kept connection of a client.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	To     string
	used   bool
}

// Open connects to an instance.
func Open(address string) (*Conn, error) {
	c, err := Dial(address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		// What the kernel of a client holds for it does not count at the instance.
		_ = tcp.SetReadBuffer(256 << 10)
	}
	return &Conn{Conn: c, reader: bufio.NewReader(c), To: address}, nil
}

// Request is what a client sends.
type Request struct {
	Method   string
	Host     string
	Path     string
	Object   string
	Deadline time.Duration
	// Size is the length of the body, sent at BytesPerSecond if that is not zero.
	Size           int
	BytesPerSecond int
	// ReadPerSecond is how fast the answer is read, in bytes a second, or zero.
	ReadPerSecond int
}

// Do sends a request and reads its answer. closed reports whether the connection can't be used
// any more.
func (c *Conn) Do(r Request) (a Attempt, closed bool) {
	a = Attempt{ID: NewID(), Method: r.Method, Path: r.Path, To: c.To, Kept: c.used, Began: time.Now()}
	defer func() { a.Ended = time.Now() }()
	limit := a.Began.Add(r.Deadline)
	_ = c.SetDeadline(limit)
	var head bytes.Buffer
	standin.WriteHead(&head, r.Method, r.Path, r.Host, a.ID, r.Object, r.Deadline)
	if r.Size > 0 {
		_, _ = fmt.Fprintf(&head, "Content-Length: %d\r\n", r.Size)
	} else if r.Method == http.MethodPost {
		head.WriteString("Content-Length: 0\r\n")
	}
	head.WriteString("\r\n")
	_, err := c.Write(head.Bytes())
	if err == nil {
		err = c.sendBody(r)
	}
	if err == nil {
		a.Sent = time.Now()
	}
	resp, readErr := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if readErr == nil {
		readErr = readBody(resp.Body, r.ReadPerSecond)
	}
	if readErr != nil {
		a.Err = readErr.Error()
		if err != nil {
			a.Err = "send: " + err.Error()
		}
		a.Own = !time.Now().Before(limit)
		_ = c.Close()
		return a, true
	}
	a.Status, c.used = resp.StatusCode, true
	if resp.Close || err != nil {
		_ = c.Close()
		return a, true
	}
	return a, false
}

func readBody(body io.Reader, perSecond int) error {
	const step = 64 << 10
	began := time.Now()
	for read := 0; ; {
		n, err := io.CopyN(io.Discard, body, step)
		read += int(n)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if perSecond > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(read) / float64(perSecond) * float64(time.Second)))))
		}
	}
}

func (c *Conn) sendBody(r Request) error {
	const step = 64 << 10
	piece := make([]byte, step)
	for i := range piece {
		piece[i] = byte('a' + i%26)
	}
	began := time.Now()
	for sent := 0; sent < r.Size; {
		n := min(step, r.Size-sent)
		if _, err := c.Write(piece[:n]); err != nil {
			return err
		}
		sent += n
		if r.BytesPerSecond > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / float64(r.BytesPerSecond) * float64(time.Second)))))
		}
	}
	return nil
}

// Client asks the directory where to connect, as often as the answers say, and keeps one
// connection open.
type Client struct {
	D      *Deployment
	Host   string
	Zone   Zone
	Number int
	// Keeps is set for a client that keeps an answer of the directory three times as long.
	Keeps bool

	conn   *Conn
	failed map[string]time.Time

	mu        sync.Mutex
	addresses []string
}

// _resolveTime is the time for which a client keeps an answer of the directory (ttl_s).
const _resolveTime = 2 * time.Second

// Follow asks the directory until a time.
func (c *Client) Follow(until time.Time) {
	keep := _resolveTime
	if c.Keeps {
		keep *= 3
	}
	for time.Now().Before(until) {
		pause := keep
		if addresses := c.D.Resolve(c.Host, c.Zone); len(addresses) > 0 {
			c.mu.Lock()
			c.addresses = addresses
			c.mu.Unlock()
		} else {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// Do sends a request. It returns false if there was no connection.
func (c *Client) Do(r Request) (Attempt, bool) {
	if c.failed == nil {
		c.failed = make(map[string]time.Time)
	}
	c.mu.Lock()
	addresses := c.addresses
	c.mu.Unlock()
	if c.conn != nil && !slices.Contains(addresses, c.conn.To) {
		_ = c.conn.Close()
		c.conn = nil
	}
	if c.conn == nil && !c.connect(addresses) {
		return Attempt{}, false
	}
	to := c.conn.To
	a, closed := c.conn.Do(r)
	if closed {
		if a.Status == 0 {
			c.failed[to] = time.Now()
		}
		c.conn = nil
	}
	return a, true
}

func (c *Client) connect(addresses []string) bool {
	for i := range addresses {
		address := addresses[(c.Number+i)%len(addresses)]
		if at, ok := c.failed[address]; ok && time.Since(at) < _resolveTime {
			continue
		}
		conn, err := Open(address)
		if err != nil {
			c.failed[address] = time.Now()
			continue
		}
		c.conn = conn
		return true
	}
	return false
}
