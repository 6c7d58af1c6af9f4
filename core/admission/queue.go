package admission

import (
	"math/bits"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// entry is a request that the gate holds, queued or running.
type entry struct {
	req     Request
	arrived time.Time
	started time.Time
	route   *routeTime
	round   int32 // round of the limiter in which it is a sample, 0 for none
	high    bool  // a sample of the higher probe
	running bool
	next    *entry
	prev    *entry
}

const bitmapWords = (int(chain.MaxPriority) + 63) / 64

// list is the first-in first-out list of one priority.
type list struct {
	head *entry
	tail *entry
}

// queue keeps entries by priority. All operations take constant time: a bitmap
// finds the highest and the lowest priority in use.
type queue struct {
	lists [chain.MaxPriority]list
	used  [bitmapWords]uint64
	size  int
}

func (q *queue) push(e *entry) {
	p := e.req.Priority
	l := &q.lists[p]
	e.prev = l.tail
	e.next = nil
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.next = e
	}
	l.tail = e
	q.used[p/64] |= 1 << (p % 64)
	q.size++
}

func (q *queue) remove(e *entry) {
	p := e.req.Priority
	l := &q.lists[p]
	if e.prev == nil {
		l.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.next, e.prev = nil, nil
	if l.head == nil {
		q.used[p/64] &^= 1 << (p % 64)
	}
	q.size--
}

// first returns the oldest entry of the highest priority, nil if empty.
func (q *queue) first() *entry {
	for w := bitmapWords - 1; w >= 0; w-- {
		if q.used[w] != 0 {
			return q.lists[w*64+63-bits.LeadingZeros64(q.used[w])].head
		}
	}
	return nil
}

// last returns the youngest entry of the lowest priority, nil if empty.
func (q *queue) last() *entry {
	for w, word := range q.used {
		if word != 0 {
			return q.lists[w*64+bits.TrailingZeros64(word)].tail
		}
	}
	return nil
}

// each calls f for every entry, from the highest priority down. f may remove
// the entry that it is given.
func (q *queue) each(f func(*entry)) {
	for w := bitmapWords - 1; w >= 0; w-- {
		for word := q.used[w]; word != 0; {
			bit := 63 - bits.LeadingZeros64(word)
			word &^= 1 << bit
			for e := q.lists[w*64+bit].head; e != nil; {
				next := e.next
				f(e)
				e = next
			}
		}
	}
}
