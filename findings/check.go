package findings

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// _maxTypoDistance is the largest edit distance at which a word is suggested.
const _maxTypoDistance = 3

// check compares a value with the Go type into which it is decoded.
func (d *Document) check(v *hujson.Value, t reflect.Type, pointer string, list *List) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Struct:
		d.checkObject(v, t, pointer, list)
	case reflect.Slice:
		d.checkArray(v, t, pointer, list)
	default:
		d.checkLiteral(v, t, pointer, list)
	}
}

func (d *Document) checkObject(v *hujson.Value, t reflect.Type, pointer string, list *List) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addMistyped(v, "an object", pointer, list)
		return
	}
	fields := jsonFields(t)
	seen := make(map[string]struct{}, len(obj.Members))
	for i := range obj.Members {
		name := obj.Members[i].Name.Value.(hujson.Literal).String()
		offset := obj.Members[i].Name.StartOffset
		if _, duplicate := seen[name]; duplicate {
			list.Add(d.findingAt(offset, fmt.Sprintf("duplicate key %q", name)))
			continue
		}
		seen[name] = struct{}{}
		field, known := fields[name]
		if !known {
			list.Add(d.findingAt(offset, unknownKey(name, fields)))
			continue
		}
		d.check(&obj.Members[i].Value, field, pointer+"/"+name, list)
	}
}

func (d *Document) checkArray(v *hujson.Value, t reflect.Type, pointer string, list *List) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addMistyped(v, "an array", pointer, list)
		return
	}
	for i := range arr.Elements {
		d.check(&arr.Elements[i], t.Elem(), fmt.Sprintf("%s/%d", pointer, i), list)
	}
}

func (d *Document) checkLiteral(v *hujson.Value, t reflect.Type, pointer string, list *List) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || !literalFits(lit, t) {
		d.addMistyped(v, literalName(t), pointer, list)
	}
}

func (d *Document) addMistyped(v *hujson.Value, want, pointer string, list *List) {
	d.mistyped = append(d.mistyped, pointer)
	list.Add(d.findingAt(v.StartOffset, fmt.Sprintf("must be %s, is %s", want, kindName(v))))
}

func literalFits(lit hujson.Literal, t reflect.Type) bool {
	switch t.Kind() {
	case reflect.String:
		return lit.Kind() == '"'
	case reflect.Bool:
		return lit.Kind() == 't' || lit.Kind() == 'f'
	case reflect.Float64:
		return lit.Kind() == '0'
	default:
		return lit.Kind() == '0' && !strings.ContainsAny(string(lit), ".eE") && len(lit) < 18
	}
}

func literalName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func kindName(v *hujson.Value) string {
	switch value := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		const longest = 40
		text := string(value)
		if len(text) > longest {
			text = text[:longest] + "…"
		}
		return text
	default:
		return "missing"
	}
}

func jsonFields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		fields[name] = t.Field(i).Type
	}
	return fields
}

func unknownKey(name string, fields map[string]reflect.Type) string {
	known := make([]string, 0, len(fields))
	for k := range fields {
		known = append(known, k)
	}
	if s := Suggest(name, known); s != "" {
		return fmt.Sprintf("unknown key %q; did you mean %q?", name, s)
	}
	sort.Strings(known)
	return fmt.Sprintf("unknown key %q; known keys are %s", name, strings.Join(known, ", "))
}

// Suggest returns the known word with the smallest edit distance to word,
// ignoring case, or an empty string if none is near enough to be a typo.
func Suggest(word string, known []string) string {
	sorted := append([]string(nil), known...)
	sort.Strings(sorted)
	best, bestDistance := "", min(_maxTypoDistance, len(word)/2)+1
	for _, k := range sorted {
		if dist := editDistance(strings.ToLower(word), strings.ToLower(k)); dist < bestDistance {
			best, bestDistance = k, dist
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two words in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			diagonal, row[j] = row[j], min(row[j]+1, row[j-1]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
