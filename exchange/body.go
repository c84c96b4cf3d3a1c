package exchange

import (
	"bytes"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

const (
	// _maxBody is the maximum size of the body of an answer, in bytes; it is held in
	// memory.
	_maxBody = 64 << 20
	// _freeBody is the size up to which a body does not count against the budget of all
	// bodies, in bytes, so that answers without end keep no small ones from being read.
	_freeBody = 256 << 10
	// _defaultBodyBudget is the budget of a pool that sets none, in bytes.
	_defaultBodyBudget = 2 * _maxBody
)

// readBody reads the body of an answer. It fails with errTooLarge when the body exceeds
// _maxBody or what the bodies that are being read may take together.
func (p *Pool) readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > _maxBody {
		return nil, errTooLarge
	}
	budget := &bodyBudget{pool: p}
	defer budget.release()
	if !budget.reserve(resp.ContentLength) {
		return nil, errTooLarge
	}
	buf := bytes.NewBuffer(make([]byte, 0, max(min(resp.ContentLength, 1<<20), bytes.MinRead)))
	for {
		if !budget.reserve(int64(buf.Len()) + _bodyStep) {
			return nil, errTooLarge
		}
		n, err := io.CopyN(buf, resp.Body, _bodyStep)
		switch {
		case errors.Is(err, io.EOF):
			if resp.ContentLength > 0 && int64(buf.Len()) < resp.ContentLength && resp.Request.Method != http.MethodHead {
				return nil, io.ErrUnexpectedEOF
			}
			return buf.Bytes(), nil
		case err != nil:
			return nil, err
		case int64(buf.Len())+n > _maxBody:
			return nil, errTooLarge
		}
	}
}

// _bodyStep is the number of bytes after which the size of a body is checked.
const _bodyStep = 64 << 10

// bodyBudget is the part of a pool's budget that one body takes.
type bodyBudget struct {
	pool *Pool
	held int64
}

// reserve takes what a body of a size needs, or reports that the budget is used up.
func (b *bodyBudget) reserve(size int64) bool {
	// The buffer may be twice as large as its content.
	need := 2 * size
	if size <= _freeBody || need <= b.held {
		return true
	}
	limit := b.pool.BodyBudget
	if limit == 0 {
		limit = _defaultBodyBudget
	}
	if b.pool.bodies.Add(need-b.held) > limit {
		b.pool.bodies.Add(b.held - need)
		return false
	}
	b.held = need
	return true
}

func (b *bodyBudget) release() {
	b.pool.bodies.Add(-b.held)
}
