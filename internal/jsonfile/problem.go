// Package jsonfile parses JSON with comments into typed values and reports all
// problems of a file at once, each with its position. It performs no I/O.
package jsonfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a position in a file. Lines and columns start at 1 and columns
// count bytes, as in the messages of the Go tools. Line 0 means that only the
// file is known.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns "file:line:column", or the file alone if the line is unknown.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Problem is one error or warning about a file. A warning does not make the file
// invalid.
type Problem struct {
	Position
	Field   string // path of the field, such as "routes[2].timeout"; empty for the whole file
	Message string
	Warning bool
}

// String returns "file:line:column: field: message", with "warning" before the message
// of a warning.
func (p Problem) String() string {
	parts := make([]string, 0, 4)
	if position := p.Position.String(); position != "" {
		parts = append(parts, position)
	}
	if p.Field != "" {
		parts = append(parts, p.Field)
	}
	if p.Warning {
		parts = append(parts, "warning")
	}
	return strings.Join(append(parts, p.Message), ": ")
}

// Problems is a list of errors and warnings. Sort orders them by file and position.
type Problems []Problem

// Error implements error with one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Errors returns the problems that are not warnings.
func (ps Problems) Errors() Problems {
	return slices.DeleteFunc(slices.Clone(ps), func(p Problem) bool { return p.Warning })
}

// Sort orders the problems by file, position, field and message.
func (ps Problems) Sort() {
	slices.SortFunc(ps, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Field, b.Field),
			cmp.Compare(a.Message, b.Message),
		)
	})
}
