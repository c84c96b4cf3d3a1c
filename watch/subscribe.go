package watch

import "github.com/wigeonlock/wigeonlock/store"

// forward sends a batch to the subscribers. The caller holds mu.
func (w *Watcher) forward(forwarded Batch) {
	for subscriber := range w.subscribers {
		select {
		case subscriber <- forwarded:
		default:
			// A subscriber that does not keep up has to subscribe again.
			delete(w.subscribers, subscriber)
			close(subscriber)
		}
	}
}

// closeSubscribers ends all subscriptions. The caller holds mu.
func (w *Watcher) closeSubscribers() {
	for subscriber := range w.subscribers {
		delete(w.subscribers, subscriber)
		close(subscriber)
	}
}

// Subscribe returns the changes since a revision and a channel of the batches
// read from then on. The channel is closed when the subscriber does not keep up, or
// the store turns this instance away; the caller calls end to unsubscribe. It returns
// ErrBehind if not all changes since the revision are known, and ErrRefused if the store
// turns this instance away: it then follows an instance that comes after it in the order,
// which in turn must not follow this one.
func (w *Watcher) Subscribe(after store.Revision) (missed Batch, batches <-chan Batch, end func(), err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.selector.Refused {
		return Batch{}, nil, nil, ErrRefused
	}
	missed, err = w.cache.Since(after)
	if err != nil {
		return Batch{}, nil, nil, err
	}
	if w.subscribers == nil {
		w.subscribers = make(map[chan Batch]struct{})
	}
	subscriber := make(chan Batch, _subscriberQueue)
	w.subscribers[subscriber] = struct{}{}
	return missed, subscriber, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.subscribers, subscriber)
	}, nil
}
