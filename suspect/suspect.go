// Package suspect tells which requests end the workers that run them.
//
// Callers repeat a request with new IDs and at other instances, so requests are told apart by
// their content. A content is a suspect once a worker ended while it ran a request with it. The
// suspicion grows only if it begins again: the next request has to be sent after the worker
// before had ended. Workers that end at the same time, such as those of a rack, count once, and
// a content that a worker serves to its end is cleared.
//
// After two workers in turn, one instance alone tries the content, one request at a time; the
// others refuse it. After a third, all refuse it for a while. Other contents that were on the
// same workers are then explained by it and cleared of them. Instances tell each other what
// ended and what was cleared.
//
// # Usage
//
//	b := &suspect.Book{Tries: func(c suspect.Content) bool { ... }}
//	if b.Verdict(now, content) == suspect.Refused { ... }
//	b.Ended(now, suspect.End{Content: content, Worker: "i-7", Born: 17, RanMs: 90})
//	b.Served(content)
package suspect

import (
	"strconv"
	"time"
)

const (
	// _trialAfter is the number of workers in turn after which a content is only tried, and
	// _refuseAfter the number of all workers after which it is refused.
	_trialAfter  = 2
	_refuseAfter = 3
	// _suspectTime is how long a suspicion lasts after the last end, and _refuseTime how long
	// a content is refused. It may be tried again then.
	_suspectTime = 15 * time.Second
	_refuseTime  = time.Minute
	// _maxContents is the number of suspects that are kept. Of more, the oldest are dropped.
	_maxContents = 512
)

// Content identifies what a request asks for.
type Content uint64

// String returns the content as it is logged.
func (c Content) String() string {
	return strconv.FormatUint(uint64(c), 16)
}

// End tells that an incarnation of a worker ended while it ran a request.
type End struct {
	Content Content `json:"content"`
	Worker  string  `json:"worker"`
	Born    int64   `json:"born"`
	// RanMs is the time from when the request was sent to the end, AgeMs the time since the
	// end.
	RanMs int64 `json:"ranMs"`
	AgeMs int64 `json:"ageMs"`
}

// Valid reports whether an end that another instance tells of can be used.
func (e End) Valid() bool {
	return e.Worker != "" && e.RanMs >= 0 && e.AgeMs >= 0 && e.AgeMs < _suspectTime.Milliseconds()
}

// Verdict is what may be done with a request.
type Verdict string

// Verdicts.
const (
	// Clear means that nothing speaks against the request.
	Clear Verdict = "clear"
	// Trial means that this instance may send the request, and has to call EndTrial after it.
	Trial Verdict = "trial"
	// Waits means that another request or instance tries the content.
	Waits Verdict = "waits"
	// Refused means that the content ended too many workers.
	Refused Verdict = "refused"
)

// Book holds the suspects. It is not safe for concurrent use. The exported fields are set
// before the first use.
type Book struct {
	// Tries reports whether this instance is the one that tries a content.
	Tries func(c Content) bool

	suspects map[Content]*suspect
}

// incarnation is one start of a worker.
type incarnation struct {
	worker string
	born   int64
}

// suspect is what is known of a content.
type suspect struct {
	// ended are the workers that ended, by when.
	ended map[incarnation]time.Time
	// turns counts those of them that ended in turn, the last of them at lastTurn.
	turns    int
	lastTurn time.Time
	lastEnd  time.Time
	refused  bool
	trial    bool
}

// Any reports whether there are suspects.
func (b *Book) Any() bool {
	return len(b.suspects) > 0
}

// Count returns the number of suspects and of the contents that are refused.
func (b *Book) Count() (suspects, refused int) {
	for _, s := range b.suspects {
		if s.refused {
			refused++
		}
	}
	return len(b.suspects), refused
}

// Verdict returns what may be done with a request with a content, and for how long at most
// if it may not be sent.
func (b *Book) Verdict(now time.Time, c Content) (Verdict, time.Duration) {
	s := b.suspects[c]
	switch {
	case s == nil || s.expired(now):
		return Clear, 0
	case s.refused && now.Sub(s.lastEnd) < _refuseTime:
		return Refused, _refuseTime - now.Sub(s.lastEnd)
	case s.turns < _trialAfter:
		return Clear, 0
	case s.trial || !b.Tries(c):
		return Waits, s.lifetime() - now.Sub(s.lastEnd)
	}
	s.trial = true
	return Trial, 0
}

// EndTrial records that the request of a Trial is over.
func (b *Book) EndTrial(c Content) {
	if s := b.suspects[c]; s != nil {
		s.trial = false
	}
}

// lifetime returns how long the suspicion lasts after the last end.
func (s *suspect) lifetime() time.Duration {
	if s.refused {
		return _refuseTime + _suspectTime
	}
	return _suspectTime
}

func (s *suspect) expired(now time.Time) bool {
	return now.Sub(s.lastEnd) >= s.lifetime()
}

// Ended records that a worker ended while it ran a request. It returns the verdict that the
// content has now, and whether the end is new.
func (b *Book) Ended(now time.Time, e End) (Verdict, bool) {
	at := now.Add(-time.Duration(e.AgeMs) * time.Millisecond)
	began := at.Add(-time.Duration(e.RanMs) * time.Millisecond)
	s := b.suspects[e.Content]
	if s == nil || s.expired(now) {
		b.makeRoom(now)
		s = &suspect{ended: make(map[incarnation]time.Time)}
		b.suspects[e.Content] = s
	}
	worker := incarnation{e.Worker, e.Born}
	if _, known := s.ended[worker]; known {
		return s.verdict(), false
	}
	s.ended[worker] = at
	if s.turns == 0 || !began.Before(s.lastTurn) {
		s.turns++
		s.lastTurn = at
	}
	if at.After(s.lastEnd) {
		s.lastEnd = at
	}
	if s.turns >= _trialAfter && len(s.ended) >= _refuseAfter && !s.refused {
		s.refused = true
		b.explain(e.Content, s)
	}
	return s.verdict(), true
}

func (s *suspect) verdict() Verdict {
	switch {
	case s.refused:
		return Refused
	case s.turns >= _trialAfter:
		return Waits
	}
	return Clear
}

// explain clears the other suspects of the workers that a refused content ended.
func (b *Book) explain(refused Content, by *suspect) {
	for c, s := range b.suspects {
		if c == refused || s.refused {
			continue
		}
		for worker := range by.ended {
			delete(s.ended, worker)
		}
		s.turns = min(s.turns, len(s.ended))
		if len(s.ended) == 0 {
			delete(b.suspects, c)
		}
	}
}

// Served records that a worker ran a request with a content to its end. It reports whether
// the content was a suspect.
func (b *Book) Served(c Content) bool {
	if b.suspects[c] == nil {
		return false
	}
	delete(b.suspects, c)
	return true
}

// Sweep deletes suspicions that have ended.
func (b *Book) Sweep(now time.Time) {
	for c, s := range b.suspects {
		if s.expired(now) {
			delete(b.suspects, c)
		}
	}
}

// makeRoom prepares the book for another suspect.
func (b *Book) makeRoom(now time.Time) {
	if b.suspects == nil {
		b.suspects = make(map[Content]*suspect)
	}
	if len(b.suspects) < _maxContents {
		return
	}
	b.Sweep(now)
	for len(b.suspects) >= _maxContents {
		var oldest Content
		var at time.Time
		for c, s := range b.suspects {
			if at.IsZero() || s.lastEnd.Before(at) {
				oldest, at = c, s.lastEnd
			}
		}
		delete(b.suspects, oldest)
	}
}
