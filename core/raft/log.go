package raft

import (
	"fmt"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// raftLog holds the entries after a compacted prefix. All positions are log
// indexes; entries[0] has index offset+1.
type raftLog struct {
	offset     uint64 // last compacted index
	offsetTerm uint64
	entries    []*api.Entry
	snapshot   *Snapshot // newest snapshot, nil if there is none

	stable    uint64 // entries up to here are durable
	committed uint64
	applied   uint64 // entries up to here were handed out for applying
}

func newLog(s *Snapshot, entries []*api.Entry, commit uint64) *raftLog {
	l := &raftLog{}
	if s != nil {
		l.reset(s)
	}
	l.entries = entries
	l.stable = l.last()
	l.committed = max(l.committed, min(commit, l.last()))
	return l
}

// reset discards all entries and continues after the snapshot.
func (l *raftLog) reset(s *Snapshot) {
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

func (l *raftLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends with (index, term) holds at least
// what this log holds, by the comparison of the Raft paper, section 5.4.1.
func (l *raftLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

// slice returns entries from index on, up to and including limit, with at most
// maxBytes of data but at least one entry.
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

// conflict returns the first of the entries that is missing or has another
// term in this log, and its position in entries; ok is false if there is none.
func (l *raftLog) conflict(entries []*api.Entry) (at int, ok bool) {
	for i, e := range entries {
		if !l.matches(e.Index, e.Term) {
			return i, true
		}
	}
	return 0, false
}

// append adds entries and drops what was stored from the first of them on.
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
		// Slices of the old entries may still be in messages: copy.
		kept = kept[:len(kept):len(kept)]
	}
	l.entries = append(kept, entries...)
	l.stable = min(l.stable, first-1)
}

// hint returns the largest index at most from whose term is at most term. It
// lets a leader skip a whole diverging term with one rejection.
func (l *raftLog) hint(from, term uint64) (uint64, uint64) {
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

// compact drops entries up to index.
func (l *raftLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.offset {
		return
	}
	l.entries = append([]*api.Entry(nil), l.entries[index-l.offset:]...)
	l.offset, l.offsetTerm = index, term
}
