package limit

import (
	"time"
)

// _burstTime is the duration of transfers at full rate that an idle bucket allows.
const _burstTime = 250 * time.Millisecond

// Bucket limits a rate of bytes whose number is known only after the transfer: it
// admits transfers while its level is positive, and Charge may make it negative.
type Bucket struct {
	level   float64
	updated time.Time
}

// Admit reports whether another transfer may begin at the given rate, in bytes
// per second.
func (b *Bucket) Admit(now time.Time, rate float64) bool {
	b.refill(now, rate)
	return b.level > 0
}

// Charge subtracts n transferred bytes.
func (b *Bucket) Charge(n int) {
	b.level -= float64(n)
}

func (b *Bucket) refill(now time.Time, rate float64) {
	full := rate * _burstTime.Seconds()
	if b.updated.IsZero() {
		b.level = full
	} else if now.After(b.updated) {
		b.level = min(full, b.level+rate*now.Sub(b.updated).Seconds())
	}
	b.updated = now
}
