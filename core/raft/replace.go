package raft

import (
	"slices"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// ProposeReplace starts to replace the voter oldID by a new replica. The new
// replica becomes a learner; once it has caught up, the leader proposes the
// joint configuration and then the new one. A repeated call with the same
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
		return 0, 0, &NotReadyError{}
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
	return set.Replacing == oldID || !contains(set.Voters, oldID)
}

func (r *Raft) planReplacement(set *api.ReplicaSet, oldID uint64, replacement *api.ReplicaRef) (*api.ReplicaSet, error) {
	if find(set, replacement.Id) != nil {
		// A replica that lost its disk returns under a new id: messages of
		// the former identity could otherwise not be told apart by replicas
		// that have not seen the new set.
		return nil, &ReplicaIDError{ID: replacement.Id, Reason: "the id is in use; a replacement needs a new id"}
	}
	if r.sets.index() > r.log.committed || len(set.OldVoters) > 0 {
		return nil, r.inProgress(set)
	}
	replacing := oldID
	if len(set.Learners) > 0 {
		if set.Learners[0].Id != oldID {
			return nil, r.inProgress(set)
		}
		replacing = set.Replacing
	}
	if !contains(set.Voters, replacing) {
		return nil, &ReplicaIDError{ID: oldID, Reason: "not a voter of the group"}
	}
	return &api.ReplicaSet{Voters: set.Voters, Learners: []*api.ReplicaRef{replacement}, Replacing: replacing}, nil
}

func (r *Raft) inProgress(set *api.ReplicaSet) error {
	e := &ReplacementInProgressError{OldID: set.Replacing}
	if len(set.Learners) > 0 {
		e.NewID = set.Learners[0].Id
	}
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
		next = &api.ReplicaSet{Voters: set.Voters}
	case len(set.Learners) > 0 && r.caughtUp(set.Learners[0].Id):
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

func jointSet(set *api.ReplicaSet) *api.ReplicaSet {
	voters := slices.Clone(set.Voters)
	for i, v := range voters {
		if v.Id == set.Replacing {
			voters[i] = set.Learners[0]
		}
	}
	return &api.ReplicaSet{Voters: voters, OldVoters: set.Voters, Replacing: set.Replacing}
}
