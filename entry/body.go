package entry

import (
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/wigeonlock/wigeonlock/relay"
)

var errBodyTooLarge = errors.New("body of the request is too large")

// body returns the body of a request: a small one in memory, a large one as a
// stream. The problem is nil unless the body is too large or ends early.
func body(c fiber.Ctx) (*relay.Body, *problem) {
	req := c.Request()
	length := int64(req.Header.ContentLength())
	switch {
	case length > MaxBodyBytes:
		discardBody(c)
		return nil, &problem{fiber.StatusRequestEntityTooLarge, relay.BodyTooLarge, errBodyTooLarge.Error()}
	case length == 0, length < -1: // -2 means a request without a body
		return &relay.Body{}, nil
	}
	stream := req.BodyStream()
	if stream == nil {
		data := append([]byte(nil), req.Body()...)
		return &relay.Body{Bytes: data, Length: int64(len(data))}, nil
	}
	if length > ReplayBytes {
		_ = c.RequestCtx().Conn().SetReadDeadline(time.Now().Add(_bodyTimeout))
		return &relay.Body{Stream: stream, Length: length}, nil
	}
	return readBody(stream, length)
}

// discardBody reads and discards up to 2*MaxBodyBytes of a body that is too large,
// so that the caller gets the answer instead of a reset connection.
func discardBody(c fiber.Ctx) {
	if stream := c.Request().BodyStream(); stream != nil {
		_ = c.RequestCtx().Conn().SetReadDeadline(time.Now().Add(_readTimeout))
		_, _ = io.CopyN(io.Discard, stream, 2*MaxBodyBytes)
	}
	c.RequestCtx().SetConnectionClose()
}

// readBody reads up to ReplayBytes into memory. A longer body of unknown length
// becomes a stream that includes what was read.
func readBody(stream io.Reader, length int64) (*relay.Body, *problem) {
	data, err := io.ReadAll(io.LimitReader(stream, ReplayBytes+1))
	switch {
	case err != nil || (length >= 0 && int64(len(data)) != length):
		return nil, badRequest("body of the request ended early")
	case len(data) > ReplayBytes:
		head := &limitedBody{Reader: io.MultiReader(newReader(data), stream), left: MaxBodyBytes}
		return &relay.Body{Stream: head, Length: relay.LengthUnknown}, nil
	default:
		return &relay.Body{Bytes: data, Length: int64(len(data))}, nil
	}
}

// limitedBody fails when a body of unknown length is too large, so that the
// worker does not accept the part read so far as the complete body.
type limitedBody struct {
	io.Reader
	left int64
}

func (l *limitedBody) Read(p []byte) (int, error) {
	n, err := l.Reader.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}
