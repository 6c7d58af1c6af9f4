package holding

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a holder that may be asked to go.
type candidate struct {
	holder    *Holder
	direction Direction
	idle      bool          // no request is on the connection, so nobody loses one
	stalled   time.Duration // without any progress; 0 if there is some
	rate      float64       // bytes a second
}

// shortage is what has to be given back.
type shortage struct {
	bytes       int64
	connections int64          // whoever has opened them
	accepted    [sources]int64 // of one source
}

// add changes the shortage by what a holder has taken, n times.
func (s *shortage) add(h *Holder, n int64) {
	s.bytes += n * h.held.Load()
	if h.connection {
		s.connections += n
		s.accepted[h.source] += n
	}
}

// isRelievedBy reports whether it helps that a client goes. A connection without a request holds little
// memory, so it is closed only if connections are short.
func (s *shortage) isRelievedBy(c candidate) bool {
	return s.bytes > 0 && !c.idle || c.holder.connection && (s.connections > 0 || s.accepted[c.holder.source] > 0)
}

// relieve asks clients to go while a limit is near: enough of them that what they hold brings the use below
// relievedRatio. It searches for them once in each reliefInterval.
func (l *Ledger) relieve() {
	now := l.now()
	l.mu.Lock()
	if now < l.nextRelief {
		l.mu.Unlock()
		return
	}
	l.nextRelief = now + reliefInterval
	short := l.shortage()
	reclaim := l.reclaim
	if short.connections <= 0 {
		reclaim = nil
	}
	leaving := l.chooseLeaving(now, short)
	l.mu.Unlock()
	for _, c := range leaving {
		c.holder.evict(c.direction)
	}
	if reclaim != nil {
		reclaim()
	}
}

// shortage returns what has to be given back, without what is about to be. The caller holds the mutex.
func (l *Ledger) shortage() shortage {
	s := shortage{}
	if l.pressed() {
		s.bytes = l.bytes.Load() - int64(relievedRatio*float64(l.limits.Bytes))
	}
	if n := l.connections(); n > pressure(l.limits.Connections) {
		s.connections = n - relieved(l.limits.Connections)
	}
	for source, limit := range l.limits.Accepted {
		if n := l.accepted[source].Load(); n > pressure(limit) {
			s.accepted[source] = n - relieved(limit)
		}
	}
	for h := range l.holders {
		if h.leaving {
			s.add(h, -1)
		}
	}
	return s
}

// chooseLeaving chooses clients that are asked to go. The caller holds the mutex.
func (l *Ledger) chooseLeaving(now time.Duration, short shortage) []candidate {
	var candidates, chosen []candidate
	for h := range l.holders {
		if c, ok := h.candidate(now); ok && !h.leaving && short.isRelievedBy(c) {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, leastProgress)
	for _, c := range candidates {
		if short.isRelievedBy(c) {
			short.add(c.holder, -1)
			c.holder.leaving = true
			l.evicted.Add(1)
			chosen = append(chosen, c)
		}
	}
	return chosen
}

// leastProgress orders clients: first those without a request, then those without any progress, the longest
// wait first, then the slowest ones. A client that is slow but steady stays longer than one that has
// stopped, whatever that one has sent before.
func leastProgress(a, b candidate) int {
	class := func(c candidate) int {
		switch {
		case c.idle:
			return 0
		case c.stalled > 0:
			return 1
		}
		return 2
	}
	if d := cmp.Compare(class(a), class(b)); d != 0 {
		return d
	}
	if d := cmp.Compare(b.stalled, a.stalled); d != 0 {
		return d
	}
	return cmp.Compare(a.rate, b.rate)
}

// candidate returns how a client holds up the process, false if it does not.
func (h *Holder) candidate(now time.Duration) (candidate, bool) {
	if since := h.idle.Load(); since > 0 {
		stalled := now - time.Duration(since)
		return candidate{holder: h, idle: true, stalled: stalled}, stalled >= patience
	}
	for _, d := range []Direction{Sending, Receiving} {
		stalled, rate, waiting := h.flow(d).state(now)
		if !waiting {
			continue
		}
		if stalled < patience {
			stalled = 0
		}
		return candidate{holder: h, direction: d, stalled: stalled, rate: rate}, true
	}
	return candidate{}, false
}
