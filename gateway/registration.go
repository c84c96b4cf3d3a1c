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

// registration keeps the key of the instance in the store while the instance is
// ready.
type registration struct {
	registry store.Registry
	member   directory.Member
	log      *zap.Logger
	// confirmed reports whether the key was read from the store.
	confirmed func() bool
	ready     func() error
	// wakeups holds a value if run must check the registration at once.
	wakeups chan struct{}

	// mu is held during the calls of a renewal, so that a renewal that is in flight at
	// the end cannot register again afterwards.
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
func (r *registration) wake() {
	select {
	case r.wakeups <- struct{}{}:
	default:
	}
}

// run maintains the registration until ctx ends.
func (r *registration) run(ctx context.Context) error {
	for {
		if r.ready() == nil {
			if err := r.renew(ctx); err != nil {
				r.log.Warn("registration failed", zap.String("error", err.Error()))
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-r.wakeups:
		case <-time.After(_renewInterval):
		}
	}
}

// renew renews the lease, or registers again if the lease expired or the key is
// missing from the store.
func (r *registration) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return nil
	}
	if r.lease != "" {
		err := r.registry.Renew(ctx, r.lease)
		if errors.Is(err, store.ErrNotFound) {
			r.lease = ""
		} else if err != nil {
			return err
		}
	}
	if r.lease != "" && (r.confirmed() || time.Since(r.writtenAt) < _confirmTimeout) {
		return nil
	}
	return r.register(ctx)
}

// register writes the key of the instance. The caller holds mu.
func (r *registration) register(ctx context.Context) error {
	if r.lease == "" {
		lease, err := r.registry.Grant(ctx, _registrationTTL)
		if err != nil {
			return err
		}
		r.lease = lease
	}
	value, err := json.Marshal(r.member)
	if err != nil {
		return errors.Wrap(err, "encode registration")
	}
	err = r.registry.Put(ctx, platform.ProductKey(_instancePrefix+r.member.Name), value, r.lease)
	if errors.Is(err, store.ErrNotFound) {
		r.lease = ""
	}
	if err == nil {
		r.writtenAt = time.Now()
	}
	return err
}

// end revokes the lease and thereby removes the registration.
func (r *registration) end(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	if r.lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	if err := r.registry.Revoke(ctx, r.lease); err != nil {
		r.log.Warn("registration was not removed; it will expire", zap.String("error", err.Error()))
	}
}
