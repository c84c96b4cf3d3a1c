package measure

import (
	"fmt"
	"reflect"
	"strings"
)

// Text formats a list of structs as a table, and a struct as lines of "name value", where name is the JSON
// tag of a field, with one indented block for each element of a list of structs.
func Text(result any) string {
	var b strings.Builder
	v := reflect.ValueOf(result)
	if v.Kind() == reflect.Slice {
		writeTable(&b, v)
	} else {
		writeText(&b, v, "")
	}
	return b.String()
}

// writeTable writes a list of structs as a table, with the JSON tags of the fields as headers.
func writeTable(b *strings.Builder, rows reflect.Value) {
	t := rows.Type().Elem()
	for i := range t.NumField() {
		fmt.Fprintf(b, "%-14s", t.Field(i).Tag.Get("json"))
	}
	b.WriteByte('\n')
	for n := range rows.Len() {
		for i := range t.NumField() {
			if field := rows.Index(n).Field(i); field.Kind() == reflect.Float64 {
				fmt.Fprintf(b, "%-14.4g", field.Float())
			} else {
				fmt.Fprintf(b, "%-14v", field.Interface())
			}
		}
		b.WriteByte('\n')
	}
}

func writeText(b *strings.Builder, v reflect.Value, indent string) {
	t := v.Type()
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == "" {
			continue
		}
		field := v.Field(i)
		switch {
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
			for j := range field.Len() {
				fmt.Fprintf(b, "%s%s %d\n", indent, name, j+1)
				writeText(b, field.Index(j), indent+"  ")
			}
		case field.Kind() == reflect.Float64:
			fmt.Fprintf(b, "%s%-28s %.4g\n", indent, name, field.Float())
		default:
			fmt.Fprintf(b, "%s%-28s %v\n", indent, name, field.Interface())
		}
	}
}
