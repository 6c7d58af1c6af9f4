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

// patience bounds every wait; a test that needs it all has failed.
const patience = 60 * time.Second

// group runs control replicas with their services in one process.
type group struct {
	t        *testing.T
	seeds    []string
	replicas map[string]*replica
	mu       sync.Mutex
	cut      map[string]bool // addresses that nobody can connect to
	// squeezed are addresses from which daemons get less than is sent to them.
	squeezed map[string]bool
}

type replica struct {
	server  *control.Server
	service *SessionServer
	stop    func()
}

func newGroup(t *testing.T, replicas int) *group {
	g := &group{t: t, replicas: map[string]*replica{}, cut: map[string]bool{}, squeezed: map[string]bool{}}
	var listeners []net.Listener
	for range replicas {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		g.seeds = append(g.seeds, l.Addr().String())
	}
	for i, l := range listeners {
		g.start(l, fmt.Sprint("zone-", i))
	}
	require.Eventually(t, func() bool {
		return g.leader() != nil && len(g.leader().server.RaftStatus().ReplicaSet.Voters) == replicas
	}, patience, 10*time.Millisecond)
	return g
}

// dial opens connections that the test can silence.
func (g *group) dial(ctx context.Context, address string) (net.Conn, error) {
	g.mu.Lock()
	cut := g.cut[address]
	g.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &silenced{Conn: c, group: g, address: address}
	return s, nil
}

// silenced is a connection whose writes vanish while its address is cut.
type silenced struct {
	net.Conn
	group   *group
	address string
}

func (s *silenced) isCut() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.group.cut[s.address]
}

func (s *silenced) Write(p []byte) (int, error) {
	if s.isCut() {
		return len(p), nil
	}
	return s.Conn.Write(p)
}

func (s *silenced) Read(p []byte) (int, error) {
	for {
		n, err := s.Conn.Read(p)
		if err != nil || !s.isCut() {
			return n, err
		}
	}
}

// squeezedConn is a connection whose answers wait in a growing queue while its
// address is squeezed: 24 bytes in three quarters of a second are about half of
// the updates of a quiet session.
type squeezedConn struct {
	net.Conn
	group   *group
	address string
}

func (s *squeezedConn) Read(p []byte) (int, error) {
	s.group.mu.Lock()
	squeezed := s.group.squeezed[s.address]
	s.group.mu.Unlock()
	if squeezed {
		time.Sleep(750 * time.Millisecond)
		p = p[:min(len(p), 24)]
	}
	return s.Conn.Read(p)
}

// dialAsDaemon opens connections of daemons, which can be squeezed.
func (g *group) dialAsDaemon(ctx context.Context, address string) (net.Conn, error) {
	c, err := g.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &squeezedConn{c, g, address}, nil
}

func (g *group) squeeze(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.squeezed[address] = true
}

func (g *group) silence(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[address] = true
}

func (g *group) start(l net.Listener, zone string) {
	address := l.Addr().String()
	logger := logging.New(io.Discard)
	service := NewSessionServer(logger, time.Now, g.dial)
	server, err := control.New(control.Config{
		Listener: l, DataDirectory: filepath.Join(g.t.TempDir(), "data"), TickInterval: 10 * time.Millisecond, Dialer: g.dial,
		Seeded:          &control.SeedConfig{Seeds: g.seeds, FirstStart: true, AvailabilityZone: zone, ToleratedFailures: (len(g.seeds) - 1) / 2},
		NewStateMachine: func(uint32) control.StateMachine { return statemachine.NewFleet() },
		Register:        func(r grpc.ServiceRegistrar) { api.RegisterFleetServer(r, service) },
	})
	require.NoError(g.t, err)
	service.SetControlServer(server)
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	parts.Go(func() { _ = server.Run(ctx) })
	parts.Go(func() { service.Run(ctx) })
	r := &replica{server, service, sync.OnceFunc(func() { cancel(); parts.Wait() })}
	g.replicas[address] = r
	g.t.Cleanup(r.stop)
}

func (g *group) leader() *replica {
	for _, r := range g.replicas {
		if r.server.RaftStatus().Role == raft.Leader {
			return r
		}
	}
	return nil
}

// put replaces the routing and waits until that was accepted.
func (g *group) put(base, number uint64) {
	require.Eventually(g.t, func() bool {
		l := g.leader()
		if l == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		v, err := l.service.PutConfig(ctx, ConfigChange{BaseVersion: base, Version: number, Document: fmt.Appendf(nil, "routing %d", number)})
		if err != nil {
			return false
		}
		require.Equal(g.t, Accepted, v)
		return true
	}, patience, 10*time.Millisecond)
}

// daemon is an agent with the states that it put in force.
type daemon struct {
	*Agent
	mu      sync.Mutex
	states  []State
	backErr string
}

func (g *group) daemon(address, zone string) *daemon {
	d := &daemon{}
	d.Agent = NewAgent(AgentConfig{
		Address: address, AvailabilityZone: zone, Region: "region", RegionOf: func(string) string { return "region" }, Seeds: g.seeds[:1], Dial: g.dialAsDaemon,
		Log: logging.New(io.Discard), Clock: time.Now, OnChange: d.changed,
	})
	d.Announce(&api.FleetMember{Service: "orders"})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		d.Run(ctx)
		close(ended)
	}()
	g.t.Cleanup(func() {
		cancel()
		<-ended
	})
	return d
}

func (d *daemon) changed(s State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.states); n > 0 && (s.Index < d.states[n-1].Index || s.Routing.GetNumber() < d.states[n-1].Routing.GetNumber()) {
		d.backErr = fmt.Sprintf("index %d after %d", s.Index, d.states[n-1].Index)
	}
	d.states = append(d.states, s)
}

func (d *daemon) last() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.states) == 0 {
		return State{}
	}
	return d.states[len(d.states)-1]
}

func (g *group) await(d *daemon, ok func(State) bool) {
	require.Eventually(g.t, func() bool { return ok(d.last()) }, patience, 5*time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	require.Empty(g.t, d.backErr, "the state never goes back")
}

// TestDaemonsGetRoutingAndMembers guards the way from an operator and from other
// daemons to each daemon, and the attendance of the nearest replica.
func TestDaemonsGetRoutingAndMembers(t *testing.T) {
	g := newGroup(t, 3)
	a, b := g.daemon("10.0.0.1:1", "zone-1"), g.daemon("10.0.0.2:1", "zone-2")
	g.put(0, 4)
	for _, d := range []*daemon{a, b} {
		g.await(d, func(s State) bool { return s.Routing.GetNumber() == 4 && len(s.Members) == 2 })
		text, err := InflateDocument(d.last().Routing)
		require.NoError(t, err)
		require.Equal(t, "routing 4", string(text))
	}
	require.Eventually(t, func() bool { return a.ConnectedReplica() == g.seeds[1] && b.ConnectedReplica() == g.seeds[2] }, patience, 5*time.Millisecond)
	a.Announce(&api.FleetMember{Service: "orders", UpstreamId: "i-1", State: api.UpstreamState_UPSTREAM_STATE_SERVING, Slots: 4})
	g.await(b, func(s State) bool { return s.Members["10.0.0.1:1"].GetUpstreamId() == "i-1" })
	g.put(4, 9)
	g.await(a, func(s State) bool { return s.Routing.GetNumber() == 9 })
}

// TestSilentReplicaIsLeft guards daemons whose replica is frozen or cut off
// without a reset: they follow changes through another one.
func TestSilentReplicaIsLeft(t *testing.T) {
	g := newGroup(t, 3)
	d := g.daemon("10.0.0.1:1", "zone-1")
	g.put(0, 1)
	g.await(d, func(s State) bool { return s.Routing.GetNumber() == 1 })
	require.Eventually(t, func() bool { return d.ConnectedReplica() == g.seeds[1] }, patience, 5*time.Millisecond)
	g.silence(g.seeds[1])
	g.put(1, 2)
	g.await(d, func(s State) bool { return s.Routing.GetNumber() == 2 })
	require.NotEqual(t, g.seeds[1], d.ConnectedReplica())
}

// TestReplicaWithLateUpdatesIsLeft guards daemons whose replica is healthy behind a
// link on which updates wait ever longer: one that comes is no sign of life of the
// present.
func TestReplicaWithLateUpdatesIsLeft(t *testing.T) {
	g := newGroup(t, 3)
	d := g.daemon("10.0.0.1:1", "zone-1")
	g.put(0, 1)
	g.await(d, func(s State) bool { return s.Routing.GetNumber() == 1 })
	require.Eventually(t, func() bool { return d.ConnectedReplica() == g.seeds[1] }, patience, 5*time.Millisecond)
	g.squeeze(g.seeds[1])
	require.Eventually(t, func() bool { return d.ConnectedReplica() != "" && d.ConnectedReplica() != g.seeds[1] }, patience, 5*time.Millisecond)
	g.put(1, 2)
	g.await(d, func(s State) bool { return s.Routing.GetNumber() == 2 })
}

// TestStoppedReplicasMembersStay guards the table of upstreams: daemons whose
// replica stops attend another one and stay members.
func TestStoppedReplicasMembersStay(t *testing.T) {
	g := newGroup(t, 3)
	d := g.daemon("10.0.0.1:1", "zone-1")
	watcher := g.daemon("10.0.0.2:1", "zone-2")
	g.await(watcher, func(s State) bool { return len(s.Members) == 2 })
	require.Eventually(t, func() bool { return d.ConnectedReplica() == g.seeds[1] }, patience, 5*time.Millisecond)
	former := g.replicas[g.seeds[1]].server.Self().Id
	g.await(watcher, func(s State) bool { return s.Members["10.0.0.1:1"].GetHome() == former })
	g.replicas[g.seeds[1]].stop()
	g.await(watcher, func(s State) bool { return s.Members["10.0.0.1:1"].GetHome() != former })
	require.Len(t, watcher.last().Members, 2)
}

// TestReadWithoutQuorum guards reads at a replica that may have missed a change:
// it answers that it cannot know.
func TestReadWithoutQuorum(t *testing.T) {
	g := newGroup(t, 3)
	g.put(0, 1)
	survivor := g.replicas[g.seeds[0]]
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		text, err := survivor.service.GetConfig(ctx)
		return err == nil && string(text) == "routing 1"
	}, patience, 5*time.Millisecond)
	g.replicas[g.seeds[1]].stop()
	g.replicas[g.seeds[2]].stop()
	var unavailable *UnavailableError
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_, err := survivor.service.GetConfig(ctx)
		return errors.As(err, &unavailable)
	}, patience, 50*time.Millisecond)
	time.Sleep(confirmedWithin) // the last confirmation is too old from now on
	late := g.daemon("10.0.0.9:1", "zone-0")
	time.Sleep(confirmedWithin)
	require.False(t, late.Confirmed(), "a starting daemon puts nothing in force that may be outdated")
	require.Zero(t, late.last().Index)
}

// TestFollowerNamesTheLeader guards operators who ask any replica.
func TestFollowerNamesTheLeader(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader()
	for _, r := range g.replicas {
		if r == leader {
			continue
		}
		_, err := r.service.PutConfig(context.Background(), ConfigChange{Version: 1, Document: []byte("x")})
		var elsewhere *NotLeaderError
		require.ErrorAs(t, err, &elsewhere)
		require.Equal(t, leader.server.Self().Address, elsewhere.Leader)
	}
}
