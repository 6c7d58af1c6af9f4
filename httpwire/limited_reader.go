package httpwire

import (
	"bytes"
	"io"
)

// limitedReader limits the number of bytes that are read for one head, and the number of its lines:
// each header takes much more memory than its bytes.
type limitedReader struct {
	src       io.Reader
	total     int64 // bytes read so far
	remaining int   // noLimit for no limit
	exceeded  bool  // a read was attempted at a limit
	lines     lineCounter
}

// noLimit is the value of limitedReader.remaining without a limit.
const noLimit = -1

// setLimit limits the number of bytes. buffered of them have been read before: whether the rest of
// the input is within the limit must not depend on the parts in which it arrives. It removes the limit
// of lines.
func (l *limitedReader) setLimit(n, buffered int) {
	l.remaining, l.exceeded, l.lines = max(n-buffered, 0), false, lineCounter{}
}

// limitLines limits the number of lines of the next head. buffered is the part of it that has been read
// before.
func (l *limitedReader) limitLines(n int, buffered []byte) {
	l.lines = lineCounter{limit: n}
	l.lines.count(buffered)
}

func (l *limitedReader) clearLimit() { l.remaining, l.lines = noLimit, lineCounter{} }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining == 0 || l.lines.exceeded() {
		l.exceeded = true
		return 0, io.EOF
	}
	if l.remaining > 0 && len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.src.Read(p)
	l.total += int64(n)
	if l.remaining > 0 {
		l.remaining -= n
	}
	l.lines.count(p[:n])
	return n, err
}

// lineCounter counts the lines of a head up to the empty line at its end. Without a limit it counts
// nothing.
type lineCounter struct {
	limit   int
	lines   int
	partial int  // bytes of the last line so far, without a carriage return
	ended   bool // the empty line was read
}

func (c *lineCounter) exceeded() bool { return c.limit > 0 && c.lines >= c.limit && !c.ended }

func (c *lineCounter) count(p []byte) {
	for c.limit > 0 && !c.ended && !c.exceeded() && len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			c.partial += len(bytes.TrimSuffix(p, []byte{'\r'}))
			return
		}
		c.partial += len(bytes.TrimSuffix(p[:end], []byte{'\r'}))
		c.ended = c.partial == 0 && c.lines > 0 // empty lines before the first one do not end a head
		c.lines++
		c.partial = 0
		p = p[end+1:]
	}
}
