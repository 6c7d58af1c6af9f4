// Package logging writes key=value lines with phuslu/log and keeps the
// decision log, which never blocks the request path.
package logging

import (
	"io"
	"strconv"
	"sync"

	"github.com/phuslu/log"
)

// Logger is the logger that all bindings take.
type Logger = log.Logger

// New returns a logger that writes one key=value line per event to w. It is
// safe for concurrent use if w is.
func New(w io.Writer) *Logger {
	return newLogger(&log.ConsoleWriter{Formatter: writeKeyValues, Writer: w}, w)
}

// timeFormat is the form of times in all lines.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func newLogger(w log.Writer, output io.Writer) *Logger {
	return &log.Logger{Level: log.InfoLevel, TimeFormat: timeFormat, Writer: &outputWriter{w, output}}
}

// outputWriter remembers where the lines of a logger go in the end.
type outputWriter struct {
	log.Writer
	output io.Writer
}

// outputOf is where the lines of a logger go in the end.
func outputOf(l *Logger) io.Writer {
	if w, ok := l.Writer.(*outputWriter); ok {
		return w.output
	}
	return io.Discard // a logger that this package has not made
}

var lines = sync.Pool{New: func() any { b := make([]byte, 0, 512); return &b }}

// processQueue is the number of lines that may wait for a slow reader of the
// output of a process.
const processQueue = 8192

// NewProcess returns a logger for the output of a process, and a function that
// writes what is queued. It never blocks: lines that a slow reader leaves no room
// for are dropped.
func NewProcess(w io.Writer) (*Logger, func()) {
	queue := &log.AsyncWriter{ChannelSize: processQueue, DiscardOnFull: true, Writer: &log.ConsoleWriter{Formatter: writeKeyValues, Writer: w}}
	return newLogger(queue, w), func() { _ = queue.Close() } // nothing can be done about lines that cannot be written
}

// writeKeyValues formats one event. The library's own logfmt formatter leaves
// the message without a key.
func writeKeyValues(w io.Writer, args *log.FormatterArgs) (int, error) {
	pooled := lines.Get().(*[]byte)
	defer lines.Put(pooled)
	buf := appendPair((*pooled)[:0], "time", args.Time)
	buf = appendPair(buf, "level", args.Level)
	if args.Message != "" {
		buf = appendPair(buf, "event", args.Message)
	}
	for _, kv := range args.KeyValues {
		buf = appendPair(buf, kv.Key, kv.Value)
	}
	buf[len(buf)-1] = '\n'
	*pooled = buf
	return w.Write(buf)
}

func appendKey(buf []byte, key string) []byte {
	return append(append(buf, key...), '=')
}

// appendPair appends a field and a space.
func appendPair(buf []byte, key, value string) []byte {
	buf = appendKey(buf, key)
	if needsQuotes(value) {
		buf = strconv.AppendQuote(buf, value)
	} else {
		buf = append(buf, value...)
	}
	return append(buf, ' ')
}

// needsQuotes reports whether a value would break the key=value form. Callers
// choose request ids and paths, so control characters must not start a line.
func needsQuotes(value string) bool {
	for i := range len(value) {
		if c := value[i]; c <= ' ' || c == '"' || c == '=' || c >= 0x7f {
			return true
		}
	}
	return value == ""
}
