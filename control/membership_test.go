package control

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/raft"
	"github.com/bilberrydeck/bilberrydeck/core/statemachine"
	"github.com/bilberrydeck/bilberrydeck/internal/freeport"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// discoveryCluster runs replicas that discover each other through three seeds.
type discoveryCluster struct {
	t         *testing.T
	dir       string
	addresses []string          // listen addresses; the first three are the seeds
	zones     map[string]string // availability zone by address, for replicas that share one
	running   map[string]*process
	adjust    func(address string, cfg *Config) // changes the configuration of a replica; nil keeps it
	log       lockedBuffer                      // of all replicas, printed if the test fails
}

// lockedBuffer is a buffer that several replicas write to.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func newDiscoveryCluster(t *testing.T, replicas int) *discoveryCluster {
	c := &discoveryCluster{t: t, dir: t.TempDir(), zones: map[string]string{}, running: map[string]*process{}}
	t.Cleanup(func() {
		c.log.mu.Lock()
		defer c.log.mu.Unlock()
		if t.Failed() {
			t.Logf("log of the replicas:\n%s", c.log.text.String())
		}
	})
	for range replicas {
		c.addresses = append(c.addresses, freeport.Address(t))
	}
	t.Cleanup(func() {
		for address := range c.running {
			c.stop(address)
		}
	})
	return c
}

func (c *discoveryCluster) start(address string, firstStart bool) *process {
	s, err := New(c.config(address, firstStart))
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{s, cancel, make(chan error, 1)}
	go func() { p.ended <- s.Run(ctx) }()
	c.running[address] = p
	return p
}

func (c *discoveryCluster) config(address string, firstStart bool) Config {
	listener, err := net.Listen("tcp", address)
	require.NoError(c.t, err)
	logger := logging.New(&c.log)
	logger.Context = log.NewContext(nil).Str("at", address).Value()
	cfg := Config{
		Listener: listener, DataDirectory: filepath.Join(c.dir, address), Logger: logger,
		TickInterval:    20 * time.Millisecond,
		NewStateMachine: func(uint32) StateMachine { return statemachine.NewFleet() },
		Discovery: &DiscoveryConfig{
			Seeds: c.addresses[:3], FirstStart: firstStart, ToleratedFailures: 1, AvailabilityZone: cmp.Or(c.zones[address], "zone-of-"+address),
		},
	}
	if c.adjust != nil {
		c.adjust(address, &cfg)
	}
	return cfg
}

func (c *discoveryCluster) startAll() {
	for _, address := range c.addresses {
		c.start(address, true)
	}
}

func (c *discoveryCluster) stop(address string) {
	p := c.running[address]
	delete(c.running, address)
	p.cancel()
	err := <-p.ended
	var removed *RemovedError
	require.True(c.t, err == nil || errors.As(err, &removed), "%v", err)
}

func (c *discoveryCluster) wipe(address string) {
	require.NoError(c.t, os.RemoveAll(filepath.Join(c.dir, address)))
}

// voters returns the ids of the voters in the leader's committed replica set, by address.
func (c *discoveryCluster) voters() map[string]uint64 {
	for _, p := range c.running {
		v := p.server.configGroup().view.Load()
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

func (c *discoveryCluster) awaitVoters(addresses ...string) map[string]uint64 {
	var found map[string]uint64
	require.Eventually(c.t, func() bool {
		found = c.voters()
		if len(found) != len(addresses) {
			return false
		}
		for _, address := range addresses {
			if found[address] == 0 {
				return false
			}
		}
		return true
	}, testTimeout, 20*time.Millisecond)
	return found
}

// acceptRouting submits a routing change at each running replica until the leader accepts it.
func (c *discoveryCluster) acceptRouting(base, number uint64) {
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
	}, testTimeout, 20*time.Millisecond)
}

func (c *discoveryCluster) awaitConfigVersion(address string, number uint64) {
	require.Eventually(c.t, func() bool {
		version := uint64(0)
		c.running[address].server.Read(func(m StateMachine) { version = m.(*statemachine.Fleet).ConfigVersion() })
		return version == number
	}, testTimeout, 20*time.Millisecond)
}

// TestSeedsBootstrapOneGroup guards against two groups: replicas that start concurrently with
// three seeds form a single group, which accepts no change before it tolerates the loss of a
// disk.
func TestSeedsBootstrapOneGroup(t *testing.T) {
	c := newDiscoveryCluster(t, 5)
	c.startAll()
	c.awaitVoters(c.addresses...)
	c.acceptRouting(0, 4)
	for _, address := range c.addresses {
		c.awaitConfigVersion(address, 4)
	}
}

// TestEmptyReplicaDoesNotBootstrap guards against a second group, bootstrapped by replicas that
// have no data although the system does not start for the first time: they must wait for others.
func TestEmptyReplicaDoesNotBootstrap(t *testing.T) {
	c := newDiscoveryCluster(t, 3)
	for _, address := range c.addresses {
		c.start(address, false)
	}
	time.Sleep(time.Second) // several times the bootstrap and election timeouts
	require.Empty(t, c.voters())
}

// TestLostDiskIsReplaced checks the repair without an operator: a replica that restarts without its
// disk joins with a new id and replaces the former one, for each seed in turn, and no accepted
// change is lost.
func TestLostDiskIsReplaced(t *testing.T) {
	c := newDiscoveryCluster(t, 5)
	c.startAll()
	c.awaitVoters(c.addresses...)
	for i, address := range c.addresses[:3] {
		former := c.voters()[address]
		c.acceptRouting(uint64(i), uint64(i+1))
		c.stop(address)
		c.wipe(address)
		c.start(address, false)
		require.Eventually(t, func() bool {
			v := c.voters()
			return v[address] != 0 && v[address] != former && len(v) == 5
		}, testTimeout, 20*time.Millisecond)
		c.awaitConfigVersion(address, uint64(i+1))
	}
}

// TestReplacedReplicaStops guards against a replica that restarts after it was replaced and then
// waits forever or causes elections in the group: it must stop with RemovedError.
func TestReplacedReplicaStops(t *testing.T) {
	c := newDiscoveryCluster(t, 5)
	c.startAll()
	c.awaitVoters(c.addresses...)
	c.checkReplacedReplicaStops(c.addresses[3])
}

// TestLateJoinRequestIsForgotten guards against a replica that is added again after it was replaced,
// because a join request that it had sent while it was being added arrived after that.
func TestLateJoinRequestIsForgotten(t *testing.T) {
	c := newDiscoveryCluster(t, 5)
	c.startAll()
	c.awaitVoters(c.addresses...)
	joined := c.addresses[3]
	reply, err := c.awaitLeader().server.Join(t.Context(), &api.JoinRequest{Replica: c.running[joined].server.self})
	require.NoError(t, err)
	require.True(t, reply.Leader)
	c.checkReplacedReplicaStops(joined)
}

func (c *discoveryCluster) awaitLeader() (leader *process) {
	require.Eventually(c.t, func() bool {
		for _, p := range c.running {
			if p.server.configGroup().view.Load().status.Role == raft.Leader {
				leader = p
			}
		}
		return leader != nil
	}, testTimeout, 20*time.Millisecond)
	return leader
}

// checkReplacedReplicaStops stops a voter, replaces it by a new one and starts it again.
func (c *discoveryCluster) checkReplacedReplicaStops(stopped string) {
	t, id := c.t, c.voters()[stopped]
	c.stop(stopped)
	leader := c.awaitLeader()
	replacement := freeport.Address(t)
	p := c.start(replacement, false)
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = leader.server.configGroup().proposeConfChange(ctx, func(r *raft.Raft) error {
			_, _, err := r.ProposeReplace(id, p.server.self)
			return err
		})
		v := c.voters()
		return v[stopped] == 0 && v[replacement] != 0
	}, testTimeout, 50*time.Millisecond)
	restarted := c.start(stopped, false)
	var removed *RemovedError
	select {
	case err := <-restarted.ended:
		require.ErrorAs(t, err, &removed)
		delete(c.running, stopped)
	case <-time.After(testTimeout):
		t.Fatal("the replaced replica did not stop")
	}
}

// newReplacement returns a new address in the availability zone of another one.
func (c *discoveryCluster) newReplacement(of string) string {
	address := freeport.Address(c.t)
	c.zones[address] = cmp.Or(c.zones[of], "zone-of-"+of)
	return address
}

// TestThreeReplicasTolerateSuccessiveLosses checks a group of the minimum size: the replica on a
// new VM replaces the voter of the failed VM. If it joined as a fourth voter, only two of four
// voters would remain when the next disk is lost.
func TestThreeReplicasTolerateSuccessiveLosses(t *testing.T) {
	c := newDiscoveryCluster(t, 3)
	c.startAll()
	c.awaitVoters(c.addresses...)
	c.acceptRouting(0, 1)
	stopped, kept, wiped := c.addresses[0], c.addresses[1], c.addresses[2]
	c.stop(stopped)
	next := c.newReplacement(stopped)
	c.start(next, false)
	former := c.awaitVoters(next, kept, wiped)[wiped]
	c.stop(wiped)
	c.wipe(wiped)
	c.start(wiped, false)
	require.Eventually(t, func() bool {
		v := c.voters()
		return len(v) == 3 && v[wiped] != 0 && v[wiped] != former
	}, testTimeout, 20*time.Millisecond)
	c.awaitConfigVersion(wiped, 1)
	c.acceptRouting(1, 2)
}

// TestStoppingReplicaIsReplacedByLearner checks that the number of voters is kept during graceful
// shutdowns: a voter, also the leader, is replaced by a learner of its availability zone before it
// stops. A voter whose zone has no learner stops at once.
func TestStoppingReplicaIsReplacedByLearner(t *testing.T) {
	c := newDiscoveryCluster(t, 3)
	c.startAll()
	c.awaitVoters(c.addresses...)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c.running[c.addresses[0]].server.RequestReplacement(ctx)
	c.awaitVoters(c.addresses...)
	for _, address := range c.addresses {
		next := c.newReplacement(address)
		p := c.start(next, false)
		require.Eventually(t, func() bool { return !p.server.empty() }, testTimeout, 20*time.Millisecond)
		require.Eventually(t, func() bool { return c.running[address].server.hasReplacement() }, testTimeout, 20*time.Millisecond)
		c.running[address].server.RequestReplacement(ctx)
		require.NoError(t, ctx.Err())
		require.Zero(t, c.voters()[address])
		c.stop(address)
		require.Eventually(t, func() bool { return c.voters()[next] != 0 }, testTimeout, 20*time.Millisecond)
	}
	require.Len(t, c.voters(), 3)
	c.acceptRouting(0, 1)
}
