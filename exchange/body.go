package exchange

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/bytebudget"
	"github.com/wigeonlock/wigeonlock/relay"
)

const (
	// _maxBody is the maximum size of the body of an answer, in bytes; it is held in
	// memory.
	_maxBody = 64 << 20
	// _freeBody is the size up to which a body always has room in the budget of a pool, in
	// bytes, so that answers without end keep no small ones from being read.
	_freeBody = 256 << 10
	// _defaultBodyBudget is the budget of a pool that sets none, in bytes.
	_defaultBodyBudget = 2 * _maxBody
	// _firstBody is the first size of the buffer of a body whose length is unknown, in bytes.
	_firstBody = 512
	// _roomWait is the longest time for which an answer that arrives waits for memory, half of
	// the time that is left at most: a worker cuts off an answer that stays unread for some
	// seconds.
	_roomWait = 3 * time.Second
)

// readBody reads the body of an answer. It fails with errTooLarge when the body exceeds
// maxBody bytes or when there is no memory for it.
func (p *Pool) readBody(ctx context.Context, resp *http.Response, r *relay.Request, maxBody int64) ([]byte, error) {
	if resp.ContentLength > maxBody {
		return nil, errTooLarge
	}
	room := r.AnswerRoom
	if room == nil {
		room = p.budget().Lease(bytebudget.Answers)
		defer room.Release()
	}
	if r.Method == http.MethodHead || resp.ContentLength == 0 {
		_, err := io.Copy(io.Discard, resp.Body)
		return nil, err
	}
	if resp.ContentLength > 0 {
		if !grow(ctx, room, resp.ContentLength) {
			return nil, errTooLarge
		}
		buf := make([]byte, resp.ContentLength)
		if _, err := io.ReadFull(resp.Body, buf); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		return buf, nil
	}
	return readToEnd(ctx, resp.Body, room, maxBody)
}

// readToEnd reads a body whose length is unknown.
func readToEnd(ctx context.Context, body io.Reader, room *bytebudget.Lease, maxBody int64) ([]byte, error) {
	buf := make([]byte, 0, _firstBody)
	for {
		if len(buf) == cap(buf) {
			// The old buffer stays until the bytes are copied.
			if int64(len(buf)) > maxBody || !grow(ctx, room, int64(3*cap(buf))) {
				return nil, errTooLarge
			}
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow takes memory for an answer that arrives.
func grow(ctx context.Context, room *bytebudget.Lease, size int64) bool {
	wait := _roomWait
	if at, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(at)/2)
	}
	return room.Grow(ctx, size, wait)
}

// budget returns the budget of the bodies whose requests bring no room for their answer.
func (p *Pool) budget() *bytebudget.Budget {
	p.budgetOnce.Do(func() {
		limit := p.BodyBudget
		if limit == 0 {
			limit = _defaultBodyBudget
		}
		p.bodies = bytebudget.New(limit, bytebudget.Shares{Small: _freeBody})
	})
	return p.bodies
}
