package jsonfile

import (
	"fmt"
	"regexp"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxSize is the maximum size of a file in bytes. The parser is recursive, so it also
// limits the depth of the stack for a malicious document.
const MaxSize = 256 << 10

// File is a parsed file with the problems and field positions found so far.
type File struct {
	name       string
	src        []byte
	lineStarts []int // offset of the first byte of each line
	problems   Problems
	positions  map[string]Position
}

// Open parses a file and returns it with its top-level object. The object is
// nil if the file is too large, is not valid JSON with comments or its value is not an
// object; the problem is then recorded in the file.
func Open(name string, src []byte) (*File, *Object) {
	f := &File{name: name, src: src, lineStarts: lineOffsets(src), positions: map[string]Position{}}
	if len(src) > MaxSize {
		f.report(Position{File: name}, "", "is larger than %d KiB", MaxSize>>10)
		return f, nil
	}
	value, err := hujson.Parse(src)
	if err != nil {
		f.reportSyntaxError(err)
		return f, nil
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		f.report(f.position(value.StartOffset), "", "must hold an object, holds %s", kindName(value.Value))
		return f, nil
	}
	return f, newObject(f, "", value.StartOffset, object)
}

// Problems returns all problems found so far, sorted by position.
func (f *File) Problems() Problems {
	f.problems.Sort()
	return f.problems
}

// Positions returns the position of each field that was read, by field path.
func (f *File) Positions() map[string]Position { return f.positions }

// Report records a problem of the field with the given path.
func (f *File) Report(field, format string, args ...any) {
	f.report(f.At(field), field, format, args...)
}

// At returns the position of a field, or of the innermost enclosing field that was read.
func (f *File) At(field string) Position {
	return Locate(f.positions, f.name, field)
}

// Locate returns the position of a field, or of the innermost enclosing field that has
// one, or the file alone if there is none.
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

// position converts an offset in bytes to a position.
func (f *File) position(offset int) Position {
	line := sort.SearchInts(f.lineStarts, offset+1)
	return Position{File: f.name, Line: line, Column: offset - f.lineStarts[line-1] + 1}
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

// syntaxErrorPattern extracts the position and the message from a hujson error.
var syntaxErrorPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func (f *File) reportSyntaxError(err error) {
	at := Position{File: f.name}
	message := err.Error()
	if m := syntaxErrorPattern.FindStringSubmatch(message); m != nil {
		_, _ = fmt.Sscan(m[1]+" "+m[2], &at.Line, &at.Column) // both are digits, as syntaxErrorPattern matches
		message = m[3]
	}
	f.report(at, "", "syntax: %s", message)
}

// kindName returns the JSON type of a value with its article, for messages.
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
