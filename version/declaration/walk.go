package declaration

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// walker checks a YAML tree against the Go type that it will be decoded into, and
// collects all mismatches. The YAML decoder would report only the first one.
type walker struct {
	file     string
	problems Problems
}

var durationType = reflect.TypeFor[time.Duration]()

// report adds a problem at the line of a node.
func (w *walker) report(n ast.Node, field, format string, args ...any) {
	line := 0
	if n != nil && n.GetToken() != nil {
		line = n.GetToken().Position.Line
	}
	w.problems = append(w.problems, Problem{File: w.file, Line: line, Field: field, Message: fmt.Sprintf(format, args...)})
}

// walk checks a node and its children. An absent or null value is valid and is decoded
// as the zero value.
func (w *walker) walk(n ast.Node, t reflect.Type, field string) {
	if n == nil || n.Type() == ast.NullType {
		return
	}
	switch {
	case n.Type() == ast.AnchorType || n.Type() == ast.AliasType || n.Type() == ast.TagType:
		w.report(n, field, "anchors, aliases and tags are not supported: write the value itself")
	case t == durationType:
		w.checkDuration(n, field)
	case t.Kind() == reflect.Struct:
		w.checkMapping(n, t, field)
	case t.Kind() == reflect.Slice:
		w.checkSequence(n, t, field)
	default:
		w.checkScalar(n, t, field)
	}
}

func (w *walker) checkDuration(n ast.Node, field string) {
	s, ok := n.(*ast.StringNode)
	if !ok {
		w.report(n, field, "%s is no duration: write it with a unit, for example 800ms or 2h", n)
		return
	}
	if _, err := time.ParseDuration(s.Value); err != nil {
		w.report(n, field, "%q is no duration: write for example 800ms or 2h", s.Value)
	}
}

func (w *walker) checkScalar(n ast.Node, t reflect.Type, field string) {
	var ok bool
	var want string
	switch t.Kind() {
	case reflect.String:
		_, ok = n.(*ast.StringNode)
		want = "a string: put it in quotes if it looks like a number"
	case reflect.Bool:
		_, ok = n.(*ast.BoolNode)
		want = "true or false"
	case reflect.Float64:
		_, isInt := n.(*ast.IntegerNode)
		_, isFloat := n.(*ast.FloatNode)
		ok, want = isInt || isFloat, "a number"
	default:
		ok, want = isInt64(n), "an integer"
	}
	if !ok {
		w.report(n, field, "%s is not %s", oneLine(n), want)
	}
}

// isInt64 reports whether a node is an integer that fits into an int64.
func isInt64(n ast.Node) bool {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		return false
	}
	v := reflect.ValueOf(i.Value)
	return v.CanInt() || v.CanUint() && v.Uint() < 1<<63
}

func (w *walker) checkSequence(n ast.Node, t reflect.Type, field string) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		w.report(n, field, "this is not a list: start each entry with a dash")
		return
	}
	for i, item := range s.Values {
		w.walk(item, t.Elem(), fmt.Sprintf("%s[%d]", field, i))
	}
}

func (w *walker) checkMapping(n ast.Node, t reflect.Type, field string) {
	entries, ok := mappingEntries(n)
	if !ok {
		w.report(n, field, "this is not a mapping: write fields as name: value")
		return
	}
	known := fieldsOf(t)
	seen := make(map[string]bool, len(entries))
	for _, e := range entries {
		name := e.Key.String()
		child, ok := known[name]
		switch {
		case !ok:
			w.report(e.Key, join(field, name), "unknown field: use one of %s", strings.Join(fieldNames(known), ", "))
		case seen[name]:
			w.report(e.Key, join(field, name), "duplicate field: keep one")
		default:
			w.walk(e.Value, child, join(field, name))
		}
		seen[name] = true
	}
}

// mappingEntries returns the entries of a mapping node. It reports false for other nodes.
func mappingEntries(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	default:
		return nil, false
	}
}

// fieldsOf returns the YAML names and types of a struct's fields.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		if name, _, _ := strings.Cut(f.Tag.Get("yaml"), ","); name != "" && name != "-" {
			fields[name] = f.Type
		}
	}
	return fields
}

func fieldNames(fields map[string]reflect.Type) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

// maxQuoted is the maximum length in bytes of a value that is quoted in a message.
const maxQuoted = 60

// oneLine returns the text of a node quoted, on one line and at most maxQuoted long.
func oneLine(n ast.Node) string {
	text := strings.Join(strings.Fields(n.String()), " ")
	if len(text) > maxQuoted {
		text = text[:maxQuoted] + "..."
	}
	return fmt.Sprintf("%q", text)
}
