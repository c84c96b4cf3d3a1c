package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
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
	// _registrationsPerSecond is the rate at which all instances register after an outage.
	// Each registration takes two of the 400 writes a second of the smallest store.
	_registrationsPerSecond = 200
	// _maxSpread is the longest time over which registrations are spread.
	_maxSpread = time.Second
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
	// instances returns the number of known instances.
	instances func() int
	// wakeups holds a value if run must check the registration at once.
	wakeups chan struct{}

	// mu is held during the calls of a renewal, so that a renewal that is in flight at
	// the end cannot register again afterwards.
	mu        sync.Mutex
	lease     store.Lease
	writtenAt time.Time
	ended     bool

	// heldUntil is until when the store keeps the registration at least: a lease time after the
	// last call that renewed it was sent. It is nil if the instance is not registered.
	heldUntil atomic.Pointer[time.Time]
	// number counts the registrations that were written.
	number atomic.Int64
}

func instanceOf(key string) (string, bool) {
	return strings.CutPrefix(key, _instancePrefix)
}

func decodeMember(value []byte) (directory.Member, error) {
	var m directory.Member
	err := json.Unmarshal(value, &m)
	return m, err
}

// compareRegistrations compares two values of the key of an instance by when it wrote them.
func compareRegistrations(key string, a, b []byte) (order int, ok bool) {
	if _, ok = instanceOf(key); !ok {
		return 0, false
	}
	first, err := decodeMember(a)
	if err != nil {
		return 0, false
	}
	second, err := decodeMember(b)
	if err != nil {
		return 0, false
	}
	order = cmp.Or(cmp.Compare(first.Started, second.Started), cmp.Compare(first.Registrations, second.Registrations))
	// Builds that do not count their registrations write the same value again.
	return order, order != 0 || first.Registrations > 0
}

// held reports until when the store keeps the registration at least. Other instances may count
// this one as gone afterwards, whether it can hear of that or not. The time is zero if the
// instance is not registered.
func (r *registration) held() time.Time {
	if at := r.heldUntil.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// hold records that the lease was renewed by a call that was sent at a time.
func (r *registration) hold(sent time.Time) {
	until := sent.Add(_registrationTTL)
	r.heldUntil.Store(&until)
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
			r.spread(ctx)
		case <-time.After(_renewInterval):
		}
	}
}

// spread waits a random time before an instance that was registered writes again, up to
// that in which the store takes one registration of each instance: all may be woken at once.
func (r *registration) spread(ctx context.Context) {
	r.mu.Lock()
	first := r.lease == ""
	r.mu.Unlock()
	if first {
		return
	}
	most := min(time.Duration(r.instances())*time.Second/_registrationsPerSecond, _maxSpread)
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(rand.Float64() * float64(most))):
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
		sent := time.Now()
		err := r.registry.Renew(ctx, r.lease)
		switch {
		case err == nil:
			r.hold(sent)
		case errors.Is(err, store.ErrNotFound):
			r.lease = ""
			r.heldUntil.Store(nil)
		default:
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
	granted := time.Time{}
	if r.lease == "" {
		granted = time.Now()
		lease, err := r.registry.Grant(ctx, _registrationTTL)
		if err != nil {
			return err
		}
		r.lease = lease
	}
	r.member.Registrations++
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
		r.number.Store(r.member.Registrations)
		if !granted.IsZero() {
			r.hold(granted)
		}
	}
	return err
}

// end removes the registration and revokes the lease. The key is deleted by its name first:
// since the store was restored, the lease may be that of another instance.
func (r *registration) end(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.heldUntil.Store(nil)
	if r.lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	err := r.registry.Delete(ctx, platform.ProductKey(_instancePrefix+r.member.Name))
	if err == nil {
		err = r.registry.Revoke(ctx, r.lease)
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		r.log.Warn("registration was not removed; it will expire", zap.String("error", err.Error()))
	}
}
