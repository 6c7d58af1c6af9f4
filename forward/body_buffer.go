package forward

import (
	"io"
	"sync/atomic"

	"github.com/bilberrydeck/bilberrydeck/core/holding"
)

const (
	// minBodyBuffer is the size in bytes of the first buffer for a body of unknown length.
	minBodyBuffer = 8 << 10
	// maxUnreservedBuffer is the maximum size in bytes of a buffer without a reservation. Most bodies
	// fit into it. A larger buffer is allocated only as the body arrives, whatever length it announces.
	maxUnreservedBuffer = 64 << 10
	// smallBuffer is the size in bytes up to which a buffer is granted while larger ones are not.
	smallBuffer = 16 << 10
)

// bodyBuffer is the beginning of a body, or all of it.
type bodyBuffer struct {
	bytes    []byte
	complete bool
	refused  bool  // there was no room for the rest
	maxSize  int64 // of bytes
	budget   *bufferBudget
	reserved int64 // bytes of the budget
	holder   *holding.Holder
	held     atomic.Int64 // bytes charged to the holder
}

// readRequestBody reads the body of a request like readBuffered. Without room for it, refused is set.
func readRequestBody(from io.Reader, length int64, holder *holding.Holder) (*bodyBuffer, error) {
	b := newBodyBuffer(length, nil, holder)
	if size := b.firstSize(length); b.hold(size) {
		b.bytes = make([]byte, 0, size)
	} else {
		b.refused = true
		return b, nil
	}
	return b, b.fill(from)
}

// readBuffered reads a body of the given length, -1 if unknown, up to maxBufferedBody or until the
// budget or the holder has no more room. The buffer doubles as it fills, so that all its versions together
// take no more than twice its size. The caller must release the buffer, also after an error.
func readBuffered(from io.Reader, length int64, budget *bufferBudget, holder *holding.Holder) (*bodyBuffer, error) {
	b := newBodyBuffer(length, budget, holder)
	size := b.firstSize(length)
	if !b.hold(size) {
		size = min(size, minBodyBuffer)
		holder.Force(size)
		b.held.Add(size)
	}
	b.bytes = make([]byte, 0, size)
	return b, b.fill(from)
}

func newBodyBuffer(length int64, budget *bufferBudget, holder *holding.Holder) *bodyBuffer {
	b := &bodyBuffer{maxSize: maxBufferedBody, budget: budget, holder: holder}
	if length >= 0 {
		b.maxSize = min(length+1, maxBufferedBody) // leaves room to read the end of the body
	}
	return b
}

// firstSize returns the size of the first buffer of a body.
func (b *bodyBuffer) firstSize(length int64) int64 {
	if length >= 0 {
		return min(b.maxSize, maxUnreservedBuffer)
	}
	return minBodyBuffer
}

// hold charges memory to the holder. It reports false if there is no room.
func (b *bodyBuffer) hold(n int64) bool {
	granted := b.held.Load()+n <= smallBuffer && b.holder.ReserveSmall(n) || b.holder.Reserve(n)
	if granted {
		b.held.Add(n)
	}
	return granted
}

// fill reads the body into the buffer, which it grows.
func (b *bodyBuffer) fill(from io.Reader) error {
	for {
		if len(b.bytes) == cap(b.bytes) && !b.grow() {
			return nil
		}
		n, err := from.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == io.EOF {
			b.complete = true
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow doubles the buffer. It reports false at the maximum size and if there is no room.
func (b *bodyBuffer) grow() bool {
	size := min(2*int64(cap(b.bytes)), b.maxSize)
	if size == int64(cap(b.bytes)) {
		return false
	}
	if !b.hold(size - int64(cap(b.bytes))) {
		b.refused = true
		return false
	}
	if size > maxUnreservedBuffer && b.budget != nil {
		more := size - b.reserved
		if !b.budget.reserve(more) {
			b.holder.Release(size - int64(cap(b.bytes)))
			b.held.Add(int64(cap(b.bytes)) - size)
			return false
		}
		b.reserved += more
	}
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	return true
}

// release drops the buffered bytes and returns the reservation.
func (b *bodyBuffer) release() {
	if b.budget != nil {
		b.budget.release(b.reserved)
	}
	b.bytes, b.reserved = nil, 0
	b.giveBack()
}

// giveBack returns what is charged to the holder. Unlike release, it may be called while the buffer is
// read, on nil, and more than once.
func (b *bodyBuffer) giveBack() {
	if b != nil {
		b.holder.Release(b.held.Swap(0))
	}
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
