package forward

import "sync/atomic"

// bufferBudget limits the memory that the buffered bodies of responses take together. A body that does
// not fit is forwarded while it is read: the client still gets all of it, but a failure in its middle
// can no longer be answered by a retry.
type bufferBudget struct{ available atomic.Int64 }

func newBufferBudget(bytes int64) *bufferBudget {
	b := &bufferBudget{}
	b.available.Store(bytes)
	return b
}

// reserve takes n bytes if they are available.
func (b *bufferBudget) reserve(n int64) bool {
	if b.available.Add(-n) >= 0 {
		return true
	}
	b.available.Add(n)
	return false
}

func (b *bufferBudget) release(n int64) { b.available.Add(n) }
