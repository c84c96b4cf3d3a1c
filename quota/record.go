// Package quota divides a cap among entry instances, so that the sum of what
// they admit never exceeds it.
//
// A Record in the store holds the share of each holder. It changes only by
// compare-and-swap. A Holder admits within its confirmed share, raises it only
// after the swap is confirmed, and lowers itself before it gives back. When a
// cap is lowered, the part of a share that may still be occupied is kept as
// Draining until the holder itself has seen the new cap and its requests have
// ended; until then nobody who knows of the new cap admits more. The share of
// a session that lapsed is reclaimed after Settle.
//
// Nothing here does I/O, and nothing is safe for concurrent use.
//
// # Usage
//
//	h := &quota.Holder{Name: "tunis-a-1", Session: session, Settle: settle}
//	h.Configure(version, plan.ShiftSlots)
//	if reason := h.Admit(now, confirmed); reason == quota.Admitted {
//		defer h.Release()
//	}
//	step := h.Next(now) // read or swap the record, then report by ReadDone or SwapDone
package quota

import (
	"sort"
)

// Record is what the store holds for one resource.
type Record struct {
	// Version is the version of the lists that Cap comes from.
	Version uint64 `json:"version"`
	// Cap is in slots.
	Cap int `json:"cap"`
	// Shares are sorted by holder.
	Shares []Share `json:"shares"`
}

// Share is what one holder may admit.
type Share struct {
	Holder  string `json:"holder"`
	Session string `json:"session"`
	// Slots may be occupied by requests that the holder admits.
	Slots int `json:"slots"`
	// Draining slots may still be occupied from before the cap was lowered.
	Draining int `json:"draining,omitempty"`
}

// Occupied is the number of slots that the holders may occupy together.
func (r Record) Occupied() int {
	sum := 0
	for _, s := range r.Shares {
		sum += s.Slots + s.Draining
	}
	return sum
}

// ShareOf returns the share of a holder's session.
func (r Record) ShareOf(holder, session string) Share {
	for _, s := range r.Shares {
		if s.Holder == holder && s.Session == session {
			return s
		}
	}
	return Share{Holder: holder, Session: session}
}

// WithShare returns the record with a share replaced; an empty share is left out.
func (r Record) WithShare(share Share) Record {
	next := Record{Version: r.Version, Cap: r.Cap}
	for _, s := range r.Shares {
		if s.Holder != share.Holder || s.Session != share.Session {
			next.Shares = append(next.Shares, s)
		}
	}
	if share.Slots > 0 || share.Draining > 0 {
		next.Shares = append(next.Shares, share)
	}
	sort.Slice(next.Shares, func(i, j int) bool {
		a, b := next.Shares[i], next.Shares[j]
		if a.Holder != b.Holder {
			return a.Holder < b.Holder
		}
		return a.Session < b.Session
	})
	return next
}

// Rescaled returns the record under the cap of a newer version of the lists.
// Under a lower cap, shares shrink in proportion and the rest becomes Draining.
func (r Record) Rescaled(version uint64, limit int) Record {
	next := Record{Version: version, Cap: limit, Shares: append([]Share(nil), r.Shares...)}
	if limit >= r.Cap {
		return next
	}
	for i := range next.Shares {
		s := &next.Shares[i]
		kept := s.Slots * limit / r.Cap
		s.Draining += s.Slots - kept
		s.Slots = kept
	}
	return next
}
