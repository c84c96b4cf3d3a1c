package bytebudget

import (
	"cmp"
	"slices"
	"time"
)

// _rateWindow is the time over which the bytes that are given back are counted.
const _rateWindow = time.Second

// MinPause and MaxPause bound the time after which there may be room again: a caller that
// returns earlier finds the same state, one that waits longer has lost interest.
const (
	MinPause = 100 * time.Millisecond
	MaxPause = 2 * time.Second
)

// Use is what bytes are held for.
type Use string

// Uses of memory.
const (
	// Connections are the buffers of open connections.
	Connections Use = "connections"
	// Requests are the bodies of requests.
	Requests Use = "requests"
	// Answers are the bodies of answers.
	Answers Use = "answers"
)

// Uses lists all uses.
func Uses() []Use { return []Use{Connections, Requests, Answers} }

// Shares divide a limit.
type Shares struct {
	// Most is the part of the limit that large pieces of a use may take. A use that is
	// missing may take all of it.
	Most map[Use]float64
	// Free is the size in bytes up to which a piece is not counted; it is part of what its
	// connection is counted with. Small is the size up to which a piece is small, and Reserve
	// the part of the limit that large pieces leave to small ones.
	Free    int64
	Small   int64
	Reserve float64
}

// Claim asks for bytes of a use.
type Claim struct {
	Use   Use
	Bytes int64
	// Urgent is set if something is lost without the bytes that cannot be had again. The claim
	// goes before others.
	Urgent bool

	granted bool
	number  uint64
}

// Granted reports whether the claim got its bytes.
func (c *Claim) Granted() bool { return c.granted }

// Ledger decides who gets memory. It is not safe for concurrent use. Limit and Shares are set
// before the first use.
//
// Claims wait in the order of their arrival. A large one is not passed by later large ones of
// its use, so that it is served at last; small ones pass, as they would otherwise wait behind
// bodies a thousand times their size.
type Ledger struct {
	Limit  int64
	Shares Shares

	held    map[Use]int64
	total   int64
	waiting []*Claim
	claims  uint64
	freed   map[Use]*rate
}

// rate is a number of bytes per second.
type rate struct {
	since     time.Time
	bytes     int64
	perSecond float64
}

func (r *rate) add(now time.Time, n int64) {
	if r.since.IsZero() {
		r.since = now
	}
	r.bytes += n
	if took := now.Sub(r.since); took >= _rateWindow {
		r.perSecond, r.since, r.bytes = float64(r.bytes)/took.Seconds(), now, 0
	}
}

// Held returns the bytes that a use holds.
func (l *Ledger) Held(use Use) int64 { return l.held[use] }

// Most returns the bytes that large pieces of a use may hold together.
func (l *Ledger) Most(use Use) int64 {
	if share, ok := l.Shares.Most[use]; ok {
		return int64(share * float64(l.Limit))
	}
	return l.Limit
}

// Take takes bytes whether there is room or not, for what cannot wait.
func (l *Ledger) Take(use Use, n int64) {
	if l.held == nil {
		l.held = make(map[Use]int64)
	}
	l.held[use] += n
	l.total += n
}

// Never reports whether a claim is larger than the limit, so that it never gets its bytes. held
// are the bytes that its owner holds already.
func (l *Ledger) Never(c *Claim, held int64) bool { return c.Bytes+held > l.Limit }

// Ask grants a claim, or lets it wait. A waiting claim is granted by a later Give, or ended by
// Withdraw.
func (l *Ledger) Ask(c *Claim) {
	if len(l.waiting) == 0 && l.fits(c) {
		c.granted = true
		l.Take(c.Use, c.Bytes)
		return
	}
	l.claims++
	c.number = l.claims
	l.waiting = append(l.waiting, c)
	slices.SortFunc(l.waiting, func(a, b *Claim) int {
		if a.Urgent != b.Urgent {
			if a.Urgent {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.number, b.number)
	})
	l.grant()
}

// Withdraw ends a claim that is still waiting, and returns the claims that are granted as it
// stood in their way.
func (l *Ledger) Withdraw(c *Claim) []*Claim {
	l.waiting = slices.DeleteFunc(l.waiting, func(w *Claim) bool { return w == c })
	return l.grant()
}

// Give gives back bytes, and returns the waiting claims that are granted.
func (l *Ledger) Give(now time.Time, use Use, n int64) []*Claim {
	l.held[use] -= n
	l.total -= n
	if l.freed == nil {
		l.freed = make(map[Use]*rate)
	}
	if l.freed[use] == nil {
		l.freed[use] = &rate{}
	}
	l.freed[use].add(now, n)
	return l.grant()
}

// Waits reports whether a claim of a use waits.
func (l *Ledger) Waits(use Use) bool {
	return slices.ContainsFunc(l.waiting, func(c *Claim) bool { return c.Use == use })
}

// Pause returns the time after which there may be room for n bytes of a use, by the rate at
// which the use gives bytes back.
func (l *Ledger) Pause(use Use, n int64) time.Duration {
	missing := n - min(l.Most(use)-l.held[use], l.Limit-l.total)
	for _, c := range l.waiting {
		if c.Use == use {
			missing += c.Bytes
		}
	}
	freed := l.freed[use]
	switch {
	case missing <= 0:
		return MinPause
	case freed == nil || freed.perSecond <= 0:
		return MaxPause
	}
	seconds := min(float64(missing)/freed.perSecond, MaxPause.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), MinPause)
}

// grant grants the waiting claims for which there is room, in their order.
func (l *Ledger) grant() (granted []*Claim) {
	if len(l.waiting) == 0 {
		return nil
	}
	blocked, allBlocked := make(map[Use]bool), false
	rest := l.waiting[:0]
	for _, c := range l.waiting {
		if !l.isSmall(c) && (allBlocked || blocked[c.Use]) || !l.fits(c) {
			blocked[c.Use] = true
			allBlocked = allBlocked || c.Urgent
			rest = append(rest, c)
			continue
		}
		c.granted = true
		l.Take(c.Use, c.Bytes)
		granted = append(granted, c)
	}
	clear(l.waiting[len(rest):])
	l.waiting = rest
	return granted
}

// fits reports whether there is room for a claim. A piece that exceeds the share of its use is
// served when it is the only one.
func (l *Ledger) fits(c *Claim) bool {
	room := l.Limit - l.total
	if c.Urgent || l.isSmall(c) || l.held[c.Use] == 0 {
		return c.Bytes <= room
	}
	reserve := int64(l.Shares.Reserve * float64(l.Limit))
	return c.Bytes <= min(room-reserve, l.Most(c.Use)-l.held[c.Use])
}

func (l *Ledger) isSmall(c *Claim) bool { return c.Bytes <= l.Shares.Small }
