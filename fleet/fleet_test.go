package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/control"
	"github.com/bilberrydeck/bilberrydeck/core/raft"
	"github.com/bilberrydeck/bilberrydeck/core/statemachine"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// testTimeout limits every wait of a test.
const testTimeout = 60 * time.Second

// testGroup runs control replicas with their session servers in one process.
type testGroup struct {
	t          *testing.T
	seeds      []string
	replicas   map[string]*testReplica
	mu         sync.Mutex
	blackholed map[string]bool // addresses that drop all traffic
	// throttled are addresses from which daemons receive data more slowly than it is sent.
	throttled map[string]bool
}

type testReplica struct {
	server  *control.Server
	service *SessionServer
	stop    func()
}

func newTestGroup(t *testing.T, replicas int) *testGroup {
	g := &testGroup{t: t, replicas: map[string]*testReplica{}, blackholed: map[string]bool{}, throttled: map[string]bool{}}
	var listeners []net.Listener
	for range replicas {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		g.seeds = append(g.seeds, l.Addr().String())
	}
	for i, l := range listeners {
		g.startReplica(l, fmt.Sprint("zone-", i))
	}
	require.Eventually(t, func() bool {
		return g.leader() != nil && len(g.leader().server.RaftStatus().ReplicaSet.Voters) == replicas
	}, testTimeout, 10*time.Millisecond)
	return g
}

// dial opens connections that drop all traffic once their address is blackholed.
func (g *testGroup) dial(ctx context.Context, address string) (net.Conn, error) {
	g.mu.Lock()
	blackholed := g.blackholed[address]
	g.mu.Unlock()
	if blackholed {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := &blackholeConn{Conn: c, group: g, address: address}
	return conn, nil
}

// blackholeConn is a connection that drops all traffic while its address is blackholed.
type blackholeConn struct {
	net.Conn
	group   *testGroup
	address string
}

func (c *blackholeConn) isBlackholed() bool {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return c.group.blackholed[c.address]
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.isBlackholed() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *blackholeConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isBlackholed() {
			return n, err
		}
	}
}

// throttledConn is a connection that is read more slowly than data arrives while its address is
// throttled, so that the delay of updates grows. 24 bytes in three quarters of a second are about
// half of the data of an idle session.
type throttledConn struct {
	net.Conn
	group   *testGroup
	address string
}

func (c *throttledConn) Read(p []byte) (int, error) {
	c.group.mu.Lock()
	throttled := c.group.throttled[c.address]
	c.group.mu.Unlock()
	if throttled {
		time.Sleep(750 * time.Millisecond)
		p = p[:min(len(p), 24)]
	}
	return c.Conn.Read(p)
}

// dialAsDaemon opens connections of daemons, which can be throttled.
func (g *testGroup) dialAsDaemon(ctx context.Context, address string) (net.Conn, error) {
	c, err := g.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &throttledConn{c, g, address}, nil
}

func (g *testGroup) throttle(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.throttled[address] = true
}

func (g *testGroup) blackhole(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blackholed[address] = true
}

func (g *testGroup) startReplica(l net.Listener, zone string) {
	address := l.Addr().String()
	logger := logging.New(io.Discard)
	service := NewSessionServer(logger, time.Now, g.dial)
	server, err := control.New(control.Config{
		Listener: l, DataDirectory: filepath.Join(g.t.TempDir(), "data"), TickInterval: 10 * time.Millisecond, Dialer: g.dial,
		Discovery:       &control.DiscoveryConfig{Seeds: g.seeds, FirstStart: true, AvailabilityZone: zone, ToleratedFailures: (len(g.seeds) - 1) / 2},
		NewStateMachine: func(uint32) control.StateMachine { return statemachine.NewFleet() },
		Register:        func(r grpc.ServiceRegistrar) { api.RegisterFleetServer(r, service) },
	})
	require.NoError(g.t, err)
	service.SetControlServer(server)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = server.Run(ctx) })
	tasks.Go(func() { service.Run(ctx) })
	r := &testReplica{server, service, sync.OnceFunc(func() { cancel(); tasks.Wait() })}
	g.replicas[address] = r
	g.t.Cleanup(r.stop)
}

func (g *testGroup) leader() *testReplica {
	for _, r := range g.replicas {
		if r.server.RaftStatus().Role == raft.Leader {
			return r
		}
	}
	return nil
}

// putConfig replaces the routing configuration and waits until the change is accepted.
func (g *testGroup) putConfig(base, version uint64) {
	require.Eventually(g.t, func() bool {
		l := g.leader()
		if l == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		result, err := l.service.PutConfig(ctx, ConfigChange{BaseVersion: base, Version: version, Document: fmt.Appendf(nil, "routing %d", version)})
		if err != nil {
			return false
		}
		require.Equal(g.t, Accepted, result)
		return true
	}, testTimeout, 10*time.Millisecond)
}

// testDaemon is an agent that records the states passed to OnChange.
type testDaemon struct {
	*Agent
	mu         sync.Mutex
	states     []State
	regression string
}

func (g *testGroup) startDaemon(address, zone string) *testDaemon {
	d := &testDaemon{}
	d.Agent = NewAgent(AgentConfig{
		Address: address, AvailabilityZone: zone, Region: "region", RegionOf: func(string) string { return "region" }, Seeds: g.seeds[:1], Dialer: g.dialAsDaemon,
		Logger: logging.New(io.Discard), Clock: time.Now, OnChange: d.onChange,
	})
	d.Announce(&api.FleetMember{Service: "orders"})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		d.Run(ctx)
		close(stopped)
	}()
	g.t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return d
}

func (d *testDaemon) onChange(s State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.states); n > 0 && (s.Index < d.states[n-1].Index || s.Routing.GetNumber() < d.states[n-1].Routing.GetNumber()) {
		d.regression = fmt.Sprintf("index %d after %d", s.Index, d.states[n-1].Index)
	}
	d.states = append(d.states, s)
}

func (d *testDaemon) lastState() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.states) == 0 {
		return State{}
	}
	return d.states[len(d.states)-1]
}

func (g *testGroup) awaitState(d *testDaemon, ok func(State) bool) {
	require.Eventually(g.t, func() bool { return ok(d.lastState()) }, testTimeout, 5*time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	require.Empty(g.t, d.regression, "the state never regresses")
}

// TestDaemonsReceiveRoutingAndMembers checks that routing configurations and member entries reach
// every daemon, and that daemons connect to the replica of their availability zone.
func TestDaemonsReceiveRoutingAndMembers(t *testing.T) {
	g := newTestGroup(t, 3)
	a, b := g.startDaemon("10.0.0.1:1", "zone-1"), g.startDaemon("10.0.0.2:1", "zone-2")
	g.putConfig(0, 4)
	for _, d := range []*testDaemon{a, b} {
		g.awaitState(d, func(s State) bool { return s.Routing.GetNumber() == 4 && len(s.Members) == 2 })
		text, err := InflateDocument(d.lastState().Routing)
		require.NoError(t, err)
		require.Equal(t, "routing 4", string(text))
	}
	require.Eventually(t, func() bool { return a.ConnectedReplica() == g.seeds[1] && b.ConnectedReplica() == g.seeds[2] }, testTimeout, 5*time.Millisecond)
	a.Announce(&api.FleetMember{Service: "orders", UpstreamId: "i-1", State: api.UpstreamState_UPSTREAM_STATE_SERVING, Slots: 4})
	g.awaitState(b, func(s State) bool { return s.Members["10.0.0.1:1"].GetUpstreamId() == "i-1" })
	g.putConfig(4, 9)
	g.awaitState(a, func(s State) bool { return s.Routing.GetNumber() == 9 })
}

// TestUnresponsiveReplicaIsReplaced checks that a daemon whose replica is frozen or partitioned,
// without a connection reset, receives changes through another replica.
func TestUnresponsiveReplicaIsReplaced(t *testing.T) {
	g := newTestGroup(t, 3)
	d := g.startDaemon("10.0.0.1:1", "zone-1")
	g.putConfig(0, 1)
	g.awaitState(d, func(s State) bool { return s.Routing.GetNumber() == 1 })
	require.Eventually(t, func() bool { return d.ConnectedReplica() == g.seeds[1] }, testTimeout, 5*time.Millisecond)
	g.blackhole(g.seeds[1])
	g.putConfig(1, 2)
	g.awaitState(d, func(s State) bool { return s.Routing.GetNumber() == 2 })
	require.NotEqual(t, g.seeds[1], d.ConnectedReplica())
}

// TestReplicaWithDelayedUpdatesIsReplaced checks that a daemon connects to another replica if the
// updates of its replica arrive with a growing delay, although the replica itself is healthy.
func TestReplicaWithDelayedUpdatesIsReplaced(t *testing.T) {
	g := newTestGroup(t, 3)
	d := g.startDaemon("10.0.0.1:1", "zone-1")
	g.putConfig(0, 1)
	g.awaitState(d, func(s State) bool { return s.Routing.GetNumber() == 1 })
	require.Eventually(t, func() bool { return d.ConnectedReplica() == g.seeds[1] }, testTimeout, 5*time.Millisecond)
	g.throttle(g.seeds[1])
	require.Eventually(t, func() bool { return d.ConnectedReplica() != "" && d.ConnectedReplica() != g.seeds[1] }, testTimeout, 5*time.Millisecond)
	g.putConfig(1, 2)
	g.awaitState(d, func(s State) bool { return s.Routing.GetNumber() == 2 })
}

// TestMembersOfStoppedReplicaRemain checks that daemons whose replica stops connect to another one
// and remain members.
func TestMembersOfStoppedReplicaRemain(t *testing.T) {
	g := newTestGroup(t, 3)
	d := g.startDaemon("10.0.0.1:1", "zone-1")
	observer := g.startDaemon("10.0.0.2:1", "zone-2")
	g.awaitState(observer, func(s State) bool { return len(s.Members) == 2 })
	require.Eventually(t, func() bool { return d.ConnectedReplica() == g.seeds[1] }, testTimeout, 5*time.Millisecond)
	stoppedID := g.replicas[g.seeds[1]].server.Self().Id
	g.awaitState(observer, func(s State) bool { return s.Members["10.0.0.1:1"].GetHome() == stoppedID })
	g.replicas[g.seeds[1]].stop()
	g.awaitState(observer, func(s State) bool { return s.Members["10.0.0.1:1"].GetHome() != stoppedID })
	require.Len(t, observer.lastState().Members, 2)
}

// TestReadWithoutQuorum checks that a replica that may have missed a change rejects a read as
// unavailable, and that a starting daemon activates no state without a quorum confirmation.
func TestReadWithoutQuorum(t *testing.T) {
	g := newTestGroup(t, 3)
	g.putConfig(0, 1)
	survivor := g.replicas[g.seeds[0]]
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		text, err := survivor.service.GetConfig(ctx)
		return err == nil && string(text) == "routing 1"
	}, testTimeout, 5*time.Millisecond)
	g.replicas[g.seeds[1]].stop()
	g.replicas[g.seeds[2]].stop()
	var unavailable *UnavailableError
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_, err := survivor.service.GetConfig(ctx)
		return errors.As(err, &unavailable)
	}, testTimeout, 50*time.Millisecond)
	time.Sleep(maxStartupConfirmationAge) // the last quorum confirmation expires
	late := g.startDaemon("10.0.0.9:1", "zone-0")
	time.Sleep(maxStartupConfirmationAge)
	require.False(t, late.Confirmed(), "a starting daemon activates no state that may be outdated")
	require.Zero(t, late.lastState().Index)
}

// TestFollowerReturnsLeaderAddress checks that a change sent to a follower is rejected with the
// address of the leader.
func TestFollowerReturnsLeaderAddress(t *testing.T) {
	g := newTestGroup(t, 3)
	leader := g.leader()
	for _, r := range g.replicas {
		if r == leader {
			continue
		}
		_, err := r.service.PutConfig(context.Background(), ConfigChange{Version: 1, Document: []byte("x")})
		var notLeader *NotLeaderError
		require.ErrorAs(t, err, &notLeader)
		require.Equal(t, leader.server.Self().Address, notLeader.Leader)
	}
}
