// Package logging writes key=value lines with phuslu/log and keeps the
// decision log, which never blocks the request path.
package logging

import (
	"io"
	"strconv"
	"sync"

	"github.com/phuslu/log"
)

// Logger is the logger of all packages.
type Logger = log.Logger

// New returns a logger that writes one key=value line per event to w. It is safe for
// concurrent use if w is.
func New(w io.Writer) *Logger {
	return newLogger(&log.ConsoleWriter{Formatter: writeKeyValues, Writer: w}, w)
}

// timeFormat is the format of the time in all lines.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func newLogger(w log.Writer, output io.Writer) *Logger {
	return &log.Logger{Level: log.InfoLevel, TimeFormat: timeFormat, Writer: &destinationWriter{w, output}}
}

// destinationWriter is the writer of a logger, with the writer to which its lines are finally
// written.
type destinationWriter struct {
	log.Writer
	output io.Writer
}

// destination returns the writer to which the lines of a logger are finally written.
func destination(l *Logger) io.Writer {
	if w, ok := l.Writer.(*destinationWriter); ok {
		return w.output
	}
	return io.Discard // the logger was not created by this package
}

var linePool = sync.Pool{New: func() any { b := make([]byte, 0, 512); return &b }}

// processQueueSize is the number of lines that are queued for a slow reader of a process's
// output.
const processQueueSize = 8192

// NewProcess returns a logger for the output of a process, and a function that writes the
// queued lines and closes it. The logger never blocks: lines are dropped while its queue is
// full.
func NewProcess(w io.Writer) (*Logger, func()) {
	queue := &log.AsyncWriter{ChannelSize: processQueueSize, DiscardOnFull: true, Writer: &log.ConsoleWriter{Formatter: writeKeyValues, Writer: w}}
	return newLogger(queue, w), func() { _ = queue.Close() } // there is nowhere to report lines that cannot be written
}

// writeKeyValues formats one event. The library's logfmt formatter is not used, since it writes
// the message without a key.
func writeKeyValues(w io.Writer, args *log.FormatterArgs) (int, error) {
	pooled := linePool.Get().(*[]byte)
	defer linePool.Put(pooled)
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

// appendPair appends key=value and a space. It quotes the value if necessary.
func appendPair(buf []byte, key, value string) []byte {
	buf = appendKey(buf, key)
	if needsQuotes(value) {
		buf = strconv.AppendQuote(buf, value)
	} else {
		buf = append(buf, value...)
	}
	return append(buf, ' ')
}

// needsQuotes reports whether an unquoted value would break the key=value format. Request ids
// and paths come from clients, so control characters in them must not start a new line.
func needsQuotes(value string) bool {
	for i := range len(value) {
		if c := value[i]; c <= ' ' || c == '"' || c == '=' || c >= 0x7f {
			return true
		}
	}
	return value == ""
}
