package feed

import "time"

// retainedListing is the name of the listing that keeps the current members while a
// source has an incomplete table. No source has this name.
const retainedListing = "\x00retained"

// MergedTable combines the tables of several sources for one availability zone. A
// member is present while any source lists it, with its newest announcement.
type MergedTable struct {
	Table      *Table
	listings   map[string]*listing  // by source
	tombstones map[string]tombstone // last announcements of removed members
}

// listing is the copy of the table of one source.
type listing struct {
	members    map[string]*Member
	incomplete bool      // the source may lack members
	syncState  SyncState // revision of the source's table
}

// NewMergedTable returns an empty merged table whose Table has the given epoch.
func NewMergedTable(epoch uint64) *MergedTable {
	return &MergedTable{Table: NewTable(epoch), listings: map[string]*listing{}, tombstones: map[string]tombstone{}}
}

// MergeChange is one change of the combined table.
type MergeChange struct {
	ID       string
	From, To *Member // nil if absent before or after
}

// HasListings reports whether any source has delivered a table.
func (m *MergedTable) HasListings() bool { return len(m.listings) > 0 }

// HasListing reports whether source has delivered a table.
func (m *MergedTable) HasListing(source string) bool { return m != nil && m.listings[source] != nil }

// ResumeState returns the state from which source is asked to continue: the last
// revision received from it, if any, and the digest of the combined table, with
// which another source can detect that its table is equal.
func (m *MergedTable) ResumeState(source string) SyncState {
	state := m.Table.SyncState()
	if l := m.listings[source]; l != nil {
		state.Epoch, state.Revision = l.syncState.Epoch, l.syncState.Revision
	}
	return state
}

// Complete reports whether any source has a complete table.
func (m *MergedTable) Complete() bool {
	for _, l := range m.listings {
		if !l.incomplete {
			return true
		}
	}
	return false
}

// Apply applies a delta from source. If exclusive is set, source replaces all other
// sources as soon as its table is complete; otherwise they are combined. It returns
// false if the delta does not follow the last one from source: the caller then has
// to subscribe again.
func (m *MergedTable) Apply(now time.Time, source string, d TableDelta, incomplete, exclusive bool) ([]MergeChange, bool) {
	l := m.listings[source]
	follows := d.Full || d.Same || (l != nil && l.syncState.Epoch == d.Epoch)
	if !follows {
		return nil, false
	}
	affected := map[string]bool{}
	if incomplete && (d.Full || l == nil) {
		m.retainMembers()
	}
	if d.Full || d.Same || l == nil {
		l = m.replaceListing(source, d, affected)
	}
	for _, member := range d.Changed {
		l.members[member.ID] = member
		affected[member.ID] = true
	}
	for _, id := range d.Removed {
		delete(l.members, id)
		if kept := m.listings[retainedListing]; kept != nil {
			delete(kept.members, id)
		}
		affected[id] = true
	}
	l.incomplete = incomplete
	l.syncState = SyncState{Epoch: d.Epoch, Revision: d.Revision}
	if !incomplete {
		m.dropReplacedListings(source, exclusive, affected)
	}
	return m.recompute(now, affected), true
}

// retainMembers adds the current members to the retained listing, which keeps them
// until a complete table arrives. Members that joined after an earlier incomplete
// table are kept too.
func (m *MergedTable) retainMembers() {
	if len(m.Table.entries) == 0 {
		return
	}
	kept := m.listings[retainedListing]
	if kept == nil {
		kept = &listing{members: make(map[string]*Member, len(m.Table.entries)), incomplete: true}
		m.listings[retainedListing] = kept
	}
	for id, member := range m.Table.entries {
		kept.members[id] = member
	}
}

// replaceListing returns a new listing for source: empty for a full copy, equal to
// the combined table if the source reported no difference.
func (m *MergedTable) replaceListing(source string, d TableDelta, affected map[string]bool) *listing {
	l := &listing{members: map[string]*Member{}}
	if old := m.listings[source]; old != nil {
		for id := range old.members {
			affected[id] = true
		}
	}
	if d.Same {
		for id, member := range m.Table.entries {
			l.members[id] = member
		}
	}
	m.listings[source] = l
	return l
}

// dropReplacedListings removes the listings that a complete table of source
// replaces: the retained one and, if exclusive is set, those of all other sources.
func (m *MergedTable) dropReplacedListings(source string, exclusive bool, affected map[string]bool) {
	for name, other := range m.listings {
		if name == source || (name != retainedListing && !exclusive) {
			continue
		}
		for id := range other.members {
			affected[id] = true
		}
		delete(m.listings, name)
	}
}

// Set sets one member in the listing of source, for the leases of the local relay;
// nil removes it. A member with StateDeregistered is removed from the combined table, and
// older announcements of it in other listings have no effect.
func (m *MergedTable) Set(now time.Time, source, id string, member *Member) []MergeChange {
	l := m.listings[source]
	if l == nil {
		l = &listing{members: map[string]*Member{}}
		m.listings[source] = l
	}
	if member == nil {
		delete(l.members, id)
	} else {
		l.members[id] = member
	}
	return m.recompute(now, map[string]bool{id: true})
}

// SetIncomplete sets whether the listing of source is incomplete.
func (m *MergedTable) SetIncomplete(now time.Time, source string, incomplete bool) []MergeChange {
	l := m.listings[source]
	if l == nil {
		l = &listing{members: map[string]*Member{}}
		m.listings[source] = l
	}
	l.incomplete = incomplete
	affected := map[string]bool{}
	if !incomplete {
		m.dropReplacedListings(source, false, affected)
	}
	return m.recompute(now, affected)
}

// RemoveSource removes the listing of source. The last listing is kept, so that a
// process without any source keeps its table.
func (m *MergedTable) RemoveSource(now time.Time, source string) []MergeChange {
	l := m.listings[source]
	if l == nil || len(m.listings) == 1 {
		return nil
	}
	affected := map[string]bool{}
	for id := range l.members {
		affected[id] = true
	}
	delete(m.listings, source)
	if kept := m.listings[retainedListing]; kept != nil && m.allComplete() {
		for id := range kept.members {
			affected[id] = true
		}
		delete(m.listings, retainedListing)
	}
	return m.recompute(now, affected)
}

// allComplete reports whether there are sources and the tables of all of them are complete.
func (m *MergedTable) allComplete() bool {
	for name, l := range m.listings {
		if name != retainedListing && l.incomplete {
			return false
		}
	}
	return len(m.listings) > 1
}

// newestAnnouncement returns the newest announcement of id in all listings, nil if
// there is none.
func (m *MergedTable) newestAnnouncement(id string) *Member {
	var best *Member
	for _, l := range m.listings {
		if c := l.members[id]; c != nil && (best == nil || c.newerThan(best.Incarnation, best.Sequence)) {
			best = c
		}
	}
	return best
}

// recompute updates the affected members of the combined table from the listings and
// returns the changes.
func (m *MergedTable) recompute(now time.Time, affected map[string]bool) []MergeChange {
	var changes []MergeChange
	for id := range affected {
		from, to := m.Table.entries[id], m.newestAnnouncement(id)
		if t, ok := m.tombstones[id]; ok && to != nil && now.Before(t.until) && olderThanTombstone(to, t) {
			to = nil
		}
		if to != nil && to.State == StateDeregistered {
			m.tombstones[id] = tombstone{to.Incarnation, to.Sequence, now.Add(tombstoneLifetime)}
			to = nil
		}
		if from != nil && to != nil && from.newerThan(to.Incarnation, to.Sequence) {
			to = nil // the remaining listings have only older announcements
		}
		if from == to || (from != nil && to != nil && from.sameAnnouncement(to)) {
			continue
		}
		if to == nil {
			m.addTombstone(now, from)
		}
		m.Table.Set(id, to)
		changes = append(changes, MergeChange{ID: id, From: from, To: to})
	}
	return changes
}

// olderThanTombstone reports whether m is older than the last announcement of a
// removed member.
func olderThanTombstone(m *Member, t tombstone) bool {
	return m.Incarnation < t.incarnation || (m.Incarnation == t.incarnation && m.Sequence < t.sequence)
}

// addTombstone records the last announcement of a removed member. The same
// announcement may add the member again, if its lease is renewed late; an older one
// may not.
func (m *MergedTable) addTombstone(now time.Time, member *Member) {
	t := m.tombstones[member.ID]
	if olderThanTombstone(member, t) && now.Before(t.until) {
		return
	}
	m.tombstones[member.ID] = tombstone{member.Incarnation, member.Sequence, now.Add(tombstoneLifetime)}
}

// Tick removes expired tombstones.
func (m *MergedTable) Tick(now time.Time) {
	for id, t := range m.tombstones {
		if now.After(t.until) {
			delete(m.tombstones, id)
		}
	}
}
