// Package rollout distributes the accepted lists to every entry instance. The
// version that is active on an instance never decreases.
//
// The store holds one Head, which names the content-addressed parts of the
// lists. An Editor writes the parts and then replaces the head by
// compare-and-swap. An Acceptor decides which heads an instance installs. A
// Follower watches the store and fetches newer lists from peers as a second
// source.
//
// # Usage
//
//	e := &rollout.Editor{Store: s, Name: "lists apply"}
//	head, err := e.Apply(ctx, lists)
//	var conflict *rollout.ConflictError // another edit was accepted first
//
//	f := &rollout.Follower{Store: s}
//	current := f.Current() // nil until lists are installed
package rollout

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/plan"
)

const (
	// HeadKey is the store key under which the head is stored.
	HeadKey = "lists/head"
	// HistorySize is the largest number of past edits listed in a head.
	HistorySize = 32

	_partPrefix = "lists/part/"
)

// Edit describes one accepted edit of the lists.
type Edit struct {
	Version uint64 `json:"version"`
	// ID is a random string by which an editor recognises its own edit.
	ID     string `json:"id"`
	Editor string `json:"editor"`
	AtMs   int64  `json:"atMs"`
	// Replaced lists the digests of the parts that the edit replaced or removed.
	Replaced []string `json:"replaced,omitempty"`
}

// Head names the parts of the newest lists by digest. History holds the past
// edits, newest first.
type Head struct {
	Edit
	Parts   []string `json:"parts"`
	History []Edit   `json:"history,omitempty"`
}

// Contains reports whether the head is the result of the edit with the given
// ID or lists it in its history.
func (h Head) Contains(editID string) bool {
	if h.ID == editID {
		return true
	}
	for _, e := range h.History {
		if e.ID == editID {
			return true
		}
	}
	return false
}

// Encode returns the stored form of the head.
func (h Head) Encode() ([]byte, error) {
	data, err := json.Marshal(h)
	if err != nil {
		return nil, errors.Wrap(err, "encode head")
	}
	return data, nil
}

// DecodeHead decodes the stored form of a head. It fails if the version is zero
// or the number of parts is not plan.Buckets.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return Head{}, errors.Wrap(err, "decode head")
	}
	if h.Version == 0 || len(h.Parts) != plan.Buckets {
		return Head{}, errors.Errorf("invalid head: version %d, %d parts", h.Version, len(h.Parts))
	}
	return h, nil
}

// PartKey returns the store key of the part with the given digest.
func PartKey(digest string) string {
	return _partPrefix + digest
}
