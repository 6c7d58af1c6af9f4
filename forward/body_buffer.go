package forward

import "io"

const (
	// minBodyBuffer is the size in bytes of the first buffer for a body of unknown length.
	minBodyBuffer = 8 << 10
	// maxUnreservedBuffer is the maximum size in bytes of a buffer without a reservation. Most bodies
	// fit into it. A larger buffer is allocated only as the body arrives, whatever length it announces.
	maxUnreservedBuffer = 64 << 10
)

// bodyBuffer is the beginning of a body, or all of it.
type bodyBuffer struct {
	bytes    []byte
	complete bool
	maxSize  int64 // of bytes
	budget   *bufferBudget
	reserved int64 // bytes of the budget
}

// readBuffered reads a body of the given length, -1 if unknown, up to maxBufferedBody or until the
// budget has no more room. The buffer doubles as it fills, so that all its versions together take no
// more than twice its size. The caller must release the buffer, also after an error.
func readBuffered(from io.Reader, length int64, budget *bufferBudget) (*bodyBuffer, error) {
	b := &bodyBuffer{maxSize: maxBufferedBody, budget: budget}
	size := int64(minBodyBuffer)
	if length >= 0 {
		b.maxSize = min(length+1, maxBufferedBody) // leaves room to read the end of the body
		size = min(b.maxSize, maxUnreservedBuffer)
	}
	b.bytes = make([]byte, 0, size)
	for {
		if len(b.bytes) == cap(b.bytes) && !b.grow() {
			return b, nil
		}
		n, err := from.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == io.EOF {
			b.complete = true
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}

// grow doubles the buffer. It reports false at the maximum size and if the budget has no room.
func (b *bodyBuffer) grow() bool {
	size := min(2*int64(cap(b.bytes)), b.maxSize)
	if size == int64(cap(b.bytes)) {
		return false
	}
	if size > maxUnreservedBuffer {
		more := size - b.reserved
		if !b.budget.reserve(more) {
			return false
		}
		b.reserved += more
	}
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	return true
}

// release drops the buffered bytes and returns the reservation.
func (b *bodyBuffer) release() {
	b.budget.release(b.reserved)
	b.bytes, b.reserved = nil, 0
}

// Read implements io.Reader: it consumes the buffered bytes, and releases the buffer at their end.
func (b *bodyBuffer) Read(p []byte) (int, error) {
	if len(b.bytes) == 0 {
		b.release()
		return 0, io.EOF
	}
	n := copy(p, b.bytes)
	b.bytes = b.bytes[n:]
	return n, nil
}
