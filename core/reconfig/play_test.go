package reconfig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// A play lets the VMs of a group fail as often as the group promises to bear, and checks
// that enough voters with their disks are left for a quorum at every moment. Elections
// and changes of the set are those of a group without other faults.
const (
	playStep = 100 * time.Millisecond
	// playCatchUp is the time after its return for which a VM still counts as lost.
	playCatchUp = 4 * time.Second
	// playElection is the time from the loss of a leader to the next one.
	playElection = 1500 * time.Millisecond
	// playNotice is the time for which a VM tells that it is about to stop.
	playNotice = 1500 * time.Millisecond
)

// playVM is a VM of a play. A lost disk gives it another replica id.
type playVM struct {
	ref     *api.ReplicaRef
	downTo  time.Time
	leaving time.Time // until when it tells that it is about to stop
	gone    bool
}

type play struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	seed    uint64
	losses  int
	vms     []*playVM
	set     *api.ReplicaSet
	leader  uint64
	elected time.Time // last time at which the leader ran
	since   time.Time // start of its leadership
	heard   map[uint64]time.Time
	seen    map[uint64]bool
	joined  map[uint64]time.Time
	lost    []time.Time // until when a VM counts as lost
	later   []playEvent
	ids     uint64
	story   []string // what happened, for a failure
}

type playEvent struct {
	at time.Time
	do func()
}

func newPlay(t *testing.T, seed uint64, vms, losses int) *play {
	p := &play{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), now: start, losses: losses, heard: map[uint64]time.Time{}, seen: map[uint64]bool{}, joined: map[uint64]time.Time{}}
	for i := range vms {
		p.add(fmt.Sprint("zone-", i%max(vms/2, 3)))
	}
	founder := p.vms[0].ref
	p.set, p.leader = &api.ReplicaSet{Voters: []*api.ReplicaRef{founder}}, founder.Id
	return p
}

func (p *play) add(zone string) *playVM {
	p.ids++
	vm := &playVM{ref: ref(p.ids, fmt.Sprint("vm-", p.ids), zone)}
	p.vms = append(p.vms, vm)
	return vm
}

func (p *play) runs(id uint64) bool {
	return slices.ContainsFunc(p.vms, func(vm *playVM) bool { return vm.ref.Id == id && !vm.gone && !p.now.Before(vm.downTo) })
}

// intact reports whether the disk of a replica exists, its VM being up or not.
func (p *play) intact(id uint64) bool {
	return slices.ContainsFunc(p.vms, func(vm *playVM) bool { return vm.ref.Id == id && !vm.gone })
}

func (p *play) quorum(ok func(uint64) bool) bool {
	n := 0
	for _, v := range p.set.Voters {
		if ok(v.Id) {
			n++
		}
	}
	return 2*n > len(p.set.Voters)
}

func (p *play) tell(format string, args ...any) {
	p.story = append(p.story, fmt.Sprint(p.now.Sub(start), ": ", fmt.Sprintf(format, args...)))
}

func (p *play) step() {
	p.now = p.now.Add(playStep)
	for i := 0; i < len(p.later); i++ {
		if e := p.later[i]; !e.at.After(p.now) {
			p.later = slices.Delete(p.later, i, i+1)
			i--
			e.do()
		}
	}
	require.True(p.t, p.quorum(p.intact), "seed %d, %d losses, at %s too few disks are left: %v\n%s", p.seed, p.losses, p.now.Sub(start), p.set, strings.Join(p.story[max(len(p.story)-20, 0):], "\n"))
	p.elect()
	if !p.runs(p.leader) || !p.quorum(p.runs) {
		return
	}
	for _, m := range append(slices.Clone(p.set.Voters), p.set.Learners...) {
		if p.runs(m.Id) {
			p.heard[m.Id], p.seen[m.Id] = p.now, true
		}
	}
	p.change(NextChange(p.view(), DefaultPolicy(p.losses)))
}

// elect replaces a leader that does not run.
func (p *play) elect() {
	switch {
	case p.runs(p.leader):
		p.elected = p.now
	case p.now.Sub(p.elected) >= playElection && p.quorum(p.runs):
		for _, v := range p.set.Voters {
			if p.runs(v.Id) {
				p.leader = v.Id
			}
		}
		p.since = p.now
		p.seen, p.joined = map[uint64]bool{}, map[uint64]time.Time{}
		for _, m := range append(slices.Clone(p.set.Voters), p.set.Learners...) {
			p.heard[m.Id] = p.now
		}
	}
}

func (p *play) view() GroupState {
	v := GroupState{Now: p.now, LeaderSince: p.since, Self: p.leader, ReplicaSet: p.set, ConfigCommitted: true, LastContact: p.heard, Contacted: p.seen, LearnerSince: p.joined, StoppingAt: map[uint64]time.Time{}}
	for _, vm := range p.vms {
		if p.now.Before(vm.leaving) {
			v.StoppingAt[vm.ref.Id] = p.now
		}
		if p.runs(vm.ref.Id) && !v.member(vm.ref.Id) {
			v.JoinRequests = append(v.JoinRequests, JoinRequest{Ref: vm.ref, RequestedAt: p.now})
		}
	}
	return v
}

// change carries out a step, if a quorum of the new set runs too.
func (p *play) change(s Change) {
	if s.Kind == NoChange {
		return
	}
	without := func(refs []*api.ReplicaRef, id uint64) []*api.ReplicaRef {
		return slices.DeleteFunc(slices.Clone(refs), func(r *api.ReplicaRef) bool { return r.Id == id })
	}
	if s.Kind == PromoteLearner && !p.runs(s.Replica.Id) {
		return
	}
	next := &api.ReplicaSet{Voters: p.set.Voters, Learners: without(p.set.Learners, s.Replica.Id)}
	switch s.Kind {
	case AddLearner:
		next.Learners = append(next.Learners, s.Replica)
		p.joined[s.Replica.Id] = p.now
	case PromoteLearner:
		next.Voters = append(without(p.set.Voters, s.Replaces), s.Replica)
	}
	p.tell("%s of %d in place of %d by %d: %s", s.Kind, s.Replica.Id, s.Replaces, p.leader, s.Reason)
	p.set = next
	p.heard[s.Replica.Id] = p.now
}

// fault lets one VM fail if the group has to bear one more loss now.
func (p *play) fault() {
	p.lost = slices.DeleteFunc(p.lost, func(until time.Time) bool { return !until.After(p.now) })
	if len(p.lost) >= p.losses {
		return
	}
	vm := p.vms[p.rng.IntN(len(p.vms))]
	if vm.gone || p.now.Before(vm.downTo) {
		return
	}
	down := time.Duration(500+p.rng.IntN(5000)) * time.Millisecond
	switch p.rng.IntN(5) {
	case 0: // frozen, cut off or killed
		vm.downTo = p.now.Add(down)
	case 1: // returns without its disk
		vm.downTo = p.now.Add(down)
		p.ids++
		vm.ref = ref(p.ids, vm.ref.Address, vm.ref.AvailabilityZone)
	case 2: // gone; its successor comes later
		vm.gone = true
		p.later = append(p.later, playEvent{p.now.Add(down), func() { p.add(vm.ref.AvailabilityZone) }})
	case 3: // its successor comes first
		p.add(vm.ref.AvailabilityZone)
		p.later = append(p.later, playEvent{p.now.Add(down), func() { vm.leaving = p.now.Add(playNotice) }})
		down += playNotice
		p.later = append(p.later, playEvent{p.now.Add(down), func() { vm.gone = true }})
	case 4: // stopped and started again
		vm.leaving = p.now.Add(playNotice)
		p.later = append(p.later, playEvent{p.now.Add(playNotice), func() { vm.downTo = p.now.Add(down) }})
		down += playNotice
	}
	p.tell("%s, now %d, is away for %s", vm.ref.Address, vm.ref.Id, down)
	p.lost = append(p.lost, p.now.Add(down+playCatchUp))
}

// TestPromisedLossesAreBorne guards the quorum: whatever VMs fail, no more than promised
// at once, voters with their disks remain in the majority. It fails if a group grows while
// a voter is away, grows to an even number, or waits too long to replace a lost voter.
func TestPromisedLossesAreBorne(t *testing.T) {
	for _, size := range []struct{ vms, losses int }{{3, 1}, {4, 1}, {5, 1}, {6, 1}, {5, 2}, {7, 2}, {11, 2}, {9, 3}} {
		for seed := range uint64(40) {
			p := newPlay(t, seed, size.vms, size.losses)
			for range 100 {
				p.step() // founding
			}
			require.GreaterOrEqual(t, len(p.set.Voters), 2*size.losses+1)
			for range 3000 {
				p.step()
				if p.rng.IntN(20) == 0 {
					p.fault()
				}
			}
		}
	}
}
