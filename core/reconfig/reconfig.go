// Package reconfig decides automatic membership changes of a replica group: which joining
// replicas become learners, which learners become voters and which failed replicas are
// replaced. It performs no I/O; the leader of the group asks it for one change at a time.
package reconfig

import (
	"slices"
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// Policy holds the sizes and timeouts by which the replica set of a group changes.
type Policy struct {
	// TargetVoters is the number of voters that the group grows to. MinVoters is the least
	// number that tolerates the configured number of failures.
	TargetVoters, MinVoters int
	// FailureTimeout is the time since the last contact after which a voter is replaced by a
	// replica of its availability zone that joined since.
	FailureTimeout time.Duration
	// UncontactedTimeout is the time after which a voter that has not been contacted by the
	// current leader is replaced by any replica of its availability zone.
	UncontactedTimeout time.Duration
	// ExpiryTimeout is the time since the last contact after which a voter is replaced by any
	// learner, and a learner is removed.
	ExpiryTimeout time.Duration
	// ActiveWithin is the time since the last contact up to which a replica counts as running.
	ActiveWithin time.Duration
	// StabilizationTime is how long a learner must have run before a group of at least
	// MinVoters adds it as a voter in an availability zone that already has one.
	StabilizationTime time.Duration
}

// The durations of DefaultPolicy.
const (
	// failureTimeout exceeds an election and the pauses of a busy VM. Together with an election
	// before it and the promotion after it, it is short enough to replace a failed voter within
	// the time that a new VM needs to catch up, after which the next VM may fail.
	failureTimeout = 3 * time.Second
	// uncontactedTimeout is twice as long: a new leader cannot tell whether the voter failed
	// before or after the learner joined.
	uncontactedTimeout = 2 * failureTimeout
	// expiryTimeout exceeds the outages after which a VM usually returns.
	expiryTimeout = 30 * time.Second
	// activeWithin covers several heartbeat intervals.
	activeWithin = 2 * time.Second
	// stabilizationTime exceeds the time for which a VM and its planned replacement both run.
	stabilizationTime = 20 * time.Second
	// replacementLead is how long before the stop of a VM its planned replacement may have
	// joined.
	replacementLead = 10 * time.Second
)

// DefaultPolicy returns the policy of a group that tolerates the given number of simultaneous
// failures. The target size allows for one more replica that is down for repair.
func DefaultPolicy(toleratedFailures int) Policy {
	return Policy{TargetVoters: 2*toleratedFailures + 3, MinVoters: 2*toleratedFailures + 1, FailureTimeout: failureTimeout, UncontactedTimeout: uncontactedTimeout, ExpiryTimeout: expiryTimeout, ActiveWithin: activeWithin, StabilizationTime: stabilizationTime}
}

// JoinRequest is the request of a replica without state to join the group.
type JoinRequest struct {
	Ref         *api.ReplicaRef
	RequestedAt time.Time // time of its last request
}

// GroupState is the state of the group as observed by its leader.
type GroupState struct {
	Now             time.Time
	Self            uint64
	ReplicaSet      *api.ReplicaSet
	LeaderSince     time.Time            // when this replica became leader
	ConfigCommitted bool                 // ReplicaSet is committed and not a joint configuration
	LastContact     map[uint64]time.Time // time of the last message, by replica id
	Contacted       map[uint64]bool      // replicas that have replied to this leader in its term
	StoppingAt      map[uint64]time.Time // last stop notice of replicas that are about to stop, by replica id
	LearnerSince    map[uint64]time.Time // when a learner was added, by replica id; zero if that was before LeaderSince
	JoinRequests    []JoinRequest
}

// ChangeKind is the kind of a change.
type ChangeKind uint8

// The kinds of change.
const (
	NoChange       ChangeKind = iota
	AddLearner                // Replica becomes a learner
	PromoteLearner            // Replica becomes a voter and replaces the voter Replaces, if that is not 0
	RemoveLearner             // Replica, a learner, is removed
)

var kindNames = [...]string{"none", "add-learner", "promote", "drop"}

// String returns the name used in logs.
func (k ChangeKind) String() string { return kindNames[k] }

// Change is one change of the replica set.
type Change struct {
	Kind     ChangeKind
	Replica  *api.ReplicaRef
	Replaces uint64
	Reason   string
}

// NextChange returns the next change of the group, or one of kind NoChange if none is due.
func NextChange(g GroupState, p Policy) Change {
	if !g.ConfigCommitted {
		return Change{}
	}
	if g.ReplicaSet.GetPromoting() != 0 {
		return g.abortPromotion(p)
	}
	for _, changeRule := range changeRules {
		if change := changeRule(g, p); change.Kind != NoChange {
			return change
		}
	}
	return Change{}
}

// changeRules are ordered by urgency: rules that restore the number of disks with a copy of
// the log come first.
var changeRules = []func(GroupState, Policy) Change{
	GroupState.replaceLostDisk, GroupState.addVoter, GroupState.replaceStoppingVoter, GroupState.replaceFailedVoter, GroupState.replaceExpiredVoter, GroupState.addLearner, GroupState.removeExpiredLearner,
}

// abortPromotion removes a learner that fails while it is being promoted.
func (g GroupState) abortPromotion(p Policy) Change {
	for _, l := range g.ReplicaSet.Learners {
		if l.Id == g.ReplicaSet.Promoting && g.sinceLastContact(l) > p.FailureTimeout {
			return Change{Kind: RemoveLearner, Replica: l, Reason: "the learner that is being promoted is unresponsive"}
		}
	}
	return Change{}
}

// replaceLostDisk replaces a voter by a replica that runs at the same address with another
// disk, which proves that the disk of the voter is lost.
func (g GroupState) replaceLostDisk(p Policy) Change {
	for _, ref := range g.promotable(p) {
		for _, voter := range g.ReplicaSet.Voters {
			if voter.Address == ref.Address && voter.Id != ref.Id {
				return Change{Kind: PromoteLearner, Replica: ref, Replaces: voter.Id, Reason: "a voter restarted with another disk"}
			}
		}
	}
	return Change{}
}

// addVoter adds a voter while the group has fewer than TargetVoters. It waits until all voters
// respond, since one more voter would otherwise raise the quorum without one more running
// replica. From MinVoters on, the group grows by two voters: an even number tolerates no more
// failures than the odd number below it, and one failure fewer than the odd number above it.
func (g GroupState) addVoter(p Policy) Change {
	if len(g.ReplicaSet.Voters) >= p.TargetVoters || !g.allVotersResponsive(p) {
		return Change{}
	}
	candidates, needed := g.promotable(p), 1
	if n := len(g.ReplicaSet.Voters); n >= p.MinVoters {
		candidates = slices.DeleteFunc(candidates, func(r *api.ReplicaRef) bool { return !g.isAdditional(r, p) })
		needed = 1 + n%2
	}
	if len(candidates) < needed {
		return Change{}
	}
	replica := candidates[0]
	for _, ref := range candidates {
		if !g.hasVoterIn(ref.AvailabilityZone) {
			replica = ref
			break
		}
	}
	return Change{Kind: PromoteLearner, Replica: replica, Reason: "the group has too few voters"}
}

// isAdditional reports whether a promotable replica adds to the group, and is not the planned
// replacement of a voter that is about to stop.
func (g GroupState) isAdditional(ref *api.ReplicaRef, p Policy) bool {
	if !g.hasVoterIn(ref.AvailabilityZone) {
		return true
	}
	since := g.LeaderSince
	if joined := g.LearnerSince[ref.Id]; joined.After(since) {
		since = joined
	}
	return g.isMember(ref.Id) && g.Now.Sub(since) >= p.StabilizationTime
}

// replaceStoppingVoter replaces a voter that is about to stop by a learner of its availability
// zone: its VM may be removed, and the next VM may fail right after. While another voter of
// the zone is unresponsive, the learner is kept as a replacement for that one.
func (g GroupState) replaceStoppingVoter(p Policy) Change {
	for _, voter := range g.ReplicaSet.Voters {
		if !g.stopping(voter, p) || g.hasUnresponsiveVoterIn(voter.AvailabilityZone, p) {
			continue
		}
		for _, l := range g.promotable(p) {
			if l.AvailabilityZone == voter.AvailabilityZone {
				return Change{Kind: PromoteLearner, Replica: l, Replaces: voter.Id, Reason: "a voter stops and a replica of its availability zone is ready"}
			}
		}
	}
	return Change{}
}

// replaceFailedVoter replaces an unresponsive voter by a replica that joined in its
// availability zone at about the time of the failure. A learner that joined earlier does not
// count: the voter may be frozen or partitioned, and a replacement would then copy the log
// needlessly.
func (g GroupState) replaceFailedVoter(p Policy) Change {
	for _, voter := range g.unresponsiveVoters(p.ActiveWithin) {
		for _, ref := range g.promotable(p) {
			if ref.AvailabilityZone == voter.AvailabilityZone && g.isReplacementFor(ref, voter, p) {
				return Change{Kind: PromoteLearner, Replica: ref, Replaces: voter.Id, Reason: "a voter is unresponsive and a replica of its availability zone is ready"}
			}
		}
	}
	return Change{}
}

// isReplacementFor reports whether a promotable replica may have been started to replace an
// unresponsive voter. It may if it joined after the last contact with the voter, or at most
// replacementLead before. A leader does not know when the learners that were added before its
// term joined, so each of them may be a replacement. A voter without contact in this term has
// been unresponsive for longer than the leader has measured, so a replica that joined in this
// term replaces it at once; other replicas replace it later, since the voter may be the former
// leader, and only frozen.
func (g GroupState) isReplacementFor(ref, voter *api.ReplicaRef, p Policy) bool {
	earliestJoin := g.LastContact[voter.Id].Add(-replacementLead)
	joinedAt, uncontacted, idle := g.LearnerSince[ref.Id], !g.Contacted[voter.Id], g.sinceLastContact(voter)
	switch {
	case !g.isMember(ref.Id) || joinedAt.After(earliestJoin):
		return uncontacted || idle > p.FailureTimeout
	case uncontacted:
		return idle > p.UncontactedTimeout
	default:
		return joinedAt.IsZero() && g.LeaderSince.After(earliestJoin) && idle > p.FailureTimeout
	}
}

// replaceExpiredVoter replaces a voter that has been unresponsive for ExpiryTimeout by any
// promotable replica.
func (g GroupState) replaceExpiredVoter(p Policy) Change {
	unresponsive := g.unresponsiveVoters(p.ExpiryTimeout)
	candidates := g.promotable(p)
	if len(unresponsive) == 0 || len(candidates) == 0 {
		return Change{}
	}
	return Change{Kind: PromoteLearner, Replica: candidates[0], Replaces: unresponsive[0].Id, Reason: "a voter has been unresponsive for too long"}
}

// addLearner adds a replica that asked to join.
func (g GroupState) addLearner(p Policy) Change {
	for _, c := range g.JoinRequests {
		if g.stillJoining(c, p) && !g.isMember(c.Ref.Id) {
			return Change{Kind: AddLearner, Replica: c.Ref, Reason: "a replica asked to join"}
		}
	}
	return Change{}
}

// removeExpiredLearner removes a learner that has been unresponsive for ExpiryTimeout.
func (g GroupState) removeExpiredLearner(p Policy) Change {
	for _, l := range g.ReplicaSet.Learners {
		if g.sinceLastContact(l) > p.ExpiryTimeout {
			return Change{Kind: RemoveLearner, Replica: l, Reason: "a learner has been unresponsive for too long"}
		}
	}
	return Change{}
}

// stopping reports whether a replica is about to stop.
func (g GroupState) stopping(ref *api.ReplicaRef, p Policy) bool {
	noticeAt, ok := g.StoppingAt[ref.Id]
	return ok && g.Now.Sub(noticeAt) <= p.ActiveWithin
}

// promotable returns the replicas that may become voters: first the learners that run and are
// not about to stop, then the replicas that ask to join.
func (g GroupState) promotable(p Policy) []*api.ReplicaRef {
	var candidates []*api.ReplicaRef
	for _, l := range g.ReplicaSet.Learners {
		if g.sinceLastContact(l) <= p.ActiveWithin && !g.stopping(l, p) {
			candidates = append(candidates, l)
		}
	}
	for _, c := range g.JoinRequests {
		if g.stillJoining(c, p) && !g.isMember(c.Ref.Id) {
			candidates = append(candidates, c.Ref)
		}
	}
	return candidates
}

// stillJoining reports whether the last join request of a replica is recent.
func (g GroupState) stillJoining(c JoinRequest, p Policy) bool {
	return g.Now.Sub(c.RequestedAt) <= p.ActiveWithin
}

// isMember reports whether a replica is a voter or a learner.
func (g GroupState) isMember(id uint64) bool {
	same := func(r *api.ReplicaRef) bool { return r.Id == id }
	return slices.ContainsFunc(g.ReplicaSet.Voters, same) || slices.ContainsFunc(g.ReplicaSet.Learners, same)
}

// sinceLastContact returns the time since the last message of a replica, 0 for the leader.
func (g GroupState) sinceLastContact(ref *api.ReplicaRef) time.Duration {
	if ref.Id == g.Self {
		return 0
	}
	return g.Now.Sub(g.LastContact[ref.Id])
}

// unresponsiveVoters returns the voters without contact for longer than the timeout.
func (g GroupState) unresponsiveVoters(timeout time.Duration) []*api.ReplicaRef {
	var unresponsive []*api.ReplicaRef
	for _, voter := range g.ReplicaSet.Voters {
		if g.sinceLastContact(voter) > timeout {
			unresponsive = append(unresponsive, voter)
		}
	}
	return unresponsive
}

func (g GroupState) hasUnresponsiveVoterIn(zone string, p Policy) bool {
	return slices.ContainsFunc(g.unresponsiveVoters(p.ActiveWithin), func(r *api.ReplicaRef) bool { return r.AvailabilityZone == zone })
}

// allVotersResponsive reports whether each voter has replied in this term and the last contact
// with it is within ActiveWithin.
func (g GroupState) allVotersResponsive(p Policy) bool {
	uncontacted := func(r *api.ReplicaRef) bool { return r.Id != g.Self && !g.Contacted[r.Id] }
	return !slices.ContainsFunc(g.ReplicaSet.Voters, uncontacted) && len(g.unresponsiveVoters(p.ActiveWithin)) == 0
}

func (g GroupState) hasVoterIn(zone string) bool {
	return slices.ContainsFunc(g.ReplicaSet.Voters, func(r *api.ReplicaRef) bool { return r.AvailabilityZone == zone })
}
