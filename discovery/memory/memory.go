// Package memory implements discovery.Directory in the memory of the process.
//
// # Usage
//
//	d := &memory.Directory{Lag: 2 * time.Second, Now: time.Now}
//	err := d.Register(ctx, record, 10*time.Second)
package memory

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/wigeonlock/wigeonlock/discovery"
)

// Directory keeps the list in memory and returns it as it was Lag ago. It is safe
// for concurrent use.
type Directory struct {
	// Lag is the age of the returned list.
	Lag time.Duration
	// Now returns the current time.
	Now func() time.Time

	mu      sync.Mutex
	history map[string][]event
}

// event is the state of a record from a time on, until the next event or expiry.
type event struct {
	at      time.Time
	expires time.Time
	removed bool
	record  discovery.Record
}

var _ discovery.Directory = (*Directory)(nil)

// List returns the records as they were Lag ago, sorted by name.
func (d *Directory) List(context.Context) ([]discovery.Record, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	asOf := d.Now().Add(-d.Lag)
	var list []discovery.Record
	for _, events := range d.history {
		e, ok := latest(events, asOf)
		if ok && !e.removed && asOf.Before(e.expires) {
			list = append(list, e.record)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, nil
}

// Register adds or refreshes a record, which expires after ttl.
func (d *Directory) Register(_ context.Context, rec discovery.Record, ttl time.Duration) error {
	now := d.Now()
	d.append(rec.Name, event{at: now, expires: now.Add(ttl), record: rec})
	return nil
}

// Deregister removes the record with a name.
func (d *Directory) Deregister(_ context.Context, name string) error {
	d.append(name, event{at: d.Now(), removed: true})
	return nil
}

// append adds an event and drops the events that List no longer needs.
func (d *Directory) append(name string, e event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.history == nil {
		d.history = make(map[string][]event)
	}
	events := d.history[name]
	events = append(events, e)
	asOf := e.at.Add(-d.Lag)
	for len(events) > 1 && !events[1].at.After(asOf) {
		events = events[1:]
	}
	d.history[name] = events
}

// latest returns the last event at or before asOf.
func latest(events []event, asOf time.Time) (event, bool) {
	for i := len(events) - 1; i >= 0; i-- {
		if !events[i].at.After(asOf) {
			return events[i], true
		}
	}
	return event{}, false
}
