package relay

import (
	"bytes"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrBrokenHead is returned for bytes that are no head of a message: a field without a proper
// name, a line that continues the one before it, or a control byte.
var ErrBrokenHead = errors.New("head is broken")

// _brokenHeads counts the broken heads and trailers of answers.
var _brokenHeads = metrics.NewCounter("wigeonlock_unusable_heads_total")

// headPart is the part of a head that the next byte belongs to.
type headPart string

const (
	_startLine  headPart = "startLine"
	_lineStart  headPart = "lineStart"
	_fieldName  headPart = "fieldName"
	_fieldValue headPart = "fieldValue"
	_afterHead  headPart = "afterHead"
)

// The first digit of the status in the start line "HTTP/1.1 103 Early Hints".
const (
	_statusAt    = len("HTTP/1.1 ")
	_interimLead = '1'
)

// HeadChecker checks the bytes of a head as they arrive. The parsers of the standard library take
// names of fields with blanks, and lines that begin with a blank for the rest of the line before,
// so that a broken field is passed on or hides the length of a body.
//
// Its zero value ignores all bytes.
type HeadChecker struct {
	// Answers is set if the heads are those of answers: an interim one is followed by another.
	Answers bool

	part headPart
	// read is the number of bytes read of the start line.
	read    int
	interim bool
	// returned is set if the last byte was a carriage return: a line feed must follow.
	returned bool
}

// Expect starts the check of a head with the next byte.
func (h *HeadChecker) Expect() {
	*h = HeadChecker{Answers: h.Answers, part: _startLine}
}

// Check checks the next bytes, up to the end of the head. It returns ErrBrokenHead once.
func (h *HeadChecker) Check(p []byte) error {
	for len(p) > 0 {
		var (
			n  int
			ok bool
		)
		switch h.part {
		case _startLine:
			n, ok = h.startLine(p)
		case _lineStart:
			n, ok = h.lineStart(p)
		case _fieldName:
			n, ok = h.fieldName(p)
		case _fieldValue:
			n, ok = h.text(p)
		default:
			return nil
		}
		if !ok {
			h.part = _afterHead
			if h.Answers {
				_brokenHeads.Inc()
			}
			return ErrBrokenHead
		}
		p = p[n:]
	}
	return nil
}

func (h *HeadChecker) startLine(p []byte) (n int, ok bool) {
	if at := _statusAt - h.read; at >= 0 && at < len(p) {
		h.interim = h.Answers && p[at] == _interimLead
	}
	n, ok = h.text(p)
	h.read += n
	return n, ok
}

// lineStart checks the first byte of a field, or the empty line that ends the head.
func (h *HeadChecker) lineStart(p []byte) (n int, ok bool) {
	switch {
	case p[0] == '\n':
		h.returned = false
		h.part = _afterHead
		if h.interim {
			h.Expect()
		}
		return 1, true
	case h.returned:
		return 0, false
	case p[0] == '\r':
		h.returned = true
		return 1, true
	}
	h.part = _fieldName
	return 0, p[0] != ':'
}

func (h *HeadChecker) fieldName(p []byte) (n int, ok bool) {
	for i, c := range p {
		if c == ':' {
			h.part = _fieldValue
			return i + 1, true
		}
		if !httpguts.IsTokenRune(rune(c)) {
			return i, false
		}
	}
	return len(p), true
}

// text checks the bytes up to the end of a line.
func (h *HeadChecker) text(p []byte) (n int, ok bool) {
	if h.returned {
		h.returned = false
		h.part = _lineStart
		return 1, p[0] == '\n'
	}
	end := bytes.IndexAny(p, "\r\n")
	line := p
	if end >= 0 {
		line = p[:end]
	}
	for _, c := range line {
		if c < ' ' && c != '\t' || c == 0x7f {
			return 0, false
		}
	}
	if end < 0 {
		return len(p), true
	}
	if p[end] == '\r' {
		h.returned = true
	} else {
		h.part = _lineStart
	}
	return end + 1, true
}

// CheckTrailer returns ErrBrokenHead if a field after the body has no proper name or value.
func CheckTrailer(fields map[string][]string) error {
	for name, values := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			_brokenHeads.Inc()
			return ErrBrokenHead
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				_brokenHeads.Inc()
				return ErrBrokenHead
			}
		}
	}
	return nil
}
