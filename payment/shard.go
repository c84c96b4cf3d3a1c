package payment

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/wigeonlock/wigeonlock/store"
)

// ResultKind is the kind of the result of a change.
type ResultKind string

const (
	// Granted means that the attempt, and no other, may send the payment.
	Granted ResultKind = "granted"
	// Duplicate means that another attempt has claimed the key.
	Duplicate ResultKind = "duplicate"
	// Full means that the shard has no capacity for more claims; nothing was
	// claimed.
	Full ResultKind = "full"
)

// Result is the result of a change. Changes other than claims are always
// Granted.
type Result struct {
	Kind ResultKind
	// Claim is the claim of the other attempt if Kind is Duplicate.
	Claim Claim
}

// operation is one pending change to a record. done, if not nil, receives the
// result.
type operation struct {
	Change
	done func(Result)
}

// StepKind is the store operation that a shard needs.
type StepKind string

const (
	// Idle means that no operation is needed.
	Idle StepKind = "idle"
	// Read means that the record must be read and passed to ReadDone.
	Read StepKind = "read"
	// Swap means that Value must be written by compare-and-swap and the result
	// passed to SwapDone.
	Swap StepKind = "swap"
)

// Step is the next store operation of a shard. Expected is the store version
// that a swap expects.
type Step struct {
	Kind     StepKind
	Value    []byte
	Expected uint64
}

// Shard batches the operations on one record. Operations added during a swap
// are written together by the next one.
type Shard struct {
	pending      []operation
	batch        []operation
	record       *Record
	storeVersion uint64
	recordKnown  bool
	recordFresh  bool
	next         *Record
	results      []Result

	// era is the era of the store, and settledAt when all instances have written again
	// what they know from earlier ones.
	era       store.Era
	settledAt time.Time
	// known is the last record of an earlier era, until it is written again.
	known *Record
}

// _settleTime is how long after a restore of the store no claims are granted: all instances
// have noticed it by then, as each watches the lists, and written their claims again.
const _settleTime = 6 * time.Second

var (
	_unsettled    = metrics.NewCounter("wigeonlock_payment_claims_after_restore_refused_total")
	_writtenAgain = metrics.NewCounter("wigeonlock_payment_claims_written_again_total")
)

// EnterEra tells the shard the era of the store. What it knows of an earlier era is written
// again, as the restored store may lack claims of payments that ran.
func (s *Shard) EnterEra(now time.Time, era store.Era) {
	if era <= s.era {
		return
	}
	if s.era > 0 && s.record != nil {
		s.known = s.record.clone()
	}
	s.era, s.settledAt, s.recordKnown = era, now, false
	if era > 1 {
		s.settledAt = now.Add(_settleTime)
	}
}

// isSettled reports whether the record holds all claims that are known.
func (s *Shard) isSettled(now time.Time) bool {
	return s.era <= 1 || s.record.era == s.era || !now.Before(s.settledAt)
}

// Add adds a change. done, if not nil, is called with the result once the store
// has confirmed it.
func (s *Shard) Add(c Change, done func(Result)) {
	s.pending = append(s.pending, operation{c, done})
}

// Next returns the next store operation. The result of a step other than Idle
// must be passed to ReadDone or SwapDone before Next is called again.
func (s *Shard) Next(now time.Time) (Step, error) {
	if len(s.batch) == 0 {
		s.batch, s.pending = s.pending, nil
		s.recordFresh = false
	}
	if len(s.batch) == 0 && s.known == nil {
		return Step{Kind: Idle}, nil
	}
	if !s.recordKnown {
		return Step{Kind: Read}, nil
	}
	s.apply(now)
	if s.duplicates() && !s.recordFresh {
		return Step{Kind: Read}, nil // the outcome may have been recorded since the last read
	}
	value, err := s.next.Encode(now)
	if err != nil {
		return Step{}, err
	}
	return Step{Kind: Swap, Value: value, Expected: s.storeVersion}, nil
}

// ReadDone processes the result of a read: the stored record and its store
// version. An absent record is empty and has version zero.
func (s *Shard) ReadDone(value []byte, storeVersion uint64) error {
	record, err := DecodeRecord(value)
	if err != nil {
		return err
	}
	if s.isOutdated(storeVersion) {
		return nil // it is read again
	}
	if s.known != nil {
		_writtenAgain.Add(record.add(s.known))
	}
	s.record = record
	s.storeVersion = storeVersion
	s.recordKnown = true
	s.recordFresh = true
	return nil
}

// SwapDone processes the result of a swap. ok is false if the swap was rejected
// or its reply was lost. The record is then read and the batch applied again; if
// the swap was applied, the batch finds its own claims.
func (s *Shard) SwapDone(value []byte, storeVersion uint64, ok bool) {
	if !ok || s.isOutdated(storeVersion) {
		s.recordKnown = false
		return
	}
	s.record, s.known = s.next, nil
	s.record.size = len(value)
	s.storeVersion = storeVersion
	batch, results := s.batch, s.results
	s.batch, s.results = nil, nil
	for i, o := range batch {
		if o.done != nil {
			o.done(results[i])
		}
	}
}

// isOutdated reports whether the store gave out a version before it was restored.
func (s *Shard) isOutdated(storeVersion uint64) bool {
	return storeVersion != 0 && store.Version(storeVersion).Era() != s.era
}

// Waiting returns the number of operations that are not yet confirmed.
func (s *Shard) Waiting() int {
	return len(s.pending) + len(s.batch)
}

// Busy reports whether a store operation is needed.
func (s *Shard) Busy() bool {
	return s.Waiting() > 0 || s.known != nil
}

func (s *Shard) apply(now time.Time) {
	s.next = s.record.clone()
	settled := s.isSettled(now)
	if settled && s.era > 1 {
		s.next.era = s.era
	}
	s.results = make([]Result, len(s.batch))
	for i, o := range s.batch {
		s.results[i] = Result{Kind: Granted}
		switch o.Kind {
		case ToClaim:
			s.results[i] = s.next.claim(o.Key, o.Attempt, now, settled)
		case ToFinish:
			s.next.finish(o.Key, o.Attempt, o.Outcome, now)
		case ToRelease:
			s.next.release(o.Key, o.Attempt)
		}
	}
}

func (s *Shard) duplicates() bool {
	for _, r := range s.results {
		if r.Kind == Duplicate {
			return true
		}
	}
	return false
}
