package rollout

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/plan"
)

// ErrOlder is returned for a head that is not newer than the active one.
var ErrOlder = errors.New("head is not newer than the active one")

// Acceptor decides which lists are active on an instance. It does no I/O and
// is not safe for concurrent use.
type Acceptor struct {
	head      Head
	parts     map[string][]byte
	index     *plan.Index
	confirmed time.Time
}

// Version returns the active version, or zero if no lists are installed.
func (a *Acceptor) Version() uint64 {
	return a.head.Version
}

// Head returns the active head. It is empty if no lists are installed.
func (a *Acceptor) Head() Head {
	return a.head
}

// Index returns the index of the active lists, or nil if no lists are installed.
func (a *Acceptor) Index() *plan.Index {
	return a.index
}

// Part returns the content of the part with the given digest, if the active
// head names it.
func (a *Acceptor) Part(digest string) ([]byte, bool) {
	data, ok := a.parts[digest]
	return data, ok
}

// Newer reports whether the head is newer than the active one, so that Install
// would not return ErrOlder.
func (a *Acceptor) Newer(h Head) bool {
	return h.Version > a.head.Version
}

// Missing returns the digests of the parts of a head that the active lists do
// not contain.
func (a *Acceptor) Missing(h Head) []string {
	var missing []string
	for _, digest := range h.Parts {
		if _, ok := a.parts[digest]; digest != "" && !ok {
			missing = append(missing, digest)
		}
	}
	return missing
}

// Install activates a head and its parts; fetched holds the content of the
// parts that Missing returned. It returns ErrOlder if the head is not newer
// than the active one, and fails if a part is missing or cannot be decoded.
func (a *Acceptor) Install(h Head, fetched [][]byte) error {
	if !a.Newer(h) {
		return ErrOlder
	}
	parts := make(map[string][]byte, len(h.Parts))
	for _, data := range fetched {
		parts[plan.Digest(data)] = data
	}
	ordered := make([][]byte, len(h.Parts))
	for i, digest := range h.Parts {
		if digest == "" {
			continue
		}
		data, ok := parts[digest]
		if !ok {
			data, ok = a.parts[digest]
		}
		if !ok {
			return errors.Errorf("part %s of version %d is missing", digest, h.Version)
		}
		parts[digest] = data
		ordered[i] = data
	}
	lists, err := plan.Join(ordered)
	if err != nil {
		return errors.Wrapf(err, "version %d", h.Version)
	}
	a.head = h
	a.parts = parts
	a.index = plan.NewIndex(lists)
	return nil
}

// Confirm records that the version was the newest in the store at the given
// time. It has an effect only for the active version: an older one comes from
// a stale read.
func (a *Acceptor) Confirm(version uint64, at time.Time) {
	if version == a.head.Version && at.After(a.confirmed) {
		a.confirmed = at
	}
}

// ConfirmedAt returns the latest time at which the store was known to hold
// nothing newer than the active lists. It stays valid when newer lists are
// installed.
func (a *Acceptor) ConfirmedAt() time.Time {
	return a.confirmed
}
