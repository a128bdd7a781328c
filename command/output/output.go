// Package output prints what commands list: a table on a terminal, tab-separated
// lines in a pipe, and JSON with chosen fields.
//
// # Usage
//
//	columns := []output.Column[Job]{
//		{Name: "id", Value: func(j Job) any { return j.ID }},
//		{Name: "state", Value: func(j Job) any { return j.State }},
//	}
//	err := output.Print(io, output.Format{JSON: opts.JSON}, columns, jobs)
//
// The names of the columns are the names of the JSON fields. A column that is
// marked Wide is in JSON and not in the table.
package output

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/command/streams"
)

// columnGap is the space between two columns of a table.
const columnGap = 2

// Column is one field of a listed thing.
type Column[T any] struct {
	// Name is the JSON name, in camel case.
	Name  string
	Value func(T) any
	// JSONOnly columns stand in JSON alone.
	JSONOnly bool
}

// Format is the form that the user asked for.
type Format struct {
	// JSON names the wanted fields, separated by commas; empty for a table.
	JSON string `arg:"--json" placeholder:"FIELDS" help:"print JSON with these fields, separated by commas, or all"`
}

// Print writes a list.
func Print[T any](s *streams.IO, f Format, columns []Column[T], rows []T) error {
	if f.JSON != "" {
		return printJSON(s.Out, f.JSON, columns, rows)
	}
	return printTable(s, columns, rows)
}

// PrintOne writes one thing: field by field, or as one JSON object.
func PrintOne[T any](s *streams.IO, f Format, columns []Column[T], row T) error {
	if f.JSON != "" {
		selected, err := selectColumns(f.JSON, columns)
		if err != nil {
			return err
		}
		return encodeJSON(s.Out, toObject(selected, row))
	}
	w := newWriter(s)
	for _, c := range columns {
		if !c.JSONOnly {
			fmt.Fprintf(w, "%s\t%s\n", c.Name, formatCell(c.Value(row)))
		}
	}
	return w.Flush()
}

func printTable[T any](s *streams.IO, columns []Column[T], rows []T) error {
	if !s.IsTerminal {
		return writeRows(plainWriter{s.Out}, columns, rows)
	}
	var table bytes.Buffer
	w := newTabWriter(&table)
	fmt.Fprintln(w, strings.Join(headers(columns), "\t"))
	if err := writeRows(w, columns, rows); err != nil {
		return err
	}
	return writeTruncated(s, table.String())
}

// writeCut writes lines, cut to the width of the terminal.
func writeTruncated(s *streams.IO, text string) error {
	for line := range strings.Lines(text) {
		if runes := []rune(strings.TrimRight(line, " \n")); s.Width > 1 && len(runes) > s.Width {
			line = string(runes[:s.Width-1]) + "…\n"
		}
		if _, err := io.WriteString(s.Out, line); err != nil {
			return err
		}
	}
	return nil
}

func writeRows[T any](w flusher, columns []Column[T], rows []T) error {
	for _, row := range rows {
		cells := make([]string, 0, len(columns))
		for _, c := range columns {
			if !c.JSONOnly {
				cells = append(cells, formatCell(c.Value(row)))
			}
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

// flusher is what tabwriter and the plain writer have in common.
type flusher interface {
	io.Writer
	Flush() error
}

type plainWriter struct{ io.Writer }

// Flush does nothing: a plain writer holds nothing back.
func (plainWriter) Flush() error { return nil }

func newWriter(s *streams.IO) flusher {
	if s.IsTerminal {
		return newTabWriter(s.Out)
	}
	return plainWriter{s.Out}
}

func newTabWriter(w io.Writer) flusher {
	return tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
}

func headers[T any](columns []Column[T]) []string {
	var names []string
	for _, c := range columns {
		if !c.JSONOnly {
			names = append(names, strings.ToUpper(c.Name))
		}
	}
	return names
}

func printJSON[T any](w io.Writer, fields string, columns []Column[T], rows []T) error {
	selected, err := selectColumns(fields, columns)
	if err != nil {
		return err
	}
	list := make([]map[string]any, 0, len(rows))
	for _, row := range rows {
		list = append(list, toObject(selected, row))
	}
	return encodeJSON(w, list)
}

func toObject[T any](columns []Column[T], row T) map[string]any {
	o := make(map[string]any, len(columns))
	for _, c := range columns {
		o[c.Name] = c.Value(row)
	}
	return o
}

func encodeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// choose returns the columns with the given names. "all" chooses every one.
func selectColumns[T any](fields string, columns []Column[T]) ([]Column[T], error) {
	if fields == "all" {
		return columns, nil
	}
	var selected []Column[T]
	for _, name := range strings.Split(fields, ",") {
		c, ok := findColumn(columns, strings.TrimSpace(name))
		if !ok {
			return nil, exitcode.UsageErrorf("unknown JSON field %q: use all, or some of %s", name, columnNames(columns))
		}
		selected = append(selected, c)
	}
	return selected, nil
}

func findColumn[T any](columns []Column[T], name string) (Column[T], bool) {
	for _, c := range columns {
		if c.Name == name {
			return c, true
		}
	}
	return Column[T]{}, false
}

func columnNames[T any](columns []Column[T]) string {
	list := make([]string, len(columns))
	for i, c := range columns {
		list[i] = c.Name
	}
	return strings.Join(list, ", ")
}

// StringSlice returns a list of named texts as plain ones.
func StringSlice[T ~string](list []T) []string {
	out := make([]string, len(list))
	for i, t := range list {
		out[i] = string(t)
	}
	return out
}

// StringerSlice returns the text of each value of a list.
func StringerSlice[T fmt.Stringer](list []T) []string {
	out := make([]string, len(list))
	for i, v := range list {
		out[i] = v.String()
	}
	return out
}

// Duration returns a duration as declarations write it, and nothing for zero.
func Duration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// text returns a value for a table: lists joined, nothing as a dash.
func formatCell(v any) string {
	switch t := v.(type) {
	case nil:
		return "-"
	case []string:
		if len(t) == 0 {
			return "-"
		}
		return strings.Join(t, ",")
	default:
		s := strings.NewReplacer("\t", " ", "\n", " ").Replace(fmt.Sprint(v))
		if s == "" {
			return "-"
		}
		return s
	}
}
