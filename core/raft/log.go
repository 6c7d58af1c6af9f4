package raft

import (
	"fmt"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// raftLog holds the entries after a compacted prefix. Fields and parameters are
// log indexes unless stated otherwise; entries[0] has index offset+1.
type raftLog struct {
	offset     uint64 // last compacted index
	offsetTerm uint64
	entries    []*api.Entry
	snapshot   *Snapshot // newest snapshot, nil if there is none

	stable    uint64 // last durable index
	committed uint64
	applied   uint64 // last index applied by the caller
}

func newLog(s *Snapshot, entries []*api.Entry, commit uint64) *raftLog {
	l := &raftLog{}
	if s != nil {
		l.restore(s)
	}
	l.entries = entries
	l.stable = l.last()
	l.committed = max(l.committed, min(commit, l.last()))
	return l
}

// restore discards all entries; the log continues after the snapshot.
func (l *raftLog) restore(s *Snapshot) {
	*l = raftLog{
		offset: s.Meta.Index, offsetTerm: s.Meta.Term, snapshot: s,
		stable: s.Meta.Index, committed: s.Meta.Index, applied: s.Meta.Index,
	}
}

func (l *raftLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

// term returns the term of the entry at index; false if the index was
// compacted or does not exist.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

func (l *raftLog) matchTerm(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// isUpToDate reports whether a log whose last entry has the given index and term
// is at least as up-to-date as this log (Raft paper, section 5.4.1).
func (l *raftLog) isUpToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

// slice returns the entries from index from up to and including limit, with at
// most maxBytes of data but at least one entry.
func (l *raftLog) slice(from, limit uint64, maxBytes int) []*api.Entry {
	limit = min(limit, l.last())
	if from > limit {
		return nil
	}
	all := l.entries[from-l.offset-1 : limit-l.offset]
	size := 0
	for i, e := range all {
		size += len(e.Data)
		if i > 0 && size > maxBytes {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// findConflict returns the position in entries of the first entry that is
// missing from this log or has another term in it; ok is false if there is none.
func (l *raftLog) findConflict(entries []*api.Entry) (at int, ok bool) {
	for i, e := range entries {
		if !l.matchTerm(e.Index, e.Term) {
			return i, true
		}
	}
	return 0, false
}

// append adds entries and truncates the log before the index of the first one.
func (l *raftLog) append(entries []*api.Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	if first <= l.committed {
		panic(fmt.Sprintf("raft: entry %d of term %d conflicts with the committed log, commit index %d", first, entries[0].Term, l.committed))
	}
	kept := l.entries[:first-l.offset-1]
	if first <= l.last() {
		// Messages may still refer to slices of the old entries: limit the
		// capacity so that append copies.
		kept = kept[:len(kept):len(kept)]
	}
	l.entries = append(kept, entries...)
	l.stable = min(l.stable, first-1)
}

// findConflictByTerm returns the largest index not above from whose term is not
// above term, and its term, or 0 if that is unknown. It lets a leader skip a whole
// diverging term with one rejection.
func (l *raftLog) findConflictByTerm(from, term uint64) (uint64, uint64) {
	for index := from; index > 0; index-- {
		t, ok := l.term(index)
		if !ok {
			return index, 0
		}
		if t <= term {
			return index, t
		}
	}
	return 0, 0
}

func (l *raftLog) commitTo(index uint64) bool {
	index = min(index, l.last())
	if index <= l.committed {
		return false
	}
	l.committed = index
	return true
}

// compact drops the entries up to and including index.
func (l *raftLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.offset {
		return
	}
	l.entries = append([]*api.Entry(nil), l.entries[index-l.offset:]...)
	l.offset, l.offsetTerm = index, term
}
