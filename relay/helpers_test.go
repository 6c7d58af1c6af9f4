package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/feed"
	"github.com/bilberrydeck/bilberrydeck/internal/freeport"
)

// testTimeout limits every wait of a test. It is far longer than needed, so that no test fails on a
// busy VM.
const testTimeout = 60 * time.Second

// fakeSource is a Source without a control replica.
type fakeSource struct {
	mu        sync.Mutex
	store     feed.DocumentStore
	changed   chan struct{}
	confirmed bool
}

func newFakeSource() *fakeSource {
	return &fakeSource{changed: make(chan struct{}), confirmed: true}
}

func (f *fakeSource) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store.Version()
}

func (f *fakeSource) ChangesSince(version uint64) *api.ConfigDelta {
	f.mu.Lock()
	defer f.mu.Unlock()
	return configDeltaToProto(f.store.ChangesSince(version, nil))
}

func (f *fakeSource) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeSource) Confirmation() (uint64, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store.Version(), 10 * time.Millisecond, f.confirmed
}

// accept applies a change of documents and returns the new version.
func (f *fakeSource) accept(tb testing.TB, documents map[string]string, removed ...string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := f.store.Version()
	d := feed.Delta{From: version, To: version + 1, Removed: removed}
	for name, json := range documents {
		d.Changed = append(d.Changed, feed.Document{Service: name, JSON: []byte(json)})
	}
	require.NoError(tb, f.store.Apply(d))
	close(f.changed)
	f.changed = make(chan struct{})
	return d.To
}

// process is a server or client that a test can stop.
type process struct {
	stop func()
}

// serve runs a feed server at address, or at a free port if address is empty, and returns its
// address.
func serve(tb testing.TB, address string, server api.FeedServer, run func(context.Context)) (string, *process) {
	tb.Helper()
	return serveCounted(tb, address, server, run, nil)
}

// traffic counts the bytes and messages that a feed server sends and receives. After an increment
// of partitions, the connections that were open before drop all bytes without an error.
type traffic struct {
	bytes, messages, partitions atomic.Int64
}

// countedListener counts the traffic of its connections; a nil traffic counts nothing.
type countedListener struct {
	net.Listener
	traffic *traffic
}

type countedConn struct {
	net.Conn
	traffic *traffic
	opened  int64 // value of partitions when the connection was opened
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || l.traffic == nil {
		return c, err
	}
	return countedConn{c, l.traffic, l.traffic.partitions.Load()}, nil
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for err == nil && c.traffic.partitions.Load() != c.opened {
		n, err = c.Conn.Read(p)
	}
	c.traffic.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	if c.traffic.partitions.Load() != c.opened {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// Close does nothing on a partitioned connection, so that the peer receives no FIN.
func (c countedConn) Close() error {
	if c.traffic.partitions.Load() != c.opened {
		return nil
	}
	return c.Conn.Close()
}

func (t *traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context   { return ctx }
func (t *traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (t *traffic) HandleConn(context.Context, stats.ConnStats)                       {}
func (t *traffic) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s.(type) {
	case *stats.InPayload, *stats.OutPayload:
		t.messages.Add(1)
	}
}

// serveCounted is serve with traffic counters, if counted is not nil.
func serveCounted(tb testing.TB, address string, server api.FeedServer, run func(context.Context), counted *traffic) (string, *process) {
	tb.Helper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	var listener net.Listener
	require.Eventually(tb, func() (ok bool) {
		var err error
		listener, err = net.Listen("tcp", address)
		return err == nil
	}, testTimeout, 10*time.Millisecond)
	options := ServerOptions()
	if counted != nil {
		options = append(options, grpc.StatsHandler(counted))
	}
	g := grpc.NewServer(options...)
	api.RegisterFeedServer(g, server)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { run(ctx) })
	wg.Go(func() { _ = g.Serve(countedListener{listener, counted}) })
	p := &process{stop: sync.OnceFunc(func() {
		cancel()
		g.Stop()
		wg.Wait()
	})}
	tb.Cleanup(p.stop)
	return listener.Addr().String(), p
}

// az is an availability zone with its relays.
type az struct {
	name          string
	endpoints     []Endpoint
	relays        []*process
	sources       []Endpoint
	remote        map[string][]Endpoint
	traffic       *traffic // nil if not counted
	runningRelays []*Relay
}

// newAZ returns an availability zone with addresses for n relays, which are not started.
func newAZ(tb testing.TB, name string, n int, sources ...Endpoint) *az {
	a := &az{name: name, sources: sources, relays: make([]*process, n), runningRelays: make([]*Relay, n)}
	for i := range n {
		a.endpoints = append(a.endpoints, Endpoint{Name: fmt.Sprintf("%s-relay-%d", name, i), Address: freeport.Address(tb)})
	}
	return a
}

func (a *az) startRelay(tb testing.TB, i int) {
	tb.Helper()
	r, err := NewRelay(RelayConfig{
		Name: a.endpoints[i].Name, AvailabilityZone: a.name, Region: "south",
		Sources: a.sources, Relays: a.endpoints, Remote: a.remote,
	})
	require.NoError(tb, err)
	a.runningRelays[i] = r
	_, a.relays[i] = serveCounted(tb, a.endpoints[i].Address, r, r.Run, a.traffic)
}

func (a *az) startRelays(tb testing.TB) {
	for i := range a.endpoints {
		a.startRelay(tb, i)
	}
}

// testDaemon is a feed client that stores its last state.
type testDaemon struct {
	*Subscriber
	process
	mu        sync.Mutex
	last      *FeedState
	decreased error // set if the active version decreased
}

func (a *az) startDaemon(tb testing.TB, id, service string, services ...string) *testDaemon {
	tb.Helper()
	t := &testDaemon{last: &FeedState{}}
	d, err := NewSubscriber(SubscriberConfig{ID: id, AvailabilityZone: a.name, Region: "south", Relays: a.endpoints,
		Services: services, OnChange: t.onChange})
	require.NoError(tb, err)
	t.Subscriber = d
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx)
	}()
	t.stop = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	tb.Cleanup(t.stop)
	if service != "" {
		d.Announce(Announcement{Service: service, Address: id + ":1", State: feed.StateServing, Slots: 10, ServingSince: time.Now()})
	}
	return t
}

func (t *testDaemon) onChange(v *FeedState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v.ActiveVersion < t.last.ActiveVersion {
		t.decreased = fmt.Errorf("active version decreased from %d to %d", t.last.ActiveVersion, v.ActiveVersion)
	}
	t.last = v
}

func (t *testDaemon) state() *FeedState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last
}

func (t *testDaemon) waitFor(tb testing.TB, what string, ok func(*FeedState) bool) *FeedState {
	tb.Helper()
	require.Eventually(tb, func() bool { return ok(t.state()) }, testTimeout, 5*time.Millisecond, "%s: %s", t.cfg.ID, what)
	require.NoError(tb, t.decreased)
	return t.state()
}

func (t *testDaemon) waitVersion(tb testing.TB, version uint64) {
	tb.Helper()
	t.waitFor(tb, fmt.Sprintf("version %d active", version), func(v *FeedState) bool { return v.Confirmed && v.ActiveVersion >= version })
}

// members returns the members of a service by id.
func members(v *FeedState, service string) map[string]*feed.Member {
	found := map[string]*feed.Member{}
	for _, m := range v.Members[service] {
		found[m.ID] = m
	}
	return found
}

func startControl(tb testing.TB, name string, source Source) (Endpoint, *ControlServer) {
	c := NewControlServer(ControlConfig{Name: name, Source: source})
	address, _ := serve(tb, "", c, c.Run)
	return Endpoint{Name: name, Address: address}, c
}
