package watch

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/store"
)

// Change is the write or the deletion of a key.
type Change struct {
	store.Change
	// TentativeUntil is the time until which a deleted key may reappear. It is
	// zero for a write and for a definite deletion.
	TentativeUntil time.Time
}

// Batch holds the result of one read of the store.
type Batch struct {
	// Full is set if Changes holds all keys under the prefix (a snapshot).
	Full bool
	// Revision is the revision up to which the store was read.
	Revision store.Revision
	// At is the time of the read.
	At      time.Time
	Changes []Change
}

// _maxTombstones is the number of deletions that are remembered.
const _maxTombstones = 8192

// ErrBehind is returned to a follower whose last read is older than the oldest
// change that is still known. The follower then reads the changes itself, which
// costs one call of the store; sending it all keys would cost a hundred times
// the bytes.
var ErrBehind = errors.New("last read is older than the known changes")

// ErrRefused is returned to a subscriber while the store turns the instance away.
var ErrRefused = errors.New("the store turns this instance away")

// Cache holds the keys under the prefix as last read, by any instance. Changes
// are ordered by the revision of their key, not by their arrival. It is not safe
// for concurrent use.
type Cache struct {
	items map[string]store.Item
	// tombstones holds the revisions at which keys were deleted.
	tombstones map[string]store.Revision
	// updates holds the revisions at which keys last changed by more than a
	// heartbeat.
	updates map[string]store.Revision
	// oldest is the revision since which all changes are known: at first that of
	// the first snapshot, later that of the newest dropped tombstone.
	oldest   store.Revision
	revision store.Revision
	readAt   time.Time
}

// Revision returns the revision up to which the store was read.
func (c *Cache) Revision() store.Revision {
	return c.revision
}

// ReadAt returns the time of the last read of the store.
func (c *Cache) ReadAt() time.Time {
	return c.readAt
}

// Snapshot returns all keys as a full batch.
func (c *Cache) Snapshot() Batch {
	b := Batch{Full: true, Revision: c.revision, At: c.readAt, Changes: make([]Change, 0, len(c.items))}
	for _, item := range c.items {
		b.Changes = append(b.Changes, Change{Change: store.Change{Item: item}})
	}
	return b
}

// Since returns the changes after a revision, without mere heartbeats, or a
// snapshot if the revision is zero. It returns ErrBehind if not all changes since
// the revision are known.
func (c *Cache) Since(after store.Revision) (Batch, error) {
	switch {
	case after == 0:
		return c.Snapshot(), nil
	case c.oldest == 0 || after < c.oldest:
		return Batch{}, ErrBehind
	}
	b := Batch{Revision: c.revision, At: c.readAt}
	for key, revision := range c.updates {
		if item, ok := c.items[key]; ok && revision > after {
			b.Changes = append(b.Changes, Change{Change: store.Change{Item: item}})
		}
	}
	for key, revision := range c.tombstones {
		if revision > after {
			deletion := Change{}
			deletion.Key, deletion.Revision, deletion.Deleted = key, revision, true
			b.Changes = append(b.Changes, deletion)
		}
	}
	return b, nil
}

// RecordUpdate records that a key changed by more than a heartbeat, so that
// Since returns it.
func (c *Cache) RecordUpdate(change Change) {
	if !change.Deleted {
		c.updates[change.Key] = change.Revision
	}
}

// Apply applies a batch and returns those of its changes that are newer than what
// is known. tentativeUntil is the time until which a key that is missing from a
// full batch may reappear, or zero.
func (c *Cache) Apply(b Batch, tentativeUntil time.Time) []Change {
	if c.items == nil {
		c.items = make(map[string]store.Item)
		c.tombstones = make(map[string]store.Revision)
		c.updates = make(map[string]store.Revision)
	}
	var changes []Change
	for _, change := range b.Changes {
		if c.apply(change) {
			changes = append(changes, change)
		}
	}
	if b.Full {
		changes = append(changes, c.deleteMissing(b, tentativeUntil)...)
		if c.oldest == 0 {
			c.oldest = b.Revision
		}
	}
	c.dropTombstones()
	c.revision = max(c.revision, b.Revision)
	if b.At.After(c.readAt) {
		c.readAt = b.At
	}
	return changes
}

// dropTombstones drops the older half of the tombstones when there are too many.
// Since returns ErrBehind for revisions before those that are left.
func (c *Cache) dropTombstones() {
	if len(c.tombstones) <= _maxTombstones {
		return
	}
	revisions := make([]store.Revision, 0, len(c.tombstones))
	for _, r := range c.tombstones {
		revisions = append(revisions, r)
	}
	slices.Sort(revisions)
	c.oldest = max(c.oldest, revisions[len(revisions)/2])
	for key, r := range c.tombstones {
		if r <= c.oldest {
			delete(c.tombstones, key)
		}
	}
}

func (c *Cache) apply(change Change) bool {
	known, ok := c.items[change.Key]
	if ok && change.Revision <= known.Revision || change.Revision <= c.tombstones[change.Key] {
		return false
	}
	if change.Deleted {
		delete(c.items, change.Key)
		delete(c.updates, change.Key)
		c.tombstones[change.Key] = change.Revision
		return ok
	}
	c.items[change.Key] = change.Item
	delete(c.tombstones, change.Key)
	return true
}

// deleteMissing deletes the keys that are missing from a full batch and returns
// the deletions.
func (c *Cache) deleteMissing(b Batch, tentativeUntil time.Time) []Change {
	present := make(map[string]struct{}, len(b.Changes))
	for _, change := range b.Changes {
		present[change.Key] = struct{}{}
	}
	var changes []Change
	for key, item := range c.items {
		if _, ok := present[key]; ok || item.Revision > b.Revision {
			continue
		}
		deletion := Change{TentativeUntil: tentativeUntil}
		deletion.Key, deletion.Revision, deletion.Deleted = key, b.Revision, true
		delete(c.items, key)
		delete(c.updates, key)
		c.tombstones[key] = b.Revision
		changes = append(changes, deletion)
	}
	return changes
}
