// Package quota divides a cap among entry instances, so that the sum of what
// they admit never exceeds it.
//
// A Record in the store holds the share of each holder and changes only by
// compare-and-swap. A Holder admits requests within its confirmed share. It
// uses a raised share only after the swap is confirmed, and stops using slots
// before it returns them. When a cap is lowered, the part of a share that may
// still be occupied is recorded as Draining until its holder has received the
// new cap and its requests have ended. Until then no holder with the new cap
// admits more. The share of an expired session is reclaimed after ReclaimDelay.
//
// Record, Holder, Session and Meter do no I/O and are not safe for concurrent
// use. Service connects the holders to the store.
//
// # Usage
//
//	h := &quota.Holder{Name: "tunis-a-1", Session: session, ReclaimDelay: delay}
//	h.Configure(version, plan.ShiftSlots)
//	if reason := h.Admit(now, confirmed); reason == quota.Admitted {
//		defer h.Release()
//	}
//	step := h.Next(now) // read or swap the record, then call ReadDone or SwapDone
package quota

import (
	"sort"
)

// Record is the stored division of one cap among holders.
type Record struct {
	// Version is the version of the lists that set Cap.
	Version uint64 `json:"version"`
	// Era is the era of the store in which the shares are known to hold all slots that
	// may be occupied; zero if the store was never restored.
	Era uint32 `json:"era,omitempty"`
	// Cap is in slots.
	Cap int `json:"cap"`
	// Shares are sorted by holder.
	Shares []Share `json:"shares"`
}

// Share is the part of a cap that belongs to one session of a holder.
type Share struct {
	Holder  string `json:"holder"`
	Session string `json:"session"`
	// Slots is the number of slots that the holder's requests may occupy.
	Slots int `json:"slots"`
	// Draining is the number of further slots that may still be occupied by
	// requests admitted before the cap was lowered.
	Draining int `json:"draining,omitempty"`
}

// Occupied returns the number of slots that all holders together may occupy.
func (r Record) Occupied() int {
	sum := 0
	for _, s := range r.Shares {
		sum += s.Slots + s.Draining
	}
	return sum
}

// ShareOf returns the share of a holder's session. It has no slots if the
// record does not list the session.
func (r Record) ShareOf(holder, session string) Share {
	for _, s := range r.Shares {
		if s.Holder == holder && s.Session == session {
			return s
		}
	}
	return Share{Holder: holder, Session: session}
}

// WithShare returns a copy of the record in which the share of the same holder
// and session is replaced. An empty share is removed.
func (r Record) WithShare(share Share) Record {
	next := Record{Version: r.Version, Era: r.Era, Cap: r.Cap}
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

// Rescaled returns a copy of the record with the cap, limit, of a newer version
// of the lists. If the cap is lower, shares shrink in proportion and the
// difference is added to Draining.
func (r Record) Rescaled(version uint64, limit int) Record {
	next := Record{Version: version, Era: r.Era, Cap: limit, Shares: append([]Share(nil), r.Shares...)}
	if limit >= r.Cap {
		return next
	}
	for i := range next.Shares {
		s := &next.Shares[i]
		slots := s.Slots * limit / r.Cap
		s.Draining += s.Slots - slots
		s.Slots = slots
	}
	return next
}
