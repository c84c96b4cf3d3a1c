// Package store defines the interface of the platform's key-value service.
//
// The service offers compare-and-swap on single keys, leases and watches. The
// implementations are sub-packages: memory keeps entries in the process, http
// calls the platform.
//
// # Usage
//
//	entry, err := s.Get(ctx, "lists/head")
//	next, err := s.Swap(ctx, "lists/head", entry.Version, value, "")
//	switch {
//	case errors.Is(err, store.ErrConflict): // another writer was first
//	case errors.Is(err, store.ErrUnknown):  // the swap may have been applied: read the key
//	}
package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// MaxValueBytes is the size of the largest value that the service accepts.
const MaxValueBytes = 1 << 20

var (
	// ErrNotFound is returned when a key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict is returned when the version of a key is not the expected one.
	ErrConflict = errors.New("version conflict")
	// ErrUnknown is returned when a write may or may not have been applied.
	ErrUnknown = errors.New("outcome of the write is unknown")
	// ErrUnavailable is returned when the service did not accept the call; nothing
	// was written.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrTooLarge is returned when a value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("value is too large")
)

// Version counts the writes of one key. Zero means that the key is absent. As a restored
// store gives out counts again, a version also holds the era, in the same way as a Revision.
type Version uint64

// VersionOf returns the version with a count in an era. A count of zero is version zero in
// every era.
func VersionOf(era Era, count uint64) Version {
	if count == 0 {
		return 0
	}
	return Version(RevisionOf(era, count))
}

// Era returns the era in which the version was given out, zero for version zero.
func (v Version) Era() Era {
	return Revision(v).Era()
}

// Count returns the version as the store counts it.
func (v Version) Count() uint64 {
	return Revision(v).Number()
}

// Lease identifies a lease. An entry with an empty lease is bound to none.
type Lease string

// Entry is a value and its version.
type Entry struct {
	Value   []byte
	Version Version
}

// EraOf returns the latest era that a store has named, zero if it names none.
func EraOf(s Store) Era {
	if named, ok := s.(interface{ Era() Era }); ok {
		return named.Era()
	}
	return 0
}

// Store is the platform's key-value service. A swap, deletion or lease of an earlier era
// than the store's is refused as a conflict or as not found.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap writes a value if the key still has the expected version, zero for an
	// absent key, and returns the new version. The entry is bound to the lease if
	// one is given. Swap returns ErrConflict for another version, ErrNotFound for
	// a lease that does not exist and ErrTooLarge for a value over MaxValueBytes.
	Swap(ctx context.Context, key string, expected Version, value []byte, lease Lease) (Version, error)
	// Delete removes a key if it still has the expected version. It returns
	// ErrNotFound for an absent key and ErrConflict for another version.
	Delete(ctx context.Context, key string, expected Version) error
	// Watch returns the entry of a key once its version differs from after, or the
	// unchanged entry when wait has passed. An absent key has version zero.
	Watch(ctx context.Context, key string, after Version, wait time.Duration) (Entry, error)
	// Grant creates a lease that expires after ttl without renewal.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew restarts the time to live of a lease, or returns ErrNotFound.
	Renew(ctx context.Context, lease Lease) error
	// Revoke ends a lease and removes its entries.
	Revoke(ctx context.Context, lease Lease) error
}
