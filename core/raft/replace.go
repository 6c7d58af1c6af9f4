package raft

import (
	"cmp"
	"slices"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// ProposeReplace starts to replace the voter oldID by a new replica, or adds
// the new replica as one more voter if oldID is 0. The new replica becomes a
// learner, unless it is one already; once it has caught up, the leader proposes
// the joint configuration and then the new one. A call for a replacement that is
// in progress or completed has no effect. While the learner has not become a
// voter, a call with the learner's id as oldID replaces it by another learner.
func (r *Raft) ProposeReplace(oldID uint64, replacement *api.ReplicaRef) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, &NotLeaderError{Leader: r.leader}
	}
	set := r.replicaSets.current()
	if r.replacementInEffect(oldID, replacement) {
		return r.replicaSets.index(), r.term, nil
	}
	if !r.committedInTerm() {
		return 0, 0, &NoCommitInTermError{}
	}
	next, err := r.planReplacement(set, oldID, replacement)
	if err != nil {
		return 0, 0, err
	}
	e, err := r.appendReplicaSet(next)
	if err != nil {
		return 0, 0, err
	}
	return e.Index, e.Term, nil
}

// replacementInEffect reports whether the replica set in effect includes this
// replacement, in progress or completed.
func (r *Raft) replacementInEffect(oldID uint64, replacement *api.ReplicaRef) bool {
	set := r.replicaSets.current()
	if !sameReplica(find(set, replacement.Id), replacement) {
		return false
	}
	if contains(set.Voters, replacement.Id) {
		return set.Replacing == oldID || !contains(set.Voters, oldID)
	}
	return promotingID(set) == replacement.Id && set.Replacing == oldID
}

// promotingID returns the id of the learner that is to be promoted, 0 if none.
// Earlier versions stored replica sets with at most one learner and without the
// field Promoting.
func promotingID(set *api.ReplicaSet) uint64 {
	if set.GetPromoting() == 0 && set.GetReplacing() != 0 && len(set.GetLearners()) > 0 {
		return set.Learners[0].Id
	}
	return set.GetPromoting()
}

// planReplacement returns the replica set that starts the replacement, or the error
// for the caller of ProposeReplace.
func (r *Raft) planReplacement(set *api.ReplicaSet, oldID uint64, replacement *api.ReplicaRef) (*api.ReplicaSet, error) {
	known := find(set, replacement.Id)
	if known != nil && (contains(set.Voters, known.Id) || !sameReplica(known, replacement)) {
		// A replica that lost its disk needs a new id: replicas that have not
		// received the new set could not distinguish messages of its former
		// identity.
		return nil, &ReplicaIDError{ID: replacement.Id, Reason: "the id is in use; a replacement needs a new id"}
	}
	if !r.configCommitted(set) {
		return nil, r.inProgressError(set)
	}
	replacing, learners := oldID, set.Learners
	if current := promotingID(set); current != 0 {
		if current != oldID {
			return nil, r.inProgressError(set)
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

// configCommitted reports whether the replica set in effect is committed and not a joint
// configuration.
func (r *Raft) configCommitted(set *api.ReplicaSet) bool {
	return r.replicaSets.index() <= r.log.committed && len(set.GetOldVoters()) == 0
}

// ProposeAddLearner adds a learner: a replica that receives the log and does not
// vote.
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

// ProposeRemoveLearner removes a learner. A pending promotion of it is cancelled.
func (r *Raft) ProposeRemoveLearner(id uint64) error {
	return r.proposeLearners(func(set *api.ReplicaSet) ([]*api.ReplicaRef, error) {
		if !contains(set.Learners, id) {
			return nil, &ReplicaIDError{ID: id, Reason: "not a learner of the group"}
		}
		return without(set.Learners, id), nil
	})
}

// proposeLearners changes only the learners, which needs no joint configuration:
// they do not count in any quorum. If change returns a nil list, nothing is
// proposed.
func (r *Raft) proposeLearners(change func(*api.ReplicaSet) ([]*api.ReplicaRef, error)) error {
	if r.role != Leader {
		return &NotLeaderError{Leader: r.leader}
	}
	if !r.committedInTerm() {
		return &NoCommitInTermError{}
	}
	set := r.replicaSets.current()
	if !r.configCommitted(set) {
		return r.inProgressError(set)
	}
	learners, err := change(set)
	if err != nil || learners == nil {
		return err
	}
	next := &api.ReplicaSet{Voters: set.Voters, Learners: learners}
	if p := promotingID(set); contains(learners, p) {
		next.Replacing, next.Promoting = set.Replacing, p
	}
	_, err = r.appendReplicaSet(next)
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

// inProgressError returns the error that describes the replacement in set.
func (r *Raft) inProgressError(set *api.ReplicaSet) error {
	e := &ReplacementInProgressError{OldID: set.Replacing, NewID: promotingID(set)}
	for _, v := range set.Voters {
		if len(set.OldVoters) > 0 && !contains(set.OldVoters, v.Id) {
			e.NewID = v.Id
		}
	}
	return e
}

func (r *Raft) appendReplicaSet(set *api.ReplicaSet) (*api.Entry, error) {
	e, err := newConfigurationEntry(r.term, r.log.last()+1, set)
	if err != nil {
		return nil, err
	}
	r.appendToLog([]*api.Entry{e})
	return e, nil
}

// continueReplacement proposes the next step of a replacement once the previous
// step is committed. Every leader does this, so that a replacement continues if
// the leader that started it fails.
func (r *Raft) continueReplacement() {
	set := r.replicaSets.current()
	if !r.committedInTerm() || r.replicaSets.index() > r.log.committed {
		return
	}
	var next *api.ReplicaSet
	switch {
	case len(set.OldVoters) > 0:
		next = &api.ReplicaSet{Voters: set.Voters, Learners: set.Learners}
	case promotingID(set) != 0 && r.caughtUp(promotingID(set)):
		next = jointConfiguration(set)
	case !contains(set.Voters, r.cfg.Self.Id):
		r.broadcastAppend() // notifies the other replicas that the new set is committed
		r.becomeFollower(r.term, nil)
		return
	default:
		return
	}
	// Encoding cannot fail: the set is built from decoded messages.
	if _, err := r.appendReplicaSet(next); err != nil {
		panic("raft: cannot encode replica set: " + err.Error())
	}
}

// catchUpMargin is the number of entries by which a learner may lag when it is
// promoted. Under constant load a learner is always a few batches behind; this
// number of entries is sent in one or two appends.
const catchUpMargin = 256

// caughtUp reports whether a learner may be promoted: it lags by at most
// catchUpMargin entries and has sent a message since the last quorum check. A
// failed learner must not become a voter.
func (r *Raft) caughtUp(id uint64) bool {
	p := r.progress[id]
	return p != nil && p.recentActive && p.state == stateReplicate && p.match+catchUpMargin >= r.log.committed
}

// jointConfiguration returns the joint configuration in which the learner to be
// promoted is a voter, and the voter to be replaced, if any, only an old voter.
func jointConfiguration(set *api.ReplicaSet) *api.ReplicaSet {
	id := promotingID(set)
	voters := without(set.Voters, set.Replacing)
	voters = append(voters, find(set, id))
	slices.SortFunc(voters, func(a, b *api.ReplicaRef) int { return cmp.Compare(a.Id, b.Id) })
	return &api.ReplicaSet{
		Voters: voters, OldVoters: set.Voters, Learners: without(set.Learners, id), Replacing: set.Replacing, Promoting: id,
	}
}
