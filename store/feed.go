package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

var (
	// ErrCompacted is returned when the history since a revision was compacted:
	// the prefix has to be read again.
	ErrCompacted = errors.New("history since the revision was compacted")
	// ErrRestored is returned when the store was restored from an earlier copy since
	// the revision: the prefix has to be read again.
	ErrRestored = errors.New("store was restored since the revision")
	// ErrThrottled is returned when the store rejected a call because of its rate
	// limit; nothing was written.
	ErrThrottled = errors.New("store throttles calls")
)

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change of the key.
	Revision Revision
}

// Change is the write or the deletion of a key.
type Change struct {
	Item
	Deleted bool
}

// Feed reads all keys under a prefix and their changes in order.
type Feed interface {
	// Range returns the keys under a prefix and the revision to pass to Changes.
	// It makes one call for each page and sets a timeout for each call.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Changes returns the changes after a revision, as soon as there are any or
	// when wait has passed, and the revision to pass next. It returns ErrCompacted
	// when the history since the revision was compacted, and ErrRestored when the
	// store was restored since.
	Changes(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Change, Revision, error)
}

// Registry writes keys, with or without a lease. A lease does not outlive a restore of
// the store: it then counts as one that does not exist.
type Registry interface {
	// Grant creates a lease that expires after ttl without renewal.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew restarts the time to live of a lease, or returns ErrNotFound.
	Renew(ctx context.Context, lease Lease) error
	// Put writes a key and binds it to the lease if one is given. It returns
	// ErrNotFound if the lease does not exist.
	Put(ctx context.Context, key string, value []byte, lease Lease) error
	// Delete removes a key.
	Delete(ctx context.Context, key string) error
	// Revoke ends a lease and removes its keys. It returns ErrNotFound if the lease
	// does not exist.
	Revoke(ctx context.Context, lease Lease) error
}
