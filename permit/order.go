package permit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// _memberAge is the age from which the list of instances is read again.
	_memberAge = 250 * time.Millisecond
	// _missesUntilSilent is the number of messages in a row, sent over at least
	// _silentAfter, that an instance leaves unanswered before it counts as silent for
	// _silentTime.
	_missesUntilSilent = 3
	_silentAfter       = 400 * time.Millisecond
	_silentTime        = 2 * time.Second
	// _askSilent is the time before the end of _silentTime from which a silent issuer is asked
	// whether it is there, without a request that waits for it.
	_askSilent = 750 * time.Millisecond
)

// order holds the instances, and for each limited worker the first two of those that may
// issue its permits.
type order struct {
	members []Instance
	readAt  time.Time
	first   map[string][]Instance
}

func (o *order) membersAt(now time.Time, members func() []Instance) []Instance {
	if o.readAt.IsZero() || now.Sub(o.readAt) >= _memberAge {
		o.members, o.readAt, o.first = members(), now, make(map[string][]Instance)
	}
	return o.members
}

func (o *order) forget(removed func(id string) bool) {
	for id := range o.first {
		if removed(id) {
			delete(o.first, id)
		}
	}
}

// distance ranks instances by their place: those of the worker's zone come first, then
// those of its region.
func (b *Book) distance(i Instance, w Worker) int {
	switch {
	case i.Zone == w.Zone:
		return 0
	case i.Region == b.RegionOf(w.Zone):
		return 1
	default:
		return 2
	}
}

// firstTwo returns the first two instances in the order for a worker.
func (b *Book) firstTwo(now time.Time, w Worker) []Instance {
	members := b.order.membersAt(now, b.Members)
	if known, ok := b.order.first[w.ID]; ok {
		return known
	}
	type ranked struct {
		Instance
		distance int
		hash     uint64
	}
	before := func(x, y ranked) bool {
		if x.distance != y.distance {
			return x.distance < y.distance
		}
		return x.hash < y.hash
	}
	var best []ranked
	for _, m := range members {
		if m.Address == "" && m.Name != b.Self {
			continue
		}
		r := ranked{m, b.distance(m, w), xxhash.Sum64String(w.ID + "/" + m.Name)}
		switch {
		case len(best) == 0 || before(r, best[0]):
			best = append([]ranked{r}, best...)
		case len(best) == 1 || before(r, best[1]):
			best = append(best[:1], r)
		}
		best = best[:min(len(best), 2)]
	}
	var first []Instance
	for _, r := range best {
		first = append(first, r.Instance)
	}
	b.order.first[w.ID] = first
	return first
}

// issuer returns the instance that issues the permits of a worker. standIn is set if it
// takes the place of one that is silent.
func (b *Book) issuer(now time.Time, w Worker) (issuer Instance, standIn bool) {
	first := b.firstTwo(now, w)
	if len(first) == 0 {
		return Instance{Name: b.Self}, false
	}
	if b.reachable(now, first[0].Name) || len(first) == 1 || !b.reachable(now, first[1].Name) {
		return first[0], false
	}
	return first[1], true
}

// contact is what is known of the connection to another instance.
type contact struct {
	// unanswered counts the messages in a row that were not answered, since missedAt.
	unanswered  int
	missedAt    time.Time
	silentUntil time.Time
	silent      bool
	// askedAt is when check asked for an answer, or zero.
	askedAt time.Time
}

func (b *Book) contact(name string) *contact {
	c := b.contacts[name]
	if c == nil {
		if b.contacts == nil {
			b.contacts = make(map[string]*contact)
		}
		c = &contact{}
		b.contacts[name] = c
	}
	return c
}

// unanswered returns the number of messages in a row that an instance has not answered.
func (b *Book) unanswered(name string) int {
	if c := b.contacts[name]; c != nil {
		return c.unanswered
	}
	return 0
}

func (b *Book) reachable(now time.Time, name string) bool {
	c := b.contacts[name]
	return name == b.Self || c == nil || !now.Before(c.silentUntil)
}

// heard records a message of another instance.
func (b *Book) heard(name string) {
	c := b.contacts[name]
	if c == nil {
		return
	}
	if c.silent && b.Silent != nil {
		b.Silent(name, false)
	}
	delete(b.contacts, name)
}

// missed records that an instance did not answer.
func (b *Book) missed(now time.Time, name string) {
	c := b.contact(name)
	if c.unanswered == 0 {
		c.missedAt = now
	}
	c.unanswered++
	if c.unanswered < _missesUntilSilent || now.Sub(c.missedAt) < _silentAfter {
		return
	}
	c.silentUntil = now.Add(_silentTime)
	if !c.silent && b.Silent != nil {
		b.Silent(name, true)
	}
	c.silent = true
}

// askSilent asks the issuers that are silent whether they are there. One that does not answer
// stays silent: while it was asked for permits, its stand-in would issue none.
func (b *Book) askSilent(now time.Time) {
	ends := false
	for _, c := range b.contacts {
		ends = ends || c.silenceEnds(now)
	}
	if !ends {
		return
	}
	for _, h := range b.holdings {
		first := b.firstTwo(now, h.worker)
		if !h.limit.Named || len(first) < 2 {
			continue
		}
		if c := b.contacts[first[0].Name]; c != nil && c.silenceEnds(now) {
			b.check(now, first[0], noticeOf(now, h))
		}
	}
}

func (c *contact) silenceEnds(now time.Time) bool {
	return now.Before(c.silentUntil) && c.silentUntil.Sub(now) <= _askSilent
}

// check finds out whether an instance answers, at most once within _askTimeout. Another
// one took this instance for the issuer of a worker, probably because it found the first
// one silent.
func (b *Book) check(now time.Time, i Instance, about Notice) {
	c := b.contact(i.Name)
	if !c.askedAt.IsZero() {
		if now.Sub(c.askedAt) < _askTimeout {
			return
		}
		b.missed(now, i.Name)
	}
	c.askedAt = now
	b.Send(i.Address, Message{From: b.Self, Ask: &Ask{Notice: about}})
}
