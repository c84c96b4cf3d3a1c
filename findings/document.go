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
	// MaxDocumentBytes is the largest size of a document.
	MaxDocumentBytes = 32 << 20
	// MaxLineBytes is the largest length of a line.
	MaxLineBytes = 1 << 20
	// MaxDepth is the deepest nesting of objects and arrays.
	MaxDepth = 32
)

var _syntaxErrorPosition = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

// Document is a parsed document with the positions of its values.
type Document struct {
	file string
	data []byte
	root hujson.Value
	ok   bool
	// mistyped holds the JSON pointers of values of the wrong type.
	mistyped []string
}

// OK reports whether the document was parsed.
func (d *Document) OK() bool { return d.ok }

// Parse parses JSON with comments; file is the name used in findings. It adds
// problems to list and never returns nil.
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

// Read parses a document, decodes it into the struct that target points to and
// calls check if the document was parsed. The error is an *Error with all
// findings.
func Read(file string, data []byte, target any, check func(doc *Document, list *List)) error {
	var list List
	doc := Parse(file, data, &list)
	doc.Decode(target, &list)
	if doc.OK() {
		check(doc, &list)
	}
	return list.Err()
}

// Decode decodes the document into the struct that target points to. Unknown keys
// and values of the wrong type become findings and leave their fields unset. All
// other fields are set, so that they can be checked in the same run.
func (d *Document) Decode(target any, list *List) {
	if !d.ok {
		return
	}
	d.check(&d.root, reflect.TypeOf(target).Elem(), "", list)
	standard := d.root.Clone()
	standard.Standardize()
	for _, pointer := range d.mistyped {
		if v := standard.Find(pointer); v != nil {
			v.Value = hujson.Literal("null")
		}
	}
	if err := json.Unmarshal(standard.Pack(), target); err != nil {
		list.Add(d.findingAt(0, err.Error()))
	}
}

// Add adds a finding at the value of a JSON pointer, or at its nearest parent in
// the document. It adds nothing for a value of the wrong type, or one inside it,
// because Decode has already reported that value.
func (d *Document) Add(list *List, pointer, format string, args ...any) {
	for _, reported := range d.mistyped {
		if rest, ok := strings.CutPrefix(pointer, reported); ok && (rest == "" || rest[0] == '/') {
			return
		}
	}
	list.Add(d.findingAt(d.offset(pointer), fmt.Sprintf(format, args...)))
}

// AddOutOfRange adds a finding if a value is less than low or greater than high.
func (d *Document) AddOutOfRange(list *List, pointer string, value, low, high int) {
	if value < low || value > high {
		d.Add(list, pointer, "%d is out of range: must be from %d to %d", value, low, high)
	}
}

// AddUnknown adds a finding for a name that is not in known, and suggests the
// nearest known name if there is one.
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
	m := _syntaxErrorPosition.FindStringSubmatch(err.Error())
	if m == nil {
		return Finding{File: d.file, Line: 1, Column: 1, Message: err.Error()}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	return Finding{File: d.file, Line: line, Column: column, Message: m[3]}
}

// withinLimits checks size, line length and nesting before the document is
// parsed, because the parser recurses for each level.
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
