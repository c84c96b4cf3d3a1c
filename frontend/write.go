package frontend

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/bytebudget"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

// errorAnswer returns the answer to an invalid request.
func errorAnswer(e *requestError) *relay.Answer {
	a := Refusal(e.status, e.reason, e.message)
	if e.pause > 0 {
		return withRetryAfter(a, e.pause)
	}
	return a
}

// Refusal returns an answer of the instance itself to a request that did not run,
// with the reason and message as a JSON body.
func Refusal(status int, reason relay.Reason, message string) *relay.Answer {
	var body struct {
		Error struct {
			Reason  relay.Reason `json:"reason"`
			Message string       `json:"message"`
		} `json:"error"`
	}
	body.Error.Reason, body.Error.Message = reason, message
	data, err := json.Marshal(body)
	if err != nil {
		data = []byte("{}")
	}
	a := relay.NotRun(reason)
	a.Status = status
	a.Header = []relay.Header{{Name: "Content-Type", Value: "application/json"}}
	relay.SetBytes(a, data)
	return a
}

// write writes an answer to the caller. Nothing is written after an answer that
// closed the connection, or to a caller that disconnected. last is set if the
// connection must close after the answer.
func (c *conn) write(r *relay.Request, a *relay.Answer, last bool) {
	defer a.Close()
	if c.closing.Load() || c.ctx.Err() != nil {
		c.dropped(r, a)
		return
	}
	closeAfter := c.closesAfter(last)
	data, _ := relay.Bytes(a)
	head := make([]byte, 0, 512+singleWriteSize(data))
	head = appendHead(head, r, a, data, closeAfter)
	_ = c.SetWriteDeadline(time.Now().Add(_writeTimeout))
	if r != nil && r.Method == http.MethodHead {
		data = nil
	}
	if singleWriteSize(data) > 0 {
		head = append(head, data...)
		data = nil
	}
	if _, err := c.Write(head); err != nil {
		c.abort()
		return
	}
	if len(data) > 0 && !c.writeLarge(data, r) {
		c.abort()
	}
}

// dropped records an answer that is not written, because an earlier answer closed the connection
// or the caller left.
func (c *conn) dropped(r *relay.Request, a *relay.Answer) {
	closedAt := c.closedAt.Load()
	if closedAt == 0 {
		_droppedCallerLeft.Inc()
		return
	}
	_droppedClosed.Inc()
	if c.server.Log != nil && r != nil && a.Outcome != retry.NotRun {
		c.server.Log.Warn("answer dropped: an earlier answer had closed the connection", zap.String("request", r.ID),
			zap.String("outcome", string(a.Outcome)), zap.Int64("readAfterCloseUs", r.Received.Sub(time.Unix(0, closedAt)).Microseconds()))
	}
}

// writeLarge writes the rest of an answer. It gives up on a caller that takes nothing for
// _shortStall while memory is short, and on any other after _writeTimeout.
func (c *conn) writeLarge(data []byte, r *relay.Request) bool {
	var room *bytebudget.Lease
	if r != nil {
		room = r.AnswerRoom
	}
	started := time.Now()
	progress := started
	for len(data) > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(_writePoll))
		n, err := c.Write(data[:min(len(data), _writeStep)])
		data = data[n:]
		now := time.Now()
		if n > 0 {
			progress = now
		}
		switch {
		case err == nil:
		case !c.isTimeout(err), now.Sub(started) >= _writeTimeout,
			now.Sub(progress) >= c.stall(bytebudget.Answers, room, _writeTimeout):
			return false
		}
	}
	return true
}

// abort closes a connection to which an answer could not be written completely.
func (c *conn) abort() {
	c.closing.Store(true)
	c.cancel()
	_ = c.Close()
}

// _maxSingleWrite is the size in bytes up to which a body is written together with
// the head.
const _maxSingleWrite = 16 << 10

const (
	// _writeStep is the number of bytes after which the progress of a caller is noted, and
	// _writePoll how often it is checked whether one without progress is in the way of others.
	_writeStep = 256 << 10
	_writePoll = time.Second
)

func singleWriteSize(data []byte) int {
	if len(data) > _maxSingleWrite {
		return 0
	}
	return len(data)
}

func appendHead(b []byte, r *relay.Request, a *relay.Answer, data []byte, closeAfter bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(a.Status)...)
	b = append(b, "\r\n"...)
	for _, h := range a.Header {
		b = appendField(b, h.Name, h.Value)
	}
	length := int64(len(data))
	if r != nil && r.Method == http.MethodHead {
		length = a.Length
	}
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		b = appendField(b, "Content-Length", strconv.FormatInt(length, 10))
	}
	if closeAfter {
		b = appendField(b, "Connection", "close")
	}
	return append(b, "\r\n"...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// linger closes the connection, but reads from it for up to _lingerTimeout before,
// as unread bytes would cause a reset that discards the last answer.
func (c *conn) linger() {
	type closeWriter interface{ CloseWrite() error }
	if half, ok := c.Conn.(closeWriter); ok && half.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(_lingerTimeout))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, 1<<20))
	}
	_ = c.Close()
}
