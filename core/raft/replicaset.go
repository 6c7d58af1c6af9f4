package raft

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// replicaSetHistory holds the replica sets of the log. A set takes effect when
// its entry is appended and is removed when the entry is truncated.
type replicaSetHistory struct {
	sets []indexedReplicaSet
}

// indexedReplicaSet is a replica set with the log index of its entry.
type indexedReplicaSet struct {
	index uint64
	set   *api.ReplicaSet
}

func (h *replicaSetHistory) reset(index uint64, set *api.ReplicaSet) {
	h.sets = []indexedReplicaSet{{index, set}}
}

// current returns the set in effect, nil if none is known.
func (h *replicaSetHistory) current() *api.ReplicaSet {
	if len(h.sets) == 0 {
		return nil
	}
	return h.sets[len(h.sets)-1].set
}

// index returns the log index of the set in effect.
func (h *replicaSetHistory) index() uint64 {
	if len(h.sets) == 0 {
		return 0
	}
	return h.sets[len(h.sets)-1].index
}

// at returns the set that was in effect at a log index.
func (h *replicaSetHistory) at(index uint64) *api.ReplicaSet {
	for _, s := range slices.Backward(h.sets) {
		if s.index <= index {
			return s.set
		}
	}
	return nil
}

// onAppend records the appended entry e: it removes the sets of truncated entries
// and adds the set of a configuration entry.
func (h *replicaSetHistory) onAppend(e *api.Entry) {
	h.truncate(e.Index)
	if e.Kind != api.EntryKind_ENTRY_KIND_CONFIGURATION {
		return
	}
	set := &api.ReplicaSet{}
	if err := proto.Unmarshal(e.Data, set); err != nil {
		panic(fmt.Sprintf("raft: cannot decode configuration entry %d: %v", e.Index, err))
	}
	h.sets = append(h.sets, indexedReplicaSet{e.Index, set})
}

// truncate removes the sets from index on.
func (h *replicaSetHistory) truncate(index uint64) {
	for len(h.sets) > 0 && h.sets[len(h.sets)-1].index >= index {
		h.sets = h.sets[:len(h.sets)-1]
	}
}

// compact drops the sets before the one in effect at index.
func (h *replicaSetHistory) compact(index uint64) {
	for len(h.sets) > 1 && h.sets[1].index <= index {
		h.sets = h.sets[1:]
	}
}

// BootstrapEntry returns the first log entry of a new group, which sets its
// voters.
func BootstrapEntry(voters []*api.ReplicaRef) (*api.Entry, error) {
	return newConfigurationEntry(1, 1, &api.ReplicaSet{Voters: voters})
}

func newConfigurationEntry(term, index uint64, set *api.ReplicaSet) (*api.Entry, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(set)
	if err != nil {
		return nil, err
	}
	return &api.Entry{Term: term, Index: index, Kind: api.EntryKind_ENTRY_KIND_CONFIGURATION, Data: data}, nil
}

// members returns each replica of the set once: voters, old voters, learners.
func members(set *api.ReplicaSet) []*api.ReplicaRef {
	var all []*api.ReplicaRef
	for _, list := range [][]*api.ReplicaRef{set.GetVoters(), set.GetOldVoters(), set.GetLearners()} {
		for _, ref := range list {
			if !contains(all, ref.Id) {
				all = append(all, ref)
			}
		}
	}
	return all
}

func contains(list []*api.ReplicaRef, id uint64) bool {
	return slices.ContainsFunc(list, func(r *api.ReplicaRef) bool { return r.Id == id })
}

func find(set *api.ReplicaSet, id uint64) *api.ReplicaRef {
	for _, ref := range members(set) {
		if ref.Id == id {
			return ref
		}
	}
	return nil
}

func isVoter(set *api.ReplicaSet, id uint64) bool {
	return contains(set.GetVoters(), id) || contains(set.GetOldVoters(), id)
}

// quorum reports whether the replicas for which ok returns true are a majority
// of the voters and, in a joint configuration, also of the old voters.
func quorum(set *api.ReplicaSet, ok func(id uint64) bool) bool {
	if len(set.GetVoters()) == 0 || !majority(set.Voters, ok) {
		return false
	}
	return len(set.OldVoters) == 0 || majority(set.OldVoters, ok)
}

func majority(list []*api.ReplicaRef, ok func(id uint64) bool) bool {
	n := 0
	for _, ref := range list {
		if ok(ref.Id) {
			n++
		}
	}
	return n > len(list)/2
}

// quorumValue returns the largest value that is reached by a quorum.
func quorumValue(set *api.ReplicaSet, value func(id uint64) uint64) uint64 {
	v := majorityValue(set.GetVoters(), value)
	if len(set.GetOldVoters()) > 0 {
		v = min(v, majorityValue(set.OldVoters, value))
	}
	return v
}

func majorityValue(list []*api.ReplicaRef, value func(id uint64) uint64) uint64 {
	if len(list) == 0 {
		return 0
	}
	values := make([]uint64, 0, len(list))
	for _, ref := range list {
		values = append(values, value(ref.Id))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
