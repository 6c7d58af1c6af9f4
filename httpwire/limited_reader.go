package httpwire

import (
	"bytes"
	"io"

	"github.com/bilberrydeck/bilberrydeck/core/holding"
)

// limitedReader limits the number of bytes that are read for one head. It checks the head of a response,
// and limits the number of its lines: each header takes much more memory than its bytes.
type limitedReader struct {
	src       io.Reader
	total     int64 // bytes read so far
	remaining int   // noLimit for no limit
	exceeded  bool  // a read was attempted at a limit
	head      HeadScanner
	scanning  bool // the input is the head of a response

	holder  *holding.Holder // of the head of a request that is being read, nil outside of it
	held    int64           // for that head
	refused bool            // the holder had no room for the head
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

// holdHead charges the head of a request to a holder as it arrives: its lines take much more memory than
// its bytes. It reports false if there is no room for the part that has been read before.
func (l *limitedReader) holdHead(h *holding.Holder, buffered []byte) bool {
	l.holder, l.held, l.refused = h, 0, false
	return l.hold(buffered)
}

// releaseHead ends the charge of a head.
func (l *limitedReader) releaseHead() {
	l.holder.Release(l.held)
	l.holder = nil
}

func (l *limitedReader) hold(p []byte) bool {
	n := int64(len(p)) + int64(bytes.Count(p, []byte{'\n'}))*headerLineBytes
	l.refused = !l.holder.ReserveSmall(n)
	if !l.refused {
		l.held += n
	}
	return !l.refused
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
	if l.holder != nil {
		l.holder.Wait(holding.Receiving)
	}
	n, err := l.src.Read(p)
	if l.holder != nil {
		l.holder.Progress(holding.Receiving, n)
	}
	l.total += int64(n)
	if l.remaining > 0 {
		l.remaining -= n
	}
	if l.scanning {
		l.head.Scan(p[:n])
	}
	if l.holder != nil && !l.hold(p[:n]) {
		return 0, errNoRoomForHead
	}
	return n, err
}
