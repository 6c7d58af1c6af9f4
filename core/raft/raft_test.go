package raft

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
)

func ref(id uint64) *api.ReplicaRef {
	return &api.ReplicaRef{Id: id, DiskId: fmt.Sprint("disk-", id)}
}

func refs(ids ...uint64) (list []*api.ReplicaRef) {
	for _, id := range ids {
		list = append(list, ref(id))
	}
	return list
}

// replica returns a replica whose log holds one configuration entry of term 1 for
// each set. Only the first entry is committed.
func replica(t *testing.T, id uint64, sets ...*api.ReplicaSet) *Raft {
	var entries []*api.Entry
	for i, s := range sets {
		e, err := newConfigurationEntry(1, uint64(i+1), s)
		require.NoError(t, err)
		entries = append(entries, e)
	}
	return New(Config{Self: ref(id), Entries: entries, HardState: HardState{Term: 1, Commit: 1}, Seed: id})
}

// takeMessages completes the outstanding Ready and returns its messages.
func takeMessages(r *Raft) []*api.ReplicaMessage {
	rd := r.Ready()
	r.Advance()
	return rd.Messages
}

func electLeader(t *testing.T, r *Raft, voters ...uint64) {
	now := time.Unix(0, 0)
	for range 20 {
		r.Tick(now)
	}
	for _, kind := range []api.ReplicaMessage_Kind{api.ReplicaMessage_KIND_PRE_VOTE_REPLY, api.ReplicaMessage_KIND_VOTE_REPLY} {
		for _, v := range voters {
			r.Step(now, &api.ReplicaMessage{Kind: kind, From: ref(v), To: r.cfg.Self, Term: 2})
		}
	}
	require.Equal(t, Leader, r.Role())
	takeMessages(r)
}

// TestMessagesOfOtherDiskAreIgnored guards against attributing messages to the
// former identity of a replica that lost its disk.
func TestMessagesOfOtherDiskAreIgnored(t *testing.T) {
	r := replica(t, 1, &api.ReplicaSet{Voters: refs(1, 2, 3)})
	for range 20 {
		r.Tick(time.Unix(0, 0))
	}
	former := &api.ReplicaRef{Id: 2, DiskId: "another"}
	granted := &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_PRE_VOTE_REPLY, From: former, To: ref(1), Term: 2}
	r.Step(time.Unix(0, 0), granted)
	require.Equal(t, PreCandidate, r.Role())
	r.Step(time.Unix(0, 0), &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_PRE_VOTE, From: ref(2), To: &api.ReplicaRef{Id: 1, DiskId: "another"}, Term: 9})
	require.EqualValues(t, 2, r.Status().Misaddressed)
	granted.From = ref(2)
	r.Step(time.Unix(0, 0), granted)
	require.Equal(t, Candidate, r.Role())
}

// TestRemovedReplicaStartsElections guards against a group that cannot elect a
// leader. If only the replica that is being removed has a complete log, no other
// replica can win, so it has to start elections until its removal is committed.
func TestRemovedReplicaStartsElections(t *testing.T) {
	sets := []*api.ReplicaSet{
		{Voters: refs(1, 2, 3)},
		{Voters: refs(4, 2, 3), OldVoters: refs(1, 2, 3)},
		{Voters: refs(4, 2, 3)},
	}
	r := replica(t, 1, sets...)
	electLeader(t, r, 2, 4)
	committed := New(Config{Self: ref(1), Entries: r.log.entries, HardState: HardState{Term: 2, Commit: 4}})
	for range 20 {
		committed.Tick(time.Unix(0, 0))
	}
	require.Equal(t, Follower, committed.Role(), "the removal is committed")
}

// TestLearnerReceivesOnlyCommittedEntries guards against a learner whose log is
// ahead of all candidates, so that it rejects a vote that a joint configuration
// requires.
func TestLearnerReceivesOnlyCommittedEntries(t *testing.T) {
	r := replica(t, 1, &api.ReplicaSet{Voters: refs(1, 2, 3), Learners: refs(4), Replacing: 3})
	electLeader(t, r, 2)
	_, _, err := r.Propose([]byte("command"))
	require.NoError(t, err)
	reply := func(from, index uint64) {
		r.Step(time.Unix(0, 0), &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_APPEND_REPLY, From: ref(from), To: ref(1), Term: 2, LogIndex: index})
	}
	reply(2, 1)
	reply(4, 1)
	for _, m := range takeMessages(r) {
		if m.Kind == api.ReplicaMessage_KIND_APPEND && m.To.Id == 4 {
			require.Empty(t, m.Entries)
		}
	}
	reply(2, 3)
	sent := 0
	for _, m := range takeMessages(r) {
		if m.To.Id == 4 {
			sent += len(m.Entries)
		}
	}
	require.Positive(t, sent)
}

// TestLearnerDropsUnresponsiveLeader guards against a replica that never asks to
// be added again. If the leader that proposed its addition fails before the commit,
// the next leader sends it nothing, so the replica must drop the failed leader after
// the election timeout.
func TestLearnerDropsUnresponsiveLeader(t *testing.T) {
	r := replica(t, 4, &api.ReplicaSet{Voters: refs(1, 2, 3), Learners: refs(4), Replacing: 3})
	now := time.Unix(0, 0)
	heartbeat := &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_HEARTBEAT, From: ref(1), To: ref(4), Term: 2}
	r.Step(now, heartbeat)
	require.EqualValues(t, 1, r.Status().Leader.GetId())
	for range 5 {
		r.Tick(now)
	}
	require.EqualValues(t, 1, r.Status().Leader.GetId(), "a late heartbeat must not drop the leader")
	for range 20 {
		r.Tick(now)
	}
	require.Nil(t, r.Status().Leader)
	require.Equal(t, Follower, r.Role(), "a learner must not start an election")
	r.Step(now, heartbeat)
	require.EqualValues(t, 1, r.Status().Leader.GetId())
}

// TestFailedLearnerIsNotPromoted guards against a joint configuration that makes a
// learner a voter after it has caught up and then failed.
func TestFailedLearnerIsNotPromoted(t *testing.T) {
	r := replica(t, 1, &api.ReplicaSet{Voters: refs(1, 2, 3), Learners: refs(4), Replacing: 3})
	electLeader(t, r, 2)
	learner := r.progress[4]
	learner.state, learner.match, learner.recentActive = stateReplicate, 1, false
	r.Step(time.Unix(0, 0), &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_APPEND_REPLY, From: ref(2), To: ref(1), Term: 2, LogIndex: 2})
	require.EqualValues(t, 2, r.Status().Commit)
	require.Empty(t, r.Status().ReplicaSet.OldVoters)
	r.Step(time.Unix(0, 0), &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_APPEND_REPLY, From: ref(4), To: ref(1), Term: 2, LogIndex: 2})
	require.NotEmpty(t, r.Status().ReplicaSet.OldVoters)
}

// TestDuplicateHeartbeatAfterRestart guards against a delayed heartbeat that yields
// a recent confirmation: the replica replies to a round, restarts, receives the
// same round again, and then a heartbeat that echoes its first reply.
func TestDuplicateHeartbeatAfterRestart(t *testing.T) {
	start := time.Unix(0, 0)
	heartbeat := func(sequence, echo uint64) *api.ReplicaMessage {
		return &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_HEARTBEAT, From: ref(2), To: ref(1), Term: 2, Sequence: sequence, Echo: echo, LogIndex: 1}
	}
	set := &api.ReplicaSet{Voters: refs(1, 2, 3)}
	r := replica(t, 1, set)
	r.Step(start, heartbeat(5, 0))
	echo := takeMessages(r)[0].Echo
	restarted := replica(t, 1, set)
	restarted.sentReplies.lastToken = 1 << 40
	restarted.Step(start.Add(time.Hour), heartbeat(5, 0))
	restarted.Step(start.Add(time.Hour), heartbeat(6, echo))
	_, ok := restarted.ConfirmationAge(start.Add(time.Hour))
	require.False(t, ok)

	r.Step(start.Add(time.Hour), heartbeat(6, echo))
	age, ok := r.ConfirmationAge(start.Add(time.Hour))
	require.True(t, ok)
	require.Equal(t, time.Hour, age)
}

// TestReplacementErrors guards against replacements that reuse a replica id or
// overlap with another one.
func TestReplacementErrors(t *testing.T) {
	r := replica(t, 1, &api.ReplicaSet{Voters: refs(1, 2, 3)})
	var notLeader *NotLeaderError
	_, _, err := r.ProposeReplace(3, ref(4))
	require.ErrorAs(t, err, &notLeader)
	electLeader(t, r, 2)
	var noCommitInTerm *NoCommitInTermError
	_, _, err = r.ProposeReplace(3, ref(4))
	require.ErrorAs(t, err, &noCommitInTerm)
	r.Step(time.Unix(0, 0), &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_APPEND_REPLY, From: ref(2), To: ref(1), Term: 2, LogIndex: 2})
	var id *ReplicaIDError
	_, _, err = r.ProposeReplace(3, &api.ReplicaRef{Id: 3, DiskId: "another"})
	require.ErrorAs(t, err, &id)
	_, _, err = r.ProposeReplace(9, ref(4))
	require.ErrorAs(t, err, &id)
	_, _, err = r.ProposeReplace(3, ref(4))
	require.NoError(t, err)
	_, _, err = r.ProposeReplace(3, ref(4))
	require.NoError(t, err, "a retried replacement")
	var inProgress *ReplacementInProgressError
	_, _, err = r.ProposeReplace(2, ref(5))
	require.ErrorAs(t, err, &inProgress)
	require.EqualValues(t, 4, inProgress.NewID)
}
