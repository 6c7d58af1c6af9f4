package httpwire

import "io"

// limitedReader limits the number of bytes that are read for one head. It checks the head of a response,
// and limits the number of its lines: each header takes much more memory than its bytes.
type limitedReader struct {
	src       io.Reader
	total     int64 // bytes read so far
	remaining int   // noLimit for no limit
	exceeded  bool  // a read was attempted at a limit
	head      HeadScanner
	scanning  bool // the input is the head of a response
}

// noLimit is the value of limitedReader.remaining without a limit.
const noLimit = -1

// setLimit limits the number of bytes. buffered of them have been read before: whether the rest of
// the input is within the limit must not depend on the parts in which it arrives. It ends the check of a
// head.
func (l *limitedReader) setLimit(n, buffered int) {
	l.remaining, l.exceeded, l.scanning = max(n-buffered, 0), false, false
}

// scanHead checks the next head of a response, which has at most maxLines lines. buffered is the part of it
// that has been read before.
func (l *limitedReader) scanHead(maxLines int, buffered []byte) {
	l.head, l.scanning = HeadScanner{maxLines: maxLines}, true
	l.head.Scan(buffered)
}

func (l *limitedReader) clearLimit() { l.remaining, l.scanning = noLimit, false }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining == 0 || l.scanning && l.head.exceedsLines() {
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
	if l.scanning {
		l.head.Scan(p[:n])
	}
	return n, err
}
