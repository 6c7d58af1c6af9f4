// Package explain explains the outcome of a request from logs. It collects the lines
// about the request from the logs of several processes, orders them by time and names
// the likely causes of the outcome.
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
	Depth  int    // number of calls from the explained request down to the request of this line
	Source string // prefix of the line, such as the name of a VM, or else the name of the log
	At     time.Time
	Level  string
	Event  string
	Fields map[string]string
	Order  int // position in its log
}

// Field returns the value of a field, empty if the line does not have it.
func (l *Line) Field(name string) string { return l.Fields[name] }

// Duration returns a field that holds an integer number of units, 0 if it does not.
func (l *Line) Duration(name string, unit time.Duration) time.Duration {
	n, err := strconv.ParseInt(l.Fields[name], 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * unit
}

// maxLineBytes is the maximum length of a line. ReadLog returns bufio.ErrTooLong for a longer
// one.
const maxLineBytes = 1 << 20

// ReadLog calls each for the lines of a log in key=value format and returns the number of
// lines that cannot be parsed. The last word before the first pair of a line, such as the
// name of a VM, becomes its source.
func ReadLog(source string, r io.Reader, each func(*Line)) (unreadable int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
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

// parseLine parses a line. Its first pair must have the key time.
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

// parsePairs parses key=value pairs. Values with spaces are quoted.
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
