package findings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

const (
	// MaxDocumentBytes bounds the size of a document.
	MaxDocumentBytes = 32 << 20
	// MaxLineBytes bounds the length of one line.
	MaxLineBytes = 1 << 20
	// MaxDepth bounds the nesting of objects and arrays.
	MaxDepth = 32
)

var _syntaxPlace = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

// Document is a parsed document that knows the place of each value.
type Document struct {
	file string
	data []byte
	root hujson.Value
	ok   bool
	// mistyped are the pointers of values of the wrong type.
	mistyped []string
}

// OK reports whether the document could be parsed at all.
func (d *Document) OK() bool { return d.ok }

// Parse reads JSON with comments. Problems are added to list, and the document
// returned is never nil.
func Parse(file string, data []byte, list *List) *Document {
	d := &Document{file: file, data: data}
	if !d.withinLimits(list) {
		return d
	}
	root, err := hujson.Parse(data)
	if err != nil {
		list.Add(d.syntaxFinding(err))
		return d
	}
	d.root = root
	d.ok = true
	return d
}

// Read parses a document, fills the struct that into points to and has it
// checked. The error is an *Error with all that was found.
func Read(file string, data []byte, into any, check func(doc *Document, list *List)) error {
	var list List
	doc := Parse(file, data, &list)
	doc.Decode(into, &list)
	if doc.OK() {
		check(doc, &list)
	}
	return list.Err()
}

// Decode fills the struct that into points to. Unknown keys and values of the
// wrong type become findings and leave their fields unset; the others are
// filled, so that they can be checked in the same run.
func (d *Document) Decode(into any, list *List) {
	if !d.ok {
		return
	}
	d.check(&d.root, reflect.TypeOf(into).Elem(), "", list)
	standard := d.root.Clone()
	standard.Standardize()
	for _, pointer := range d.mistyped {
		if v := standard.Find(pointer); v != nil {
			v.Value = hujson.Literal("null")
		}
	}
	if err := json.Unmarshal(standard.Pack(), into); err != nil {
		list.Add(d.findingAt(0, err.Error()))
	}
}

// Add adds a finding at the value that a JSON pointer names, or at its nearest
// parent present in the document. What is wrong about a value of the wrong type
// has been said.
func (d *Document) Add(list *List, pointer, format string, args ...any) {
	for _, known := range d.mistyped {
		if rest, ok := strings.CutPrefix(pointer, known); ok && (rest == "" || rest[0] == '/') {
			return
		}
	}
	list.Add(d.findingAt(d.offset(pointer), fmt.Sprintf(format, args...)))
}

// AddOutOfRange adds a finding if a value is not from low to high.
func (d *Document) AddOutOfRange(list *List, pointer string, value, low, high int) {
	if value < low || value > high {
		d.Add(list, pointer, "%d is not from %d to %d", value, low, high)
	}
}

// AddUnknown adds a finding for a name that is not among the known ones, with
// a suggestion if one is near.
func (d *Document) AddUnknown(list *List, pointer, kind, name string, known []string) {
	if s := Suggest(name, known); s != "" {
		d.Add(list, pointer, "unknown %s %q; did you mean %q?", kind, name, s)
		return
	}
	d.Add(list, pointer, "unknown %s %q", kind, name)
}

func (d *Document) offset(pointer string) int {
	for p := pointer; p != ""; p = p[:strings.LastIndexByte(p, '/')] {
		if v := d.root.Find(p); v != nil {
			return v.StartOffset
		}
	}
	return d.root.StartOffset
}

func (d *Document) findingAt(offset int, message string) Finding {
	offset = min(offset, len(d.data))
	line := 1 + bytes.Count(d.data[:offset], []byte{'\n'})
	column := offset - bytes.LastIndexByte(d.data[:offset], '\n')
	return Finding{File: d.file, Line: line, Column: column, Message: message}
}

func (d *Document) syntaxFinding(err error) Finding {
	m := _syntaxPlace.FindStringSubmatch(err.Error())
	if m == nil {
		return Finding{File: d.file, Line: 1, Column: 1, Message: err.Error()}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	return Finding{File: d.file, Line: line, Column: column, Message: m[3]}
}

// withinLimits checks size, line length and nesting before the parser runs,
// because the parser recurses once a level.
func (d *Document) withinLimits(list *List) bool {
	if len(d.data) > MaxDocumentBytes {
		list.Add(d.findingAt(0, fmt.Sprintf("document has %d bytes; the limit is %d", len(d.data), MaxDocumentBytes)))
		return false
	}
	lineStart, depth, inString := 0, 0, false
	for i := 0; i < len(d.data); i++ {
		switch c := d.data[i]; {
		case c == '\n':
			lineStart = i + 1
			inString = false
		case i-lineStart >= MaxLineBytes:
			list.Add(d.findingAt(lineStart, fmt.Sprintf("line is longer than %d bytes", MaxLineBytes)))
			return false
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case !inString && (c == '{' || c == '['):
			depth++
		case !inString && (c == '}' || c == ']'):
			depth--
		}
		if depth > MaxDepth {
			list.Add(d.findingAt(i, fmt.Sprintf("nesting is deeper than %d levels", MaxDepth)))
			return false
		}
	}
	return true
}
