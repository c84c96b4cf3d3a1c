package frontend

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/bytebudget"
	"github.com/wigeonlock/wigeonlock/relay"
)

const (
	// _firstBody is the first size of the buffer of a body whose length is unknown, in bytes.
	_firstBody = 512
	// _bodyPoll is how often it is checked whether a body that makes no progress is in the way
	// of others.
	_bodyPoll = time.Second
)

// readBody reads the body of a request. Memory is taken before it is read; while there is none,
// the body waits unread for a short time, and is then refused.
func (c *conn) readBody(
	req *http.Request, r *relay.Request, limits Limits, previous <-chan struct{},
) (*relay.Request, *requestError) {
	r.HasLength = req.ContentLength > 0 || req.Header.Get("Content-Length") != "" || len(req.TransferEncoding) > 0 ||
		req.ContentLength == 0 && (req.Method == http.MethodPost || req.Method == http.MethodPut)
	if req.ContentLength == 0 {
		return r, nil
	}
	if req.ContentLength > int64(limits.BodyBytes) {
		return nil, errBodySize()
	}
	room := c.server.Memory.Lease(bytebudget.Requests)
	if reqErr := c.growRoom(room, r, max(req.ContentLength, _firstBody)); reqErr != nil {
		return nil, reqErr
	}
	if req.Header.Get("Expect") != "" {
		<-previous
		if c.closing.Load() {
			room.Release()
			return nil, nil
		}
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			room.Release()
			return nil, nil
		}
	}
	data, reqErr := c.readBytes(req, r, limits, room)
	if data == nil {
		room.Release()
		return nil, reqErr
	}
	r.Body = &relay.Body{Bytes: data, Length: int64(len(data)), Room: room}
	return r, nil
}

// readBytes returns the bytes of a body, or nil if they are not complete.
func (c *conn) readBytes(req *http.Request, r *relay.Request, limits Limits, room *bytebudget.Lease) ([]byte, *requestError) {
	buf := make([]byte, 0, max(req.ContentLength, _firstBody))
	progress := time.Now()
	for {
		if len(buf) == cap(buf) {
			if req.ContentLength > 0 {
				// The end of the body is known without a further read.
				return buf, nil
			}
			size := min(2*cap(buf), limits.BodyBytes+1)
			if reqErr := c.growRoom(room, r, int64(size)); reqErr != nil {
				return nil, reqErr
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		poll := _bodyPoll
		if req.ContentLength < 0 {
			// Its reader cannot go on after an error.
			poll = c.stall(bytebudget.Requests, room, _bodyReadTimeout)
		}
		c.setReadDeadline(time.Now().Add(poll))
		n, err := req.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if len(buf) > limits.BodyBytes {
			return nil, errBodySize()
		}
		if n > 0 {
			progress = time.Now()
		}
		switch {
		case err == io.EOF:
			return buf, nil
		case err == nil:
		case c.isTimeout(err) && !c.readingStopped() && time.Since(progress) < c.stall(bytebudget.Requests, room, _bodyReadTimeout):
		default:
			return nil, c.bodyError(err)
		}
	}
}

// growRoom takes the memory for a body of a size. It waits for it for a short time.
func (c *conn) growRoom(room *bytebudget.Lease, r *relay.Request, size int64) *requestError {
	if room == nil {
		return nil
	}
	wait := _bodyRoomWait
	if r.TimeLeft > 0 {
		wait = min(wait, time.Duration(float64(r.TimeLeft)*_bodyWaitShare))
	}
	if room.Fill(c.ctx, size, wait) {
		return nil
	}
	pause := c.server.Memory.Pause(bytebudget.Requests, size)
	room.Release()
	if size > c.server.Memory.Limit() {
		return errBodySize()
	}
	return &requestError{
		status: http.StatusServiceUnavailable, reason: relay.NoMemory, message: "the request did not run", pause: jittered(pause),
	}
}

// stall returns how long a caller may make no progress with what takes room: less while others
// lack it.
func (c *conn) stall(use bytebudget.Use, room *bytebudget.Lease, usual time.Duration) time.Duration {
	if room.Held() > 0 && c.server.Memory.Short(use) {
		return min(usual, _shortStall)
	}
	return usual
}

// dropBody gives back the memory of a request's body.
func dropBody(r *relay.Request) {
	if room := r.Body.Room; room != nil {
		r.Body = &relay.Body{}
		room.Release()
	}
}

func errBodySize() *requestError {
	return &requestError{status: http.StatusRequestEntityTooLarge, reason: relay.BodyTooLarge, message: "body is too large"}
}

func (c *conn) bodyError(err error) *requestError {
	if c.isTimeout(err) && !c.isStopped() {
		return &requestError{status: http.StatusRequestTimeout, reason: relay.BadRequest, message: "body took too long"}
	}
	var network *net.OpError
	if errors.As(err, &network) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return badRequest("body cannot be read")
}
