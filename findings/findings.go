// Package findings collects the problems of a document with their positions and
// reports them together.
//
// A document is JSON with comments and trailing commas. Decode checks keys and
// types against the json tags of a Go struct, so that one run reports every
// problem of a document.
//
// # Usage
//
//	var list findings.List
//	doc := findings.Parse("settings.jsonc", data, &list)
//	var s Settings
//	doc.Decode(&s, &list)
//	if s.Instance == "" {
//		doc.Add(&list, "/instance", "is required")
//	}
//	return list.Err()
package findings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one problem and its position. Line and Column count from 1; Column
// is in bytes.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// String formats the finding as file:line:column: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// List is a collection of findings. Its zero value is empty.
type List struct {
	items []Finding
}

// Add appends a finding.
func (l *List) Add(f Finding) {
	l.items = append(l.items, f)
}

// All returns the findings sorted by file, line and column.
func (l *List) All() []Finding {
	sorted := append([]Finding(nil), l.items...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return sorted
}

// Empty reports whether there are no findings.
func (l *List) Empty() bool {
	return len(l.items) == 0
}

// Err returns an *Error with all findings, or nil if there are none.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return &Error{Findings: l.All()}
}

// Error is an error that consists of findings.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
