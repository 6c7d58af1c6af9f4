package reconfig

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
)

var start = time.Unix(1000, 0)

func ref(id uint64, address, zone string) *api.ReplicaRef {
	return &api.ReplicaRef{Id: id, DiskId: "disk", Address: address, AvailabilityZone: zone}
}

// fiveVoters returns a committed group of five voters in zones a to e that are all contacted
// now. Replica 1 is the leader.
func fiveVoters() GroupState {
	g := GroupState{Now: start, Self: 1, ConfigCommitted: true, ReplicaSet: &api.ReplicaSet{}, LastContact: map[uint64]time.Time{}, Contacted: map[uint64]bool{}, LearnerSince: map[uint64]time.Time{}}
	for i, zone := range []string{"a", "b", "c", "d", "e"} {
		id := uint64(i + 1)
		g.ReplicaSet.Voters = append(g.ReplicaSet.Voters, ref(id, zone+":1", zone))
		g.LastContact[id], g.Contacted[id] = start, true
	}
	return g
}

func (g GroupState) withJoinRequest(r *api.ReplicaRef) GroupState {
	g.JoinRequests = append(g.JoinRequests, JoinRequest{Ref: r, RequestedAt: g.Now})
	return g
}

// advance advances the time; all replicas but the unresponsive ones are contacted then.
func (g GroupState) advance(d time.Duration, unresponsive ...uint64) GroupState {
	g.Now = g.Now.Add(d)
	for id := range g.LastContact {
		g.LastContact[id] = g.Now
	}
	for _, id := range unresponsive {
		g.LastContact[id] = start
	}
	return g
}

// TestUnresponsiveVoterIsKept guards against the replacement of a voter that is only frozen
// or partitioned and still has its copy of the log.
func TestUnresponsiveVoterIsKept(t *testing.T) {
	g := fiveVoters()
	g.ReplicaSet.Learners = []*api.ReplicaRef{ref(6, "c:2", "c")}
	g.LastContact[6] = start
	require.Equal(t, NoChange, NextChange(g.advance(30*time.Second, 3), DefaultPolicy(1)).Kind)
}

// TestVoterWithLostDiskIsReplacedAtOnce guards against missing copies of the log: a replica
// at the address of a voter with another disk proves that the disk of the voter is lost.
func TestVoterWithLostDiskIsReplacedAtOnce(t *testing.T) {
	change := NextChange(fiveVoters().withJoinRequest(ref(9, "b:1", "b")), DefaultPolicy(1))
	require.Equal(t, PromoteLearner, change.Kind)
	require.Equal(t, uint64(2), change.Replaces)
	require.Equal(t, uint64(9), change.Replica.Id)
}

// TestReplacementTakesOverFailedVoter guards the repair after the permanent loss of a VM:
// only a joining replica of its availability zone replaces it, and only after
// FailureTimeout.
func TestReplacementTakesOverFailedVoter(t *testing.T) {
	g := fiveVoters().advance(3*time.Second, 4).withJoinRequest(ref(9, "d:2", "d"))
	require.Equal(t, AddLearner, NextChange(g, DefaultPolicy(1)).Kind, "the voter may only be frozen")
	g.ReplicaSet.Learners = []*api.ReplicaRef{ref(9, "d:2", "d")}
	g.LastContact[9], g.LearnerSince[9], g.JoinRequests = g.Now, g.Now, nil
	g = g.advance(3*time.Second, 4)
	change := NextChange(g, DefaultPolicy(1))
	require.Equal(t, Change{Kind: PromoteLearner, Replica: g.ReplicaSet.Learners[0], Replaces: 4, Reason: change.Reason}, change)
	g.ReplicaSet.Learners[0].AvailabilityZone = "a"
	require.Equal(t, NoChange, NextChange(g, DefaultPolicy(1)).Kind, "a joining replica of another zone replaces no voter yet")
	change = NextChange(g.advance(2*time.Minute, 4), DefaultPolicy(1))
	require.Equal(t, uint64(4), change.Replaces, "after ExpiryTimeout any learner may")
}

// TestGroupGrowsOneVoterAtATime guards the bootstrap of a group: it makes one change at a
// time, and adds no voter while one is unresponsive, which would raise the quorum without a
// further running replica.
func TestGroupGrowsOneVoterAtATime(t *testing.T) {
	g := fiveVoters()
	g.ReplicaSet.Voters = g.ReplicaSet.Voters[:2]
	g = g.withJoinRequest(ref(7, "a:2", "a")).withJoinRequest(ref(8, "c:1", "c"))
	change := NextChange(g, DefaultPolicy(1))
	require.Equal(t, PromoteLearner, change.Kind)
	require.Equal(t, uint64(8), change.Replica.Id, "a zone without a voter comes first")
	require.Zero(t, change.Replaces)
	uncommitted := g
	uncommitted.ConfigCommitted = false
	require.Equal(t, NoChange, NextChange(uncommitted, DefaultPolicy(1)).Kind)
	late := g.advance(3*time.Second, 2)
	late.JoinRequests = []JoinRequest{{Ref: ref(8, "c:1", "c"), RequestedAt: late.Now}}
	require.Equal(t, AddLearner, NextChange(late, DefaultPolicy(1)).Kind)
}

// TestPromotionOfFailedLearnerIsAborted guards against a learner that fails while it catches
// up and would block every later change.
func TestPromotionOfFailedLearnerIsAborted(t *testing.T) {
	g := fiveVoters()
	g.ReplicaSet.Learners, g.ReplicaSet.Promoting, g.ReplicaSet.Replacing = []*api.ReplicaRef{ref(9, "b:1", "b")}, 9, 2
	g.LastContact[9] = start
	require.Equal(t, NoChange, NextChange(g.advance(time.Second), DefaultPolicy(1)).Kind)
	change := NextChange(g.advance(10*time.Second, 2, 9), DefaultPolicy(1))
	require.Equal(t, RemoveLearner, change.Kind)
	require.Equal(t, uint64(9), change.Replica.Id)
}

// TestJoiningReplicaAboveTargetBecomesLearner guards against more voters than TargetVoters.
func TestJoiningReplicaAboveTargetBecomesLearner(t *testing.T) {
	require.Equal(t, AddLearner, NextChange(fiveVoters().withJoinRequest(ref(9, "f:1", "f")), DefaultPolicy(1)).Kind)
	stale := fiveVoters()
	stale.JoinRequests = []JoinRequest{{Ref: ref(9, "f:1", "f"), RequestedAt: start.Add(-time.Minute)}}
	require.Equal(t, NoChange, NextChange(stale, DefaultPolicy(1)).Kind, "the join request has expired")
}

// TestGroupOfMinVotersGrowsByTwo guards the quorum of a group that has MinVoters: a fourth
// voter alone would raise the quorum and tolerate no more failures, a learner that may
// replace a voter waits, and no voter is added before all voters have responded.
func TestGroupOfMinVotersGrowsByTwo(t *testing.T) {
	three := func() GroupState {
		g := fiveVoters()
		g.ReplicaSet.Voters = g.ReplicaSet.Voters[:3]
		return g
	}
	one := three().withJoinRequest(ref(8, "d:1", "d"))
	require.Equal(t, AddLearner, NextChange(one, DefaultPolicy(1)).Kind)
	two := one.withJoinRequest(ref(9, "e:1", "e"))
	require.Equal(t, PromoteLearner, NextChange(two, DefaultPolicy(1)).Kind)
	two.Contacted = map[uint64]bool{2: true}
	require.Equal(t, AddLearner, NextChange(two, DefaultPolicy(1)).Kind, "a voter that has never responded may have failed")

	same := three().withJoinRequest(ref(8, "a:2", "a")).withJoinRequest(ref(9, "b:2", "b"))
	require.Equal(t, AddLearner, NextChange(same, DefaultPolicy(1)).Kind)
	learners := three()
	learners.ReplicaSet.Learners = []*api.ReplicaRef{ref(8, "a:2", "a"), ref(9, "b:2", "b")}
	for _, l := range learners.ReplicaSet.Learners {
		learners.LastContact[l.Id], learners.LearnerSince[l.Id] = start, start
	}
	require.Equal(t, NoChange, NextChange(learners.advance(10*time.Second), DefaultPolicy(1)).Kind)
	require.Equal(t, PromoteLearner, NextChange(learners.advance(stabilizationTime), DefaultPolicy(1)).Kind)
}

// TestStoppingVoterIsReplaced guards the number of running voters against planned stops. A
// learner is kept while another voter of its zone is unresponsive.
func TestStoppingVoterIsReplaced(t *testing.T) {
	g := fiveVoters()
	g.ReplicaSet.Learners = []*api.ReplicaRef{ref(9, "c:2", "c")}
	g.LastContact[9] = start
	g.StoppingAt = map[uint64]time.Time{3: start}
	change := NextChange(g, DefaultPolicy(1))
	require.Equal(t, PromoteLearner, change.Kind)
	require.Equal(t, uint64(3), change.Replaces)
	g.ReplicaSet.Voters[3].AvailabilityZone = "c"
	late := g.advance(2500*time.Millisecond, 4)
	late.StoppingAt[3] = late.Now
	require.Equal(t, NoChange, NextChange(late, DefaultPolicy(1)).Kind)
	g.StoppingAt[9] = start
	require.Equal(t, NoChange, NextChange(g, DefaultPolicy(1)).Kind, "the learner stops too")
}
