package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/directory"
	"github.com/wigeonlock/wigeonlock/platform"
	"github.com/wigeonlock/wigeonlock/store"
)

const (
	_instancePrefix = "instances/"
	// _presenceTTL is how long an instance that fell silent stays known.
	_presenceTTL = 4500 * time.Millisecond
	// _presenceInterval is how often the lease is prolonged.
	_presenceInterval = 1500 * time.Millisecond
	// _presenceCall bounds a call.
	_presenceCall = time.Second
	// _standingPatience is how long a registration may take to show up among
	// the keys read before it is written again.
	_standingPatience = 3 * time.Second
)

// presence keeps the key of the instance in the store while it is ready.
type presence struct {
	registry store.Registry
	member   directory.Member
	log      *zap.Logger
	// standing reports whether the key was seen in the store.
	standing func() bool
	ready    func() error
	// woken takes a mark when run is to look at once.
	woken chan struct{}

	mu      sync.Mutex
	lease   store.Lease
	wroteAt time.Time
	gone    bool
}

func instanceOf(key string) (string, bool) {
	return strings.CutPrefix(key, _instancePrefix)
}

func decodeMember(value []byte) (directory.Member, error) {
	var m directory.Member
	err := json.Unmarshal(value, &m)
	return m, err
}

// wake makes run look at once.
func (p *presence) wake() {
	select {
	case p.woken <- struct{}{}:
	default:
	}
}

// run keeps the registration until ctx ends.
func (p *presence) run(ctx context.Context) error {
	for {
		p.mu.Lock()
		gone := p.gone
		p.mu.Unlock()
		if !gone && p.ready() == nil {
			if err := p.keep(ctx); err != nil {
				p.log.Warn("registration failed", zap.String("error", err.Error()))
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-p.woken:
		case <-time.After(_presenceInterval):
		}
	}
}

// keep prolongs the lease, or registers anew where it ended or the key is gone.
func (p *presence) keep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, _presenceCall)
	defer cancel()
	if p.lease != "" {
		err := p.registry.Renew(ctx, p.lease)
		if errors.Is(err, store.ErrNotFound) {
			p.lease = ""
		} else if err != nil {
			return err
		}
	}
	if p.lease != "" && (p.standing() || time.Since(p.wroteAt) < _standingPatience) {
		return nil
	}
	return p.register(ctx)
}

func (p *presence) register(ctx context.Context) error {
	if p.lease == "" {
		lease, err := p.registry.Grant(ctx, _presenceTTL)
		if err != nil {
			return err
		}
		p.lease = lease
	}
	value, err := json.Marshal(p.member)
	if err != nil {
		return errors.Wrap(err, "encode registration")
	}
	err = p.registry.Put(ctx, platform.OwnKey(_instancePrefix+p.member.Name), value, p.lease)
	if errors.Is(err, store.ErrNotFound) {
		p.lease = ""
	}
	if err == nil {
		p.wroteAt = time.Now()
	}
	return err
}

// leave ends the registration.
func (p *presence) leave(ctx context.Context) {
	p.mu.Lock()
	p.gone = true
	p.mu.Unlock()
	if p.lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, _presenceCall)
	defer cancel()
	if err := p.registry.Revoke(ctx, p.lease); err != nil {
		p.log.Warn("registration was not ended; it lapses", zap.String("error", err.Error()))
	}
}
