package feed

import (
	"slices"
	"time"
)

// tombstoneTime is how long the last announcement of a removed member is
// remembered, so that an older one from a slower relay does not bring it back.
// It exceeds the time for which any relay can hold an older lease.
const tombstoneTime = 2 * (LeaseTTL + StartupTime)

// Leases are the announcements that one relay received itself.
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

type tombstone struct {
	boot, sequence uint64
	until          time.Time
}

// LeaseChange is one change of the members that a relay lists.
type LeaseChange struct {
	ID      string
	Member  *Member // nil if its entry is removed; StateLeft if it left
	Expired bool    // it is removed because its lease ended
}

// NewLeases returns an empty table of a relay that starts now.
func NewLeases(now time.Time) *Leases {
	return &Leases{started: now, lastTick: now, entries: map[string]*lease{}, tombstones: map[string]tombstone{}}
}

// Complete reports whether each running daemon had time to announce itself
// since the start of the relay.
func (l *Leases) Complete(now time.Time) bool { return now.Sub(l.started) >= StartupTime }

// Announce records or renews an announcement. An announcement that is older
// than the one held has no effect.
func (l *Leases) Announce(now time.Time, m *Member) (change LeaseChange, changed bool) {
	if t, ok := l.tombstones[m.ID]; ok && !m.newerThan(t.boot, t.sequence) {
		return LeaseChange{}, false
	}
	held := l.entries[m.ID]
	if held != nil {
		if held.member.same(m) {
			held.expires = now.Add(LeaseTTL)
			return LeaseChange{}, false
		}
		if !m.newerThan(held.member.Incarnation, held.member.Sequence) {
			return LeaseChange{}, false
		}
	}
	if m.State == StateLeft {
		delete(l.entries, m.ID)
		l.tombstones[m.ID] = tombstone{m.Incarnation, m.Sequence, now.Add(tombstoneTime)}
		return LeaseChange{ID: m.ID, Member: m}, true
	}
	delete(l.tombstones, m.ID)
	l.entries[m.ID] = &lease{member: m, expires: now.Add(LeaseTTL)}
	return LeaseChange{ID: m.ID, Member: m}, true
}

// Tick ends the leases that were not renewed. After a pause of the relay
// itself the daemons could not renew, so all leases get another lease time.
func (l *Leases) Tick(now time.Time) []LeaseChange {
	paused := now.Sub(l.lastTick) > PauseThreshold
	l.lastTick = now
	var changes []LeaseChange
	for id, held := range l.entries {
		if paused {
			held.expires = now.Add(LeaseTTL)
		}
		if now.After(held.expires) {
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

// Len is the number of leases held.
func (l *Leases) Len() int { return len(l.entries) }
