// Package output prints lists and single objects: as an aligned table on a terminal,
// as tab-separated lines otherwise, or as JSON with selected fields.
//
// # Usage
//
//	columns := []output.Column[Job]{
//		{Name: "id", Value: func(j Job) any { return j.ID }},
//		{Name: "state", Value: func(j Job) any { return j.State }},
//	}
//	err := output.Print(io, output.Format{JSON: opts.JSON}, columns, jobs)
//
// Column names are the JSON field names. A column that is marked JSONOnly is left out
// of the table.
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

// columnGap is the space between two table columns, in characters.
const columnGap = 2

// Column is one field of the printed objects.
type Column[T any] struct {
	// Name is the JSON field name, in camel case. Table headers show it in capitals.
	Name  string
	Value func(T) any
	// JSONOnly columns are left out of tables.
	JSONOnly bool
}

// Format holds the output options, to be embedded in the options of a command.
type Format struct {
	// JSON lists the selected fields, separated by commas, or "all"; empty prints a
	// table.
	JSON string `arg:"--json" placeholder:"FIELDS" help:"print JSON with these fields, separated by commas, or all"`
}

// Print writes a list. A field name that no column has is a usage error.
func Print[T any](s *streams.IO, f Format, columns []Column[T], rows []T) error {
	if f.JSON != "" {
		return printJSON(s.Out, f.JSON, columns, rows)
	}
	return printTable(s, columns, rows)
}

// PrintOne writes one object: one line per field, or a JSON object.
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

// writeTruncated writes lines cut to the terminal width; a cut line ends with "…".
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

// flusher is implemented by tabwriter.Writer and plainWriter.
type flusher interface {
	io.Writer
	Flush() error
}

// plainWriter writes without buffering or alignment.
type plainWriter struct{ io.Writer }

// Flush implements flusher; nothing is buffered.
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

// selectColumns returns the columns with the given comma-separated names, or all
// columns for "all".
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

// StringSlice converts a list of a string type to []string.
func StringSlice[T ~string](list []T) []string {
	out := make([]string, len(list))
	for i, t := range list {
		out[i] = string(t)
	}
	return out
}

// StringerSlice calls String on each value of a list.
func StringerSlice[T fmt.Stringer](list []T) []string {
	out := make([]string, len(list))
	for i, v := range list {
		out[i] = v.String()
	}
	return out
}

// Duration formats a duration as in declarations, for example 1m30s; zero is the empty
// string.
func Duration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// formatCell formats a value for a table cell: lists are joined by commas, empty values
// become a dash, and tabs and newlines become spaces.
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
