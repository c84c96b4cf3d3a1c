package exchange

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/relay"
)

// _maxHealth is the maximum size of the body of an answer at the health path, in bytes.
const _maxHealth = 64 << 10

// _maxCold is the longest cold time that a worker may state; longer ones count as this.
const _maxCold = time.Hour

var errNoHealth = errors.New("answer does not tell of the worker's health")

// Probe asks a worker at its health path how long it stays cold. It uses an idle connection, if
// there is one. A healthy worker that states no time is not cold.
func (p *Pool) Probe(ctx context.Context, t Target, path string) (cold time.Duration, err error) {
	c := p.acquire(t.Address, time.Hour)
	if c == nil {
		if c, err = p.dial(ctx, t.Address); err != nil {
			return 0, err
		}
	}
	if at, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(at)
	}
	_probes.Inc()
	r := &relay.Request{ID: strconv.FormatUint(rand.Uint64(), 16), Method: http.MethodGet, URI: path, Host: t.Address, Body: &relay.Body{}}
	var result Result
	written, err := p.send(ctx, c, t, r)
	if err == nil {
		cold, err = p.readHealth(ctx, c, t, r, &result)
	}
	if err != nil || ctx.Err() != nil || !p.reusable(c, written, &result) {
		c.close()
		return cold, err
	}
	_ = c.SetDeadline(time.Time{})
	c.used = true
	p.release(t, c)
	return cold, nil
}

// readHealth reads the answer to a probe, and skips those to other requests before it.
func (p *Pool) readHealth(ctx context.Context, c *conn, t Target, r *relay.Request, result *Result) (time.Duration, error) {
	for range _maxStray + 1 {
		a, err := p.readReply(ctx, c, r, result, _maxHealth)
		if err != nil {
			return 0, err
		}
		id, self := a.header.Get(p.HeaderNames.RequestID), a.header.Get(p.HeaderNames.Self)
		if id != r.ID && (id != "" || self != t.ID) {
			_strays.Inc()
			continue
		}
		result.closing = a.closing
		c.readKeepAlive(a.header)
		stated := strings.TrimSpace(a.header.Get(p.HeaderNames.Cold))
		if self != "" && self != t.ID || a.status == http.StatusMisdirectedRequest || stated == "" && a.status != http.StatusOK {
			return 0, errNoHealth
		}
		return parseCold(stated)
	}
	return 0, errStray
}

func parseCold(stated string) (time.Duration, error) {
	if stated == "" {
		return 0, nil
	}
	ms, err := strconv.ParseFloat(stated, 64)
	if err != nil || ms < 0 || math.IsNaN(ms) {
		return 0, errNoHealth
	}
	return time.Duration(min(ms, float64(_maxCold.Milliseconds())) * float64(time.Millisecond)), nil
}
