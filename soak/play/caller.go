package play

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/soak/check"
	"github.com/wigeonlock/wigeonlock/standin"
)

// habit is how a caller uses its connections.
type habit string

const (
	_pool     habit = "pool"
	_pipeline habit = "pipeline"
	_fresh    habit = "fresh"
	_leaver   habit = "leaver"
)

const (
	// _patience is how long a caller waits beyond a request's time.
	_patience = 3 * time.Second
	_dialTime = time.Second
	// _nameTime is how long an answer of the directory is kept.
	_nameTime = 2 * time.Second
	// _ahead is the number of requests that a pipelining caller sends at once.
	_ahead = 3
)

var _dialer = net.Dialer{Timeout: _dialTime}

// route is a path that callers use.
type route struct {
	prefix     string
	method     string
	repeatable bool
	// limit is the route's time, size that of the answer, body that of the request.
	limit time.Duration
	size  int
	body  int
}

// caller sends one request after the other.
type caller struct {
	run   *run
	name  string
	route route
	habit habit
	// stays is set if it uses an open connection as long as that works, even
	// when the directory no longer names the instance.
	stays bool
	pause time.Duration
	rand  *rand.Rand
	// fixed is the instance to use whatever the directory says, or nil; path
	// replaces the route's.
	fixed *instance
	path  func() string

	count   int
	names   []string
	namedAt time.Time
	conn    *connection
}

// connection is an open connection to an instance.
type connection struct {
	net.Conn
	reader   *bufio.Reader
	instance *instance
	life     int
}

func (c *caller) loop() {
	for !c.run.over() {
		time.Sleep(time.Duration(float64(c.pause) * (0.5 + c.rand.Float64())))
		if c.run.over() {
			break
		}
		if !c.connect() {
			continue
		}
		c.exchange()
		if c.habit == _fresh {
			c.hangUp()
		}
	}
	c.hangUp()
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect makes sure that there is a connection.
func (c *caller) connect() bool {
	if c.fixed == nil && time.Since(c.namedAt) > _nameTime {
		c.ask()
		if c.conn != nil && !c.stays && !slices.Contains(c.names, c.conn.instance.address(_portFront)) {
			c.hangUp()
		}
	}
	if c.conn != nil {
		return true
	}
	i := c.fixed
	if i == nil {
		if len(c.names) == 0 {
			return false
		}
		i = c.run.at(c.names[c.rand.IntN(len(c.names))])
	}
	if i == nil {
		return false
	}
	life := i.life()
	nc, err := _dialer.Dial("tcp", i.address(_portFront))
	if err != nil {
		c.namedAt = time.Time{}
		return false
	}
	c.conn = &connection{Conn: nc, reader: bufio.NewReader(nc), instance: i, life: life}
	return true
}

// ask asks an instance which there are.
func (c *caller) ask() {
	asked := c.run.instances[c.rand.IntN(len(c.run.instances))]
	query := url.Values{"name": {_host}, "region": {_regions[asked.zone]}, "zone": {asked.zone}}
	resp, err := c.run.get("http://" + asked.address(_portNames) + "/resolve?" + query.Encode())
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return
	}
	c.names, c.namedAt = answer.Addresses, time.Now()
	names := make([]string, 0, len(answer.Addresses))
	for _, address := range answer.Addresses {
		if i := c.run.at(address); i != nil {
			names = append(names, i.name)
		}
	}
	c.run.note(func(l *check.Log) {
		l.DirectoryAnswers = append(l.DirectoryAnswers, check.DirectoryAnswer{At: time.Now(), Instance: asked.name, Instances: names})
	})
}

// exchange sends what the habit asks for and reads the answers.
func (c *caller) exchange() {
	n := 1
	if c.habit == _pipeline {
		n = _ahead
	}
	calls := make([]*check.Call, n)
	var out bytes.Buffer
	for k := range calls {
		calls[k] = c.request(&out)
	}
	conn := c.conn
	_ = conn.SetDeadline(time.Now().Add(c.route.limit + _patience))
	_, err := conn.Write(out.Bytes())
	sent := time.Now()
	for k, call := range calls {
		call.Sent, call.Pipelined = sent, k > 0
	}
	if c.habit == _leaver && err == nil {
		c.leave(calls[0])
		return
	}
	for k, call := range calls {
		if err == nil {
			err = c.answer(call, k == len(calls)-1)
		}
		if err != nil && call.Ended.IsZero() {
			call.Ended = time.Now()
			// A caller whose patience ends hangs up itself.
			call.ConnLost = !errors.Is(err, os.ErrDeadlineExceeded)
			c.hangUp()
		}
		c.run.noteCall(call)
	}
}

// request writes a request and returns its record.
func (c *caller) request(out *bytes.Buffer) *check.Call {
	c.count++
	path := c.route.prefix + strconv.Itoa(c.rand.IntN(_objects)) + "/" + strconv.Itoa(c.route.size)
	if c.path != nil {
		path = c.path()
	}
	call := &check.Call{
		ID: fmt.Sprintf("%s-%d", c.name, c.count), Instance: c.conn.instance.name, Incarnation: c.conn.life,
		Method: c.route.method, Path: path, Repeatable: c.route.repeatable, Timeout: c.route.limit,
	}
	body := bytes.Repeat([]byte(call.ID+"."), c.route.body/(len(call.ID)+1))
	call.Body = xxhash.Sum64(body)
	object := strings.Split(path, "/")[2]
	standin.WriteHead(out, call.Method, path, _host, call.ID, object, c.route.limit)
	switch {
	case len(body) == 0:
		out.WriteString("\r\n")
	case c.count%2 == 0:
		_, _ = fmt.Fprintf(out, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	default:
		_, _ = fmt.Fprintf(out, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	return call
}

// answer reads the answer to a call.
func (c *caller) answer(call *check.Call, last bool) error {
	resp, err := http.ReadResponse(c.conn.reader, &http.Request{Method: call.Method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return err
	}
	call.Ended, call.Status, call.Stamp = time.Now(), resp.StatusCode, resp.Header.Get(standin.StampHeader)
	size, sizeErr := strconv.Atoi(call.Path[strings.LastIndexByte(call.Path, '/')+1:])
	call.Complete = sizeErr == nil && bytes.Equal(body, standin.Body(call.ID, size)) && resp.Header.Get(standin.RequestIDHeader) == call.ID
	if resp.Close {
		c.hangUp()
		if !last {
			return io.EOF
		}
	}
	return nil
}

// leave gives a request up after a while.
func (c *caller) leave(call *check.Call) {
	time.Sleep(time.Duration(float64(_leaveAfter) * (0.5 + c.rand.Float64())))
	call.DisconnectedAt = time.Now()
	call.Ended = call.DisconnectedAt
	c.hangUp()
	c.run.noteCall(call)
}
