package permit

import (
	"encoding/json"
	"time"

	"github.com/wigeonlock/wigeonlock/suspect"
	"github.com/wigeonlock/wigeonlock/worker"
)

// MaxLeaving is the number of leaving workers in one message: about 1200 bytes, so that it
// needs no fragments.
const MaxLeaving = 16

// Message is what instances send each other. Exactly one of Ask, Reply, Limits, Hello,
// Leaving and Suspects is set.
type Message struct {
	From string `json:"from"`
	// Number identifies a question; its answer repeats it. 0 expects no answer but that
	// the instance is there.
	Number uint64   `json:"number,omitempty"`
	Ask    *Ask     `json:"ask,omitempty"`
	Reply  *Reply   `json:"reply,omitempty"`
	Limits []Notice `json:"limits,omitempty"`
	// Hello asks for all known limits.
	Hello bool `json:"hello,omitempty"`
	// Leaving are workers that said that they leave, which get no permits any more.
	Leaving []worker.Leaving `json:"leaving,omitempty"`
	// Suspects are news of requests that may end workers.
	Suspects *suspect.News `json:"suspects,omitempty"`
}

// Notice is what an instance knows of the limit of a worker.
type Notice struct {
	Worker    string  `json:"worker"`
	Born      int64   `json:"born"`
	Zone      string  `json:"zone"`
	PerSecond float64 `json:"perSecond"`
	Named     bool    `json:"named"`
	AgeMs     int64   `json:"ageMs"`
	Share     float64 `json:"share"`
}

// Ask asks for Want permits. Demand is the number of requests since the last question.
type Ask struct {
	Notice
	Want   int `json:"want"`
	Demand int `json:"demand"`
}

// Reply grants permits. RetryMs is the time after which there may be more, 0 if all that
// were wanted were granted. Declined is set if the instance is not the issuer.
type Reply struct {
	Notice
	Granted  int   `json:"granted"`
	RetryMs  int64 `json:"retryMs"`
	Declined bool  `json:"declined,omitempty"`
}

// Encode returns the encoding of a message.
func (m Message) Encode() ([]byte, error) {
	return json.Marshal(m)
}

// Decode decodes a message. ok is false if it is malformed.
func Decode(data []byte) (m Message, ok bool) {
	if json.Unmarshal(data, &m) != nil || m.From == "" || len(m.Limits) > _maxNotices || len(m.Leaving) > MaxLeaving {
		return Message{}, false
	}
	for _, n := range m.Limits {
		if !n.valid() {
			return Message{}, false
		}
	}
	if m.Suspects != nil && !m.Suspects.Valid() {
		return Message{}, false
	}
	for _, l := range m.Leaving {
		if l.Worker == "" || l.Born <= 0 || l.AgeMs < 0 {
			return Message{}, false
		}
	}
	switch {
	case m.Ask != nil:
		return m, m.Ask.valid() && m.Ask.Want >= 0 && m.Ask.Demand >= 0
	case m.Reply != nil:
		return m, m.Reply.valid() && m.Reply.Granted >= 0 && m.Reply.RetryMs >= 0
	}
	return m, true
}

func (n Notice) valid() bool {
	return n.Worker != "" && n.PerSecond >= 0 && n.AgeMs >= 0 && n.Share >= 0
}

func noticeOf(now time.Time, h *holding) Notice {
	return Notice{
		Worker: h.worker.ID, Born: h.worker.Born, Zone: h.worker.Zone, PerSecond: h.limit.PerSecond, Named: h.limit.Named,
		AgeMs: max(now.Sub(h.limit.At), 0).Milliseconds(), Share: h.share,
	}
}

// knownNotice returns what is known of the worker that a notice names: no limit, if nothing
// is known.
func knownNotice(now time.Time, n Notice, h *holding) Notice {
	if h != nil {
		return noticeOf(now, h)
	}
	return Notice{Worker: n.Worker, Born: n.Born, Zone: n.Zone, AgeMs: _maxAge.Milliseconds()}
}

func (n Notice) worker() Worker {
	return Worker{ID: n.Worker, Born: n.Born, Zone: n.Zone}
}

func (n Notice) limit(now time.Time) Limit {
	age := min(time.Duration(min(n.AgeMs, _maxAge.Milliseconds()))*time.Millisecond, _maxAge)
	return Limit{PerSecond: n.PerSecond, Named: n.Named, At: now.Add(-age)}
}

// Receive handles a message of another instance and returns the messages to answer with.
func (b *Book) Receive(now time.Time, m Message) []Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard(m.From)
	switch {
	case m.Ask != nil:
		reply := b.answer(now, *m.Ask)
		return []Message{{From: b.Self, Number: m.Number, Reply: &reply}}
	case m.Reply != nil:
		b.receiveReply(now, m)
	case m.Hello:
		return b.known(now)
	}
	for _, n := range m.Limits {
		b.learn(n.worker(), n.limit(now), m.From)
	}
	return nil
}

// answer answers a question for permits. An instance that is not the issuer by its own
// view declines, and finds out whether the issuer is there.
func (b *Book) answer(now time.Time, a Ask) Reply {
	w := a.worker()
	b.learn(w, a.limit(now), "instance")
	issuer, _ := b.issuer(now, w)
	if issuer.Name == b.Self {
		return b.issue(now, a)
	}
	if a.Want > 0 {
		b.check(now, issuer, a.Notice)
	}
	return Reply{Notice: knownNotice(now, a.Notice, b.holdings[a.Worker]), Declined: true}
}

// receiveReply applies the answer to the question that is open. The permits of a late one
// are not used: the issuer may have been suspended since it issued them.
func (b *Book) receiveReply(now time.Time, m Message) {
	h := b.holdings[m.Reply.Worker]
	if h == nil {
		return
	}
	if h.question == nil || h.question.number != m.Number || h.worker.Born != m.Reply.Born ||
		now.Sub(h.question.at) >= _askTimeout {
		b.learn(m.Reply.worker(), m.Reply.limit(now), "issuer")
		return
	}
	b.apply(now, h, *m.Reply)
	h.release()
}

// known returns all known limits, at least one message.
func (b *Book) known(now time.Time) []Message {
	messages := []Message{{From: b.Self}}
	for _, h := range b.holdings {
		if !h.limit.Named {
			continue
		}
		last := &messages[len(messages)-1]
		if len(last.Limits) == _maxNotices {
			messages = append(messages, Message{From: b.Self})
			last = &messages[len(messages)-1]
		}
		last.Limits = append(last.Limits, noticeOf(now, h))
	}
	return messages
}
