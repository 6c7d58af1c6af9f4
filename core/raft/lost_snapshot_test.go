package raft

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// leaderOfLaggingReplica returns a leader that has just sent a snapshot to replica 3, and the sequence of its
// last heartbeat before.
func leaderOfLaggingReplica(t *testing.T) (r *Raft, sequence uint64) {
	now := time.Unix(0, 0)
	r = replica(t, 1, &api.ReplicaSet{Voters: refs(1, 2, 3)})
	electLeader(t, r, 2)
	last, _, err := r.Propose([]byte("a"))
	require.NoError(t, err)
	takeMessages(r)
	r.Step(now, &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_APPEND_REPLY, From: ref(2), To: ref(1), Term: 2, LogIndex: last})
	takeMessages(r)
	_, err = r.SnapshotAndCompact(last, []byte("state"))
	require.NoError(t, err)
	sequence = heartbeat(t, r)
	r.Step(now, &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_APPEND_REPLY, From: ref(3), To: ref(1), Term: 2, Reject: true, LogIndex: 1})
	require.Equal(t, 1, countSnapshots(takeMessages(r)))
	return r, sequence
}

// heartbeat advances the clock until the leader sends heartbeats, and returns their sequence.
func heartbeat(t *testing.T, r *Raft) uint64 {
	for range 10 {
		r.Tick(time.Unix(0, 0))
		for _, m := range takeMessages(r) {
			if m.Kind == api.ReplicaMessage_KIND_HEARTBEAT && m.To.Id == 3 {
				return m.Sequence
			}
		}
	}
	require.FailNow(t, "the leader sends no heartbeat")
	return 0
}

func countSnapshots(messages []*api.ReplicaMessage) (n int) {
	for _, m := range messages {
		if m.Kind == api.ReplicaMessage_KIND_SNAPSHOT && m.To.Id == 3 {
			n++
		}
	}
	return n
}

func stepHeartbeatReply(r *Raft, sequence uint64) {
	r.Step(time.Unix(0, 0), &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_HEARTBEAT_REPLY, From: ref(3), To: ref(1), Term: 2, Sequence: sequence})
}

// TestLostSnapshotIsSentAgain guards against a replica that is sent nothing but heartbeats because the leader
// waits for it to acknowledge a snapshot that it has lost, for example in a restart. Its reply to a heartbeat
// that was sent after the snapshot shows that.
func TestLostSnapshotIsSentAgain(t *testing.T) {
	r, before := leaderOfLaggingReplica(t)
	stepHeartbeatReply(r, before)
	require.Zero(t, countSnapshots(takeMessages(r)), "the snapshot may still be on its way")
	after := heartbeat(t, r)
	stepHeartbeatReply(r, after)
	require.Equal(t, 1, countSnapshots(takeMessages(r)))
	stepHeartbeatReply(r, after)
	require.Zero(t, countSnapshots(takeMessages(r)), "the second snapshot may still be on its way")
}

// TestAcknowledgedSnapshotIsNotSentAgain checks that entries follow the snapshot once it is acknowledged.
func TestAcknowledgedSnapshotIsNotSentAgain(t *testing.T) {
	r, _ := leaderOfLaggingReplica(t)
	after := heartbeat(t, r)
	r.Step(time.Unix(0, 0), &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_SNAPSHOT_REPLY, From: ref(3), To: ref(1), Term: 2, LogIndex: r.log.last()})
	stepHeartbeatReply(r, after)
	_, _, err := r.Propose([]byte("b"))
	require.NoError(t, err)
	messages := takeMessages(r)
	require.Zero(t, countSnapshots(messages))
	for _, m := range messages {
		if m.Kind == api.ReplicaMessage_KIND_APPEND && m.To.Id == 3 {
			require.Len(t, m.Entries, 1)
			return
		}
	}
	require.FailNow(t, "no entry was sent")
}
