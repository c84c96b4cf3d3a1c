package quota

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/plan"
	"github.com/wigeonlock/wigeonlock/store"
)

const (
	// ServiceName is the name of the service in its kernel.
	ServiceName = "quota"
	// LeaseTTL is the time to live of a session's lease.
	LeaseTTL = 15 * time.Second
	// RenewInterval is the time between renewals.
	RenewInterval = 7 * time.Second
	// ClockMargin covers the difference between the rates of two clocks over a lease.
	ClockMargin = time.Second

	_stepInterval  = 50 * time.Millisecond
	_retryInterval = time.Second
	_recordPrefix  = "quota/shift/"
	_sessionPrefix = "sessions/"
)

// Lists tells whether the lists in force are known to be the newest.
type Lists interface {
	Confirmed(now time.Time) bool
}

// Service runs the holders of all plans' shift caps for one entry instance.
// The exported fields are set before Start.
type Service struct {
	Store store.Store
	Lists Lists
	Log   *zap.Logger
	// Instance is the name of the entry instance.
	Instance string
	// ReclaimDelay is the longest time for which an admitted request may occupy its
	// slot, with a margin.
	ReclaimDelay time.Duration
	// Rank returns the own rank among all live instances, for the share that an
	// idle holder keeps.
	Rank func(now time.Time) (rank, members int)

	mu      sync.Mutex
	session *Session
	lease   store.Lease
	holders map[string]*Holder
	leaving bool
}

var (
	_ kernel.Service = (*Service)(nil)

	_swaps     = metrics.NewCounter("wigeonlock_quota_swaps_total")
	_conflicts = metrics.NewCounter("wigeonlock_quota_swap_failures_total")
	_lapses    = metrics.NewCounter("wigeonlock_quota_session_lapses_total")
)

// Name returns ServiceName.
func (k *Service) Name() string { return ServiceName }

// Start begins a session and the steps of the holders.
func (k *Service) Start(_ context.Context, kern *kernel.Kernel) error {
	k.mu.Lock()
	k.renewID()
	k.holders = make(map[string]*Holder)
	k.mu.Unlock()
	kern.Go(ServiceName, k.keepSession)
	kern.Go(ServiceName, k.stepAll)
	return nil
}

// Stop gives the shares and the lease back.
func (k *Service) Stop(ctx context.Context) error {
	k.Leave()
	for k.occupied() {
		select {
		case <-ctx.Done():
			return nil // the shares end with the lease
		case <-time.After(_stepInterval):
		}
	}
	k.mu.Lock()
	lease := k.lease
	k.session.Expire()
	k.mu.Unlock()
	if lease != "" {
		_ = k.Store.Revoke(ctx, lease) // it ends by itself otherwise
	}
	return nil
}

// Leave makes the holders give back what is unused.
func (k *Service) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
	for _, h := range k.holders {
		h.Leave()
	}
}

// Configure takes the caps of an accepted version of the lists. A plan that
// is no longer listed gets a cap of zero.
func (k *Service) Configure(version uint64, book *plan.Index) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range book.Plans() {
		if _, ok := k.holders[p.Name]; !ok {
			k.holders[p.Name] = &Holder{Name: k.Instance, Session: k.session, ReclaimDelay: k.ReclaimDelay}
		}
	}
	for name, h := range k.holders {
		limit := 0
		if p, ok := book.Plan(name); ok {
			limit = p.ShiftSlots
		}
		h.Configure(version, limit)
	}
}

// Admit takes a slot of a plan's shift cap.
func (k *Service) Admit(now time.Time, planName string) Reason {
	confirmed := k.Lists.Confirmed(now)
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.holders[planName]
	if !ok {
		return NoShare
	}
	return h.Admit(now, confirmed)
}

// Release ends an admitted request of a plan.
func (k *Service) Release(planName string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h, ok := k.holders[planName]; ok {
		h.Release()
	}
}

// ShareStatus is what a holder has of a plan's cap.
type ShareStatus struct {
	Plan  string `json:"plan"`
	Slots int    `json:"slots"`
	InUse int    `json:"inUse"`
}

// Status returns the shares of all plans.
func (k *Service) Status() []ShareStatus {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]ShareStatus, 0, len(k.holders))
	for name, h := range k.holders {
		list = append(list, ShareStatus{Plan: name, Slots: h.Share(), InUse: h.InUse()})
	}
	return list
}

// renewID begins a new session: shares of a lapsed one are never used again.
func (k *Service) renewID() {
	k.session = &Session{ID: k.Instance + "/" + rand.Text()[:8], Margin: ClockMargin}
	for _, h := range k.holders {
		h.Restart(k.session)
	}
}

func (k *Service) keepSession(ctx context.Context) error {
	for {
		wait := RenewInterval
		if err := k.renew(ctx); err != nil {
			k.Log.Debug("quota session could not be renewed", zap.Error(err))
			wait = _retryInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

func (k *Service) renew(ctx context.Context) error {
	k.mu.Lock()
	lease, session := k.lease, k.session
	k.mu.Unlock()
	if lease == "" {
		return k.open(ctx, session)
	}
	sent := time.Now()
	err := k.Store.Renew(ctx, lease)
	k.mu.Lock()
	defer k.mu.Unlock()
	if errors.Is(err, store.ErrNotFound) {
		_lapses.Inc()
		k.lease = ""
		k.renewID()
		return err
	}
	if err == nil {
		session.Renewed(sent, LeaseTTL)
	}
	return err
}

// open grants a lease and binds the session's key to it.
func (k *Service) open(ctx context.Context, session *Session) error {
	sent := time.Now()
	lease, err := k.Store.Grant(ctx, LeaseTTL)
	if err != nil {
		return err
	}
	_, err = k.Store.Swap(ctx, sessionKey(session.ID), 0, []byte(k.Instance), lease)
	if err != nil {
		// The key may be bound to a lease that nobody renews: begin another session.
		k.mu.Lock()
		k.renewID()
		k.mu.Unlock()
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease = lease
	session.Renewed(sent, LeaseTTL)
	return nil
}

func (k *Service) stepAll(ctx context.Context) error {
	return kernel.Every(ctx, _stepInterval, func(time.Time) {
		for name, h := range k.snapshot() {
			k.step(ctx, name, h)
		}
	})
}

func (k *Service) snapshot() map[string]*Holder {
	rank, members := k.Rank(time.Now())
	k.mu.Lock()
	defer k.mu.Unlock()
	holders := make(map[string]*Holder, len(k.holders))
	for name, h := range k.holders {
		h.Base = Base(h.Limit(), members, rank)
		holders[name] = h
	}
	return holders
}

// step runs the steps of one holder until it is idle or the store fails.
func (k *Service) step(ctx context.Context, planName string, h *Holder) {
	for range 4 {
		k.mu.Lock()
		step := h.Next(time.Now())
		k.mu.Unlock()
		switch step.Kind {
		case Idle:
			return
		case Read:
			k.read(ctx, planName, h)
		case Swap:
			k.swap(ctx, planName, h, step)
		case Probe:
			k.probe(ctx, h, step.Sessions)
		}
	}
}

func (k *Service) read(ctx context.Context, planName string, h *Holder) {
	var r Record
	entry, err := k.Store.Get(ctx, _recordPrefix+planName)
	ok := err == nil || errors.Is(err, store.ErrNotFound)
	if err == nil {
		ok = json.Unmarshal(entry.Value, &r) == nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	h.ReadDone(r, uint64(entry.Version), ok)
}

func (k *Service) swap(ctx context.Context, planName string, h *Holder, step Step) {
	_swaps.Inc()
	value, err := json.Marshal(step.Record)
	var version store.Version
	if err == nil {
		version, err = k.Store.Swap(ctx, _recordPrefix+planName, store.Version(step.Expected), value, "")
	}
	if err != nil {
		_conflicts.Inc()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	h.SwapDone(uint64(version), err == nil)
}

func (k *Service) probe(ctx context.Context, h *Holder, shares []Share) {
	for _, s := range shares {
		_, err := k.Store.Get(ctx, sessionKey(s.Session))
		if errors.Is(err, store.ErrNotFound) {
			k.mu.Lock()
			h.MarkExpired(time.Now(), s.Session)
			k.mu.Unlock()
		}
	}
}

// occupied reports whether a holder still has something to give back.
func (k *Service) occupied() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.session.Valid(time.Now()) {
		return false
	}
	for _, h := range k.holders {
		if h.Share() > 0 {
			return true
		}
	}
	return false
}

func sessionKey(session string) string {
	return _sessionPrefix + session
}
