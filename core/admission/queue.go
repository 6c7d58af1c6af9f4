package admission

import (
	"math/bits"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// entry is a request that is queued or in flight.
type entry struct {
	req         Request
	arrivedAt   time.Time
	startedAt   time.Time
	serviceTime *serviceTime
	probeRound  int32 // round of the probeLimiter in which the entry is a sample, 0 for none
	highProbe   bool  // sample of the probe with the higher limit
	inFlight    bool
	next        *entry
	prev        *entry
}

const bitmapWords = (int(chain.NumPriorities) + 63) / 64

// fifo holds the entries of one priority, oldest first.
type fifo struct {
	head *entry
	tail *entry
}

// queue holds entries by priority. All operations but each take constant time: a bitmap finds the
// highest and the lowest priority with entries.
type queue struct {
	fifos    [chain.NumPriorities]fifo
	nonEmpty [bitmapWords]uint64
	size     int
}

func (q *queue) push(e *entry) {
	p := e.req.Priority
	list := &q.fifos[p]
	e.prev = list.tail
	e.next = nil
	if list.tail == nil {
		list.head = e
	} else {
		list.tail.next = e
	}
	list.tail = e
	q.nonEmpty[p/64] |= 1 << (p % 64)
	q.size++
}

func (q *queue) remove(e *entry) {
	p := e.req.Priority
	list := &q.fifos[p]
	if e.prev == nil {
		list.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		list.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.next, e.prev = nil, nil
	if list.head == nil {
		q.nonEmpty[p/64] &^= 1 << (p % 64)
	}
	q.size--
}

// first returns the oldest entry of the highest priority, or nil if the queue is empty.
func (q *queue) first() *entry {
	for w := bitmapWords - 1; w >= 0; w-- {
		if q.nonEmpty[w] != 0 {
			return q.fifos[w*64+63-bits.LeadingZeros64(q.nonEmpty[w])].head
		}
	}
	return nil
}

// last returns the newest entry of the lowest priority, or nil if the queue is empty.
func (q *queue) last() *entry {
	for w, word := range q.nonEmpty {
		if word != 0 {
			return q.fifos[w*64+bits.TrailingZeros64(word)].tail
		}
	}
	return nil
}

// each calls f for every entry, from the highest priority to the lowest. f may remove the entry
// that it is called with.
func (q *queue) each(f func(*entry)) {
	for w := bitmapWords - 1; w >= 0; w-- {
		for word := q.nonEmpty[w]; word != 0; {
			bit := 63 - bits.LeadingZeros64(word)
			word &^= 1 << bit
			for e := q.fifos[w*64+bit].head; e != nil; {
				next := e.next
				f(e)
				e = next
			}
		}
	}
}
