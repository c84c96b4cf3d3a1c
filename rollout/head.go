// Package rollout brings accepted lists into force on every entry instance,
// and never goes back to older ones.
//
// The store holds one Head, which names the content-addressed parts of the
// lists. An Editor writes the parts and then swaps the head. An Acceptor
// decides which head an instance takes; a Follower watches the store and
// takes heads from peers as a second source.
//
// # Usage
//
//	e := &rollout.Editor{Store: s, Name: "lists apply"}
//	head, err := e.Apply(ctx, lists)
//	var conflict *rollout.ConflictError // another edit was first
//
//	f := &rollout.Follower{Store: s}
//	book, ok := f.Book()
package rollout

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/plan"
)

const (
	// HeadKey is the store key of the head.
	HeadKey = "lists/head"
	// HistorySize is the number of past edits that a head names.
	HistorySize = 32

	_partPrefix = "lists/part/"
)

// Edit describes one accepted edit.
type Edit struct {
	Version uint64 `json:"version"`
	// ID is drawn by the editor, which recognises its own edit by it.
	ID     string `json:"id"`
	Editor string `json:"editor"`
	AtMs   int64  `json:"atMs"`
	// Replaced are the digests of parts that the edit took out of use.
	Replaced []string `json:"replaced,omitempty"`
}

// Head names the parts of the newest lists.
type Head struct {
	Edit
	Parts   []string `json:"parts"`
	History []Edit   `json:"history,omitempty"`
}

// Contains reports whether the head is, or comes after, the edit with the given ID.
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

// DecodeHead reads the stored form of a head.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return Head{}, errors.Wrap(err, "decode head")
	}
	if h.Version == 0 || len(h.Parts) != plan.Buckets {
		return Head{}, errors.Errorf("head has version %d and %d parts", h.Version, len(h.Parts))
	}
	return h, nil
}

// PartKey is the store key of a part.
func PartKey(digest string) string {
	return _partPrefix + digest
}
