// Package reconfig decides how the replicas of a group change when no operator
// names them: which newcomers become learners, which learners become voters and
// which lost replicas are replaced. It performs no I/O; the leader of a group
// asks it for one step at a time.
package reconfig

import (
	"slices"
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// Policy holds the limits of a roster.
type Policy struct {
	// TargetVoters is the number of voters that the group grows to, and MinVoters the number
	// that bears the promised losses.
	TargetVoters, MinVoters int
	// FailureTimeout is the silence of a voter after which a newer replica of its
	// availability zone takes its place.
	FailureTimeout time.Duration
	// UncontactedTimeout is the silence of a voter since the start of a leadership after which any
	// replica of its availability zone takes its place.
	UncontactedTimeout time.Duration
	// AbandonTimeout is the silence of a voter after which any learner may take
	// its place, and of a learner after which it is dropped.
	AbandonTimeout time.Duration
	// ActiveWithin is the silence up to which a replica counts as running.
	ActiveWithin time.Duration
	// StabilizationTime is how long a learner has to run before a group that bears the promised
	// losses grows by it in an availability zone that has a voter.
	StabilizationTime time.Duration
}

// The periods of DefaultPolicy.
const (
	// lostAfter exceeds an election and the pauses of a busy VM. With an election before,
	// and the promotion after it, a lost voter is replaced within the catch-up time of
	// its successor, after which the next VM may be lost.
	lostAfter = 3 * time.Second
	// unseenAfter is twice as long: a new leader does not know which came first, the
	// silence of the voter or the learner.
	unseenAfter = 2 * lostAfter
	// abandonedAfter exceeds the outages that a VM survives.
	abandonedAfter = 30 * time.Second
	// freshWithin covers several heartbeat rounds.
	freshWithin = 2 * time.Second
	// settledAfter exceeds the time for which a VM and its planned successor run both.
	settledAfter = 20 * time.Second
	// successorLead is how long before the stop of a VM its planned successor
	// may have joined.
	successorLead = 10 * time.Second
)

// DefaultPolicy returns the policy of a group that has to bear the loss of the
// given number of replicas at once. One replica more than that may be away for
// repair.
func DefaultPolicy(losses int) Policy {
	return Policy{TargetVoters: 2*losses + 3, MinVoters: 2*losses + 1, FailureTimeout: lostAfter, UncontactedTimeout: unseenAfter, AbandonTimeout: abandonedAfter, ActiveWithin: freshWithin, StabilizationTime: settledAfter}
}

// JoinRequest is a replica without state that asked to be added.
type JoinRequest struct {
	Ref         *api.ReplicaRef
	RequestedAt time.Time // of its last request
}

// GroupState is what the leader knows of its group.
type GroupState struct {
	Now             time.Time
	Self            uint64
	ReplicaSet      *api.ReplicaSet
	LeaderSince     time.Time            // start of this leadership
	ConfigCommitted bool                 // the set is committed and not a joint one
	LastContact     map[uint64]time.Time // last message by replica id
	Contacted       map[uint64]bool      // replicas that have answered this leadership
	StoppingAt      map[uint64]time.Time // voters that are about to stop, by their last request
	LearnerSince    map[uint64]time.Time // when a learner was added; zero if that was before this leadership
	JoinRequests    []JoinRequest
}

// ChangeKind tells what a step does.
type ChangeKind uint8

// The kinds of step.
const (
	NoChange       ChangeKind = iota
	AddLearner                // Replica becomes a learner
	PromoteLearner            // Replica becomes a voter, in place of Replaces unless that is 0
	RemoveLearner             // the learner Replica is removed
)

var kindNames = [...]string{"none", "add-learner", "promote", "drop"}

// String returns the name used in logs.
func (k ChangeKind) String() string { return kindNames[k] }

// Change is one change of the group.
type Change struct {
	Kind     ChangeKind
	Replica  *api.ReplicaRef
	Replaces uint64
	Reason   string
}

// NextChange returns the next change, a step of kind NoChange if there is none to make.
func NextChange(v GroupState, p Policy) Change {
	if !v.ConfigCommitted {
		return Change{}
	}
	if v.ReplicaSet.GetPromoting() != 0 {
		return v.promotion(p)
	}
	for _, rule := range rules {
		if step := rule(v, p); step.Kind != NoChange {
			return step
		}
	}
	return Change{}
}

// rules are in the order of urgency: first what restores the number of disks
// that hold the log.
var rules = []func(GroupState, Policy) Change{
	GroupState.replaceLostDisk, GroupState.grow, GroupState.replaceLeaving, GroupState.replaceBySuccessor, GroupState.replaceAbandoned, GroupState.addLearner, GroupState.dropLearner,
}

// promotion ends a promotion whose learner has gone.
func (v GroupState) promotion(p Policy) Change {
	for _, l := range v.ReplicaSet.Learners {
		if l.Id == v.ReplicaSet.Promoting && v.silence(l) > p.FailureTimeout {
			return Change{Kind: RemoveLearner, Replica: l, Reason: "the learner that was to become a voter is silent"}
		}
	}
	return Change{}
}

// replaceLostDisk replaces a voter by a replica that runs at the same address
// with another disk: the disk of the voter is lost for certain.
func (v GroupState) replaceLostDisk(p Policy) Change {
	for _, ref := range v.newcomers(p) {
		for _, voter := range v.ReplicaSet.Voters {
			if voter.Address == ref.Address && voter.Id != ref.Id {
				return Change{Kind: PromoteLearner, Replica: ref, Replaces: voter.Id, Reason: "a voter came back without its disk"}
			}
		}
	}
	return Change{}
}

// grow adds a voter while there are too few. It waits until all voters answer: one more
// would raise the quorum without one more running replica. A group that bears the promised
// losses grows by two, since an even number bears no more than the odd one below it, and
// loses its quorum with one voter less than the odd one above.
func (v GroupState) grow(p Policy) Change {
	if len(v.ReplicaSet.Voters) >= p.TargetVoters || !v.allVotersAnswer(p) {
		return Change{}
	}
	refs, needed := v.newcomers(p), 1
	if n := len(v.ReplicaSet.Voters); n >= p.MinVoters {
		refs = slices.DeleteFunc(refs, func(r *api.ReplicaRef) bool { return !v.stays(r, p) })
		needed = 1 + n%2
	}
	if len(refs) < needed {
		return Change{}
	}
	best := refs[0]
	for _, ref := range refs {
		if !v.hasVoterIn(ref.AvailabilityZone) {
			best = ref
			break
		}
	}
	return Change{Kind: PromoteLearner, Replica: best, Reason: "the group has too few voters"}
}

// stays reports whether a newcomer is one more replica and not the successor of a voter
// that is about to stop.
func (v GroupState) stays(ref *api.ReplicaRef, p Policy) bool {
	if !v.hasVoterIn(ref.AvailabilityZone) {
		return true
	}
	since := v.LeaderSince
	if joined := v.LearnerSince[ref.Id]; joined.After(since) {
		since = joined
	}
	return v.member(ref.Id) && v.Now.Sub(since) >= p.StabilizationTime
}

// replaceLeaving replaces a voter that is about to stop by a learner of its availability
// zone: the VM may be taken away, and the next one lost right after. While another voter
// of the zone is silent the learner is kept for that one.
func (v GroupState) replaceLeaving(p Policy) Change {
	for _, voter := range v.ReplicaSet.Voters {
		if !v.leaving(voter, p) || v.anySilentIn(voter.AvailabilityZone, p) {
			continue
		}
		for _, l := range v.newcomers(p) {
			if l.AvailabilityZone == voter.AvailabilityZone {
				return Change{Kind: PromoteLearner, Replica: l, Replaces: voter.Id, Reason: "a voter stops and a replica of its availability zone is ready"}
			}
		}
	}
	return Change{}
}

// replaceBySuccessor replaces a silent voter by a replica that joined in its
// availability zone at about the time at which the voter fell silent. A learner
// that was there before does not count: the voter may be frozen or cut off, and
// replacing it would cost a copy of the log for nothing.
func (v GroupState) replaceBySuccessor(p Policy) Change {
	for _, voter := range v.silentVoters(p.ActiveWithin) {
		for _, ref := range v.newcomers(p) {
			if ref.AvailabilityZone == voter.AvailabilityZone && v.succeeds(ref, voter, p) {
				return Change{Kind: PromoteLearner, Replica: ref, Replaces: voter.Id, Reason: "a voter is silent and a replica of its availability zone is ready"}
			}
		}
	}
	return Change{}
}

// succeeds reports whether a newcomer may have come in place of a silent voter. A leader
// does not know when the learners that it found had joined; they may all have. A voter
// that was silent before its time is replaced sooner by a replica that came since, as it
// has been silent for longer than is known, and later by others, as it may have led and
// be frozen.
func (v GroupState) succeeds(ref, voter *api.ReplicaRef, p Policy) bool {
	fell := v.LastContact[voter.Id].Add(-successorLead)
	joined, unseen, silence := v.LearnerSince[ref.Id], !v.Contacted[voter.Id], v.silence(voter)
	switch {
	case !v.member(ref.Id) || joined.After(fell):
		return unseen || silence > p.FailureTimeout
	case unseen:
		return silence > p.UncontactedTimeout
	default:
		return joined.IsZero() && v.LeaderSince.After(fell) && silence > p.FailureTimeout
	}
}

// replaceAbandoned replaces a voter that has been silent for long by any
// learner.
func (v GroupState) replaceAbandoned(p Policy) Change {
	silent := v.silentVoters(p.AbandonTimeout)
	refs := v.newcomers(p)
	if len(silent) == 0 || len(refs) == 0 {
		return Change{}
	}
	return Change{Kind: PromoteLearner, Replica: refs[0], Replaces: silent[0].Id, Reason: "a voter has been silent for long"}
}

func (v GroupState) addLearner(p Policy) Change {
	for _, c := range v.JoinRequests {
		if v.fresh(c, p) && !v.member(c.Ref.Id) {
			return Change{Kind: AddLearner, Replica: c.Ref, Reason: "a replica asked to join"}
		}
	}
	return Change{}
}

func (v GroupState) dropLearner(p Policy) Change {
	for _, l := range v.ReplicaSet.Learners {
		if v.silence(l) > p.AbandonTimeout {
			return Change{Kind: RemoveLearner, Replica: l, Reason: "a learner has been silent for long"}
		}
	}
	return Change{}
}

// leaving reports whether a replica is about to stop.
func (v GroupState) leaving(ref *api.ReplicaRef, p Policy) bool {
	asked, ok := v.StoppingAt[ref.Id]
	return ok && v.Now.Sub(asked) <= p.ActiveWithin
}

// newcomers lists the replicas that could become voters: the learners that run and are
// not about to stop, then the candidates.
func (v GroupState) newcomers(p Policy) []*api.ReplicaRef {
	var refs []*api.ReplicaRef
	for _, l := range v.ReplicaSet.Learners {
		if v.silence(l) <= p.ActiveWithin && !v.leaving(l, p) {
			refs = append(refs, l)
		}
	}
	for _, c := range v.JoinRequests {
		if v.fresh(c, p) && !v.member(c.Ref.Id) {
			refs = append(refs, c.Ref)
		}
	}
	return refs
}

func (v GroupState) fresh(c JoinRequest, p Policy) bool {
	return v.Now.Sub(c.RequestedAt) <= p.ActiveWithin
}

func (v GroupState) member(id uint64) bool {
	same := func(r *api.ReplicaRef) bool { return r.Id == id }
	return slices.ContainsFunc(v.ReplicaSet.Voters, same) || slices.ContainsFunc(v.ReplicaSet.Learners, same)
}

func (v GroupState) silence(ref *api.ReplicaRef) time.Duration {
	if ref.Id == v.Self {
		return 0
	}
	return v.Now.Sub(v.LastContact[ref.Id])
}

func (v GroupState) silentVoters(limit time.Duration) []*api.ReplicaRef {
	var silent []*api.ReplicaRef
	for _, voter := range v.ReplicaSet.Voters {
		if v.silence(voter) > limit {
			silent = append(silent, voter)
		}
	}
	return silent
}

func (v GroupState) anySilentIn(zone string, p Policy) bool {
	return slices.ContainsFunc(v.silentVoters(p.ActiveWithin), func(r *api.ReplicaRef) bool { return r.AvailabilityZone == zone })
}

// allVotersAnswer reports whether each voter has answered this leadership, and lately.
func (v GroupState) allVotersAnswer(p Policy) bool {
	unseen := func(r *api.ReplicaRef) bool { return r.Id != v.Self && !v.Contacted[r.Id] }
	return !slices.ContainsFunc(v.ReplicaSet.Voters, unseen) && len(v.silentVoters(p.ActiveWithin)) == 0
}

func (v GroupState) hasVoterIn(zone string) bool {
	return slices.ContainsFunc(v.ReplicaSet.Voters, func(r *api.ReplicaRef) bool { return r.AvailabilityZone == zone })
}
