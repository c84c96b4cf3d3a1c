// Package explain tells the story of one request from the logs of instances:
// what was decided for it, by what facts, and which conditions about the workers
// concerned changed around it.
//
// Logs may be large: each is read twice, and only lines of the story are kept.
// Text before the JSON of a line, such as a collector's stamp, is passed over.
//
// # Usage
//
//	story, err := explain.Read("9c41d07be2a35f68", []string{"edge-1.log", "edge-2.log"}, nil)
//	story.Print(os.Stdout)
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// _maxLine bounds a line of a log; a longer one is bad.
	_maxLine = 1 << 20
	// _maxLines bounds the lines of a story.
	_maxLines = 10_000
	// _before and _after are how far around a request conditions are told.
	_before = 6 * time.Second
	_after  = time.Second
	// _progressLines is the number of lines between two reports of progress.
	_progressLines = 1_000_000
)

// Line is a line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Fields are the other fields, in the order of their names.
	Fields []Field
}

// Field is a field of a line, as JSON.
type Field struct {
	Name  string
	Value string
}

// Story is what the logs tell of a request.
type Story struct {
	Request string
	// Decisions are the lines of the request itself, Conditions those about its
	// workers, the store and the configuration at its instances around it.
	Decisions  []Line
	Conditions []Line
	// BadLines could not be read.
	BadLines int
	// Cut is set when there were more lines than are kept.
	Cut bool
}

// Read reads the story of a request from files. progress, if set, is told how
// many lines were read.
func Read(request string, files []string, progress func(lines int)) (*Story, error) {
	s := &Story{Request: request}
	scan := &scanner{progress: progress}
	bad := 0
	for _, file := range files {
		n, err := scan.file(file, func(raw []byte) bool { return bytes.Contains(raw, []byte(request)) }, s.decision)
		if err != nil {
			return nil, err
		}
		bad += n
	}
	s.BadLines = bad
	if len(s.Decisions) == 0 {
		return s, nil
	}
	sortLines(s.Decisions)
	around := s.surroundings()
	for _, file := range files {
		if _, err := scan.file(file, around.mayConcern, func(l Line) { s.condition(around, l) }); err != nil {
			return nil, err
		}
	}
	sortLines(s.Conditions)
	return s, nil
}

func (s *Story) decision(l Line) {
	if l.get("request") != s.Request {
		return
	}
	if len(s.Decisions) >= _maxLines {
		s.Cut = true
		return
	}
	s.Decisions = append(s.Decisions, l)
}

// surroundings are the time, instances and workers of a request.
type surroundings struct {
	from, to  time.Time
	instances map[string]struct{}
	workers   map[string]struct{}
}

func (s *Story) surroundings() *surroundings {
	a := &surroundings{instances: map[string]struct{}{}, workers: map[string]struct{}{}}
	a.from = s.Decisions[0].Time.Add(-_before)
	a.to = s.Decisions[len(s.Decisions)-1].Time.Add(_after)
	for _, l := range s.Decisions {
		a.instances[l.Instance] = struct{}{}
		if id := l.get("worker"); id != "" {
			a.workers[id] = struct{}{}
		}
		var tried []string
		if json.Unmarshal([]byte(l.raw("tried")), &tried) == nil {
			for _, id := range tried {
				a.workers[id] = struct{}{}
			}
		}
	}
	return a
}

// mayConcern is a cheap test before a line is parsed.
func (a *surroundings) mayConcern(raw []byte) bool {
	return !bytes.Contains(raw, []byte(`"request":`))
}

func (s *Story) condition(a *surroundings, l Line) {
	if _, ok := a.instances[l.Instance]; !ok || l.Time.Before(a.from) || l.Time.After(a.to) || l.get("request") != "" {
		return
	}
	if id := l.get("worker"); id != "" {
		if _, ok := a.workers[id]; !ok {
			return
		}
	}
	if len(s.Conditions) >= _maxLines {
		s.Cut = true
		return
	}
	s.Conditions = append(s.Conditions, l)
}

// scanner reads logs line by line.
type scanner struct {
	progress func(lines int)
	lines    int
}

// file hands on the lines that want takes, and returns the number of bad ones
// among all.
func (s *scanner) file(name string, want func(raw []byte) bool, take func(Line)) (bad int, err error) {
	f, err := os.Open(name)
	if err != nil {
		return 0, errors.Wrap(err, "read log")
	}
	defer func() { _ = f.Close() }()
	reader := bufio.NewReaderSize(f, _maxLine)
	for {
		raw, err := reader.ReadSlice('\n')
		if len(raw) > 0 && !errors.Is(err, bufio.ErrBufferFull) {
			s.count()
			bad += s.line(raw, want, take)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			bad++
			err = skipLine(reader)
		case err == nil:
			continue
		}
		if errors.Is(err, io.EOF) {
			return bad, nil
		}
		if err != nil {
			return bad, errors.Wrapf(err, "read %s", name)
		}
	}
}

func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func (s *scanner) count() {
	s.lines++
	if s.progress != nil && s.lines%_progressLines == 0 {
		s.progress(s.lines)
	}
}

func (s *scanner) line(raw []byte, want func([]byte) bool, take func(Line)) (bad int) {
	at := bytes.IndexByte(raw, '{')
	if at < 0 {
		return 1
	}
	raw = raw[at:]
	if !want(raw) {
		return 0
	}
	l, err := parse(raw)
	if err != nil {
		return 1
	}
	take(l)
	return 0
}

func parse(raw []byte) (Line, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return Line{}, errors.Wrap(err, "line")
	}
	var head struct {
		Time     time.Time `json:"time"`
		Instance string    `json:"instance"`
		Message  string    `json:"msg"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return Line{}, errors.Wrap(err, "line")
	}
	l := Line{Time: head.Time, Instance: head.Instance, Message: head.Message}
	for name, value := range fields {
		switch name {
		case "time", "instance", "msg", "level":
			continue
		}
		l.Fields = append(l.Fields, Field{Name: name, Value: string(value)})
	}
	sort.Slice(l.Fields, func(i, j int) bool { return l.Fields[i].Name < l.Fields[j].Name })
	return l, nil
}

func (l Line) raw(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// get returns a field that is a string, or an empty one.
func (l Line) get(name string) string {
	var text string
	if json.Unmarshal([]byte(l.raw(name)), &text) != nil {
		return ""
	}
	return text
}

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// Print writes the story in order of time; conditions are indented.
func (s *Story) Print(w io.Writer) error {
	if len(s.Decisions) == 0 {
		_, err := fmt.Fprintf(w, "no line about request %s (%d lines could not be read)\n", s.Request, s.BadLines)
		return err
	}
	started := s.Decisions[0].Time
	all := append(append([]Line(nil), s.Decisions...), s.Conditions...)
	sortLines(all)
	if _, err := fmt.Fprintf(w, "request %s, from %s\n", s.Request, started.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	for _, l := range all {
		indent := ""
		if l.get("request") != s.Request {
			indent = "    "
		}
		_, err := fmt.Fprintf(w, "%+9.3f s  %s%s  %s%s\n", l.Time.Sub(started).Seconds(), indent, l.Instance, l.Message, l.rest())
		if err != nil {
			return err
		}
	}
	if s.Cut {
		if _, err := fmt.Fprintln(w, "there were more lines than are kept"); err != nil {
			return err
		}
	}
	if s.BadLines > 0 {
		_, err := fmt.Fprintf(w, "%d lines could not be read\n", s.BadLines)
		return err
	}
	return nil
}

func (l Line) rest() string {
	var b strings.Builder
	for _, f := range l.Fields {
		if f.Name == "request" {
			continue
		}
		b.WriteString("  " + f.Name + "=" + strings.Trim(f.Value, `"`))
	}
	return b.String()
}
