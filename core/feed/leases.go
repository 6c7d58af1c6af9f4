package feed

import (
	"slices"
	"time"
)

// tombstoneLifetime is how long the last announcement of a removed member is kept,
// so that an older announcement from a slower relay does not add the member again.
// It exceeds the time for which any relay can keep a lease of an older announcement.
const tombstoneLifetime = 2 * (LeaseTTL + LeaseCollectionTime)

// Leases holds the announcements that one relay received directly from daemons.
type Leases struct {
	started    time.Time
	lastTick   time.Time
	entries    map[string]*lease
	tombstones map[string]tombstone
}

type lease struct {
	member  *Member
	expires time.Time
}

// tombstone identifies the last announcement of a removed member.
type tombstone struct {
	incarnation, sequence uint64
	until                 time.Time
}

// LeaseChange is one change of the members that a relay lists.
type LeaseChange struct {
	ID      string
	Member  *Member // nil if its entry is removed; with StateDeregistered if it deregistered
	Expired bool    // removed because its lease expired
}

// NewLeases returns Leases without entries, for a relay that starts at the given time.
func NewLeases(now time.Time) *Leases {
	return &Leases{started: now, lastTick: now, entries: map[string]*lease{}, tombstones: map[string]tombstone{}}
}

// Complete reports whether LeaseCollectionTime has passed since the start of the
// relay, so that each running daemon had time to announce itself.
func (l *Leases) Complete(now time.Time) bool { return now.Sub(l.started) >= LeaseCollectionTime }

// Announce records an announcement or renews its lease. An announcement older than
// the recorded one has no effect.
func (l *Leases) Announce(now time.Time, m *Member) (change LeaseChange, changed bool) {
	if t, ok := l.tombstones[m.ID]; ok && !m.newerThan(t.incarnation, t.sequence) {
		return LeaseChange{}, false
	}
	current := l.entries[m.ID]
	if current != nil {
		if current.member.sameAnnouncement(m) {
			current.expires = now.Add(LeaseTTL)
			return LeaseChange{}, false
		}
		if !m.newerThan(current.member.Incarnation, current.member.Sequence) {
			return LeaseChange{}, false
		}
	}
	if m.State == StateDeregistered {
		delete(l.entries, m.ID)
		l.tombstones[m.ID] = tombstone{m.Incarnation, m.Sequence, now.Add(tombstoneLifetime)}
		return LeaseChange{ID: m.ID, Member: m}, true
	}
	delete(l.tombstones, m.ID)
	l.entries[m.ID] = &lease{member: m, expires: now.Add(LeaseTTL)}
	return LeaseChange{ID: m.ID, Member: m}, true
}

// Tick removes expired leases and tombstones. While the process of the relay is
// paused, daemons cannot renew their leases, so after a pause all leases are
// renewed for LeaseTTL.
func (l *Leases) Tick(now time.Time) []LeaseChange {
	paused := now.Sub(l.lastTick) > PauseThreshold
	l.lastTick = now
	var changes []LeaseChange
	for id, current := range l.entries {
		if paused {
			current.expires = now.Add(LeaseTTL)
		}
		if now.After(current.expires) {
			delete(l.entries, id)
			changes = append(changes, LeaseChange{ID: id, Expired: true})
		}
	}
	for id, t := range l.tombstones {
		if now.After(t.until) {
			delete(l.tombstones, id)
			changes = append(changes, LeaseChange{ID: id})
		}
	}
	slices.SortFunc(changes, func(a, b LeaseChange) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return changes
}

// Len returns the number of leases.
func (l *Leases) Len() int { return len(l.entries) }
