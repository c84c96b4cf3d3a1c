package watch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/store"
)

const (
	// _listTimeout is how long an instance that starts waits for the list of neighbours,
	// twice a round trip between regions: while the store is slow, reading its keys must
	// not wait for another call.
	_listTimeout = 150 * time.Millisecond
	// _startTimeout is how long an instance that starts waits for the snapshot of one
	// neighbour before it turns to the next, and then to the store.
	_startTimeout = 300 * time.Millisecond
	// _maxCandidates is the number of neighbours that are asked in a round, and
	// _patientRounds the number of rounds of an instance that can wait, _roundInterval
	// apart.
	_maxCandidates = 2
	_patientRounds = 4
	_roundInterval = 250 * time.Millisecond
	// _askRounds is the number of rounds in which neighbours are asked for what they
	// retained, _askInterval apart: they know of a restore only after some seconds.
	_askRounds   = 8
	_askInterval = 500 * time.Millisecond
)

// Start is how an instance without any keys begins.
type Start struct {
	// Candidates are neighbours that may hold a snapshot, the likeliest first.
	Candidates []Neighbour
	// Patient is set if the instance can wait for a neighbour to read the store first, as
	// callers are sent to others. Any other reads the store at once.
	Patient bool
}

var (
	_neighbourSnapshots = metrics.NewCounter("wigeonlock_follow_neighbour_snapshots_total")
	_asked              = metrics.NewCounter("wigeonlock_follow_neighbours_asked_total")
)

// startFromNeighbour gets the first snapshot of a patient instance from a neighbour, as reading all keys of
// a large deployment takes a call for each page, and hundreds of instances that were
// killed together would delay each other at the store. A snapshot is taken only if it was
// read from the store within _maxReadAge: an older one may lack that a worker left. If
// no neighbour has one, the store is read as usual.
func (w *Watcher) startFromNeighbour(ctx context.Context) {
	if w.Start == nil || w.Peers == nil {
		return
	}
	listCtx, cancel := context.WithTimeout(ctx, _listTimeout)
	start, err := w.Start(listCtx)
	cancel()
	if err != nil {
		w.Log.Info("neighbours are not known, reading the store", zap.String("error", err.Error()))
		return
	}
	w.candidates = start.Candidates
	if !start.Patient {
		return
	}
	for round := range _patientRounds {
		began := time.Now()
		for i := range min(len(start.Candidates), _maxCandidates) {
			n := start.Candidates[(round+i)%len(start.Candidates)]
			if w.snapshotFrom(ctx, n) {
				_neighbourSnapshots.Inc()
				w.Log.Info("started from the snapshot of a neighbour", zap.String("neighbour", n.Name))
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(_roundInterval - time.Since(began)):
		}
	}
}

// missedByStore returns what a neighbour knows that an instance does not find in the store as
// it starts, since the store was restored. The store counts eras from 1.
func (w *Watcher) missedByStore(ctx context.Context, b Batch) []Batch {
	if !b.Full || w.Revision() > 0 || b.Revision.Era() <= 1 || w.Peers == nil {
		return nil
	}
	for _, n := range w.candidates[:min(len(w.candidates), _maxCandidates)] {
		if missed, ok := w.firstBatch(ctx, n, b.Revision); ok && missed.Revision.Era() == b.Revision.Era() {
			return []Batch{missed}
		}
	}
	return nil
}

// askNeighbours asks neighbours for what is newer than the restored store, and was lost to
// an instance that has read only the store since, as it started or reads it for the others.
func (w *Watcher) askNeighbours(ctx context.Context) {
	for range _askRounds {
		for _, n := range w.shuffledNeighbours(_maxCandidates) {
			if b, ok := w.firstBatch(ctx, n, w.Revision()); ok && b.Revision.Era() >= w.Revision().Era() {
				w.apply(time.Now(), b, time.Time{})
				_asked.Inc()
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(_askInterval):
		}
	}
}

// shuffledNeighbours returns other instances of the region in random order, at most limit.
func (w *Watcher) shuffledNeighbours(limit int) []Neighbour {
	list := slices.DeleteFunc(slices.Clone(w.Neighbours()), func(n Neighbour) bool { return n.Name == w.Instance })
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), limit)]
}

// snapshotFrom applies the snapshot of a neighbour and reports whether it had a recent
// one.
func (w *Watcher) snapshotFrom(ctx context.Context, n Neighbour) bool {
	b, ok := w.firstBatch(ctx, n, 0)
	now := time.Now()
	if !ok || !b.Full || b.Revision == 0 || now.Sub(b.At) > _maxReadAge || b.Revision.Era() < w.era() {
		return false
	}
	w.apply(now, b, time.Time{})
	return true
}

// firstBatch returns what a neighbour has read since a revision.
func (w *Watcher) firstBatch(ctx context.Context, n Neighbour, after store.Revision) (Batch, bool) {
	ctx, cancel := context.WithTimeout(ctx, _startTimeout)
	defer cancel()
	batches := make(chan Batch, 1)
	go func() {
		_ = w.Peers.Follow(ctx, n, after, func(b Batch) {
			select {
			case batches <- b:
			default:
			}
			cancel()
		})
		close(batches)
	}()
	b, ok := <-batches
	return b, ok
}
