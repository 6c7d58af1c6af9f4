package holding

import (
	"sync/atomic"
	"time"
)

// Direction tells which part of an exchange a client holds up.
type Direction int

// The directions.
const (
	Receiving Direction = iota // the process waits for bytes of the client: a request, or a part of it
	Sending                    // the process waits until the client reads
)

// Holder is what the process holds for one client connection, or for one request. Its methods may be called
// concurrently. The zero Holder has no limits.
type Holder struct {
	ledger     *Ledger
	evict      func(Direction)
	connection bool
	source     Source
	held       atomic.Int64
	idle       atomic.Int64 // since when no request is on the connection, 0 if one is
	in, out    flow
	leaving    bool // evict was called; guarded by the ledger's mutex
	closed     atomic.Bool
}

// flow is the progress of a client in one direction. The time that the process itself takes does not
// count.
type flow struct {
	waitingSince atomic.Int64 // 0 if the process does not wait for the client
	waited       atomic.Int64 // for the current message, without the current wait
	bytes        atomic.Int64 // of the current message
}

// Reserve takes memory for a body. It reports false if there is no room.
func (h *Holder) Reserve(n int64) bool { return h.reserve(n, bulkRatio) }

// ReserveSmall takes memory for a head or another small part of a request. It reports false if there is no
// room.
func (h *Holder) ReserveSmall(n int64) bool { return h.reserve(n, 1) }

func (h *Holder) reserve(n int64, ratio float64) bool {
	if h == nil || h.ledger == nil {
		return true
	}
	l := h.ledger
	granted := l.takeBytes(n, int64(ratio*float64(l.limits.Bytes)))
	if granted {
		h.held.Add(n)
	} else {
		l.refused.Add(1)
	}
	if !granted || l.pressed() {
		l.relieve()
	}
	return granted
}

// Force takes memory that cannot be refused, since the request has been executed. It must be little.
func (h *Holder) Force(n int64) {
	if h == nil || h.ledger == nil {
		return
	}
	h.ledger.bytes.Add(n)
	h.held.Add(n)
	if h.ledger.pressed() {
		h.ledger.relieve()
	}
}

// Release gives back memory. After Close, only what was taken since is left to give back.
func (h *Holder) Release(n int64) {
	if h == nil || h.ledger == nil {
		return
	}
	for {
		held := h.held.Load()
		released := min(n, held)
		if released <= 0 {
			return
		}
		if h.held.CompareAndSwap(held, held-released) {
			h.ledger.bytes.Add(-released)
			return
		}
	}
}

// Close gives back all that the holder has taken.
func (h *Holder) Close() {
	if h == nil || h.ledger == nil || h.closed.Swap(true) {
		return
	}
	l := h.ledger
	l.mu.Lock()
	delete(l.holders, h)
	l.mu.Unlock()
	l.bytes.Add(-h.held.Swap(0))
	if h.connection {
		l.accepted[h.source].Add(-1)
	}
}

// SetIdle records whether the connection carries no request.
func (h *Holder) SetIdle(idle bool) {
	switch {
	case h == nil || h.ledger == nil:
	case idle:
		h.idle.Store(int64(h.ledger.now()))
	default:
		h.idle.Store(0)
	}
}

// BeginMessage begins to measure the progress of a message.
func (h *Holder) BeginMessage(d Direction) {
	if f := h.flow(d); f != nil {
		f.waited.Store(0)
		f.bytes.Store(0)
	}
}

// Wait records that the process begins to wait for the client.
func (h *Holder) Wait(d Direction) {
	if f := h.flow(d); f != nil {
		f.waitingSince.Store(int64(h.ledger.now()))
	}
}

// Progress ends a wait in which the client has sent or read n bytes.
func (h *Holder) Progress(d Direction, n int) {
	f := h.flow(d)
	if f == nil {
		return
	}
	f.bytes.Add(int64(n))
	if since := f.waitingSince.Swap(0); since > 0 {
		f.waited.Add(int64(h.ledger.now()) - since)
	}
}

func (h *Holder) flow(d Direction) *flow {
	switch {
	case h == nil || h.ledger == nil:
		return nil
	case d == Sending:
		return &h.out
	}
	return &h.in
}

// state is the progress of a flow at a time.
func (f *flow) state(now time.Duration) (stalled time.Duration, rate float64, waiting bool) {
	since := f.waitingSince.Load()
	if since == 0 {
		return 0, 0, false
	}
	stalled = now - time.Duration(since)
	total := time.Duration(f.waited.Load()) + stalled
	if total < patience {
		return stalled, 0, false
	}
	return stalled, float64(f.bytes.Load()) / total.Seconds(), true
}
