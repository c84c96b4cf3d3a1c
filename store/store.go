// Package store is the interface to the platform's key-value service.
//
// The service offers compare-and-swap on single keys, leases and watches. Its
// implementations are in sub-folders: memory keeps entries in the process,
// http calls the platform.
//
// # Usage
//
//	entry, err := s.Get(ctx, "lists/head")
//	next, err := s.Swap(ctx, "lists/head", entry.Version, value, "")
//	switch {
//	case errors.Is(err, store.ErrConflict): // another writer was first
//	case errors.Is(err, store.ErrUnknown):  // the swap may have been applied: read it back
//	}
package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// MaxValueBytes is the largest value that the service takes.
const MaxValueBytes = 1 << 20

var (
	// ErrNotFound is returned when a key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict is returned when the version of a key is not the expected one.
	ErrConflict = errors.New("version conflict")
	// ErrUnknown is returned when a write may or may not have been applied.
	ErrUnknown = errors.New("outcome of the write is unknown")
	// ErrUnavailable is returned when the service did not take the call; nothing was written.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrTooLarge is returned when a value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("value is too large")
)

// Version counts the writes of one key. Zero means that the key is absent.
type Version uint64

// Lease identifies a lease. An empty lease binds an entry to none.
type Lease string

// Entry is a value and its version.
type Entry struct {
	Value   []byte
	Version Version
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap writes a value if the key still has the expected version, and binds
	// it to a lease if one is given.
	Swap(ctx context.Context, key string, expected Version, value []byte, lease Lease) (Version, error)
	// Delete removes a key if it still has the expected version.
	Delete(ctx context.Context, key string, expected Version) error
	// Watch returns once the version of a key differs from after, or with the
	// unchanged entry when wait has passed. An absent key has version zero.
	Watch(ctx context.Context, key string, after Version, wait time.Duration) (Entry, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew prolongs a lease by its time to live, or returns ErrNotFound.
	Renew(ctx context.Context, lease Lease) error
	// Revoke ends a lease and removes its entries.
	Revoke(ctx context.Context, lease Lease) error
}
