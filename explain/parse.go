// Package explain finds out from logs what became of a request: it collects the
// lines of several processes that concern it, orders them and names the likely
// cause of its end.
package explain

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	Depth  int    // calls between the request that is explained and the one of this line
	Source string // what stood before the line, such as the name of a VM, or the file
	At     time.Time
	Level  string
	Event  string
	Fields map[string]string
	Order  int // position in its file
}

// Field returns a field, empty if the line has none of that name.
func (l *Line) Field(name string) string { return l.Fields[name] }

// Duration returns a field that holds a number of units.
func (l *Line) Duration(name string, unit time.Duration) time.Duration {
	n, err := strconv.ParseInt(l.Fields[name], 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * unit
}

// maxLine bounds one line; longer ones are cut by their writer.
const maxLine = 1 << 20

// ReadLog calls each for the lines of a log in key=value form and returns the
// number of lines that cannot be read. What stands before the first pair of a
// line, such as the name of a VM, becomes its source.
func ReadLog(source string, r io.Reader, each func(*Line)) (unreadable int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for order := 0; scanner.Scan(); order++ {
		text := scanner.Text()
		if strings.TrimSpace(text) == "" {
			continue
		}
		l, ok := parseLine(source, text)
		if !ok {
			unreadable++
			continue
		}
		l.Order = order
		each(l)
	}
	return unreadable, scanner.Err()
}

const firstKey = "time="

func parseLine(source, text string) (*Line, bool) {
	at := strings.Index(text, firstKey)
	if at < 0 {
		return nil, false
	}
	if prefix := strings.Fields(text[:at]); len(prefix) > 0 {
		source = prefix[len(prefix)-1]
	}
	fields, ok := parsePairs(text[at:])
	if !ok {
		return nil, false
	}
	when, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil {
		return nil, false
	}
	l := &Line{Source: source, At: when, Level: fields["level"], Event: fields["event"], Fields: fields}
	for _, used := range []string{"time", "level", "event"} {
		delete(fields, used)
	}
	return l, true
}

// parsePairs reads key=value pairs; values with spaces are quoted.
func parsePairs(text string) (map[string]string, bool) {
	fields := map[string]string{}
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimLeft(text, " ") {
		key, rest, ok := strings.Cut(text, "=")
		if !ok || key == "" || strings.ContainsAny(key, " \"") {
			return nil, false
		}
		if !strings.HasPrefix(rest, `"`) {
			value, after, _ := strings.Cut(rest, " ")
			fields[key], text = value, after
			continue
		}
		quoted, err := strconv.QuotedPrefix(rest)
		if err != nil {
			return nil, false
		}
		value, err := strconv.Unquote(quoted)
		if err != nil {
			return nil, false
		}
		fields[key], text = value, rest[len(quoted):]
	}
	return fields, true
}
