package declaration

import (
	"fmt"
	"strings"

	"heatherhub.example/heatherhub"
)

// Problem is one error in a declaration.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1. It is 0 for an error that has no line, such as one of the
	// set as a whole.
	Line  int    `json:"line"`
	Field string `json:"field"`
	// Message describes the error and the remedy.
	Message string `json:"message"`
}

// String returns the problem as file:line: field: message, without the empty parts.
func (p Problem) String() string {
	location := p.File
	if p.Line > 0 {
		location = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	parts := make([]string, 0, 3)
	for _, part := range []string{location, p.Field, p.Message} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}

// Problems contains all errors of a directory. Syntax and field errors are in order of
// file and line.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns a summary, so that the code of the error is heatherhub.CodeInvalid.
func (p Problems) Unwrap() error {
	return heatherhub.ErrInvalid.New("%d errors in the declarations: fix each listed line", len(p))
}

// asError returns the problems as an error, or nil if there are none.
func (p Problems) asError() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
