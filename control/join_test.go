package control

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/raft"
	"github.com/bilberrydeck/bilberrydeck/core/statemachine"
)

// seededCluster runs replicas that know only three seeds.
type seededCluster struct {
	t       *testing.T
	dir     string
	places  []string          // listen addresses, the first three are the seeds
	zones   map[string]string // availability zones of places that are not alone in one
	running map[string]*process
}

func newSeededCluster(t *testing.T, replicas int) *seededCluster {
	c := &seededCluster{t: t, dir: t.TempDir(), zones: map[string]string{}, running: map[string]*process{}}
	for range replicas {
		c.places = append(c.places, freeAddress(t))
	}
	t.Cleanup(func() {
		for place := range c.running {
			c.stop(place)
		}
	})
	return c
}

func (c *seededCluster) start(place string, firstStart bool) *process {
	listener, err := net.Listen("tcp", place)
	require.NoError(c.t, err)
	s, err := New(Config{
		Listener: listener, DataDirectory: filepath.Join(c.dir, place),
		TickInterval:    20 * time.Millisecond,
		NewStateMachine: func(uint32) StateMachine { return statemachine.NewFleet() },
		Seeded: &SeedConfig{
			Seeds: c.places[:3], FirstStart: firstStart, ToleratedFailures: 1, AvailabilityZone: cmp.Or(c.zones[place], "zone-of-"+place),
		},
	})
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{s, cancel, make(chan error, 1)}
	go func() { p.ended <- s.Run(ctx) }()
	c.running[place] = p
	return p
}

func (c *seededCluster) startAll() {
	for _, place := range c.places {
		c.start(place, true)
	}
}

func (c *seededCluster) stop(place string) {
	p := c.running[place]
	delete(c.running, place)
	p.cancel()
	err := <-p.ended
	var removed *RemovedError
	require.True(c.t, err == nil || errors.As(err, &removed), "%v", err)
}

func (c *seededCluster) wipe(place string) {
	require.NoError(c.t, os.RemoveAll(filepath.Join(c.dir, place)))
}

// voters returns the voters by address that the leader's committed set has.
func (c *seededCluster) voters() map[string]uint64 {
	for _, p := range c.running {
		v := p.server.configuration().view.Load()
		if v.status.Role == raft.Leader && v.status.ReplicaSetCommitted && len(v.status.ReplicaSet.OldVoters) == 0 {
			out := map[string]uint64{}
			for _, r := range v.status.ReplicaSet.Voters {
				out[r.Address] = r.Id
			}
			return out
		}
	}
	return nil
}

func (c *seededCluster) awaitVoters(places ...string) map[string]uint64 {
	var found map[string]uint64
	require.Eventually(c.t, func() bool {
		found = c.voters()
		if len(found) != len(places) {
			return false
		}
		for _, place := range places {
			if found[place] == 0 {
				return false
			}
		}
		return true
	}, patience, 20*time.Millisecond)
	return found
}

// route submits a routing change at the leader until it is accepted.
func (c *seededCluster) route(base, number uint64) {
	cmd := &api.FleetCommand{Operation: &api.FleetCommand_Routing{Routing: &api.RoutingChange{
		Base: base, Digest: fmt.Append(nil, number), Document: &api.RoutingDocument{Number: number},
	}}}
	require.Eventually(c.t, func() bool {
		for _, p := range c.running {
			res := &api.FleetResult{}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := p.server.Execute(ctx, cmd, res)
			cancel()
			if err == nil {
				require.Equal(c.t, api.RoutingStatus_ROUTING_STATUS_ACCEPTED, res.Status)
				return true
			}
		}
		return false
	}, patience, 20*time.Millisecond)
}

func (c *seededCluster) awaitNumber(place string, number uint64) {
	require.Eventually(c.t, func() bool {
		held := uint64(0)
		c.running[place].server.Read(func(m StateMachine) { held = m.(*statemachine.Fleet).ConfigVersion() })
		return held == number
	}, patience, 20*time.Millisecond)
}

// TestSeedsFoundOneGroup guards against two groups: replicas that start at once
// in any order and know only three seeds form a single one, which accepts no
// change before it could bear the loss of a disk.
func TestSeedsFoundOneGroup(t *testing.T) {
	c := newSeededCluster(t, 5)
	c.startAll()
	c.awaitVoters(c.places...)
	c.route(0, 4)
	for _, place := range c.places {
		c.awaitNumber(place, 4)
	}
}

// TestEmptyReplicaNeverFounds guards the group against a replica that lost its
// disk at the second start: it waits for the others.
func TestEmptyReplicaNeverFounds(t *testing.T) {
	c := newSeededCluster(t, 3)
	for _, place := range c.places {
		c.start(place, false)
	}
	time.Sleep(time.Second) // several founding and election timeouts
	require.Empty(t, c.voters())
}

// TestLostDiskIsReplaced guards the repair without an operator: a replica that
// comes back without its disk joins as a new one in place of the former, one
// after the other, and what was accepted stays.
func TestLostDiskIsReplaced(t *testing.T) {
	c := newSeededCluster(t, 5)
	c.startAll()
	c.awaitVoters(c.places...)
	for i, place := range c.places[:3] {
		former := c.voters()[place]
		c.route(uint64(i), uint64(i+1))
		c.stop(place)
		c.wipe(place)
		c.start(place, false)
		require.Eventually(t, func() bool {
			v := c.voters()
			return v[place] != 0 && v[place] != former && len(v) == 5
		}, patience, 20*time.Millisecond)
		c.awaitNumber(place, uint64(i+1))
	}
}

// TestReplacedReplicaIsTold guards against a replica that comes back after it
// was replaced and waits for ever, or disturbs the group: it learns that it no
// longer belongs.
func TestReplacedReplicaIsTold(t *testing.T) {
	c := newSeededCluster(t, 5)
	c.startAll()
	id := c.awaitVoters(c.places...)[c.places[3]]
	gone := c.places[3]
	c.stop(gone)
	var leader *process
	require.Eventually(t, func() bool {
		for _, p := range c.running {
			if p.server.configuration().view.Load().status.Role == raft.Leader {
				leader = p
			}
		}
		return leader != nil
	}, patience, 20*time.Millisecond)
	fresh := freeAddress(t)
	p := c.start(fresh, false)
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = leader.server.configuration().changeSet(ctx, func(r *raft.Raft) error {
			_, _, err := r.ProposeReplace(id, p.server.self)
			return err
		})
		v := c.voters()
		return v[gone] == 0 && v[fresh] != 0
	}, patience, 50*time.Millisecond)
	back := c.start(gone, false)
	var removed *RemovedError
	select {
	case err := <-back.ended:
		require.ErrorAs(t, err, &removed)
		delete(c.running, gone)
	case <-time.After(patience):
		t.Fatal("the replaced replica was not told")
	}
}

// successor returns a new place in the availability zone of another one.
func (c *seededCluster) successor(of string) string {
	place := freeAddress(c.t)
	c.zones[place] = cmp.Or(c.zones[of], "zone-of-"+of)
	return place
}

// TestThreeReplicasBearLossesInTurn guards a group of the least size: the successor of a
// VM that is gone takes its place instead of joining as a fourth voter, which would leave
// two of four when the next disk is lost.
func TestThreeReplicasBearLossesInTurn(t *testing.T) {
	c := newSeededCluster(t, 3)
	c.startAll()
	c.awaitVoters(c.places...)
	c.route(0, 1)
	gone, kept, wiped := c.places[0], c.places[1], c.places[2]
	c.stop(gone)
	next := c.successor(gone)
	c.start(next, false)
	former := c.awaitVoters(next, kept, wiped)[wiped]
	c.stop(wiped)
	c.wipe(wiped)
	c.start(wiped, false)
	require.Eventually(t, func() bool {
		v := c.voters()
		return len(v) == 3 && v[wiped] != 0 && v[wiped] != former
	}, patience, 20*time.Millisecond)
	c.awaitNumber(wiped, 1)
	c.route(1, 2)
}

// TestStoppingReplicaHandsOver guards the number of voters against planned stops: one
// that has a learner in its availability zone lets it vote before it stops, the leader
// too, and one that has none stops at once.
func TestStoppingReplicaHandsOver(t *testing.T) {
	c := newSeededCluster(t, 3)
	c.startAll()
	c.awaitVoters(c.places...)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	c.running[c.places[0]].server.RequestReplacement(ctx)
	c.awaitVoters(c.places...)
	for _, place := range c.places {
		next := c.successor(place)
		p := c.start(next, false)
		require.Eventually(t, func() bool { return !p.server.empty() }, patience, 20*time.Millisecond)
		require.Eventually(t, func() bool { return c.running[place].server.hasSuccessor() }, patience, 20*time.Millisecond)
		c.running[place].server.RequestReplacement(ctx)
		require.NoError(t, ctx.Err())
		require.Zero(t, c.voters()[place])
		c.stop(place)
		require.Eventually(t, func() bool { return c.voters()[next] != 0 }, patience, 20*time.Millisecond)
	}
	require.Len(t, c.voters(), 3)
	c.route(0, 1)
}
