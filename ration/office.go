package ration

import (
	"slices"
	"time"
)

const (
	// _term is how long an instance may issue permits after its registration was renewed, or
	// the registrations read. It outlasts an outage of the store of some seconds, and ends
	// before callers come after a start of all instances.
	_term = 7 * time.Second
	// _termMargin is the part of a term that an issuer leaves unused, for news on their way and
	// clocks that do not run equally fast.
	_termMargin = 500 * time.Millisecond
	// _unknownTime is how long after the start of an instance others may issue whose registration
	// ended before: they lapsed a lease time after they were renewed, or tell that they are there.
	_unknownTime = 2500 * time.Millisecond
	// _releaseTime is the time after which an instance gives up its office whose registration ended.
	// After an outage of the store in which all ended, all are registered again by then.
	_releaseTime = 2 * time.Second
	// _claimInterval is the time between two claims to the instances that have not answered.
	_claimInterval = 250 * time.Millisecond
	// _reclaimInterval is the time between two claims to those that answered, while others may
	// still issue.
	_reclaimInterval = time.Second
	// _resignations is the number of messages by which each other instance is told of a
	// resignation.
	_resignations = 2
)

// View is what an instance knows of the registrations.
type View struct {
	// Members are the registered instances of all regions, as of ReadAt.
	Members []Member
	ReadAt  time.Time
	// Registration counts the registrations of this incarnation; it is 0 before the first was
	// written. RenewedAt is when the call was sent that renewed it last, zero if it is known to
	// have ended.
	Started      int64
	Registration int64
	RenewedAt    time.Time
}

// office is the right of an instance to issue the permits of those places for which it is the
// first of its region.
//
// An instance that registers claims its office: it asks all registered instances of the region
// whether they read of its registration. Those that did no longer issue what is its to issue.
// An instance that does not answer has read of it, or lost its own office, a term later.
//
// An instance whose registration lapsed may be alive, and issues until its term ends. The
// others keep its rank for so long, unless it resigned.
type office struct {
	// resigned is set as the instance stops; told counts how often the others were told.
	resigned bool
	told     int
	// released is set if the office of the registration was given up; delistedAt is since when
	// the registration is missing from the list of members.
	released   bool
	delistedAt time.Time
	started    int64
	// registration is the one that is claimed, registeredAt when it was first seen to be
	// written. acks are the answers of those that read of
	// it.
	registration int64
	registeredAt time.Time
	claimed      bool
	acks         map[string]Ack
	claimSentAt  time.Time
	askedAllAt   time.Time
	// clearAt is the earliest time of the office after the store was restored.
	clearAt time.Time
	// until is the end of the term; readAt is when the registrations were read last, and
	// watchedAt since when they are read without a pause of a term.
	until     time.Time
	readAt    time.Time
	watchedAt time.Time
	// gone are the instances whose registrations ended within a term, and when; leaving are the
	// incarnations that resigned.
	gone    map[string]goneMember
	leaving map[string]Registration
	// claims are the claims of other instances, by when they arrived first.
	claims map[string]receivedClaim
}

type receivedClaim struct {
	started, registration int64
	at                    time.Time
}

type goneMember struct {
	Member
	at time.Time
}

func (o *office) lose() {
	o.registration, o.claimed, o.acks, o.until = 0, false, nil, time.Time{}
}

// held reports whether the instance may issue permits.
func (o *office) held(now time.Time) bool {
	return !o.resigned && now.Before(o.until) && !now.Before(o.clearAt)
}

// observe takes in the list of members. It reports whether the order may have changed.
func (b *Book) observe(now time.Time, v View) (changed bool) {
	o := &b.office
	if v.ReadAt.Sub(o.readAt) >= _term {
		// Others may have come and gone since the last read.
		o.lose()
		o.watchedAt = now
	}
	o.readAt = v.ReadAt
	if o.gone == nil {
		o.gone, o.leaving = make(map[string]goneMember), make(map[string]Registration)
	}
	if b.order.byName == nil || !slices.Equal(v.Members, b.order.members) {
		before := b.order.members
		b.order.set(slices.Clone(v.Members), b.Region)
		for _, m := range before {
			if _, listed := b.order.byName[m.Name]; !listed && m.Name != b.Self && !o.leaving[m.Name].covers(m) {
				o.gone[m.Name] = goneMember{m, now}
			}
		}
		for name := range o.leaving {
			if _, listed := b.order.byName[name]; !listed {
				delete(o.leaving, name)
			}
		}
		changed = true
	}
	for name, g := range o.gone {
		if _, listed := b.order.byName[name]; listed || now.Sub(g.at) >= _term {
			delete(o.gone, name)
			changed = true
		}
	}
	return changed
}

// rank ranks the instances that may issue permits.
func (b *Book) rank() {
	ranked := make([]Member, 0, len(b.order.members)+len(b.office.gone))
	for _, m := range b.order.members {
		if !b.office.leaving[m.Name].covers(m) {
			ranked = append(ranked, m)
		}
	}
	for _, g := range b.office.gone {
		ranked = append(ranked, g.Member)
	}
	b.order.rank(ranked)
}

// claim carries on with the claim of the registration, and extends the term of a claimed one.
// It reports whether the office was taken.
func (b *Book) claim(now time.Time, v View) (taken bool) {
	o := &b.office
	o.started = v.Started
	if v.Registration != o.registration {
		o.released = false
		o.registration, o.registeredAt, o.claimed, o.acks = v.Registration, now, false, make(map[string]Ack)
	}
	if o.registration == 0 || o.released {
		return false
	}
	if !o.claimed {
		taken = b.completeClaim(now, v)
	}
	if o.claimed && !v.RenewedAt.IsZero() && b.listsSelf(v) {
		o.until = earliest(v.RenewedAt, v.ReadAt).Add(_term - _termMargin)
	}
	return taken
}

// completeClaim completes the claim if all instances of the region answered that may have
// issued before, or after a term, and asks those that did not. An office that was held until
// now goes on. Otherwise nobody may still issue whose registration ended, as far as the others
// know or this instance, after _unknownTime; and all accounts begin empty.
func (b *Book) completeClaim(now time.Time, v View) bool {
	o := &b.office
	missing, current := b.missingAcks(v)
	held := o.held(now)
	complete := current && len(missing) == 0 && (held || o.isClear() || now.Sub(o.watchedAt) >= _unknownTime)
	if complete || now.Sub(o.registeredAt) >= _term {
		o.claimed = true
		if !held {
			b.accounts = nil
		}
		return true
	}
	if now.Sub(o.claimSentAt) >= _claimInterval {
		o.claimSentAt = now
		if now.Sub(o.askedAllAt) >= _reclaimInterval && !held && !o.isClear() {
			o.askedAllAt = now
			clear(o.acks)
		}
		for _, m := range missing {
			b.Send(m.Address, Message{Claim: &Claim{Started: v.Started, Registration: o.registration, Members: b.order.regionHash}})
		}
	}
	return false
}

// isClear reports whether an instance that answered knows who issued before, and all that know
// are sure that those have ended.
func (o *office) isClear() bool {
	known := false
	for _, a := range o.acks {
		if a.Knows && !a.Clear {
			return false
		}
		known = known || a.Knows
	}
	return known
}

// missingAcks returns the other instances of the region that have not answered the claim.
// current is false if the list of members is older than the own registration.
func (b *Book) missingAcks(v View) (missing []Member, current bool) {
	current = b.listsSelf(v)
	add := func(m Member) {
		if _, answered := b.office.acks[m.Name]; !answered && m.Region == b.Region && m.Name != b.Self {
			missing = append(missing, m)
		}
	}
	for _, m := range b.order.members {
		add(m)
	}
	for _, g := range b.office.gone {
		add(g.Member)
	}
	return missing, current
}

// release gives up the office of an instance whose registration ended some time ago while it
// still hears of the others: one of them takes its place at once.
func (b *Book) release(now time.Time, v View) {
	o := &b.office
	if b.listsSelf(v) || now.Sub(v.ReadAt) >= _releaseTime {
		o.delistedAt = time.Time{}
		return
	}
	if o.delistedAt.IsZero() {
		o.delistedAt = now
	}
	if o.claimed && !o.released && now.Sub(o.delistedAt) >= _releaseTime {
		o.released, o.claimed, o.until, o.told = true, false, time.Time{}, 0
		b.accounts = nil
	}
}

// tellHolding tells the registered instances of the region that this one, whose registration
// ended, still issues permits: those that started since do not know.
func (b *Book) tellHolding(now time.Time, v View) {
	if !b.office.held(now) || b.listsSelf(v) {
		return
	}
	for _, m := range b.order.members {
		if m.Region == b.Region && m.Name != b.Self {
			b.Send(m.Address, Message{Holding: &Holding{Zone: b.Zone, Started: v.Started}})
		}
	}
}

// receiveHolding keeps the rank of an instance whose registration ended.
func (b *Book) receiveHolding(now time.Time, from string, h Holding) {
	_, listed := b.order.byName[from]
	if listed || b.office.gone == nil || b.regionOf(h.Zone) != b.Region {
		return
	}
	if _, known := b.office.gone[from]; !known {
		b.office.gone[from] = goneMember{Member{Name: from, Zone: h.Zone, Region: b.Region, Started: h.Started}, now}
		b.appoint(now)
	}
}

// listsSelf reports whether the list of members has the own registration.
func (b *Book) listsSelf(v View) bool {
	self := b.order.byName[b.Self]
	return self.Started == v.Started && self.Registration >= b.office.registration
}

// answerClaim answers the claim of another instance of the region. Its registration counts as
// read only if nobody ended since that this instance still takes for registered: both know the
// same members, or this instance read them after the claim arrived.
func (b *Book) answerClaim(now time.Time, from string, c Claim) Message {
	o := &b.office
	if o.claims == nil {
		o.claims = make(map[string]receivedClaim)
	}
	if first := o.claims[from]; first.started != c.Started || first.registration != c.Registration {
		o.claims[from] = receivedClaim{c.Started, c.Registration, now}
	}
	listed := b.order.byName[from]
	current := c.Members == b.order.regionHash || o.readAt.After(o.claims[from].at)
	ack := Ack{
		Registration: c.Registration, Knows: o.claimed,
		Read: current && listed.Started == c.Started && listed.Registration >= c.Registration,
	}
	_, ranked := o.gone[from]
	ack.Replaced = listed.Name == "" && !ranked && o.held(now) && now.Sub(o.registeredAt) >= _term
	ack.Clear = true
	for name, g := range o.gone {
		ack.Clear = ack.Clear && (name == from || g.Region != b.Region)
	}
	return Message{Ack: &ack}
}

// receiveAck takes in the answer to a claim. If the instance was replaced while it was
// suspended, its term ends.
func (b *Book) receiveAck(from string, a Ack) {
	o := &b.office
	if a.Registration != o.registration || o.claimed {
		return
	}
	if a.Replaced {
		o.until = time.Time{}
	}
	if a.Read {
		o.acks[from] = a
	}
}

// appoint opens the accounts of the places whose issuer this instance is, and closes the
// others. A new account begins empty: the one before may have issued all.
func (b *Book) appoint(now time.Time) {
	if b.office.resigned || b.order.byName == nil {
		return
	}
	b.rank()
	kept := make(map[accountKey]*account)
	for _, l := range b.limits {
		places := b.placesOf(l)
		for _, place := range places {
			key := accountKey{l.Team, place}
			if b.regionOf(place) != b.Region {
				continue
			}
			if first, ok := b.owner(key); !ok || first.Name != b.Self {
				continue
			}
			a := b.accounts[key]
			if a == nil {
				a = &account{refilledAt: latest(now, b.office.clearAt)}
			}
			a.set(now, l, len(places))
			kept[key] = a
		}
	}
	b.accounts = kept
}

// tellResigned tells the others that the instance resigned.
func (b *Book) tellResigned() {
	b.office.told++
	resigned := &Registration{b.office.started, b.office.registration}
	for _, m := range b.order.members {
		if m.Name != b.Self {
			b.Send(m.Address, Message{Resigned: resigned})
		}
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// receiveResigned records that an instance resigned: it is not waited for.
func (b *Book) receiveResigned(now time.Time, from string, r Registration) {
	if b.office.leaving == nil {
		return
	}
	if m, listed := b.order.byName[from]; listed && r.covers(m) {
		b.office.leaving[from] = r
	}
	if g, gone := b.office.gone[from]; gone && r.covers(g.Member) {
		delete(b.office.gone, from)
	}
	b.appoint(now)
}
