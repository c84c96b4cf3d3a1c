package watch

import (
	"bytes"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/store"
)

// Change is the write or the deletion of a key. The value of a deletion is that of the
// last write before it, if it is known.
type Change struct {
	store.Change
	// Written is the revision of the last write before a deletion, or zero.
	Written store.Revision
	// TentativeUntil is the time until which a deleted key may reappear. It is
	// zero for a write and for a definite deletion. For a retained write it is the
	// time at which the key counts as deleted unless it was written again, or zero.
	TentativeUntil time.Time
	// Retained is set if the change is of an earlier era and newer than what the
	// restored store has of the key.
	Retained bool
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

// _maxEras is the number of eras for which the last revision is remembered.
const _maxEras = 8

// ErrBehind is returned to a follower whose last read is older than the oldest
// change that is still known. The follower then reads the changes itself, which
// costs one call of the store; sending it all keys would cost a hundred times
// the bytes.
var ErrBehind = errors.New("last read is older than the known changes")

// ErrRefused is returned to a subscriber while the store turns the instance away.
var ErrRefused = errors.New("the store turns this instance away")

// Order compares values of a key that were written in different eras of the store, in
// which revisions do not tell which one is newer.
type Order interface {
	// Compare returns a positive number if a was written after b, a negative number if
	// before, and zero for the same write. It returns false if the values do not tell.
	Compare(key string, a, b []byte) (order int, ok bool)
	// Retention returns whether a key that a restored store lost stays as it was until
	// it is written again, and for how long at most; zero means no limit.
	Retention(key string) (limit time.Duration, retained bool)
}

// Cache holds the keys under the prefix as last read, by any instance. Changes
// are ordered by the revision of their key, not by their arrival. Changes of different
// eras are ordered by Order, and by their eras where that does not tell: a restored store
// does not undo what is known to be newer. Cache is not safe for concurrent use.
type Cache struct {
	// Order is set before the first use; nil orders by revisions alone.
	Order Order

	items      map[string]store.Item
	tombstones map[string]tombstone
	// updates holds the revisions at which keys last changed by more than a
	// heartbeat.
	updates map[string]store.Revision
	// retained holds the keys of which the restored store has an older state or none,
	// with the time at which a lost key counts as deleted, zero for never.
	retained map[string]time.Time
	// ends holds the last revision that was read in each earlier era.
	ends map[store.Era]store.Revision
	// oldest is the revision since which all changes are known: at first that of
	// the first snapshot, later that of the newest dropped tombstone.
	oldest   store.Revision
	revision store.Revision
	readAt   time.Time
}

// tombstone is a deletion, with the last write before it if that is known.
type tombstone struct {
	revision store.Revision
	last     store.Item
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
	for key, item := range c.items {
		if _, ok := c.retained[key]; !ok {
			b.Changes = append(b.Changes, Change{Change: store.Change{Item: item}})
		}
	}
	b.Changes = append(b.Changes, c.Retained()...)
	return b
}

// Retained returns what is newer than the state of the restored store.
func (c *Cache) Retained() []Change {
	changes := make([]Change, 0, len(c.retained))
	for key, until := range c.retained {
		change := Change{Retained: true, TentativeUntil: until}
		if item, ok := c.items[key]; ok {
			change.Item = item
		} else {
			t := c.tombstones[key]
			change.Key, change.Value, change.Revision, change.Deleted = key, t.last.Value, t.revision, true
			change.Written = t.last.Revision
		}
		changes = append(changes, change)
	}
	return changes
}

// Since returns the changes after a revision, without mere heartbeats, or a
// snapshot if the revision is zero. It returns ErrBehind if not all changes since
// the revision are known.
func (c *Cache) Since(after store.Revision) (Batch, error) {
	era := c.revision.Era()
	switch {
	case after == 0:
		return c.Snapshot(), nil
	case c.oldest == 0 || after < c.oldest || after.Era() > era || after.Era() < era && after > c.ends[after.Era()]:
		return Batch{}, ErrBehind
	}
	b := Batch{Revision: c.revision, At: c.readAt, Changes: c.Retained()}
	for key, revision := range c.updates {
		item, ok := c.items[key]
		if _, retained := c.retained[key]; ok && !retained && revision > after {
			b.Changes = append(b.Changes, Change{Change: store.Change{Item: item}})
		}
	}
	for key, t := range c.tombstones {
		if _, retained := c.retained[key]; !retained && t.revision > after {
			b.Changes = append(b.Changes, t.deletion(key))
		}
	}
	return b, nil
}

func (t tombstone) deletion(key string) Change {
	deletion := Change{Written: t.last.Revision}
	deletion.Key, deletion.Value, deletion.Revision, deletion.Deleted = key, t.last.Value, t.revision, true
	return deletion
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
		c.tombstones = make(map[string]tombstone)
		c.updates = make(map[string]store.Revision)
		c.retained = make(map[string]time.Time)
		c.ends = make(map[store.Era]store.Revision)
	}
	if era := c.revision.Era(); b.Revision.Era() > era && c.revision > 0 {
		c.ends[era] = c.revision
		delete(c.ends, b.Revision.Era()-min(b.Revision.Era(), _maxEras))
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
	if b.Revision.Era() == c.revision.Era() && b.At.After(c.readAt) {
		c.readAt = b.At
	}
	return changes
}

// Expire deletes the lost keys that were not written again in time, and returns the
// deletions.
func (c *Cache) Expire(now time.Time) []Change {
	var changes []Change
	for key, until := range c.retained {
		if item, ok := c.items[key]; ok && !until.IsZero() && now.After(until) {
			changes = append(changes, c.delete(key, item, c.revision))
		}
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
	for _, t := range c.tombstones {
		revisions = append(revisions, t.revision)
	}
	slices.Sort(revisions)
	c.oldest = max(c.oldest, revisions[len(revisions)/2])
	for key, t := range c.tombstones {
		if _, retained := c.retained[key]; !retained && t.revision <= c.oldest {
			delete(c.tombstones, key)
		}
	}
}

// apply applies a change unless it is older than what is known of its key.
func (c *Cache) apply(change Change) bool {
	known, exists := c.items[change.Key]
	t, deleted := c.tombstones[change.Key]
	last := max(known.Revision, t.revision)
	if exists || deleted {
		if change.Revision.Era() == last.Era() {
			if change.Retained && change.Revision == last {
				c.retained[change.Key] = change.TentativeUntil
			}
			if change.Revision <= last {
				return false
			}
		} else if !c.isNewer(change, known, exists, t) {
			return false
		}
	}
	delete(c.retained, change.Key)
	if change.Retained || change.Revision < last {
		c.retained[change.Key] = change.TentativeUntil
	}
	if change.Deleted {
		c.deleteAs(change, known, t)
		return exists
	}
	c.items[change.Key] = change.Item
	delete(c.tombstones, change.Key)
	return !exists || known.Revision.Era() == change.Revision.Era() || !bytes.Equal(known.Value, change.Value)
}

// isNewer reports whether a change is newer than what was known of its key in another
// era. If the store has the older state, what is known is retained.
func (c *Cache) isNewer(change Change, known store.Item, exists bool, t tombstone) bool {
	later := change.Revision > max(known.Revision, t.revision)
	last := t.last
	if exists {
		last = known
	}
	if change.Deleted {
		return later || exists && change.Written > 0 && !c.writtenAfter(known, store.Item{
			Key: change.Key, Value: change.Value, Revision: change.Written,
		})
	}
	if exists && bytes.Equal(known.Value, change.Value) {
		return later
	}
	if last.Key != "" {
		order, ok := c.compare(change.Key, change.Value, last.Value)
		switch {
		case ok && order > 0:
			return true
		case ok && order < 0, !exists && !c.writtenAfter(change.Item, last):
			if later {
				c.retained[change.Key] = time.Time{}
			}
			return false
		}
	}
	return later
}

// writtenAfter reports whether an item is a later write than another one that was deleted.
// Without an order of their values, it is the same write if the number is the same too.
func (c *Cache) writtenAfter(item, deleted store.Item) bool {
	if order, ok := c.compare(item.Key, item.Value, deleted.Value); ok {
		return order > 0
	}
	return item.Revision.Number() != deleted.Revision.Number() || !bytes.Equal(item.Value, deleted.Value)
}

func (c *Cache) compare(key string, a, b []byte) (order int, ok bool) {
	if c.Order == nil {
		return 0, false
	}
	return c.Order.Compare(key, a, b)
}

// deleteAs records a deletion, with the last known write before it.
func (c *Cache) deleteAs(change Change, known store.Item, t tombstone) {
	last := known
	if t.last.Revision > last.Revision {
		last = t.last
	}
	if change.Written > last.Revision {
		last = store.Item{Key: change.Key, Value: change.Value, Revision: change.Written}
	}
	delete(c.items, change.Key)
	delete(c.updates, change.Key)
	c.tombstones[change.Key] = tombstone{revision: change.Revision, last: last}
}

// delete deletes an item at a revision and returns the deletion.
func (c *Cache) delete(key string, item store.Item, revision store.Revision) Change {
	delete(c.items, key)
	delete(c.updates, key)
	delete(c.retained, key)
	t := tombstone{revision: revision, last: item}
	c.tombstones[key] = t
	return t.deletion(key)
}

// deleteMissing deletes the keys that are missing from a full batch and returns
// the deletions. A key that a restored store lost may be retained instead.
func (c *Cache) deleteMissing(b Batch, tentativeUntil time.Time) []Change {
	present := make(map[string]struct{}, len(b.Changes))
	for _, change := range b.Changes {
		present[change.Key] = struct{}{}
	}
	var changes []Change
	for key, item := range c.items {
		if _, ok := present[key]; ok || item.Revision > b.Revision || c.retainLost(b, item) {
			continue
		}
		deletion := c.delete(key, item, b.Revision)
		deletion.TentativeUntil = tentativeUntil
		changes = append(changes, deletion)
	}
	return changes
}

// retainLost retains an item of an earlier era that is missing from the restored store, if
// it is of a kind that stays until it is written again. It reports whether it does.
func (c *Cache) retainLost(b Batch, item store.Item) bool {
	if c.Order == nil || item.Revision.Era() == b.Revision.Era() {
		return false
	}
	limit, retained := c.Order.Retention(item.Key)
	if _, known := c.retained[item.Key]; !retained || known {
		return retained
	}
	c.retained[item.Key] = time.Time{}
	if limit > 0 {
		c.retained[item.Key] = b.At.Add(limit)
	}
	return true
}
