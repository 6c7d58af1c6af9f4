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

// fiveVoters is a settled group of five voters in zones a to e, all heard now,
// led by replica 1.
func fiveVoters() GroupState {
	v := GroupState{Now: start, Self: 1, ConfigCommitted: true, ReplicaSet: &api.ReplicaSet{}, LastContact: map[uint64]time.Time{}, Contacted: map[uint64]bool{}, LearnerSince: map[uint64]time.Time{}}
	for i, zone := range []string{"a", "b", "c", "d", "e"} {
		id := uint64(i + 1)
		v.ReplicaSet.Voters = append(v.ReplicaSet.Voters, ref(id, zone+":1", zone))
		v.LastContact[id], v.Contacted[id] = start, true
	}
	return v
}

func (v GroupState) candidate(r *api.ReplicaRef) GroupState {
	v.JoinRequests = append(v.JoinRequests, JoinRequest{Ref: r, RequestedAt: v.Now})
	return v
}

// after moves the time on while all replicas but the silent ones are heard.
func (v GroupState) after(d time.Duration, silent ...uint64) GroupState {
	v.Now = v.Now.Add(d)
	for id := range v.LastContact {
		v.LastContact[id] = v.Now
	}
	for _, id := range silent {
		v.LastContact[id] = start
	}
	return v
}

// TestFreezeReplacesNobody guards against a replacement that a mere freeze or
// partition causes: the voter still holds the log.
func TestFreezeReplacesNobody(t *testing.T) {
	v := fiveVoters()
	v.ReplicaSet.Learners = []*api.ReplicaRef{ref(6, "c:2", "c")}
	v.LastContact[6] = start
	require.Equal(t, NoChange, NextChange(v.after(30*time.Second, 3), DefaultPolicy(1)).Kind)
}

// TestLostDiskIsReplacedAtOnce guards the number of copies of the log: a
// replica at the address of a voter with another disk proves the loss.
func TestLostDiskIsReplacedAtOnce(t *testing.T) {
	step := NextChange(fiveVoters().candidate(ref(9, "b:1", "b")), DefaultPolicy(1))
	require.Equal(t, PromoteLearner, step.Kind)
	require.Equal(t, uint64(2), step.Replaces)
	require.Equal(t, uint64(9), step.Replica.Id)
}

// TestSuccessorReplacesSilentVoter guards the repair after a VM that is gone
// for good: only its own zone's newcomer takes over, and only after a while.
func TestSuccessorReplacesSilentVoter(t *testing.T) {
	v := fiveVoters().after(3*time.Second, 4).candidate(ref(9, "d:2", "d"))
	require.Equal(t, AddLearner, NextChange(v, DefaultPolicy(1)).Kind, "the silence may still be a freeze")
	v.ReplicaSet.Learners = []*api.ReplicaRef{ref(9, "d:2", "d")}
	v.LastContact[9], v.LearnerSince[9], v.JoinRequests = v.Now, v.Now, nil
	v = v.after(3*time.Second, 4)
	step := NextChange(v, DefaultPolicy(1))
	require.Equal(t, Change{Kind: PromoteLearner, Replica: v.ReplicaSet.Learners[0], Replaces: 4, Reason: step.Reason}, step)
	v.ReplicaSet.Learners[0].AvailabilityZone = "a"
	require.Equal(t, NoChange, NextChange(v, DefaultPolicy(1)).Kind, "a newcomer of another zone replaces nobody yet")
	step = NextChange(v.after(2*time.Minute, 4), DefaultPolicy(1))
	require.Equal(t, uint64(4), step.Replaces, "after long silence any learner may")
}

// TestGroupGrowsOneByOne guards the founding: one change at a time, and none
// while a voter is silent, which would raise the quorum for nothing.
func TestGroupGrowsOneByOne(t *testing.T) {
	v := fiveVoters()
	v.ReplicaSet.Voters = v.ReplicaSet.Voters[:2]
	v = v.candidate(ref(7, "a:2", "a")).candidate(ref(8, "c:1", "c"))
	step := NextChange(v, DefaultPolicy(1))
	require.Equal(t, PromoteLearner, step.Kind)
	require.Equal(t, uint64(8), step.Replica.Id, "a zone without a voter comes first")
	require.Zero(t, step.Replaces)
	unsettled := v
	unsettled.ConfigCommitted = false
	require.Equal(t, NoChange, NextChange(unsettled, DefaultPolicy(1)).Kind)
	late := v.after(3*time.Second, 2)
	late.JoinRequests = []JoinRequest{{Ref: ref(8, "c:1", "c"), RequestedAt: late.Now}}
	require.Equal(t, AddLearner, NextChange(late, DefaultPolicy(1)).Kind)
}

// TestStalledPromotionEnds guards against a learner that dies while it catches
// up: it would block every later change.
func TestStalledPromotionEnds(t *testing.T) {
	v := fiveVoters()
	v.ReplicaSet.Learners, v.ReplicaSet.Promoting, v.ReplicaSet.Replacing = []*api.ReplicaRef{ref(9, "b:1", "b")}, 9, 2
	v.LastContact[9] = start
	require.Equal(t, NoChange, NextChange(v.after(time.Second), DefaultPolicy(1)).Kind)
	step := NextChange(v.after(10*time.Second, 2, 9), DefaultPolicy(1))
	require.Equal(t, RemoveLearner, step.Kind)
	require.Equal(t, uint64(9), step.Replica.Id)
}

// TestSurplusBecomesLearner guards the limit of voters.
func TestSurplusBecomesLearner(t *testing.T) {
	require.Equal(t, AddLearner, NextChange(fiveVoters().candidate(ref(9, "f:1", "f")), DefaultPolicy(1)).Kind)
	stale := fiveVoters()
	stale.JoinRequests = []JoinRequest{{Ref: ref(9, "f:1", "f"), RequestedAt: start.Add(-time.Minute)}}
	require.Equal(t, NoChange, NextChange(stale, DefaultPolicy(1)).Kind, "a candidate that no longer asks is gone")
}

// TestGroupOfLeastSizeGrowsByTwo guards the quorum of a group that bears the promised
// losses: a fourth voter alone would raise it for nothing, one that may be the successor
// of a voter waits, and none is added before all voters have answered.
func TestGroupOfLeastSizeGrowsByTwo(t *testing.T) {
	three := func() GroupState {
		v := fiveVoters()
		v.ReplicaSet.Voters = v.ReplicaSet.Voters[:3]
		return v
	}
	one := three().candidate(ref(8, "d:1", "d"))
	require.Equal(t, AddLearner, NextChange(one, DefaultPolicy(1)).Kind)
	two := one.candidate(ref(9, "e:1", "e"))
	require.Equal(t, PromoteLearner, NextChange(two, DefaultPolicy(1)).Kind)
	two.Contacted = map[uint64]bool{2: true}
	require.Equal(t, AddLearner, NextChange(two, DefaultPolicy(1)).Kind, "a voter that has never answered may be gone")

	same := three().candidate(ref(8, "a:2", "a")).candidate(ref(9, "b:2", "b"))
	require.Equal(t, AddLearner, NextChange(same, DefaultPolicy(1)).Kind)
	learners := three()
	learners.ReplicaSet.Learners = []*api.ReplicaRef{ref(8, "a:2", "a"), ref(9, "b:2", "b")}
	for _, l := range learners.ReplicaSet.Learners {
		learners.LastContact[l.Id], learners.LearnerSince[l.Id] = start, start
	}
	require.Equal(t, NoChange, NextChange(learners.after(10*time.Second), DefaultPolicy(1)).Kind)
	require.Equal(t, PromoteLearner, NextChange(learners.after(settledAfter), DefaultPolicy(1)).Kind)
}

// TestLeavingVoterIsReplaced guards the number of voters that run against planned stops;
// a learner that another voter of the zone needs more is kept for that one.
func TestLeavingVoterIsReplaced(t *testing.T) {
	v := fiveVoters()
	v.ReplicaSet.Learners = []*api.ReplicaRef{ref(9, "c:2", "c")}
	v.LastContact[9] = start
	v.StoppingAt = map[uint64]time.Time{3: start}
	step := NextChange(v, DefaultPolicy(1))
	require.Equal(t, PromoteLearner, step.Kind)
	require.Equal(t, uint64(3), step.Replaces)
	v.ReplicaSet.Voters[3].AvailabilityZone = "c"
	late := v.after(2500*time.Millisecond, 4)
	late.StoppingAt[3] = late.Now
	require.Equal(t, NoChange, NextChange(late, DefaultPolicy(1)).Kind)
	v.StoppingAt[9] = start
	require.Equal(t, NoChange, NextChange(v, DefaultPolicy(1)).Kind, "the learner stops too")
}
