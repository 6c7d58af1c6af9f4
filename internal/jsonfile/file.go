package jsonfile

import (
	"fmt"
	"regexp"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxSize bounds a file. The parser is recursive, so the bound also limits
// the depth of its stack on a hostile document.
const MaxSize = 256 << 10

// File is a parsed file under examination.
type File struct {
	name      string
	src       []byte
	lines     []int // offset of the first byte of each line
	problems  Problems
	positions map[string]Position
}

// Open parses a file and returns it with its top-level object. The object is
// nil if the file is not valid JSON with comments or holds no object; the
// problem is then recorded in the file.
func Open(name string, src []byte) (*File, *Object) {
	f := &File{name: name, src: src, lines: lineOffsets(src), positions: map[string]Position{}}
	if len(src) > MaxSize {
		f.report(Position{File: name}, "", "is larger than %d KiB", MaxSize>>10)
		return f, nil
	}
	value, err := hujson.Parse(src)
	if err != nil {
		f.syntaxProblem(err)
		return f, nil
	}
	top, ok := value.Value.(*hujson.Object)
	if !ok {
		f.report(f.position(value.StartOffset), "", "must hold an object, holds %s", kindName(value.Value))
		return f, nil
	}
	return f, newObject(f, "", value.StartOffset, top)
}

// Problems returns all problems found so far in the order of their positions.
func (f *File) Problems() Problems {
	f.problems.Sort()
	return f.problems
}

// Positions returns the position of each field that was read, by path.
func (f *File) Positions() map[string]Position { return f.positions }

// Report records a problem of the field with the given path.
func (f *File) Report(field, format string, args ...any) {
	f.report(f.At(field), field, format, args...)
}

// At is the position of a field, or of the nearest enclosing one that was read.
func (f *File) At(field string) Position {
	return Locate(f.positions, f.name, field)
}

// Locate finds the position of a field or of the nearest enclosing one; the
// file alone if there is none.
func Locate(positions map[string]Position, file, field string) Position {
	for {
		if p, ok := positions[field]; ok {
			return p
		}
		if field == "" {
			return Position{File: file}
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
}

func (f *File) report(at Position, field, format string, args ...any) {
	f.problems = append(f.problems, Problem{Position: at, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (f *File) position(offset int) Position {
	line := sort.SearchInts(f.lines, offset+1)
	return Position{File: f.name, Line: line, Column: offset - f.lines[line-1] + 1}
}

func lineOffsets(src []byte) []int {
	offsets := []int{0}
	for i, c := range src {
		if c == '\n' {
			offsets = append(offsets, i+1)
		}
	}
	return offsets
}

var syntaxError = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func (f *File) syntaxProblem(err error) {
	at := Position{File: f.name}
	message := err.Error()
	if m := syntaxError.FindStringSubmatch(message); m != nil {
		_, _ = fmt.Sscan(m[1]+" "+m[2], &at.Line, &at.Column) // digits by the expression above
		message = m[3]
	}
	f.report(at, "", "syntax: %s", message)
}

func kindName(v hujson.ValueTrimmed) string {
	switch v.Kind() {
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '{':
		return "an object"
	}
	return "a list"
}
