package raft

import (
	"fmt"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// SnapshotAndCompact records data as the snapshot at index, which must be applied
// and synced, and drops the log entries it covers except for the last
// Config.TrailingEntries.
func (r *Raft) SnapshotAndCompact(index uint64, data []byte) (*Snapshot, error) {
	s, err := r.SnapshotAt(index, data)
	if err != nil {
		return nil, err
	}
	r.CompactTo(s)
	return s, nil
}

// SnapshotAt returns data as a snapshot at an applied index, so that the caller
// can make it durable before the log is compacted.
func (r *Raft) SnapshotAt(index uint64, data []byte) (*Snapshot, error) {
	term, ok := r.log.term(index)
	if !ok || index > r.log.applied {
		return nil, fmt.Errorf("raft: cannot take a snapshot at index %d: it is compacted or above applied index %d", index, r.log.applied)
	}
	meta := &api.SnapshotMeta{Index: index, Term: term, Replicas: r.replicaSets.at(index)}
	return &Snapshot{Meta: meta, Data: data}, nil
}

// CompactTo drops the log entries covered by a durable snapshot, except for the
// last Config.TrailingEntries.
func (r *Raft) CompactTo(s *Snapshot) {
	r.log.snapshot = s
	r.replicaSets.compact(s.Meta.Index)
	if s.Meta.Index > r.cfg.TrailingEntries {
		r.log.compact(s.Meta.Index - r.cfg.TrailingEntries)
	}
}

func (r *Raft) sendSnapshot(p *progress) {
	s := r.log.snapshot
	p.state = stateSnapshot
	p.pendingSnapshot = s.Meta.Index
	p.snapshotSequence = r.heartbeatRounds.sequence
	p.inflight = nil
	r.send(p.ref, &api.ReplicaMessage{
		Kind: api.ReplicaMessage_KIND_SNAPSHOT, Term: r.term, SnapshotMeta: s.Meta, SnapshotData: s.Data, Commit: r.log.committed,
	})
}

func (r *Raft) handleSnapshot(m *api.ReplicaMessage) {
	meta := m.SnapshotMeta
	if meta.GetIndex() > r.log.committed {
		if r.log.matchTerm(meta.Index, meta.Term) {
			r.commitTo(meta.Index)
		} else {
			r.installSnapshot(&Snapshot{Meta: meta, Data: m.SnapshotData})
		}
	}
	r.send(m.From, &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_SNAPSHOT_REPLY, Term: r.term, LogIndex: r.log.committed})
}

func (r *Raft) installSnapshot(s *Snapshot) {
	r.log.restore(s)
	r.replicaSets.reset(s.Meta.Index, s.Meta.Replicas)
	r.receivedSnapshot = s
	r.confirmations.advance(r.log.committed)
}
