package watch

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/store"
)

// Change is a key that was written or deleted.
type Change struct {
	store.Change
	// TentativeUntil is until when a deleted key may return, or zero.
	TentativeUntil time.Time
}

// Batch is what one reading brought.
type Batch struct {
	// Full is set if Changes are all keys there are.
	Full bool
	// Revision is the one up to which the store was read, at At.
	Revision store.Revision
	At       time.Time
	Changes  []Change
}

// _maxRemoved bounds the deletions that are remembered.
const _maxRemoved = 8192

// ErrBehind is returned to a follower whose last reading is older than what is
// known of changes. Reading the changes itself costs it one call of the store;
// sending it all keys would cost a hundred times the bytes.
var ErrBehind = errors.New("the last reading is older than the changes known")

// Cache holds the keys under the prefix as last read, whoever read them. News
// counts by the revision of its key, never by its arrival. It is not safe for
// concurrent use.
type Cache struct {
	items map[string]store.Item
	// removed holds the revisions at which keys were deleted, and news those at
	// which keys last told more than a sign of life.
	removed map[string]store.Revision
	news    map[string]store.Revision
	// first is the revision of the first whole batch: what changed since is
	// known.
	first    store.Revision
	revision store.Revision
	readAt   time.Time
}

// Revision returns the revision up to which the store was read.
func (c *Cache) Revision() store.Revision {
	return c.revision
}

// ReadAt returns when the store was last read.
func (c *Cache) ReadAt() time.Time {
	return c.readAt
}

// Snapshot returns all keys as a batch.
func (c *Cache) Snapshot() Batch {
	b := Batch{Full: true, Revision: c.revision, At: c.readAt, Changes: make([]Change, 0, len(c.items))}
	for _, item := range c.items {
		b.Changes = append(b.Changes, Change{Change: store.Change{Item: item}})
	}
	return b
}

// Since returns what is news to someone who has read up to a revision: all keys
// to one who has read nothing, ErrBehind if the changes since are not known.
func (c *Cache) Since(after store.Revision) (Batch, error) {
	switch {
	case after == 0:
		return c.Snapshot(), nil
	case c.first == 0 || after < c.first:
		return Batch{}, ErrBehind
	}
	b := Batch{Revision: c.revision, At: c.readAt}
	for key, revision := range c.news {
		if item, ok := c.items[key]; ok && revision > after {
			b.Changes = append(b.Changes, Change{Change: store.Change{Item: item}})
		}
	}
	for key, revision := range c.removed {
		if revision > after {
			gone := Change{}
			gone.Key, gone.Revision, gone.Deleted = key, revision, true
			b.Changes = append(b.Changes, gone)
		}
	}
	return b, nil
}

// RecordUpdate notes that a key told more than a sign of life.
func (c *Cache) RecordUpdate(change Change) {
	if !change.Deleted {
		c.news[change.Key] = change.Revision
	}
}

// Apply takes a batch and returns the changes in it that are news. lapse is
// until when a key that is missing from a whole batch may return, or zero.
func (c *Cache) Apply(b Batch, lapse time.Time) []Change {
	if c.items == nil {
		c.items = make(map[string]store.Item)
		c.removed = make(map[string]store.Revision)
		c.news = make(map[string]store.Revision)
	}
	var news []Change
	for _, change := range b.Changes {
		if c.apply(change) {
			news = append(news, change)
		}
	}
	if b.Full {
		news = append(news, c.missing(b, lapse)...)
		if c.first == 0 {
			c.first = b.Revision
		}
	}
	c.forget()
	c.revision = max(c.revision, b.Revision)
	if b.At.After(c.readAt) {
		c.readAt = b.At
	}
	return news
}

// forget drops the older half of the deletions when there are too many. Who has
// read less than that gets all keys.
func (c *Cache) forget() {
	if len(c.removed) <= _maxRemoved {
		return
	}
	revisions := make([]store.Revision, 0, len(c.removed))
	for _, r := range c.removed {
		revisions = append(revisions, r)
	}
	slices.Sort(revisions)
	c.first = max(c.first, revisions[len(revisions)/2])
	for key, r := range c.removed {
		if r <= c.first {
			delete(c.removed, key)
		}
	}
}

func (c *Cache) apply(change Change) bool {
	known, ok := c.items[change.Key]
	if ok && change.Revision <= known.Revision || change.Revision <= c.removed[change.Key] {
		return false
	}
	if change.Deleted {
		delete(c.items, change.Key)
		delete(c.news, change.Key)
		c.removed[change.Key] = change.Revision
		return ok
	}
	c.items[change.Key] = change.Item
	delete(c.removed, change.Key)
	return true
}

// missing deletes the keys that a whole batch does not have.
func (c *Cache) missing(b Batch, lapse time.Time) []Change {
	present := make(map[string]struct{}, len(b.Changes))
	for _, change := range b.Changes {
		present[change.Key] = struct{}{}
	}
	var news []Change
	for key, item := range c.items {
		if _, ok := present[key]; ok || item.Revision > b.Revision {
			continue
		}
		gone := Change{TentativeUntil: lapse}
		gone.Key, gone.Revision, gone.Deleted = key, b.Revision, true
		delete(c.items, key)
		delete(c.news, key)
		c.removed[key] = b.Revision
		news = append(news, gone)
	}
	return news
}
