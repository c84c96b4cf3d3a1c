package ration

import "time"

// Message is what instances send each other. Exactly one of its parts is set.
type Message struct {
	// Number identifies a question; its answer repeats it.
	Number uint64 `json:"number,omitempty"`
	Ask    *Ask   `json:"ask,omitempty"`
	Reply  *Reply `json:"reply,omitempty"`
	Claim  *Claim `json:"claim,omitempty"`
	Ack    *Ack   `json:"ack,omitempty"`
	// Holding tells that the sender still issues permits, though its registration ended.
	Holding *Holding `json:"holding,omitempty"`
	// Resigned is the registration with which the sender does not issue permits any more.
	Resigned *Registration `json:"resigned,omitempty"`
	// Probe asks an instance that was silent to answer with Present.
	Probe   bool `json:"probe,omitempty"`
	Present bool `json:"present,omitempty"`
}

// Ask asks the issuer of a place for Want permits, and gives back Unused ones.
type Ask struct {
	Team   string `json:"team"`
	Place  string `json:"place"`
	Want   int    `json:"want"`
	Unused int    `json:"unused,omitempty"`
}

// Reply grants permits. RetryMs is the time after which there may be more, 0 if all that were
// wanted were granted. Declined is set if the instance is not the issuer.
type Reply struct {
	Team     string `json:"team"`
	Place    string `json:"place"`
	Granted  int    `json:"granted"`
	RetryMs  int64  `json:"retryMs,omitempty"`
	Declined bool   `json:"declined,omitempty"`
}

// Claim asks whether an instance read of a registration of the sender. Members is a hash of the
// instances of the region that the sender knows.
type Claim struct {
	Started      int64  `json:"started"`
	Registration int64  `json:"registration"`
	Members      uint64 `json:"members"`
}

// Ack answers a claim. Read is set if the instance read of the registration, Knows if it knows
// who issued before, and Clear if all those are registered or have ended. Replaced is set if
// others issue what the claiming instance issued.
type Ack struct {
	Registration int64 `json:"registration"`
	Read         bool  `json:"read"`
	Knows        bool  `json:"knows"`
	Clear        bool  `json:"clear"`
	Replaced     bool  `json:"replaced,omitempty"`
}

// Registration is a registration of an incarnation of an instance.
type Registration struct {
	Started int64 `json:"started"`
	Number  int64 `json:"number"`
}

// covers reports whether a registration is this one or one before it, of the same incarnation.
func (r Registration) covers(m Member) bool {
	return m.Started == r.Started && m.Registration <= r.Number
}

// Holding names the zone and the incarnation of an instance.
type Holding struct {
	Zone    string `json:"zone"`
	Started int64  `json:"started"`
}

// Valid reports whether a message that was received can be used.
func (m Message) Valid() bool {
	parts := 0
	for _, set := range []bool{m.Ask != nil, m.Reply != nil, m.Claim != nil, m.Ack != nil, m.Holding != nil, m.Resigned != nil, m.Probe, m.Present} {
		if set {
			parts++
		}
	}
	switch {
	case parts != 1:
		return false
	case m.Ask != nil:
		return m.Ask.Team != "" && m.Ask.Place != "" && m.Ask.Want >= 0 && m.Ask.Unused >= 0
	case m.Reply != nil:
		return m.Reply.Granted >= 0 && m.Reply.Granted <= _maxGrant && m.Reply.RetryMs >= 0
	}
	return true
}

// Receive handles a message of another instance. It returns the answer, or nil.
func (b *Book) Receive(now time.Time, from string, m Message) *Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.silent, from)
	switch {
	case m.Ask != nil:
		if reply, ok := b.issue(now, from, m.Number, *m.Ask); ok {
			return &Message{Number: m.Number, Reply: &reply}
		}
	case m.Reply != nil:
		b.receiveReply(now, m)
	case m.Claim != nil:
		answer := b.answerClaim(now, from, *m.Claim)
		return &answer
	case m.Ack != nil:
		b.receiveAck(from, *m.Ack)
	case m.Holding != nil:
		b.receiveHolding(now, from, *m.Holding)
	case m.Resigned != nil:
		b.receiveResigned(now, from, *m.Resigned)
	case m.Probe:
		return &Message{Present: true}
	}
	return nil
}
