package feed

// maxTableLog bounds the changes that a table remembers. A subscriber that is
// further behind gets a full table.
const maxTableLog = 4096

// Table is the list of members of one availability zone, with revisions. An
// epoch identifies the run of the process that numbers the revisions.
type Table struct {
	epoch    uint64
	revision uint64
	entries  map[string]*Member
	digest   uint64
	log      []tableChange // ascending by revision, one entry for each change
}

type tableChange struct {
	revision uint64
	id       string
}

// TableDelta changes a copy of a table.
type TableDelta struct {
	Epoch    uint64
	Revision uint64
	Full     bool // Changed is the whole table
	Same     bool // the copy already equals the table
	Changed  []*Member
	Removed  []string
}

// SyncState is the state of a copy of a table at a subscriber.
type SyncState struct {
	Epoch    uint64
	Revision uint64
	Digest   uint64
}

// NewTable returns an empty table. The epoch must differ from that of any
// other run of any relay.
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
	t.note(id)
}

// BumpRevision starts a new revision without a change of members.
func (t *Table) BumpRevision() { t.note("") }

func (t *Table) note(id string) {
	t.revision++
	t.log = append(t.log, tableChange{t.revision, id})
	if len(t.log) > maxTableLog {
		t.log = append([]tableChange(nil), t.log[len(t.log)/2:]...)
	}
}

// SyncState describes the table itself.
func (t *Table) SyncState() SyncState { return SyncState{t.epoch, t.revision, t.digest} }

// Members is the content of the table. The caller must not change it.
func (t *Table) Members() map[string]*Member { return t.entries }

// Since returns what a copy in state h needs; ok is false if it needs nothing.
func (t *Table) Since(h SyncState) (d TableDelta, ok bool) {
	d = TableDelta{Epoch: t.epoch, Revision: t.revision}
	if h.Epoch == t.epoch && h.Revision == t.revision {
		return d, false
	}
	if h.Epoch == t.epoch && t.logged(h.Revision) {
		t.changes(h.Revision, &d)
		return d, true
	}
	if h.Epoch != 0 && h.Digest == t.digest {
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

// logged reports whether the log has all changes after revision.
func (t *Table) logged(revision uint64) bool {
	return len(t.log) > 0 && revision < t.revision && t.log[0].revision <= revision+1
}

func (t *Table) changes(revision uint64, d *TableDelta) {
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
