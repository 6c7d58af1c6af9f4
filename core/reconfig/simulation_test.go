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

// A simulation injects as many simultaneous VM failures as the group tolerates, and checks
// at every step that enough voters still have their disks for a quorum. Elections and
// changes of the replica set work as in a group without other failures.
const (
	simStep = 100 * time.Millisecond
	// simCatchUp is the time after its return for which a VM still counts as failed.
	simCatchUp = 4 * time.Second
	// simElection is the time from the failure of a leader to the next election.
	simElection = 1500 * time.Millisecond
	// simStopNotice is the time for which a VM sends stop notices before it stops.
	simStopNotice = 1500 * time.Millisecond
)

// simVM is a VM of a simulation. After the loss of its disk it has another replica id.
type simVM struct {
	ref           *api.ReplicaRef
	downUntil     time.Time
	stoppingUntil time.Time // sends stop notices until then
	destroyed     bool
}

type simulation struct {
	t                 *testing.T
	rng               *rand.Rand
	now               time.Time
	seed              uint64
	toleratedFailures int
	vms               []*simVM
	set               *api.ReplicaSet
	leader            uint64
	leaderRanAt       time.Time // last time at which the leader was running
	leaderSince       time.Time // when the leader was elected
	lastContact       map[uint64]time.Time
	contacted         map[uint64]bool
	learnerSince      map[uint64]time.Time
	failedUntil       []time.Time // for each failed VM, when it no longer counts as failed
	events            []simEvent
	lastID            uint64
	trace             []string // changes and failures, printed when the test fails
}

type simEvent struct {
	at time.Time
	do func()
}

func newSimulation(t *testing.T, seed uint64, vms, toleratedFailures int) *simulation {
	s := &simulation{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), now: start, toleratedFailures: toleratedFailures, lastContact: map[uint64]time.Time{}, contacted: map[uint64]bool{}, learnerSince: map[uint64]time.Time{}}
	for i := range vms {
		s.addVM(fmt.Sprint("zone-", i%max(vms/2, 3)))
	}
	first := s.vms[0].ref
	s.set, s.leader = &api.ReplicaSet{Voters: []*api.ReplicaRef{first}}, first.Id
	return s
}

func (s *simulation) addVM(zone string) *simVM {
	s.lastID++
	vm := &simVM{ref: ref(s.lastID, fmt.Sprint("vm-", s.lastID), zone)}
	s.vms = append(s.vms, vm)
	return vm
}

func (s *simulation) running(id uint64) bool {
	return slices.ContainsFunc(s.vms, func(vm *simVM) bool { return vm.ref.Id == id && !vm.destroyed && !s.now.Before(vm.downUntil) })
}

// hasDisk reports whether the disk of a replica exists, whether or not its VM is up.
func (s *simulation) hasDisk(id uint64) bool {
	return slices.ContainsFunc(s.vms, func(vm *simVM) bool { return vm.ref.Id == id && !vm.destroyed })
}

func (s *simulation) quorum(ok func(uint64) bool) bool {
	n := 0
	for _, v := range s.set.Voters {
		if ok(v.Id) {
			n++
		}
	}
	return 2*n > len(s.set.Voters)
}

func (s *simulation) tracef(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprint(s.now.Sub(start), ": ", fmt.Sprintf(format, args...)))
}

func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	for i := 0; i < len(s.events); i++ {
		if e := s.events[i]; !e.at.After(s.now) {
			s.events = slices.Delete(s.events, i, i+1)
			i--
			e.do()
		}
	}
	require.True(s.t, s.quorum(s.hasDisk), "seed %d, %d tolerated failures: at %s too few voters have their disks: %v\n%s", s.seed, s.toleratedFailures, s.now.Sub(start), s.set, strings.Join(s.trace[max(len(s.trace)-20, 0):], "\n"))
	s.elect()
	if !s.running(s.leader) || !s.quorum(s.running) {
		return
	}
	for _, m := range append(slices.Clone(s.set.Voters), s.set.Learners...) {
		if s.running(m.Id) {
			s.lastContact[m.Id], s.contacted[m.Id] = s.now, true
		}
	}
	s.apply(NextChange(s.groupState(), DefaultPolicy(s.toleratedFailures)))
}

// elect elects another running voter if the leader is not running.
func (s *simulation) elect() {
	switch {
	case s.running(s.leader):
		s.leaderRanAt = s.now
	case s.now.Sub(s.leaderRanAt) >= simElection && s.quorum(s.running):
		for _, v := range s.set.Voters {
			if s.running(v.Id) {
				s.leader = v.Id
			}
		}
		s.leaderSince = s.now
		s.contacted, s.learnerSince = map[uint64]bool{}, map[uint64]time.Time{}
		for _, m := range append(slices.Clone(s.set.Voters), s.set.Learners...) {
			s.lastContact[m.Id] = s.now
		}
	}
}

func (s *simulation) groupState() GroupState {
	v := GroupState{Now: s.now, LeaderSince: s.leaderSince, Self: s.leader, ReplicaSet: s.set, ConfigCommitted: true, LastContact: s.lastContact, Contacted: s.contacted, LearnerSince: s.learnerSince, StoppingAt: map[uint64]time.Time{}}
	for _, vm := range s.vms {
		if s.now.Before(vm.stoppingUntil) {
			v.StoppingAt[vm.ref.Id] = s.now
		}
		if s.running(vm.ref.Id) && !v.isMember(vm.ref.Id) {
			v.JoinRequests = append(v.JoinRequests, JoinRequest{Ref: vm.ref, RequestedAt: s.now})
		}
	}
	return v
}

// apply applies a change of the replica set. A promotion needs a running learner.
func (s *simulation) apply(change Change) {
	if change.Kind == NoChange {
		return
	}
	without := func(refs []*api.ReplicaRef, id uint64) []*api.ReplicaRef {
		return slices.DeleteFunc(slices.Clone(refs), func(r *api.ReplicaRef) bool { return r.Id == id })
	}
	if change.Kind == PromoteLearner && !s.running(change.Replica.Id) {
		return
	}
	next := &api.ReplicaSet{Voters: s.set.Voters, Learners: without(s.set.Learners, change.Replica.Id)}
	switch change.Kind {
	case AddLearner:
		next.Learners = append(next.Learners, change.Replica)
		s.learnerSince[change.Replica.Id] = s.now
	case PromoteLearner:
		next.Voters = append(without(s.set.Voters, change.Replaces), change.Replica)
	}
	s.tracef("%s of %d in place of %d by %d: %s", change.Kind, change.Replica.Id, change.Replaces, s.leader, change.Reason)
	s.set = next
	s.lastContact[change.Replica.Id] = s.now
}

// injectFailure makes a random VM fail if the group tolerates one more failure now.
func (s *simulation) injectFailure() {
	s.failedUntil = slices.DeleteFunc(s.failedUntil, func(until time.Time) bool { return !until.After(s.now) })
	if len(s.failedUntil) >= s.toleratedFailures {
		return
	}
	vm := s.vms[s.rng.IntN(len(s.vms))]
	if vm.destroyed || s.now.Before(vm.downUntil) {
		return
	}
	down := time.Duration(500+s.rng.IntN(5000)) * time.Millisecond
	switch s.rng.IntN(5) {
	case 0: // frozen, partitioned or killed
		vm.downUntil = s.now.Add(down)
	case 1: // returns without its disk
		vm.downUntil = s.now.Add(down)
		s.lastID++
		vm.ref = ref(s.lastID, vm.ref.Address, vm.ref.AvailabilityZone)
	case 2: // destroyed; its replacement starts later
		vm.destroyed = true
		s.events = append(s.events, simEvent{s.now.Add(down), func() { s.addVM(vm.ref.AvailabilityZone) }})
	case 3: // planned replacement, which starts first
		s.addVM(vm.ref.AvailabilityZone)
		s.events = append(s.events, simEvent{s.now.Add(down), func() { vm.stoppingUntil = s.now.Add(simStopNotice) }})
		down += simStopNotice
		s.events = append(s.events, simEvent{s.now.Add(down), func() { vm.destroyed = true }})
	case 4: // restarted
		vm.stoppingUntil = s.now.Add(simStopNotice)
		s.events = append(s.events, simEvent{s.now.Add(simStopNotice), func() { vm.downUntil = s.now.Add(down) }})
		down += simStopNotice
	}
	s.tracef("%s (replica %d) is down for %s", vm.ref.Address, vm.ref.Id, down)
	s.failedUntil = append(s.failedUntil, s.now.Add(down+simCatchUp))
}

// TestQuorumSurvivesToleratedFailures guards the quorum: whichever VMs fail, up to the
// tolerated number at once, a majority of the voters keep their disks. It fails if a group
// grows while a voter is down, grows to an even number, or waits too long to replace a failed
// voter.
func TestQuorumSurvivesToleratedFailures(t *testing.T) {
	for _, size := range []struct{ vms, toleratedFailures int }{{3, 1}, {4, 1}, {5, 1}, {6, 1}, {5, 2}, {7, 2}, {11, 2}, {9, 3}} {
		for seed := range uint64(40) {
			s := newSimulation(t, seed, size.vms, size.toleratedFailures)
			for range 100 {
				s.step() // bootstrap
			}
			require.GreaterOrEqual(t, len(s.set.Voters), 2*size.toleratedFailures+1)
			for range 3000 {
				s.step()
				if s.rng.IntN(20) == 0 {
					s.injectFailure()
				}
			}
		}
	}
}
