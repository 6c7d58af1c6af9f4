package raft

import (
	"cmp"
	"slices"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// ProposeReplace starts to replace the voter oldID by a new replica, or adds
// the new replica as one more voter if oldID is 0. The new replica becomes a
// learner, unless it is one already; once it has caught up, the leader proposes
// the joint configuration and then the new one. A repeated call with the same
// replicas does no harm. While the learner has not become a voter, a call with
// the learner's id as oldID puts another learner in its place.
func (r *Raft) ProposeReplace(oldID uint64, replacement *api.ReplicaRef) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, &NotLeaderError{Leader: r.leader}
	}
	set := r.sets.current()
	if r.replaced(oldID, replacement) {
		return r.sets.index(), r.term, nil
	}
	if !r.committedInTerm() {
		return 0, 0, &NoCommitInTermError{}
	}
	next, err := r.planReplacement(set, oldID, replacement)
	if err != nil {
		return 0, 0, err
	}
	e, err := r.appendSet(next)
	if err != nil {
		return 0, 0, err
	}
	return e.Index, e.Term, nil
}

// replaced reports whether the set in effect already shows this replacement,
// in progress or completed.
func (r *Raft) replaced(oldID uint64, replacement *api.ReplicaRef) bool {
	set := r.sets.current()
	if !sameReplica(find(set, replacement.Id), replacement) {
		return false
	}
	if contains(set.Voters, replacement.Id) {
		return set.Replacing == oldID || !contains(set.Voters, oldID)
	}
	return promoting(set) == replacement.Id && set.Replacing == oldID
}

// promoting is the id of the learner that is to become a voter, 0 if none.
// Sets of earlier versions held no other learner and did not name it.
func promoting(set *api.ReplicaSet) uint64 {
	if set.GetPromoting() == 0 && set.GetReplacing() != 0 && len(set.GetLearners()) > 0 {
		return set.Learners[0].Id
	}
	return set.GetPromoting()
}

func (r *Raft) planReplacement(set *api.ReplicaSet, oldID uint64, replacement *api.ReplicaRef) (*api.ReplicaSet, error) {
	known := find(set, replacement.Id)
	if known != nil && (contains(set.Voters, known.Id) || !sameReplica(known, replacement)) {
		// A replica that lost its disk returns under a new id: messages of
		// the former identity could otherwise not be told apart by replicas
		// that have not seen the new set.
		return nil, &ReplicaIDError{ID: replacement.Id, Reason: "the id is in use; a replacement needs a new id"}
	}
	if !r.settled(set) {
		return nil, r.inProgress(set)
	}
	replacing, learners := oldID, set.Learners
	if current := promoting(set); current != 0 {
		if current != oldID {
			return nil, r.inProgress(set)
		}
		replacing, learners = set.Replacing, without(learners, current)
	}
	if replacing != 0 && !contains(set.Voters, replacing) {
		return nil, &ReplicaIDError{ID: oldID, Reason: "not a voter of the group"}
	}
	if known == nil {
		learners = append(slices.Clone(learners), replacement)
	}
	return &api.ReplicaSet{Voters: set.Voters, Learners: learners, Replacing: replacing, Promoting: replacement.Id}, nil
}

// settled reports whether the set in effect is committed and not a joint one.
func (r *Raft) settled(set *api.ReplicaSet) bool {
	return r.sets.index() <= r.log.committed && len(set.GetOldVoters()) == 0
}

// ProposeAddLearner adds a replica that gets the log and does not vote.
func (r *Raft) ProposeAddLearner(ref *api.ReplicaRef) error {
	return r.proposeLearners(func(set *api.ReplicaSet) ([]*api.ReplicaRef, error) {
		switch known := find(set, ref.Id); {
		case sameReplica(known, ref):
			return nil, nil
		case known != nil:
			return nil, &ReplicaIDError{ID: ref.Id, Reason: "the id is in use by a replica with another disk"}
		}
		return append(slices.Clone(set.Learners), ref), nil
	})
}

// ProposeRemoveLearner removes a learner. If it was to become a voter, that ends.
func (r *Raft) ProposeRemoveLearner(id uint64) error {
	return r.proposeLearners(func(set *api.ReplicaSet) ([]*api.ReplicaRef, error) {
		if !contains(set.Learners, id) {
			return nil, &ReplicaIDError{ID: id, Reason: "not a learner of the group"}
		}
		return without(set.Learners, id), nil
	})
}

// proposeLearners changes the learners alone, which needs no joint set: they
// do not count in any quorum. A nil list changes nothing.
func (r *Raft) proposeLearners(change func(*api.ReplicaSet) ([]*api.ReplicaRef, error)) error {
	if r.role != Leader {
		return &NotLeaderError{Leader: r.leader}
	}
	if !r.committedInTerm() {
		return &NoCommitInTermError{}
	}
	set := r.sets.current()
	if !r.settled(set) {
		return r.inProgress(set)
	}
	learners, err := change(set)
	if err != nil || learners == nil {
		return err
	}
	next := &api.ReplicaSet{Voters: set.Voters, Learners: learners}
	if p := promoting(set); contains(learners, p) {
		next.Replacing, next.Promoting = set.Replacing, p
	}
	_, err = r.appendSet(next)
	return err
}

func without(list []*api.ReplicaRef, id uint64) []*api.ReplicaRef {
	rest := make([]*api.ReplicaRef, 0, len(list))
	for _, ref := range list {
		if ref.Id != id {
			rest = append(rest, ref)
		}
	}
	return rest
}

func (r *Raft) inProgress(set *api.ReplicaSet) error {
	e := &ReplacementInProgressError{OldID: set.Replacing, NewID: promoting(set)}
	for _, v := range set.Voters {
		if len(set.OldVoters) > 0 && !contains(set.OldVoters, v.Id) {
			e.NewID = v.Id
		}
	}
	return e
}

func (r *Raft) appendSet(set *api.ReplicaSet) (*api.Entry, error) {
	e, err := setEntry(r.term, r.log.last()+1, set)
	if err != nil {
		return nil, err
	}
	r.appendToLog([]*api.Entry{e})
	return e, nil
}

// continueReplacement proposes the next step of a replacement once the
// previous one is committed. Any leader does so, so that a replacement
// survives the loss of the leader that started it.
func (r *Raft) continueReplacement() {
	set := r.sets.current()
	if !r.committedInTerm() || r.sets.index() > r.log.committed {
		return
	}
	var next *api.ReplicaSet
	switch {
	case len(set.OldVoters) > 0:
		next = &api.ReplicaSet{Voters: set.Voters, Learners: set.Learners}
	case promoting(set) != 0 && r.caughtUp(promoting(set)):
		next = jointSet(set)
	case !contains(set.Voters, r.cfg.Self.Id):
		r.flushAppends() // tells the others that the new set is committed
		r.becomeFollower(r.term, nil)
		return
	default:
		return
	}
	// A set that was built from decoded messages always encodes.
	if _, err := r.appendSet(next); err != nil {
		panic("raft: replica set does not encode: " + err.Error())
	}
}

// catchUpMargin is the number of entries by which a learner may lag when it
// becomes a voter. Under constant load a learner is always some batches
// behind; this many entries are sent in one or two appends.
const catchUpMargin = 256

// caughtUp also requires that the learner was heard since the last check of
// the quorum: a dead learner must not become a voter.
func (r *Raft) caughtUp(id uint64) bool {
	p := r.progress[id]
	return p != nil && p.active && p.state == replicating && p.match+catchUpMargin >= r.log.committed
}

// jointSet is the joint configuration by which the promoted learner becomes a
// voter, in the place of the replaced one if there is one.
func jointSet(set *api.ReplicaSet) *api.ReplicaSet {
	id := promoting(set)
	voters := without(set.Voters, set.Replacing)
	voters = append(voters, find(set, id))
	slices.SortFunc(voters, func(a, b *api.ReplicaRef) int { return cmp.Compare(a.Id, b.Id) })
	return &api.ReplicaSet{
		Voters: voters, OldVoters: set.Voters, Learners: without(set.Learners, id), Replacing: set.Replacing, Promoting: id,
	}
}
