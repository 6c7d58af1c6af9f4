package feed

import "time"

// retained is the listing that holds the members known before a source with an
// incomplete table took over.
const retained = "\x00retained"

// MergedTable combines the tables that several sources list for one availability
// zone: a member is present while any of them lists it, with its newest
// announcement.
type MergedTable struct {
	Table    *Table
	listings map[string]*listing
	last     map[string]tombstone // newest announcement of members that left
}

type listing struct {
	members    map[string]*Member
	incomplete bool
	held       SyncState
}

// NewMergedTable returns an empty merge whose result has the given epoch.
func NewMergedTable(epoch uint64) *MergedTable {
	return &MergedTable{Table: NewTable(epoch), listings: map[string]*listing{}, last: map[string]tombstone{}}
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

// ResumeState describes what is held, to the source that is asked to continue:
// its own last revision if it has delivered a table, and the digest of the
// combined table, by which another source may find that nothing is missing.
func (m *MergedTable) ResumeState(source string) SyncState {
	h := m.Table.SyncState()
	if l := m.listings[source]; l != nil {
		h.Epoch, h.Revision = l.held.Epoch, l.held.Revision
	}
	return h
}

// Complete reports whether a source with a complete table is known.
func (m *MergedTable) Complete() bool {
	for _, l := range m.listings {
		if !l.incomplete {
			return true
		}
	}
	return false
}

// Apply records a delta that source sent. With alone set, source replaces all
// other sources as soon as its table is complete; otherwise they are combined.
// It returns false when the delta doesn't follow what the source sent before:
// the subscription is then to be made anew.
func (m *MergedTable) Apply(now time.Time, source string, d TableDelta, incomplete, alone bool) ([]MergeChange, bool) {
	l := m.listings[source]
	follows := d.Full || d.Same || (l != nil && l.held.Epoch == d.Epoch)
	if !follows {
		return nil, false
	}
	touched := map[string]bool{}
	if incomplete && (d.Full || l == nil) {
		m.retain()
	}
	if d.Full || d.Same || l == nil {
		l = m.replaceListing(source, d, touched)
	}
	for _, member := range d.Changed {
		l.members[member.ID] = member
		touched[member.ID] = true
	}
	for _, id := range d.Removed {
		delete(l.members, id)
		if kept := m.listings[retained]; kept != nil {
			delete(kept.members, id)
		}
		touched[id] = true
	}
	l.incomplete = incomplete
	l.held = SyncState{Epoch: d.Epoch, Revision: d.Revision}
	if !incomplete {
		m.dropOthers(source, alone, touched)
	}
	return m.recompute(now, touched), true
}

// retain keeps the present members while only incomplete tables are known.
// Members that joined since an earlier incomplete table are kept too.
func (m *MergedTable) retain() {
	if len(m.Table.entries) == 0 {
		return
	}
	kept := m.listings[retained]
	if kept == nil {
		kept = &listing{members: make(map[string]*Member, len(m.Table.entries)), incomplete: true}
		m.listings[retained] = kept
	}
	for id, member := range m.Table.entries {
		kept.members[id] = member
	}
}

// replaceListing starts the table of source anew: empty for a full copy, equal
// to the combined table if the source found no difference.
func (m *MergedTable) replaceListing(source string, d TableDelta, touched map[string]bool) *listing {
	l := &listing{members: map[string]*Member{}}
	if old := m.listings[source]; old != nil {
		for id := range old.members {
			touched[id] = true
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

// dropOthers removes the listings that a complete table of source replaces.
func (m *MergedTable) dropOthers(source string, alone bool, touched map[string]bool) {
	for name, other := range m.listings {
		if name == source || (name != retained && !alone) {
			continue
		}
		for id := range other.members {
			touched[id] = true
		}
		delete(m.listings, name)
	}
}

// Set records one member listed by source, for a relay's own leases; nil
// removes it. An announcement of StateLeft removes the member from all
// listings that hold an older announcement.
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

// SetIncomplete marks the listing of source.
func (m *MergedTable) SetIncomplete(now time.Time, source string, incomplete bool) []MergeChange {
	l := m.listings[source]
	if l == nil {
		l = &listing{members: map[string]*Member{}}
		m.listings[source] = l
	}
	l.incomplete = incomplete
	touched := map[string]bool{}
	if !incomplete {
		m.dropOthers(source, false, touched)
	}
	return m.recompute(now, touched)
}

// RemoveSource forgets what source listed. The last listing is kept: a process that is
// cut off keeps the table it knew.
func (m *MergedTable) RemoveSource(now time.Time, source string) []MergeChange {
	l := m.listings[source]
	if l == nil || len(m.listings) == 1 {
		return nil
	}
	touched := map[string]bool{}
	for id := range l.members {
		touched[id] = true
	}
	delete(m.listings, source)
	if kept := m.listings[retained]; kept != nil && m.allComplete() {
		for id := range kept.members {
			touched[id] = true
		}
		delete(m.listings, retained)
	}
	return m.recompute(now, touched)
}

// allComplete reports whether each source that lists members is complete.
func (m *MergedTable) allComplete() bool {
	for name, l := range m.listings {
		if name != retained && l.incomplete {
			return false
		}
	}
	return len(m.listings) > 1
}

// newest returns the newest announcement of id among the listings.
func (m *MergedTable) newest(id string) *Member {
	var best *Member
	for _, l := range m.listings {
		if c := l.members[id]; c != nil && (best == nil || c.newerThan(best.Incarnation, best.Sequence)) {
			best = c
		}
	}
	return best
}

func (m *MergedTable) recompute(now time.Time, touched map[string]bool) []MergeChange {
	var changes []MergeChange
	for id := range touched {
		from, to := m.Table.entries[id], m.newest(id)
		if t, ok := m.last[id]; ok && to != nil && now.Before(t.until) && older(to, t) {
			to = nil
		}
		if to != nil && to.State == StateLeft {
			m.last[id] = tombstone{to.Incarnation, to.Sequence, now.Add(tombstoneTime)}
			to = nil
		}
		if from != nil && to != nil && from.newerThan(to.Incarnation, to.Sequence) {
			to = nil // another relay still lists an older announcement
		}
		if from == to || (from != nil && to != nil && from.same(to)) {
			continue
		}
		if to == nil {
			m.remember(now, from)
		}
		m.Table.Set(id, to)
		changes = append(changes, MergeChange{ID: id, From: from, To: to})
	}
	return changes
}

func older(m *Member, t tombstone) bool {
	return m.Incarnation < t.boot || (m.Incarnation == t.boot && m.Sequence < t.sequence)
}

// remember keeps the last announcement of a member that leaves. The same
// announcement may return (its lease was renewed late), an older one may not.
func (m *MergedTable) remember(now time.Time, member *Member) {
	t := m.last[member.ID]
	if older(member, t) && now.Before(t.until) {
		return
	}
	m.last[member.ID] = tombstone{member.Incarnation, member.Sequence, now.Add(tombstoneTime)}
}

// Tick forgets the announcements of members that left long ago.
func (m *MergedTable) Tick(now time.Time) {
	for id, t := range m.last {
		if now.After(t.until) {
			delete(m.last, id)
		}
	}
}
