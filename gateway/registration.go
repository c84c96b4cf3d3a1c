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
	// _registrationTTL is the lease time of a registration: how long an instance
	// that stopped without notice stays known.
	_registrationTTL = 4500 * time.Millisecond
	// _renewInterval is how often the lease is renewed.
	_renewInterval = 1500 * time.Millisecond
	// _callTimeout is the timeout of the calls to the store for one renewal.
	_callTimeout = time.Second
	// _confirmTimeout is how long a registration may take to appear among the keys
	// read from the store before it is written again.
	_confirmTimeout = 3 * time.Second
)

// registration maintains the key of the instance in the store while the instance
// is ready.
type registration struct {
	registry store.Registry
	member   directory.Member
	log      *zap.Logger
	// confirmed reports whether the key was read from the store.
	confirmed func() bool
	ready     func() error
	// wakeups receives a value when run must check the registration at once.
	wakeups chan struct{}

	mu        sync.Mutex
	lease     store.Lease
	writtenAt time.Time
	ended     bool
}

func instanceOf(key string) (string, bool) {
	return strings.CutPrefix(key, _instancePrefix)
}

func decodeMember(value []byte) (directory.Member, error) {
	var m directory.Member
	err := json.Unmarshal(value, &m)
	return m, err
}

// wake makes run check the registration at once.
func (p *registration) wake() {
	select {
	case p.wakeups <- struct{}{}:
	default:
	}
}

// run maintains the registration until ctx ends.
func (p *registration) run(ctx context.Context) error {
	for {
		p.mu.Lock()
		ended := p.ended
		p.mu.Unlock()
		if !ended && p.ready() == nil {
			if err := p.renew(ctx); err != nil {
				p.log.Warn("registration failed", zap.String("error", err.Error()))
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-p.wakeups:
		case <-time.After(_renewInterval):
		}
	}
}

// renew renews the lease, or registers again if the lease expired or the key is
// missing from the store.
func (p *registration) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	if p.lease != "" {
		err := p.registry.Renew(ctx, p.lease)
		if errors.Is(err, store.ErrNotFound) {
			p.lease = ""
		} else if err != nil {
			return err
		}
	}
	if p.lease != "" && (p.confirmed() || time.Since(p.writtenAt) < _confirmTimeout) {
		return nil
	}
	return p.register(ctx)
}

func (p *registration) register(ctx context.Context) error {
	if p.lease == "" {
		lease, err := p.registry.Grant(ctx, _registrationTTL)
		if err != nil {
			return err
		}
		p.lease = lease
	}
	value, err := json.Marshal(p.member)
	if err != nil {
		return errors.Wrap(err, "encode registration")
	}
	err = p.registry.Put(ctx, platform.ProductKey(_instancePrefix+p.member.Name), value, p.lease)
	if errors.Is(err, store.ErrNotFound) {
		p.lease = ""
	}
	if err == nil {
		p.writtenAt = time.Now()
	}
	return err
}

// end revokes the lease and thereby removes the registration.
func (p *registration) end(ctx context.Context) {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	if p.lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	if err := p.registry.Revoke(ctx, p.lease); err != nil {
		p.log.Warn("registration was not removed; it will expire", zap.String("error", err.Error()))
	}
}
