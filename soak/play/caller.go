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

// connMode is how a caller uses its connections.
type connMode string

const (
	// _modePool reuses one connection, _modePipeline sends several requests at once on
	// it, _modeFresh opens one for each request, and _modeDisconnect disconnects before
	// the answer.
	_modePool       connMode = "pool"
	_modePipeline   connMode = "pipeline"
	_modeFresh      connMode = "fresh"
	_modeDisconnect connMode = "leaver"
)

const (
	// _extraWait is how long a caller waits for answers beyond a request's timeout.
	_extraWait   = 3 * time.Second
	_dialTimeout = time.Second
	// _resolveTTL is how long an answer of the directory is cached.
	_resolveTTL = 2 * time.Second
	// _pipelineDepth is the number of requests that a pipelining caller sends at once.
	_pipelineDepth = 3
)

var _dialer = net.Dialer{Timeout: _dialTimeout}

// route is a path prefix that callers send requests to.
type route struct {
	prefix     string
	method     string
	repeatable bool
	// timeout is the timeout of the requests; size is the size of the answer body and
	// body that of the request body, in bytes.
	timeout time.Duration
	size    int
	body    int
}

// caller sends requests one after another, or in pipelined groups.
type caller struct {
	run      *run
	name     string
	route    route
	connMode connMode
	// sticky is set if the caller uses an open connection as long as it works, even
	// when the directory no longer returns the instance.
	sticky bool
	pause  time.Duration
	rand   *rand.Rand
	// fixed is the instance to use regardless of the directory, or nil. path, if set,
	// returns the path to use instead of the route's.
	fixed *instance
	path  func() string
	// key, if set, returns the key of the next request instead of the steady one.
	key func() teamKey

	count      int
	resolved   []string
	resolvedAt time.Time
	conn       *connection
}

// connection is an open connection to an instance.
type connection struct {
	net.Conn
	reader      *bufio.Reader
	instance    *instance
	incarnation int
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
		if c.connMode == _modeFresh {
			c.closeConn()
		}
	}
	c.closeConn()
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection unless one is open, and reports whether there is one.
func (c *caller) connect() bool {
	if c.fixed == nil && time.Since(c.resolvedAt) > _resolveTTL {
		c.resolve()
		if c.conn != nil && !c.sticky && !slices.Contains(c.resolved, c.conn.instance.address(_portCallers)) {
			c.closeConn()
		}
	}
	if c.conn != nil {
		return true
	}
	i := c.fixed
	if i == nil {
		if len(c.resolved) == 0 {
			return false
		}
		i = c.run.instanceAt(c.resolved[c.rand.IntN(len(c.resolved))])
	}
	if i == nil {
		return false
	}
	incarnation := i.incarnation()
	nc, err := _dialer.Dial("tcp", i.address(_portCallers))
	if err != nil {
		c.resolvedAt = time.Time{}
		return false
	}
	c.conn = &connection{Conn: nc, reader: bufio.NewReader(nc), instance: i, incarnation: incarnation}
	return true
}

// resolve requests the addresses of instances from the directory of a random one.
func (c *caller) resolve() {
	directory := c.run.instances[c.rand.IntN(len(c.run.instances))]
	query := url.Values{"name": {_host}, "region": {_regions[directory.zone]}, "zone": {directory.zone}}
	resp, err := c.run.get("http://" + directory.address(_portDirectory) + "/resolve?" + query.Encode())
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
	c.resolved, c.resolvedAt = answer.Addresses, time.Now()
	resolved := make([]string, 0, len(answer.Addresses))
	for _, address := range answer.Addresses {
		if i := c.run.instanceAt(address); i != nil {
			resolved = append(resolved, i.name)
		}
	}
	c.run.record(func(l *check.Log) {
		l.DirectoryAnswers = append(l.DirectoryAnswers, check.DirectoryAnswer{At: time.Now(), Instance: directory.name, Instances: resolved})
	})
}

// exchange sends one request, or several if pipelining, and reads the answers.
func (c *caller) exchange() {
	n := 1
	if c.connMode == _modePipeline {
		n = _pipelineDepth
	}
	calls := make([]*check.Call, n)
	var out bytes.Buffer
	for k := range calls {
		calls[k] = c.writeRequest(&out)
	}
	conn := c.conn
	_ = conn.SetDeadline(time.Now().Add(c.route.timeout + _extraWait))
	_, err := conn.Write(out.Bytes())
	sent := time.Now()
	for k, call := range calls {
		call.Sent, call.Pipelined = sent, k > 0
	}
	if c.connMode == _modeDisconnect && err == nil {
		c.disconnect(calls[0])
		return
	}
	for k, call := range calls {
		if err == nil {
			err = c.readAnswer(call, k == len(calls)-1)
		}
		if err != nil && call.Ended.IsZero() {
			call.Ended = time.Now()
			// On a timeout it is the caller that closes the connection.
			call.ConnLost = !errors.Is(err, os.ErrDeadlineExceeded)
			c.closeConn()
		}
		c.run.recordCall(call)
	}
}

// writeRequest appends a request to out and returns its record.
func (c *caller) writeRequest(out *bytes.Buffer) *check.Call {
	c.count++
	path := c.route.prefix + strconv.Itoa(c.rand.IntN(_objects)) + "/" + strconv.Itoa(c.route.size)
	if c.path != nil {
		path = c.path()
	}
	call := &check.Call{
		ID: fmt.Sprintf("%s-%d", c.name, c.count), Instance: c.conn.instance.name, Incarnation: c.conn.incarnation,
		Method: c.route.method, Path: path, Repeatable: c.route.repeatable, Timeout: c.route.timeout,
	}
	body := bytes.Repeat([]byte(call.ID+"."), c.route.body/(len(call.ID)+1))
	call.Body = xxhash.Sum64(body)
	object := strings.Split(path, "/")[2]
	standin.WriteHead(out, call.Method, path, _host, call.ID, object, c.route.timeout)
	key := _steadyKey
	if c.key != nil {
		key = c.key()
	}
	call.Key, call.Team, call.UnknownKey = key.key, key.team, key.team == ""
	standin.WriteKey(out, key.key, _claimedTeam)
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

// readAnswer reads the answer to a call and records it. It returns io.EOF if the
// answer closes the connection while further calls of it are open.
func (c *caller) readAnswer(call *check.Call, last bool) error {
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
		c.closeConn()
		if !last {
			return io.EOF
		}
	}
	return nil
}

// disconnect closes the connection after a while without reading the answer.
func (c *caller) disconnect(call *check.Call) {
	time.Sleep(time.Duration(float64(_disconnectAfter) * (0.5 + c.rand.Float64())))
	call.DisconnectedAt = time.Now()
	call.Ended = call.DisconnectedAt
	c.closeConn()
	c.run.recordCall(call)
}
