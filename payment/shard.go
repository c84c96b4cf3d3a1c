package payment

import (
	"time"
)

// ResultKind is the answer to a claim.
type ResultKind string

const (
	// Granted means that the attempt, and no other, may send the payment.
	Granted ResultKind = "granted"
	// Duplicate means that another attempt has the key.
	Duplicate ResultKind = "duplicate"
	// Full means that the shard can take no more claims; nothing was claimed.
	Full ResultKind = "full"
)

// Result is the answer to a claim.
type Result struct {
	Kind ResultKind
	// Claim is the claim of the other attempt.
	Claim Claim
}

// op is one change to a record. done, if not nil, takes the verdict.
type op struct {
	Change
	done func(Result)
}

// StepKind is what a shard needs from the store.
type StepKind string

const (
	// Idle means that nothing is to be done.
	Idle StepKind = "idle"
	// Read means that the record is to be read.
	Read StepKind = "read"
	// Swap means that the record is to be swapped.
	Swap StepKind = "swap"
)

// Step is what a shard needs from the store next.
type Step struct {
	Kind     StepKind
	Value    []byte
	Expected uint64
}

// Shard collects the operations on one record and writes them together: while
// one swap is under way, further operations gather for the next.
type Shard struct {
	pending []op
	batch   []op
	record  *Record
	stored  uint64
	known   bool
	fresh   bool
	next    *Record
	results []Result
}

// Add adds a change; done, if not nil, is called with the verdict once it is certain.
func (s *Shard) Add(c Change, done func(Result)) {
	s.pending = append(s.pending, op{c, done})
}

// Next returns what the shard needs from the store. Each step other than Idle
// is answered by ReadDone or SwapDone before the next one is asked for.
func (s *Shard) Next(now time.Time) (Step, error) {
	if len(s.batch) == 0 {
		s.batch, s.pending = s.pending, nil
		s.fresh = false
	}
	if len(s.batch) == 0 {
		return Step{Kind: Idle}, nil
	}
	if !s.known {
		return Step{Kind: Read}, nil
	}
	s.apply(now)
	if s.duplicates() && !s.fresh {
		return Step{Kind: Read}, nil // the outcome may be recorded by now
	}
	value, err := s.next.Encode(now)
	if err != nil {
		return Step{}, err
	}
	return Step{Kind: Swap, Value: value, Expected: s.stored}, nil
}

// ReadDone takes the stored record and its version; an absent one is empty at
// version zero.
func (s *Shard) ReadDone(value []byte, stored uint64) error {
	record, err := DecodeRecord(value)
	if err != nil {
		return err
	}
	s.record = record
	s.stored = stored
	s.known = true
	s.fresh = true
	return nil
}

// SwapDone takes the result of a swap. ok is false when it was refused or its
// reply was lost; then the record is read and the batch applied again, which
// finds its own claims if the swap took effect.
func (s *Shard) SwapDone(value []byte, stored uint64, ok bool) {
	if !ok {
		s.known = false
		return
	}
	s.record = s.next
	s.record.size = len(value)
	s.stored = stored
	batch, results := s.batch, s.results
	s.batch, s.results = nil, nil
	for i, o := range batch {
		if o.done != nil {
			o.done(results[i])
		}
	}
}

// Waiting returns the number of operations not yet certain.
func (s *Shard) Waiting() int {
	return len(s.pending) + len(s.batch)
}

func (s *Shard) apply(now time.Time) {
	s.next = s.record.clone()
	s.results = make([]Result, len(s.batch))
	for i, o := range s.batch {
		s.results[i] = Result{Kind: Granted}
		switch o.Kind {
		case ToClaim:
			s.results[i] = s.next.claim(o.Key, o.Attempt, now)
		case ToFinish:
			s.next.finish(o.Key, o.Attempt, o.Outcome)
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
