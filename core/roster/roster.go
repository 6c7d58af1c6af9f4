// Package roster decides how the replicas of a group change when no operator
// names them: which newcomers become learners, which learners become voters and
// which lost replicas are replaced. It performs no I/O; the leader of a group
// asks it for one step at a time.
package roster

import (
	"slices"
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// Policy holds the limits of a roster.
type Policy struct {
	// Voters is the number of voters that the group grows to.
	Voters int
	// LostAfter is the silence of a voter after which a newer replica of its
	// availability zone takes its place.
	LostAfter time.Duration
	// AbandonedAfter is the silence of a voter after which any learner may take
	// its place, and of a learner after which it is dropped.
	AbandonedAfter time.Duration
	// FreshWithin is the silence up to which a replica counts as running.
	FreshWithin time.Duration
}

// The periods of DefaultPolicy.
const (
	// lostAfter exceeds the usual freeze or partition of a VM, after which it
	// returns with its disk. A VM that is gone has a successor by then.
	lostAfter = 5 * time.Second
	// abandonedAfter exceeds the outages that a VM survives.
	abandonedAfter = time.Minute
	// freshWithin covers several heartbeat rounds.
	freshWithin = 2 * time.Second
	// successorLead is how long before the stop of a VM its planned successor
	// may have joined.
	successorLead = 10 * time.Second
)

// DefaultPolicy returns the policy of a group that has to bear the loss of the
// given number of replicas at once. One replica more than that may be away for
// repair.
func DefaultPolicy(losses int) Policy {
	return Policy{Voters: 2*losses + 3, LostAfter: lostAfter, AbandonedAfter: abandonedAfter, FreshWithin: freshWithin}
}

// Candidate is a replica without state that asked to be added.
type Candidate struct {
	Ref     *api.ReplicaRef
	AskedAt time.Time // of its last request
}

// View is what the leader knows of its group.
type View struct {
	Now        time.Time
	Self       uint64
	Set        *api.ReplicaSet
	Settled    bool                 // the set is committed and not a joint one
	Heard      map[uint64]time.Time // last message by replica id
	Joined     map[uint64]time.Time // when a learner was added; zero if that was before this leadership
	Candidates []Candidate
}

// Kind tells what a step does.
type Kind uint8

// The kinds of step.
const (
	None       Kind = iota
	AddLearner      // Ref becomes a learner
	Promote         // Ref becomes a voter, in place of Replaces unless that is 0
	Drop            // the learner Ref is removed
)

var kindNames = [...]string{"none", "add-learner", "promote", "drop"}

// String returns the name used in logs.
func (k Kind) String() string { return kindNames[k] }

// Step is one change of the group.
type Step struct {
	Kind     Kind
	Ref      *api.ReplicaRef
	Replaces uint64
	Reason   string
}

// Next returns the next change, a step of kind None if there is none to make.
func Next(v View, p Policy) Step {
	if !v.Settled {
		return Step{}
	}
	if v.Set.GetPromoting() != 0 {
		return v.promotion(p)
	}
	for _, rule := range rules {
		if step := rule(v, p); step.Kind != None {
			return step
		}
	}
	return Step{}
}

// rules are in the order of urgency: first what restores the number of disks
// that hold the log.
var rules = []func(View, Policy) Step{
	View.replaceLostDisk, View.grow, View.replaceBySuccessor, View.replaceAbandoned, View.addLearner, View.dropLearner,
}

// promotion ends a promotion whose learner has gone.
func (v View) promotion(p Policy) Step {
	for _, l := range v.Set.Learners {
		if l.Id == v.Set.Promoting && v.silence(l) > p.LostAfter {
			return Step{Kind: Drop, Ref: l, Reason: "the learner that was to become a voter is silent"}
		}
	}
	return Step{}
}

// replaceLostDisk replaces a voter by a replica that runs at the same address
// with another disk: the disk of the voter is lost for certain.
func (v View) replaceLostDisk(p Policy) Step {
	for _, ref := range v.newcomers(p) {
		for _, voter := range v.Set.Voters {
			if voter.Address == ref.Address && voter.Id != ref.Id {
				return Step{Kind: Promote, Ref: ref, Replaces: voter.Id, Reason: "a voter came back without its disk"}
			}
		}
	}
	return Step{}
}

// grow adds a voter while there are too few. It waits while a voter is silent:
// one more would raise the quorum without one more running replica.
func (v View) grow(p Policy) Step {
	if len(v.Set.Voters) >= p.Voters || v.anySilentVoter(p) {
		return Step{}
	}
	refs := v.newcomers(p)
	if len(refs) == 0 {
		return Step{}
	}
	best := refs[0]
	for _, ref := range refs {
		if !v.hasVoterIn(ref.AvailabilityZone) {
			best = ref
			break
		}
	}
	return Step{Kind: Promote, Ref: best, Reason: "the group has too few voters"}
}

// replaceBySuccessor replaces a silent voter by a replica that joined in its
// availability zone at about the time at which the voter fell silent. A learner
// that was there before does not count: the voter may be frozen or cut off, and
// replacing it would cost a copy of the log for nothing.
func (v View) replaceBySuccessor(p Policy) Step {
	for _, voter := range v.silentVoters(p.LostAfter) {
		for _, ref := range v.newcomers(p) {
			if ref.AvailabilityZone == voter.AvailabilityZone && v.joinedSince(ref, v.Heard[voter.Id].Add(-successorLead)) {
				return Step{Kind: Promote, Ref: ref, Replaces: voter.Id, Reason: "a voter is silent and a replica of its availability zone is ready"}
			}
		}
	}
	return Step{}
}

// replaceAbandoned replaces a voter that has been silent for long by any
// learner.
func (v View) replaceAbandoned(p Policy) Step {
	silent := v.silentVoters(p.AbandonedAfter)
	refs := v.newcomers(p)
	if len(silent) == 0 || len(refs) == 0 {
		return Step{}
	}
	return Step{Kind: Promote, Ref: refs[0], Replaces: silent[0].Id, Reason: "a voter has been silent for long"}
}

func (v View) addLearner(p Policy) Step {
	for _, c := range v.Candidates {
		if v.fresh(c, p) && !v.member(c.Ref.Id) {
			return Step{Kind: AddLearner, Ref: c.Ref, Reason: "a replica asked to join"}
		}
	}
	return Step{}
}

func (v View) dropLearner(p Policy) Step {
	for _, l := range v.Set.Learners {
		if v.silence(l) > p.AbandonedAfter {
			return Step{Kind: Drop, Ref: l, Reason: "a learner has been silent for long"}
		}
	}
	return Step{}
}

// newcomers lists the replicas that could become voters: the learners that run,
// then the candidates.
func (v View) newcomers(p Policy) []*api.ReplicaRef {
	var refs []*api.ReplicaRef
	for _, l := range v.Set.Learners {
		if v.silence(l) <= p.FreshWithin {
			refs = append(refs, l)
		}
	}
	for _, c := range v.Candidates {
		if v.fresh(c, p) && !v.member(c.Ref.Id) {
			refs = append(refs, c.Ref)
		}
	}
	return refs
}

// joinedSince reports whether a replica joined after a time; a candidate is
// about to.
func (v View) joinedSince(ref *api.ReplicaRef, since time.Time) bool {
	return !v.member(ref.Id) || v.Joined[ref.Id].After(since)
}

func (v View) fresh(c Candidate, p Policy) bool { return v.Now.Sub(c.AskedAt) <= p.FreshWithin }

func (v View) member(id uint64) bool {
	same := func(r *api.ReplicaRef) bool { return r.Id == id }
	return slices.ContainsFunc(v.Set.Voters, same) || slices.ContainsFunc(v.Set.Learners, same)
}

func (v View) silence(ref *api.ReplicaRef) time.Duration {
	if ref.Id == v.Self {
		return 0
	}
	return v.Now.Sub(v.Heard[ref.Id])
}

func (v View) silentVoters(limit time.Duration) []*api.ReplicaRef {
	var silent []*api.ReplicaRef
	for _, voter := range v.Set.Voters {
		if v.silence(voter) > limit {
			silent = append(silent, voter)
		}
	}
	return silent
}

func (v View) anySilentVoter(p Policy) bool { return len(v.silentVoters(p.FreshWithin)) > 0 }

func (v View) hasVoterIn(zone string) bool {
	return slices.ContainsFunc(v.Set.Voters, func(r *api.ReplicaRef) bool { return r.AvailabilityZone == zone })
}
