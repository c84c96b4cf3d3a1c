package rollout

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/plan"
	"github.com/wigeonlock/wigeonlock/store"
)

const (
	_editTries = 8
	_editPause = 100 * time.Millisecond
)

// ConflictError tells that another edit was accepted first.
type ConflictError struct {
	// Base is the version that the edit was made from.
	Base uint64
	// Theirs is the head that is in the store now.
	Theirs Head
	// Changes tells how their lists differ from the ones offered.
	Changes []plan.Change
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d by %s was accepted first; this edit was made from version %d",
		e.Theirs.Version, e.Theirs.Editor, e.Base)
}

// Editor applies lists to the store.
type Editor struct {
	Store store.Store
	// Name tells operators who made the edit.
	Name string
	// Base, if not zero, is the version that the edit was made from: any other
	// version in the store is a conflict.
	Base uint64
}

// Apply writes the lists as the next version. It returns the head in which the
// edit is accepted, or a *ConflictError.
func (e *Editor) Apply(ctx context.Context, lists plan.Lists) (Head, error) {
	current, stored, err := ReadHead(ctx, e.Store)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return Head{}, err
	}
	if e.Base != 0 && current.Version != e.Base {
		return Head{}, e.conflict(ctx, e.Base, lists)
	}
	parts := plan.Split(lists)
	if err = e.writeParts(ctx, current, parts); err != nil {
		return Head{}, err
	}
	next := nextHead(current, parts, e.Name)
	data, err := next.Encode()
	if err != nil {
		return Head{}, err
	}
	return e.swap(ctx, next, current.Version, stored, data, lists)
}

// swap writes the head. After a lost reply it reads the head back and looks
// for its own edit; the swap expects the same store version on each try, so
// that a late one cannot undo a newer edit.
func (e *Editor) swap(
	ctx context.Context, next Head, base uint64, stored store.Version, data []byte, lists plan.Lists,
) (Head, error) {
	var err error
	for range _editTries {
		_, err = e.Store.Swap(ctx, HeadKey, stored, data, "")
		if err == nil {
			return next, nil
		}
		if errors.Is(err, store.ErrTooLarge) {
			return Head{}, err
		}
		seen, _, readErr := ReadHead(ctx, e.Store)
		switch {
		case readErr == nil && seen.Contains(next.ID):
			return seen, nil
		case readErr == nil && errors.Is(err, store.ErrConflict):
			return Head{}, e.conflict(ctx, base, lists)
		}
		if pauseErr := pause(ctx, _editPause); pauseErr != nil {
			return Head{}, errors.Wrap(err, "outcome of the edit is unknown")
		}
	}
	return Head{}, errors.Wrap(err, "outcome of the edit is unknown")
}

func (e *Editor) writeParts(ctx context.Context, current Head, parts []plan.Part) error {
	for i, p := range parts {
		if p.Digest == "" || (i < len(current.Parts) && current.Parts[i] == p.Digest) {
			continue
		}
		_, err := e.Store.Swap(ctx, PartKey(p.Digest), 0, p.Data, "")
		if errors.Is(err, store.ErrUnknown) {
			_, err = e.Store.Get(ctx, PartKey(p.Digest))
		}
		// A conflict means that the same content is already there.
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return errors.Wrap(err, "write part")
		}
	}
	return nil
}

func (e *Editor) conflict(ctx context.Context, base uint64, lists plan.Lists) error {
	theirs, _, err := ReadHead(ctx, e.Store)
	if err != nil {
		return errors.Wrap(err, "another edit was accepted first")
	}
	conflict := &ConflictError{Base: base, Theirs: theirs}
	if current, err := ReadLists(ctx, e.Store, theirs); err == nil {
		conflict.Changes = plan.Diff(current, lists)
	}
	return conflict
}

// ReadHead reads the head and its store version.
func ReadHead(ctx context.Context, s store.Store) (Head, store.Version, error) {
	entry, err := s.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, 0, errors.Wrap(err, "read head")
	}
	h, err := DecodeHead(entry.Value)
	return h, entry.Version, err
}

// ReadLists reads the lists that a head names.
func ReadLists(ctx context.Context, s store.Store, h Head) (plan.Lists, error) {
	data := make([][]byte, len(h.Parts))
	for i, digest := range h.Parts {
		if digest == "" {
			continue
		}
		entry, err := s.Get(ctx, PartKey(digest))
		if err != nil {
			return plan.Lists{}, errors.Wrap(err, "read part")
		}
		data[i] = entry.Value
	}
	return plan.Join(data)
}

func nextHead(current Head, parts []plan.Part, editor string) Head {
	next := Head{
		Edit: Edit{
			Version: current.Version + 1,
			ID:      rand.Text(),
			Editor:  editor,
			AtMs:    time.Now().UnixMilli(),
		},
		Parts: make([]string, len(parts)),
	}
	for i, p := range parts {
		next.Parts[i] = p.Digest
		if i < len(current.Parts) && current.Parts[i] != "" && current.Parts[i] != p.Digest {
			next.Replaced = append(next.Replaced, current.Parts[i])
		}
	}
	if current.Version > 0 {
		next.History = append([]Edit{current.Edit}, current.History...)
		next.History = next.History[:min(len(next.History), HistorySize)]
	}
	return next
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
