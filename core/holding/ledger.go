// Package holding accounts for what a process holds for its clients: memory, connections and descriptors.
// Each request may be within its limits while all of them together are not, so what is held for clients
// is charged to one Ledger of the process before it is taken. What the ledger does not grant is rejected
// or not read. While a limit is near, the clients that make the least progress are asked to go, so that
// others are served.
package holding

import (
	"sync"
	"sync/atomic"
	"time"
)

// Limits are the limits of a Ledger. A limit of 0 is none.
type Limits struct {
	Bytes int64 // memory that is held for clients
	// Connections is the number of connections, accepted and outgoing ones.
	Connections int
	// Accepted are the connections of it that each source may open.
	Accepted [sources]int
}

// Source is who opens connections. The sources have shares of their own, so that clients cannot use up the
// connections on which other daemons pass on requests.
type Source int

// The sources.
const (
	Clients Source = iota
	Peers          // other daemons, and the upstream on the VM
	sources
)

// DescriptorLimits returns the limits for a number of descriptors. Outgoing connections may take what
// clients and peers leave: each request of a client needs one.
func DescriptorLimits(descriptors int) Limits {
	return Limits{Connections: descriptors, Accepted: [sources]int{Clients: int(clientsRatio * float64(descriptors)), Peers: int(peersRatio * float64(descriptors))}}
}

const (
	// bulkRatio is the part of the memory that bodies may take. The rest is for heads and connections, so
	// that small requests are served while bodies fill their part.
	bulkRatio = 0.8
	// pressureRatio is the part of a limit above which clients without progress are asked to go.
	pressureRatio = 0.7
	// relievedRatio is the part of a limit below which no more clients are asked to go.
	relievedRatio = 0.6
	// clientsRatio and peersRatio are the parts of the connections that these sources may open.
	clientsRatio = 0.35
	peersRatio   = 0.35
	// patience is how long a client may make no progress, or too little, before it can be asked to go.
	patience = time.Second
	// reliefInterval is the time between two searches for clients to go.
	reliefInterval = 10 * time.Millisecond
)

// Ledger limits what a process holds for its clients. A nil Ledger has no limits.
//
// Invariants: what is reserved never exceeds the limits, except for what is forced; each Holder gives back
// all that it has taken when it is closed; the holders that were asked to go are about to be closed.
type Ledger struct {
	limits Limits
	clock  func() time.Time
	start  time.Time

	bytes    atomic.Int64
	accepted [sources]atomic.Int64
	outgoing atomic.Int64
	evicted  atomic.Int64 // holders that were asked to go
	refused  atomic.Int64 // reservations and connections that were not granted

	mu         sync.Mutex
	holders    map[*Holder]struct{}
	nextRelief time.Duration
	reclaim    func() // closes idle outgoing connections
}

// NewLedger returns a Ledger. The clock must be monotonic.
func NewLedger(limits Limits, clock func() time.Time) *Ledger {
	if limits.Bytes <= 0 {
		limits.Bytes = 1 << 62
	}
	if limits.Connections <= 0 {
		limits.Connections = noConnectionLimit
	}
	for source, limit := range limits.Accepted {
		if limit <= 0 {
			limits.Accepted[source] = noConnectionLimit
		}
	}
	return &Ledger{limits: limits, clock: clock, start: clock(), holders: map[*Holder]struct{}{}}
}

const noConnectionLimit = 1 << 30

// OnShortage registers a function that closes idle outgoing connections. It is called while connections
// are short.
func (l *Ledger) OnShortage(reclaim func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reclaim = reclaim
}

// Usage is what a ledger has granted.
type Usage struct {
	Bytes, BytesLimit     int64
	Clients, ClientsLimit int64 // connections of clients
	Peers, Outgoing       int64 // connections
	Connections           int64 // limit of all connections together
	Evicted, Refused      int64 // since the start
}

// Usage returns what is granted now.
func (l *Ledger) Usage() Usage {
	return Usage{
		Bytes: l.bytes.Load(), BytesLimit: l.limits.Bytes, Clients: l.accepted[Clients].Load(), Peers: l.accepted[Peers].Load(), Outgoing: l.outgoing.Load(),
		Connections: int64(l.limits.Connections), ClientsLimit: int64(l.limits.Accepted[Clients]), Evicted: l.evicted.Load(), Refused: l.refused.Load(),
	}
}

// connectionBytes is the memory of an accepted connection: its buffers, and the stacks of its goroutines.
const connectionBytes = 16 << 10

// Accept returns the holder of a connection that a source has opened, nil if there are too many. evict is
// called at most once, to end what the client does in the given direction; it must not block.
func (l *Ledger) Accept(source Source, evict func(Direction)) *Holder {
	if l == nil {
		return &Holder{}
	}
	n := l.accepted[source].Add(1)
	if n > int64(l.limits.Accepted[source]) || l.connections() > int64(l.limits.Connections) || !l.takeBytes(connectionBytes, l.limits.Bytes) {
		l.accepted[source].Add(-1)
		l.refused.Add(1)
		l.relieve()
		return nil
	}
	h := l.Begin(evict)
	h.connection, h.source = true, source // not read before the holder is idle or waits, which its user records later
	h.held.Store(connectionBytes)
	if n > pressure(l.limits.Accepted[source]) || l.connections() > pressure(l.limits.Connections) || l.pressed() {
		l.relieve()
	}
	return h
}

// Begin returns the holder of a request whose connection has none, or has one of its own.
func (l *Ledger) Begin(evict func(Direction)) *Holder {
	if l == nil {
		return &Holder{}
	}
	h := &Holder{ledger: l, evict: evict}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders[h] = struct{}{}
	return h
}

// Connect takes an outgoing connection. It reports false if there are too many.
func (l *Ledger) Connect() bool {
	if l == nil {
		return true
	}
	l.outgoing.Add(1)
	if l.connections() > pressure(l.limits.Connections) {
		l.relieve()
	}
	if l.connections() > int64(l.limits.Connections) {
		l.outgoing.Add(-1)
		l.refused.Add(1)
		return false
	}
	return true
}

// Disconnect gives back an outgoing connection.
func (l *Ledger) Disconnect() {
	if l != nil {
		l.outgoing.Add(-1)
	}
}

func (l *Ledger) connections() int64 {
	return l.accepted[Clients].Load() + l.accepted[Peers].Load() + l.outgoing.Load()
}

// pressure returns the use of a limit above which clients without progress are asked to go.
func pressure(limit int) int64 { return int64(pressureRatio * float64(limit)) }

// relieved returns the use of a limit below which no more clients are asked to go.
func relieved(limit int) int64 { return int64(relievedRatio * float64(limit)) }

// takeBytes takes memory if the total then is within a limit.
func (l *Ledger) takeBytes(n, limit int64) bool {
	total := l.bytes.Add(n)
	if total <= limit {
		return true
	}
	l.bytes.Add(-n)
	return false
}

func (l *Ledger) pressed() bool { return l.bytes.Load() > int64(pressureRatio*float64(l.limits.Bytes)) }

// now returns the time since the ledger was made, which is never 0.
func (l *Ledger) now() time.Duration { return l.clock().Sub(l.start) + 1 }
