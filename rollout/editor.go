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
	_editAttempts = 8
	_editPause    = 100 * time.Millisecond
	// _versionsPerEra is more than the edits between two restores of the store.
	_versionsPerEra = 1_000_000
)

// ConflictError reports that another edit was accepted first.
type ConflictError struct {
	// Base is the version on which the rejected edit was based.
	Base uint64
	// Theirs is the head that was in the store when the conflict was detected.
	Theirs Head
	// Changes lists the changes from the stored lists to the rejected ones.
	// It is empty if the stored lists could not be read.
	Changes []plan.Change
}

// Error names the version and editor of the accepted edit.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d by %s was accepted first; this edit was made from version %d",
		e.Theirs.Version, e.Theirs.Editor, e.Base)
}

// Editor writes new versions of the lists to the store.
type Editor struct {
	Store store.Store
	// Name identifies the editor to operators.
	Name string
	// Base, if not zero, is the version on which the edit is based. Any other
	// version in the store is a conflict.
	Base uint64
}

// Apply writes the lists as the next version and returns a head that contains
// the edit. It returns a *ConflictError if another edit was accepted first. If
// every reply is lost, the error says that the outcome is unknown.
func (e *Editor) Apply(ctx context.Context, lists plan.Lists) (Head, error) {
	current, storeVersion, err := ReadHead(ctx, e.Store)
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
	next := nextHead(current, parts, e.Name, store.EraOf(e.Store))
	data, err := next.Encode()
	if err != nil {
		return Head{}, err
	}
	return e.swap(ctx, next, current.Version, storeVersion, data, lists)
}

// swap writes the head. If the reply is lost, it reads the head back and looks
// for its own edit. Every attempt expects the same store version, so that a
// delayed swap cannot overwrite a newer edit.
func (e *Editor) swap(
	ctx context.Context, next Head, base uint64, storeVersion store.Version, data []byte, lists plan.Lists,
) (Head, error) {
	var err error
	for range _editAttempts {
		_, err = e.Store.Swap(ctx, HeadKey, storeVersion, data, "")
		if err == nil {
			return next, nil
		}
		if errors.Is(err, store.ErrTooLarge) {
			return Head{}, err
		}
		head, _, readErr := ReadHead(ctx, e.Store)
		switch {
		case readErr == nil && head.Contains(next.ID):
			return head, nil
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
		// A part is stored under its digest: a conflict means that it exists already.
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

// ReadHead reads the head and its store version. The error wraps
// store.ErrNotFound if there is no head yet.
func ReadHead(ctx context.Context, s store.Store) (Head, store.Version, error) {
	entry, err := s.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, 0, errors.Wrap(err, "read head")
	}
	h, err := DecodeHead(entry.Value)
	return h, entry.Version, err
}

// ReadLists reads the parts that a head names and joins them into lists.
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

// firstVersion returns the version before the first one of an era. A store that was restored
// lacks versions that instances have active: a later edit must be higher than all of them.
func firstVersion(era store.Era) uint64 {
	if era == 0 {
		return 0
	}
	return uint64(era-1) * _versionsPerEra
}

func nextHead(current Head, parts []plan.Part, editor string, era store.Era) Head {
	next := Head{
		Edit: Edit{
			Version: max(current.Version, firstVersion(era)) + 1,
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
