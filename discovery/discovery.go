// Package discovery defines the interface of the platform's list of live and
// leaving instances: entry instances and backend servers (workers).
//
// The list may be seconds old. A record says where an instance may be reached; it is
// no evidence that the instance is alive.
//
// # Usage
//
//	list, err := directory.List(ctx)
//	for _, rec := range list {
//		if rec.Kind == discovery.Worker && rec.State == discovery.Live {
//			// rec.Address serves rec.Service
//		}
//	}
package discovery

import (
	"context"
	"time"
)

// Kind is the kind of an instance: an entry instance or a worker.
type Kind string

const (
	// Entry is an entry instance.
	Entry Kind = "entry"
	// Worker is a backend server.
	Worker Kind = "worker"
)

// State is the state of an instance in the list.
type State string

const (
	// Live means that the instance takes work.
	Live State = "live"
	// Leaving means that the instance finishes its work and shuts down.
	Leaving State = "leaving"
)

// Record is one instance in the list.
type Record struct {
	Name        string `json:"name"`
	Kind        Kind   `json:"kind"`
	State       State  `json:"state"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	Service     string `json:"service,omitempty"`
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress,omitempty"`
	Slots       int    `json:"slots,omitempty"`
	// Incarnation increases with each start of an entry instance.
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// Directory is the platform's list of instances.
type Directory interface {
	// List returns the records of all instances, which may be seconds old.
	List(ctx context.Context) ([]Record, error)
	// Register adds or refreshes a record, which expires after ttl without a
	// refresh.
	Register(ctx context.Context, rec Record, ttl time.Duration) error
	// Deregister removes the record with a name.
	Deregister(ctx context.Context, name string) error
}
