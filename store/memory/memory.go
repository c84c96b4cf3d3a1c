// Package memory implements store.Store in the memory of the process.
//
// It is used by tests, by the embedded platform of a deployment on one machine,
// and by the stand-in for the platform's store.
//
// # Usage
//
//	s := memory.New(time.Now)
//	v, err := s.Swap(ctx, "key", 0, []byte("value"), "")
package memory

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/wigeonlock/wigeonlock/store"
)

// Store keeps entries in memory. The versions of a key keep increasing after its
// removal, so that no version is used twice. It is safe for concurrent use.
type Store struct {
	now func() time.Time

	mu      sync.Mutex
	entries map[string]*entry
	leases  map[store.Lease]*lease
	nextID  uint64
	changed chan struct{}
}

type entry struct {
	value   []byte
	version store.Version
	present bool
	lease   store.Lease
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

var _ store.Store = (*Store)(nil)

// New returns an empty store. Leases expire by the given clock.
func New(now func() time.Time) *Store {
	return &Store{
		now:     now,
		entries: make(map[string]*entry),
		leases:  make(map[store.Lease]*lease),
		changed: make(chan struct{}),
	}
}

// Copy is the content of a store as of a time.
type Copy struct {
	entries map[string]entry
	leases  map[store.Lease]lease
	nextID  uint64
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	c := Copy{entries: make(map[string]entry), leases: make(map[store.Lease]lease), nextID: s.nextID}
	for key, e := range s.entries {
		c.entries[key] = *e
	}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// Restore replaces the content by a copy. Versions and leases that were given out since
// are given out again; the leases in the copy run anew.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.leases, s.nextID = make(map[string]*entry), make(map[store.Lease]*lease), c.nextID
	for key, e := range c.entries {
		s.entries[key] = &e
	}
	for id, l := range c.leases {
		l.expires = s.now().Add(l.ttl)
		s.leases[id] = &l
	}
	s.notify()
}

// Get returns the entry of a key.
func (s *Store) Get(_ context.Context, key string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e, ok := s.entries[key]
	if !ok || !e.present {
		return store.Entry{}, store.ErrNotFound
	}
	return store.Entry{Value: e.value, Version: e.version}, nil
}

// Swap writes a value if the key still has the expected version, and returns the
// new version.
func (s *Store) Swap(
	_ context.Context, key string, expected store.Version, value []byte, id store.Lease,
) (store.Version, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.leases[id]; id != "" && !ok {
		return 0, store.ErrNotFound
	}
	e, ok := s.entries[key]
	if !ok {
		e = &entry{}
		s.entries[key] = e
	}
	if e.current() != expected {
		return 0, store.ErrConflict
	}
	e.value = append([]byte(nil), value...)
	e.version++
	e.present = true
	e.lease = id
	s.notify()
	return e.version, nil
}

// Delete removes a key if it still has the expected version.
func (s *Store) Delete(_ context.Context, key string, expected store.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e, ok := s.entries[key]
	if !ok || !e.present {
		return store.ErrNotFound
	}
	if e.version != expected {
		return store.ErrConflict
	}
	s.remove(e)
	return nil
}

// Watch waits until the version of a key differs from after or wait has passed,
// and returns the entry.
func (s *Store) Watch(
	ctx context.Context, key string, after store.Version, wait time.Duration,
) (store.Entry, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		got, changed := s.entryAndChange(key)
		if got.Version != after {
			return got, nil
		}
		select {
		case <-ctx.Done():
			return store.Entry{}, ctx.Err()
		case <-timer.C:
			return got, nil
		case <-changed:
		}
	}
}

// Grant creates a lease that expires after ttl without renewal.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (store.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := store.Lease(strconv.FormatUint(s.nextID, 10))
	s.leases[id] = &lease{ttl: ttl, expires: s.now().Add(ttl)}
	return id, nil
}

// Renew restarts the time to live of a lease.
func (s *Store) Renew(_ context.Context, id store.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return store.ErrNotFound
	}
	l.expires = s.now().Add(l.ttl)
	return nil
}

// Revoke ends a lease and removes its entries.
func (s *Store) Revoke(_ context.Context, id store.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLease(id)
	return nil
}

// entryAndChange returns the entry of a key and a channel that is closed at the next
// change of any key.
func (s *Store) entryAndChange(key string) (store.Entry, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e, ok := s.entries[key]
	if !ok || !e.present {
		return store.Entry{}, s.changed
	}
	return store.Entry{Value: e.value, Version: e.version}, s.changed
}

// expire removes the leases that have expired. The caller holds mu, as for the
// methods below.
func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.removeLease(id)
		}
	}
}

func (s *Store) removeLease(id store.Lease) {
	delete(s.leases, id)
	for _, e := range s.entries {
		if e.present && e.lease == id {
			s.remove(e)
		}
	}
}

func (s *Store) remove(e *entry) {
	e.present = false
	e.value = nil
	e.lease = ""
	e.version++
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (e *entry) current() store.Version {
	if !e.present {
		return 0
	}
	return e.version
}
