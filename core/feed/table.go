package feed

// maxTableLog bounds the changes that a table keeps. A subscriber that lags further
// receives a full table.
const maxTableLog = 4096

// Table is the list of members of one availability zone, with revisions. The epoch
// identifies the incarnation of the process that numbers the revisions.
type Table struct {
	epoch    uint64
	revision uint64
	entries  map[string]*Member // by member id
	digest   uint64             // XOR of the digests of all members
	log      []tableChange      // one entry for each change, ascending by revision
}

type tableChange struct {
	revision uint64
	id       string
}

// TableDelta holds the changes that a copy of a table needs.
type TableDelta struct {
	Epoch    uint64
	Revision uint64
	Full     bool // Changed is the whole table
	Same     bool // the copy already equals the table
	Changed  []*Member
	Removed  []string
}

// SyncState identifies the state of a table or of a copy of it.
type SyncState struct {
	Epoch    uint64
	Revision uint64
	Digest   uint64
}

// NewTable returns an empty table. The epoch must be unique among all incarnations
// of all relays.
func NewTable(epoch uint64) *Table {
	return &Table{epoch: epoch, revision: 1, entries: map[string]*Member{}}
}

// Set adds or replaces a member; nil removes it.
func (t *Table) Set(id string, m *Member) {
	old := t.entries[id]
	if old == nil && m == nil {
		return
	}
	if old != nil {
		t.digest ^= old.digest()
		delete(t.entries, id)
	}
	if m != nil {
		t.digest ^= m.digest()
		t.entries[id] = m
	}
	t.recordChange(id)
}

// BumpRevision increments the revision without a change of members.
func (t *Table) BumpRevision() { t.recordChange("") }

// recordChange increments the revision and logs the change of member id.
func (t *Table) recordChange(id string) {
	t.revision++
	t.log = append(t.log, tableChange{t.revision, id})
	if len(t.log) > maxTableLog {
		t.log = append([]tableChange(nil), t.log[len(t.log)/2:]...)
	}
}

// SyncState returns the state of the table itself.
func (t *Table) SyncState() SyncState { return SyncState{t.epoch, t.revision, t.digest} }

// Members returns the members by id. The caller must not modify the map.
func (t *Table) Members() map[string]*Member { return t.entries }

// ChangesSince returns the changes that a copy with the given state lacks: a delta if the
// log covers them, Same if the digests are equal, else the full table. ok is false
// if the copy has the current revision.
func (t *Table) ChangesSince(state SyncState) (d TableDelta, ok bool) {
	d = TableDelta{Epoch: t.epoch, Revision: t.revision}
	if state.Epoch == t.epoch && state.Revision == t.revision {
		return d, false
	}
	if state.Epoch == t.epoch && t.logCovers(state.Revision) {
		t.collectChanges(state.Revision, &d)
		return d, true
	}
	if state.Epoch != 0 && state.Digest == t.digest {
		d.Same = true
		return d, true
	}
	d.Full = true
	d.Changed = make([]*Member, 0, len(t.entries))
	for _, m := range t.entries {
		d.Changed = append(d.Changed, m)
	}
	return d, true
}

// logCovers reports whether the log contains all changes after revision.
func (t *Table) logCovers(revision uint64) bool {
	return len(t.log) > 0 && revision < t.revision && t.log[0].revision <= revision+1
}

// collectChanges adds to d the current state of each member that changed after
// revision.
func (t *Table) collectChanges(revision uint64, d *TableDelta) {
	seen := map[string]bool{"": true}
	for i := len(t.log) - 1; i >= 0 && t.log[i].revision > revision; i-- {
		id := t.log[i].id
		if seen[id] {
			continue
		}
		seen[id] = true
		if m := t.entries[id]; m != nil {
			d.Changed = append(d.Changed, m)
		} else {
			d.Removed = append(d.Removed, id)
		}
	}
}
