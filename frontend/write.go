package frontend

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeonlock/wigeonlock/relay"
)

// errorAnswer is the answer to a request that cannot be taken.
func errorAnswer(p *problem) *relay.Answer {
	return Refusal(p.status, p.reason, p.message)
}

// Refusal returns an answer in the instance's own name, with a body in JSON.
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

// write passes an answer on. Nothing is written behind an answer that closed
// the connection, or to a caller that left.
func (c *conn) write(r *relay.Request, a *relay.Answer, last bool) {
	defer a.Close()
	if c.ended.Load() || c.ctx.Err() != nil {
		return
	}
	// While others wait behind it, an answer must not close the connection.
	closes := last || c.server.leaving.Load() && c.pending.Load() <= 1
	if closes {
		c.ended.Store(true)
		c.stopReading()
	}
	data, _ := relay.Bytes(a)
	head := make([]byte, 0, 512+smallBody(data))
	head = appendHead(head, r, a, data, closes)
	_ = c.SetWriteDeadline(time.Now().Add(_writeTime))
	if r != nil && r.Method == http.MethodHead {
		data = nil
	}
	if smallBody(data) > 0 {
		head = append(head, data...)
		data = nil
	}
	if _, err := c.Write(head); err != nil {
		c.fail()
		return
	}
	if len(data) > 0 {
		if _, err := c.Write(data); err != nil {
			c.fail()
		}
	}
}

// fail gives a connection up on which an answer was cut.
func (c *conn) fail() {
	c.ended.Store(true)
	c.leave()
	_ = c.Close()
}

// _smallBody is the size up to which head and body are one write.
const _smallBody = 16 << 10

func smallBody(data []byte) int {
	if len(data) > _smallBody {
		return 0
	}
	return len(data)
}

func appendHead(b []byte, r *relay.Request, a *relay.Answer, data []byte, closes bool) []byte {
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
	if closes {
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

// linger ends the connection without a reset that would take the last answer
// with it.
func (c *conn) linger() {
	type closeWriter interface{ CloseWrite() error }
	if half, ok := c.Conn.(closeWriter); ok && half.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(_lingerTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, 1<<20))
	}
	_ = c.Close()
}
