package rollout

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/plan"
)

// ErrOlder is returned for a head that is not newer than the accepted one.
var ErrOlder = errors.New("head is not newer than the accepted one")

// Acceptor decides which lists an instance has in force. It does no I/O and
// is not safe for concurrent use.
type Acceptor struct {
	head      Head
	parts     map[string][]byte
	book      *plan.Index
	confirmed time.Time
}

// Version returns the version in force, or zero if there is none.
func (a *Acceptor) Version() uint64 {
	return a.head.Version
}

// Head returns the head in force.
func (a *Acceptor) Head() Head {
	return a.head
}

// Index returns the lists in force, or nil if there are none.
func (a *Acceptor) Index() *plan.Index {
	return a.book
}

// Part returns a part in force.
func (a *Acceptor) Part(digest string) ([]byte, bool) {
	data, ok := a.parts[digest]
	return data, ok
}

// Newer reports whether the head would be taken.
func (a *Acceptor) Newer(h Head) bool {
	return h.Version > a.head.Version
}

// Missing returns the digests of the parts of a head that are not at hand.
func (a *Acceptor) Missing(h Head) []string {
	var missing []string
	for _, digest := range h.Parts {
		if _, ok := a.parts[digest]; digest != "" && !ok {
			missing = append(missing, digest)
		}
	}
	return missing
}

// Install takes a newer head with the parts that were missing.
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
	a.book = plan.NewIndex(lists)
	return nil
}

// Confirm records that the version was the newest in the store at the given
// time. Only the version in force confirms; an older one is a lagging read.
func (a *Acceptor) Confirm(version uint64, at time.Time) {
	if version == a.head.Version && at.After(a.confirmed) {
		a.confirmed = at
	}
}

// ConfirmedAt returns the last time at which nothing newer than the lists in
// force was in the store. It stays valid when newer lists are installed.
func (a *Acceptor) ConfirmedAt() time.Time {
	return a.confirmed
}
