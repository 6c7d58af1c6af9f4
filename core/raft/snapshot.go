package raft

import (
	"fmt"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// SnapshotAndCompact takes a snapshot of the state at index, which must have been applied
// and synced, and drops the entries it covers except for Config.TrailingEntries.
func (r *Raft) SnapshotAndCompact(index uint64, data []byte) (*Snapshot, error) {
	s, err := r.SnapshotAt(index, data)
	if err != nil {
		return nil, err
	}
	r.CompactTo(s)
	return s, nil
}

// SnapshotAt describes a snapshot of the state at an applied index, so that it
// can be made durable before the log is compacted.
func (r *Raft) SnapshotAt(index uint64, data []byte) (*Snapshot, error) {
	term, ok := r.log.term(index)
	if !ok || index > r.log.applied {
		return nil, fmt.Errorf("raft: no snapshot at index %d, applied index %d", index, r.log.applied)
	}
	meta := &api.SnapshotMeta{Index: index, Term: term, Replicas: r.sets.at(index)}
	return &Snapshot{Meta: meta, Data: data}, nil
}

// CompactTo drops the log entries covered by a durable snapshot.
func (r *Raft) CompactTo(s *Snapshot) {
	r.log.snapshot = s
	r.sets.compact(s.Meta.Index)
	if s.Meta.Index > r.cfg.TrailingEntries {
		r.log.compact(s.Meta.Index - r.cfg.TrailingEntries)
	}
}

func (r *Raft) sendSnapshot(p *progress) {
	s := r.log.snapshot
	p.state = snapshotting
	p.snapshotIndex = s.Meta.Index
	p.snapshotReplies = 0
	p.inflight = nil
	r.send(p.ref, &api.ReplicaMessage{
		Kind: api.ReplicaMessage_KIND_SNAPSHOT, Term: r.term, SnapshotMeta: s.Meta, SnapshotData: s.Data, Commit: r.log.committed,
	})
}

func (r *Raft) handleSnapshot(m *api.ReplicaMessage) {
	meta := m.SnapshotMeta
	if meta.GetIndex() > r.log.committed {
		if r.log.matches(meta.Index, meta.Term) {
			r.commitTo(meta.Index)
		} else {
			r.install(&Snapshot{Meta: meta, Data: m.SnapshotData})
		}
	}
	r.send(m.From, &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_SNAPSHOT_REPLY, Term: r.term, LogIndex: r.log.committed})
}

func (r *Raft) install(s *Snapshot) {
	r.log.reset(s)
	r.sets.reset(s.Meta.Index, s.Meta.Replicas)
	r.pending = s
	r.confirm.promote(r.log.committed)
}
