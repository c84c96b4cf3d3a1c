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
	// ServiceName is the name under which the service runs in its kernel.
	ServiceName = "quota"
	// LeaseTTL is the time to live of a session's lease.
	LeaseTTL = 15 * time.Second
	// RenewInterval is the time between renewals of the lease.
	RenewInterval = 7 * time.Second
	// ClockMargin allows for the difference between the rates of the local and
	// the store's clock over one lease.
	ClockMargin = time.Second

	_stepInterval       = 50 * time.Millisecond
	_renewRetryInterval = time.Second
	_recordPrefix       = "quota/shift/"
	_sessionPrefix      = "sessions/"
)

// Lists reports whether the active lists are confirmed to be the newest.
type Lists interface {
	Confirmed(now time.Time) bool
}

// Service runs one holder per plan for the shift caps on an entry instance, and
// keeps their common session alive. The exported fields are set before Start.
// It is safe for concurrent use.
type Service struct {
	Store store.Store
	Lists Lists
	Log   *zap.Logger
	// Instance is the name of the entry instance.
	Instance string
	// ReclaimDelay is passed to the holders: the longest time for which an admitted
	// request may occupy its slot, plus a margin.
	ReclaimDelay time.Duration
	// Rank returns the rank of the instance, from 0, among all live instances
	// and their number. It determines the share that an idle holder keeps.
	Rank func(now time.Time) (rank, members int)

	mu      sync.Mutex
	session *Session
	lease   store.Lease
	era     store.Era
	holders map[string]*Holder
	leaving bool
}

var (
	_ kernel.Service = (*Service)(nil)

	_swaps           = metrics.NewCounter("wigeonlock_quota_swaps_total")
	_swapFailures    = metrics.NewCounter("wigeonlock_quota_swap_failures_total")
	_expiredSessions = metrics.NewCounter("wigeonlock_quota_session_lapses_total")
)

// Name returns ServiceName.
func (s *Service) Name() string { return ServiceName }

// Start starts the loops that maintain the session and step the holders.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	s.mu.Lock()
	s.startSession()
	s.holders = make(map[string]*Holder)
	s.mu.Unlock()
	k.Go(ServiceName, s.maintainSession)
	k.Go(ServiceName, s.stepHolders)
	return nil
}

// Stop waits until all shares are returned or ctx ends, and then revokes the
// lease. When ctx ends first, the lease is left to expire.
func (s *Service) Stop(ctx context.Context) error {
	s.Leave()
	for s.holdsShares() {
		select {
		case <-ctx.Done():
			return nil // the shares are reclaimed after the lease expires
		case <-time.After(_stepInterval):
		}
	}
	s.mu.Lock()
	lease := s.lease
	s.session.Expire()
	s.mu.Unlock()
	if lease != "" {
		_ = s.Store.Revoke(ctx, lease) // on failure the lease expires by itself
	}
	return nil
}

// Leave makes the holders admit nothing more and return their slots as they
// become unused.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for _, h := range s.holders {
		h.Leave()
	}
}

// Configure sets the caps from an accepted version of the lists. A plan that is
// no longer listed gets a cap of zero.
func (s *Service) Configure(version uint64, index *plan.Index) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range index.Plans() {
		if _, ok := s.holders[p.Name]; !ok {
			s.holders[p.Name] = &Holder{Name: s.Instance, Session: s.session, ReclaimDelay: s.ReclaimDelay}
		}
	}
	for name, h := range s.holders {
		limit := 0
		if p, ok := index.Plan(name); ok {
			limit = p.ShiftSlots
		}
		h.Configure(version, limit)
	}
}

// Admit acquires a slot of a plan's shift cap and returns Admitted, or the
// reason for refusal. Release must be called when an admitted request ends.
func (s *Service) Admit(now time.Time, planName string) Reason {
	confirmed := s.Lists.Confirmed(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.holders[planName]
	if !ok {
		return NoShare
	}
	return h.Admit(now, confirmed)
}

// Release frees the slot of an admitted request of a plan.
func (s *Service) Release(planName string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.holders[planName]; ok {
		h.Release()
	}
}

// ShareStatus reports the share of a plan's cap and the slots in use.
type ShareStatus struct {
	Plan  string `json:"plan"`
	Slots int    `json:"slots"`
	InUse int    `json:"inUse"`
}

// Status returns the shares of all plans in no particular order.
func (s *Service) Status() []ShareStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]ShareStatus, 0, len(s.holders))
	for name, h := range s.holders {
		list = append(list, ShareStatus{Plan: name, Slots: h.Share(), InUse: h.InUse()})
	}
	return list
}

// startSession begins a new session on all holders. Shares of the previous
// session are never used again. The caller holds mu.
func (s *Service) startSession() {
	s.session = &Session{ID: s.Instance + "/" + rand.Text()[:8], Margin: ClockMargin}
	for _, h := range s.holders {
		h.Restart(s.session)
	}
}

func (s *Service) maintainSession(ctx context.Context) error {
	for {
		wait := RenewInterval
		if err := s.renew(ctx); err != nil {
			s.Log.Debug("failed to renew quota session", zap.Error(err))
			wait = _renewRetryInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

func (s *Service) renew(ctx context.Context) error {
	s.mu.Lock()
	lease, session := s.lease, s.session
	s.mu.Unlock()
	if lease == "" {
		return s.open(ctx, session)
	}
	sent := time.Now()
	err := s.Store.Renew(ctx, lease)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != session || store.EraOf(s.Store) != s.era {
		return errors.New("session has ended")
	}
	if errors.Is(err, store.ErrNotFound) {
		_expiredSessions.Inc()
		s.lease = ""
		s.startSession()
		return err
	}
	if err == nil {
		session.Renewed(sent, LeaseTTL)
	}
	return err
}

// open acquires a lease and creates the session's key under it.
func (s *Service) open(ctx context.Context, session *Session) error {
	sent := time.Now()
	lease, err := s.Store.Grant(ctx, LeaseTTL)
	if err != nil {
		return err
	}
	_, err = s.Store.Swap(ctx, sessionKey(session.ID), 0, []byte(s.Instance), lease)
	if err != nil {
		// The key may exist under this lease, which is not renewed: begin
		// another session.
		s.mu.Lock()
		s.startSession()
		s.mu.Unlock()
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = lease
	session.Renewed(sent, LeaseTTL)
	return nil
}

func (s *Service) stepHolders(ctx context.Context) error {
	return kernel.Every(ctx, _stepInterval, func(time.Time) {
		s.enterEra(time.Now())
		for name, h := range s.snapshot() {
			s.step(ctx, name, h)
		}
	})
}

// enterEra begins a new session when the store was restored: the lease of the old one may be
// lost, or be that of another instance. Each holder is told the era.
func (s *Service) enterEra(now time.Time) {
	era := store.EraOf(s.Store)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holders {
		h.EnterEra(now, era)
	}
	if era > s.era && s.era > 0 {
		s.Log.Warn("store was restored from a copy, no share is raised for a while", zap.Uint32("era", uint32(era)))
		s.lease = ""
		s.startSession()
	}
	s.era = era
}

func (s *Service) snapshot() map[string]*Holder {
	rank, members := s.Rank(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := make(map[string]*Holder, len(s.holders))
	for name, h := range s.holders {
		h.Base = Base(h.Limit(), members, rank)
		holders[name] = h
	}
	return holders
}

// step runs up to four steps of one holder, until it is idle.
func (s *Service) step(ctx context.Context, planName string, h *Holder) {
	for range 4 {
		s.mu.Lock()
		step := h.Next(time.Now())
		s.mu.Unlock()
		switch step.Kind {
		case Idle:
			return
		case Read:
			s.read(ctx, planName, h)
		case Swap:
			s.swap(ctx, planName, h, step)
		case Probe:
			s.probe(ctx, h, step.Sessions)
		}
	}
}

func (s *Service) read(ctx context.Context, planName string, h *Holder) {
	var r Record
	entry, err := s.Store.Get(ctx, _recordPrefix+planName)
	ok := err == nil || errors.Is(err, store.ErrNotFound)
	if err == nil {
		ok = json.Unmarshal(entry.Value, &r) == nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h.ReadDone(r, uint64(entry.Version), ok)
}

func (s *Service) swap(ctx context.Context, planName string, h *Holder, step Step) {
	_swaps.Inc()
	value, err := json.Marshal(step.Record)
	var version store.Version
	if err == nil {
		version, err = s.Store.Swap(ctx, _recordPrefix+planName, store.Version(step.Expected), value, "")
	}
	if err != nil {
		_swapFailures.Inc()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h.SwapDone(uint64(version), err == nil)
}

func (s *Service) probe(ctx context.Context, h *Holder, shares []Share) {
	for _, share := range shares {
		_, err := s.Store.Get(ctx, sessionKey(share.Session))
		if errors.Is(err, store.ErrNotFound) {
			s.mu.Lock()
			h.MarkExpired(time.Now(), share.Session)
			s.mu.Unlock()
		}
	}
}

// holdsShares reports whether a holder still has slots to return.
func (s *Service) holdsShares() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.session.Valid(time.Now()) {
		return false
	}
	for _, h := range s.holders {
		if h.Share() > 0 {
			return true
		}
	}
	return false
}

func sessionKey(session string) string {
	return _sessionPrefix + session
}
