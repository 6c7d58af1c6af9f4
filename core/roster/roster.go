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
	// Voters is the number of voters that the group grows to, and LeastVoters the number
	// that bears the promised losses.
	Voters, LeastVoters int
	// LostAfter is the silence of a voter after which a newer replica of its
	// availability zone takes its place.
	LostAfter time.Duration
	// UnseenAfter is the silence of a voter since the start of a leadership after which any
	// replica of its availability zone takes its place.
	UnseenAfter time.Duration
	// AbandonedAfter is the silence of a voter after which any learner may take
	// its place, and of a learner after which it is dropped.
	AbandonedAfter time.Duration
	// FreshWithin is the silence up to which a replica counts as running.
	FreshWithin time.Duration
	// SettledAfter is how long a learner has to run before a group that bears the promised
	// losses grows by it in an availability zone that has a voter.
	SettledAfter time.Duration
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
	return Policy{Voters: 2*losses + 3, LeastVoters: 2*losses + 1, LostAfter: lostAfter, UnseenAfter: unseenAfter, AbandonedAfter: abandonedAfter, FreshWithin: freshWithin, SettledAfter: settledAfter}
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
	Since      time.Time            // start of this leadership
	Settled    bool                 // the set is committed and not a joint one
	Heard      map[uint64]time.Time // last message by replica id
	Seen       map[uint64]bool      // replicas that have answered this leadership
	Leaving    map[uint64]time.Time // voters that are about to stop, by their last request
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
	View.replaceLostDisk, View.grow, View.replaceLeaving, View.replaceBySuccessor, View.replaceAbandoned, View.addLearner, View.dropLearner,
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

// grow adds a voter while there are too few. It waits until all voters answer: one more
// would raise the quorum without one more running replica. A group that bears the promised
// losses grows by two, since an even number bears no more than the odd one below it, and
// loses its quorum with one voter less than the odd one above.
func (v View) grow(p Policy) Step {
	if len(v.Set.Voters) >= p.Voters || !v.allVotersAnswer(p) {
		return Step{}
	}
	refs, needed := v.newcomers(p), 1
	if n := len(v.Set.Voters); n >= p.LeastVoters {
		refs = slices.DeleteFunc(refs, func(r *api.ReplicaRef) bool { return !v.stays(r, p) })
		needed = 1 + n%2
	}
	if len(refs) < needed {
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

// stays reports whether a newcomer is one more replica and not the successor of a voter
// that is about to stop.
func (v View) stays(ref *api.ReplicaRef, p Policy) bool {
	if !v.hasVoterIn(ref.AvailabilityZone) {
		return true
	}
	since := v.Since
	if joined := v.Joined[ref.Id]; joined.After(since) {
		since = joined
	}
	return v.member(ref.Id) && v.Now.Sub(since) >= p.SettledAfter
}

// replaceLeaving replaces a voter that is about to stop by a learner of its availability
// zone: the VM may be taken away, and the next one lost right after. While another voter
// of the zone is silent the learner is kept for that one.
func (v View) replaceLeaving(p Policy) Step {
	for _, voter := range v.Set.Voters {
		if !v.leaving(voter, p) || v.anySilentIn(voter.AvailabilityZone, p) {
			continue
		}
		for _, l := range v.newcomers(p) {
			if l.AvailabilityZone == voter.AvailabilityZone {
				return Step{Kind: Promote, Ref: l, Replaces: voter.Id, Reason: "a voter stops and a replica of its availability zone is ready"}
			}
		}
	}
	return Step{}
}

// replaceBySuccessor replaces a silent voter by a replica that joined in its
// availability zone at about the time at which the voter fell silent. A learner
// that was there before does not count: the voter may be frozen or cut off, and
// replacing it would cost a copy of the log for nothing.
func (v View) replaceBySuccessor(p Policy) Step {
	for _, voter := range v.silentVoters(p.FreshWithin) {
		for _, ref := range v.newcomers(p) {
			if ref.AvailabilityZone == voter.AvailabilityZone && v.succeeds(ref, voter, p) {
				return Step{Kind: Promote, Ref: ref, Replaces: voter.Id, Reason: "a voter is silent and a replica of its availability zone is ready"}
			}
		}
	}
	return Step{}
}

// succeeds reports whether a newcomer may have come in place of a silent voter. A leader
// does not know when the learners that it found had joined; they may all have. A voter
// that was silent before its time is replaced sooner by a replica that came since, as it
// has been silent for longer than is known, and later by others, as it may have led and
// be frozen.
func (v View) succeeds(ref, voter *api.ReplicaRef, p Policy) bool {
	fell := v.Heard[voter.Id].Add(-successorLead)
	joined, unseen, silence := v.Joined[ref.Id], !v.Seen[voter.Id], v.silence(voter)
	switch {
	case !v.member(ref.Id) || joined.After(fell):
		return unseen || silence > p.LostAfter
	case unseen:
		return silence > p.UnseenAfter
	default:
		return joined.IsZero() && v.Since.After(fell) && silence > p.LostAfter
	}
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

// leaving reports whether a replica is about to stop.
func (v View) leaving(ref *api.ReplicaRef, p Policy) bool {
	asked, ok := v.Leaving[ref.Id]
	return ok && v.Now.Sub(asked) <= p.FreshWithin
}

// newcomers lists the replicas that could become voters: the learners that run and are
// not about to stop, then the candidates.
func (v View) newcomers(p Policy) []*api.ReplicaRef {
	var refs []*api.ReplicaRef
	for _, l := range v.Set.Learners {
		if v.silence(l) <= p.FreshWithin && !v.leaving(l, p) {
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

func (v View) anySilentIn(zone string, p Policy) bool {
	return slices.ContainsFunc(v.silentVoters(p.FreshWithin), func(r *api.ReplicaRef) bool { return r.AvailabilityZone == zone })
}

// allVotersAnswer reports whether each voter has answered this leadership, and lately.
func (v View) allVotersAnswer(p Policy) bool {
	unseen := func(r *api.ReplicaRef) bool { return r.Id != v.Self && !v.Seen[r.Id] }
	return !slices.ContainsFunc(v.Set.Voters, unseen) && len(v.silentVoters(p.FreshWithin)) == 0
}

func (v View) hasVoterIn(zone string) bool {
	return slices.ContainsFunc(v.Set.Voters, func(r *api.ReplicaRef) bool { return r.AvailabilityZone == zone })
}
