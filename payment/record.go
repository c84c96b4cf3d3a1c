// Package payment lets a request with an idempotency key run at most once over
// all entry instances.
//
// Before a payment is sent to a worker, its key is claimed in the store by
// compare-and-swap. Claims of the same shard are written together. A lost
// reply is resolved by reading back and looking for the own attempt. Whoever
// finds a key claimed by another attempt gets its recorded outcome, and never
// runs it again.
//
// Record and Shard do no I/O and are not safe for concurrent use. Service
// connects them to the store.
//
// # Usage
//
//	verdict, err := service.Claim(ctx, key, attempt)
//	switch verdict.Kind {
//	case payment.Granted:
//		// send, then service.Finish or service.Release
//	case payment.Duplicate:
//		// answer verdict.Claim, if it has an outcome
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
	// Retention is the time for which a claim is kept.
	Retention = 24 * time.Hour
	// MaxAnswerBytes is the largest answer that is kept with its claim.
	MaxAnswerBytes = 1 << 10

	// _answersUntil is the size of a shard from which answers are not kept.
	_answersUntil = store.MaxValueBytes / 2
	_maxRecord    = store.MaxValueBytes - 16<<10
)

// Key identifies a payment: a hash of customer, service and idempotency key.
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
	// Claimed means that the payment may have been sent.
	Claimed State = "claimed"
	// Finished means that the payment ran and its outcome is recorded.
	Finished State = "finished"
)

// Claim is the claim of one attempt on a key.
type Claim struct {
	Key     Key    `json:"key"`
	Attempt string `json:"attempt"`
	State   State  `json:"state"`
	AtMs    int64  `json:"atMs"`
	// Status is the HTTP status of the outcome.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	// Answer is the body of the outcome; Kept tells whether it is the whole one.
	Answer   []byte `json:"answer,omitempty"`
	Complete bool   `json:"kept,omitempty"`
}

// Outcome is the answer of a payment that ran.
type Outcome struct {
	Status      int
	ContentType string
	Answer      []byte
	// Complete tells whether Answer is whole.
	Complete bool
}

// Record is what the store holds for one shard.
type Record struct {
	claims map[Key]Claim
	size   int
}

// DecodeRecord reads the stored form of a record.
func DecodeRecord(data []byte) (*Record, error) {
	r := &Record{claims: make(map[Key]Claim), size: len(data)}
	if len(data) == 0 {
		return r, nil
	}
	var body struct {
		Claims []Claim `json:"claims"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, errors.Wrap(err, "decode claims")
	}
	for _, c := range body.Claims {
		r.claims[c.Key] = c
	}
	return r, nil
}

// Encode returns the stored form, without claims older than Retention.
func (r *Record) Encode(now time.Time) ([]byte, error) {
	oldest := now.Add(-Retention).UnixMilli()
	var body struct {
		Claims []Claim `json:"claims"`
	}
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
	next := &Record{claims: make(map[Key]Claim, len(r.claims)+1), size: r.size}
	for k, c := range r.claims {
		next.claims[k] = c
	}
	return next
}

// claim takes a key for an attempt unless another attempt has it.
func (r *Record) claim(key Key, attempt string, now time.Time) Result {
	if c, ok := r.claims[key]; ok {
		if c.Attempt == attempt {
			return Result{Kind: Granted}
		}
		return Result{Kind: Duplicate, Claim: c}
	}
	if r.size > _maxRecord {
		return Result{Kind: Full}
	}
	r.claims[key] = Claim{Key: key, Attempt: attempt, State: Claimed, AtMs: now.UnixMilli()}
	return Result{Kind: Granted}
}

func (r *Record) finish(key Key, attempt string, o Outcome) {
	c, ok := r.claims[key]
	if !ok || c.Attempt != attempt {
		return
	}
	c.State = Finished
	c.Status = o.Status
	if o.Complete && len(o.Answer) <= MaxAnswerBytes && r.size < _answersUntil {
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
