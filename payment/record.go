// Package payment ensures that each payment runs at most once across all entry
// instances. A payment is a request with an idempotency key.
//
// Before a payment is sent to a worker, an attempt claims its key in the store
// by compare-and-swap. Claims of the same shard are written in batches. After a
// lost reply the record is read back and searched for the attempt. An attempt
// that finds the key claimed by another one receives the recorded outcome and
// does not run the payment.
//
// Record and Shard do no I/O and are not safe for concurrent use. Service
// connects them to the store.
//
// # Usage
//
//	result, err := service.Claim(ctx, key, attempt)
//	switch result.Kind {
//	case payment.Granted:
//		// send the payment, then call service.Finish or service.Release
//	case payment.Duplicate:
//		// answer with the outcome in result.Claim, if it is recorded
//	}
package payment

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"sort"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/store"
)

const (
	// Retention is the time for which a claim is stored.
	Retention = 24 * time.Hour
	// MaxAnswerBytes is the size of the largest answer stored with its claim.
	MaxAnswerBytes = 1 << 10

	// _maxBytesForAnswers is the record size from which answers are no longer
	// stored, to leave capacity for claims.
	_maxBytesForAnswers = store.MaxValueBytes / 2
	// _maxRecordBytes is the record size above which new claims are refused.
	_maxRecordBytes = store.MaxValueBytes - 16<<10
)

// Key identifies a payment by a hash of customer, service and idempotency key.
type Key string

// NewKey returns the key of a payment.
func NewKey(customer, service, idempotencyKey string) Key {
	data, _ := json.Marshal([]string{customer, service, idempotencyKey}) // strings always encode
	sum := sha256.Sum256(data)
	return Key(base64.RawURLEncoding.EncodeToString(sum[:16]))
}

// State is the state of a claim.
type State string

const (
	// Claimed means that the payment may have been sent and has no outcome yet.
	Claimed State = "claimed"
	// Finished means that the payment ran and its outcome is recorded.
	Finished State = "finished"
)

// Claim is the stored claim of one attempt on a key.
type Claim struct {
	Key     Key    `json:"key"`
	Attempt string `json:"attempt"`
	State   State  `json:"state"`
	AtMs    int64  `json:"atMs"`
	// Status is the HTTP status of the outcome.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	// Answer is the body of the outcome. Complete reports whether the whole body
	// was stored.
	Answer   []byte `json:"answer,omitempty"`
	Complete bool   `json:"kept,omitempty"`
}

// Outcome is the worker's answer to a payment that ran.
type Outcome struct {
	Status      int
	ContentType string
	Answer      []byte
	// Complete reports whether Answer holds the whole body.
	Complete bool
}

// Record holds the claims of one shard.
type Record struct {
	claims map[Key]Claim
	size   int
	// era is the era of the store in which the record holds all claims that are known,
	// zero if the store was never restored.
	era store.Era
}

// recordBody is the stored form of a record.
type recordBody struct {
	Era    store.Era `json:"era,omitempty"`
	Claims []Claim   `json:"claims"`
}

// DecodeRecord decodes the stored form of a record. Empty data gives an empty
// record.
func DecodeRecord(data []byte) (*Record, error) {
	r := &Record{claims: make(map[Key]Claim), size: len(data)}
	if len(data) == 0 {
		return r, nil
	}
	var body recordBody
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, errors.Wrap(err, "decode claims")
	}
	r.era = body.Era
	for _, c := range body.Claims {
		r.claims[c.Key] = c
	}
	return r, nil
}

// Encode returns the stored form of the record, without claims that are older
// than Retention at the given time.
func (r *Record) Encode(now time.Time) ([]byte, error) {
	oldest := now.Add(-Retention).UnixMilli()
	body := recordBody{Era: r.era}
	for _, c := range r.claims {
		if c.AtMs >= oldest {
			body.Claims = append(body.Claims, c)
		}
	}
	sort.Slice(body.Claims, func(i, j int) bool { return body.Claims[i].Key < body.Claims[j].Key })
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode claims")
	}
	return data, nil
}

func (r *Record) clone() *Record {
	next := &Record{claims: make(map[Key]Claim, len(r.claims)+1), size: r.size, era: r.era}
	for k, c := range r.claims {
		next.claims[k] = c
	}
	return next
}

// claim claims a key for an attempt unless another attempt has claimed it. While the record is
// not settled, another claim may have been lost: none is granted.
func (r *Record) claim(key Key, attempt string, now time.Time, settled bool) Result {
	if c, ok := r.claims[key]; ok {
		if c.Attempt == attempt {
			return Result{Kind: Granted}
		}
		return Result{Kind: Duplicate, Claim: c}
	}
	if !settled {
		_unsettled.Inc()
		return Result{Kind: Full}
	}
	if r.size > _maxRecordBytes {
		return Result{Kind: Full}
	}
	r.claims[key] = Claim{Key: key, Attempt: attempt, State: Claimed, AtMs: now.UnixMilli()}
	return Result{Kind: Granted}
}

// add adds the claims of another record, and the outcomes that this one lacks. It returns the
// number of claims that were changed.
func (r *Record) add(other *Record) int {
	changed := 0
	for key, c := range other.claims {
		if known, ok := r.claims[key]; ok && (known.State == Finished || c.State != Finished) {
			continue
		}
		r.claims[key] = c
		changed++
	}
	return changed
}

// finish records the outcome of an attempt, also if the store lost its claim.
func (r *Record) finish(key Key, attempt string, o Outcome, now time.Time) {
	c, ok := r.claims[key]
	switch {
	case !ok:
		c = Claim{Key: key, Attempt: attempt, AtMs: now.UnixMilli()}
	case c.Attempt != attempt:
		return
	}
	c.State = Finished
	c.Status = o.Status
	if o.Complete && len(o.Answer) <= MaxAnswerBytes && r.size < _maxBytesForAnswers {
		c.ContentType = o.ContentType
		c.Answer = o.Answer
		c.Complete = true
	}
	r.claims[key] = c
}

func (r *Record) release(key Key, attempt string) {
	if c, ok := r.claims[key]; ok && c.Attempt == attempt && c.State == Claimed {
		delete(r.claims, key)
	}
}
