package holding

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testClock is a clock that the test moves.
type testClock struct{ now time.Time }

func newTestClock() *testClock { return &testClock{time.Unix(1000, 0)} }

func (c *testClock) read() time.Time { return c.now }

func (c *testClock) advance(d time.Duration) { c.now = c.now.Add(d) }

// testClient is a client that goes when it is asked to.
type testClient struct {
	holder *Holder
	asked  []Direction
}

func connect(l *Ledger, source Source) *testClient {
	c := &testClient{}
	c.holder = l.Accept(source, func(d Direction) { c.asked = append(c.asked, d) })
	return c
}

// receive lets a client send n bytes in a time, after which the process waits for more.
func (c *testClient) receive(clock *testClock, n int, in time.Duration) {
	c.holder.Wait(Receiving)
	clock.advance(in)
	c.holder.Progress(Receiving, n)
	c.holder.Wait(Receiving)
}

// TestReservationsStayWithinLimit guards the invariant that no reservation exceeds the limit, that bodies
// leave room for heads, and that all is given back.
func TestReservationsStayWithinLimit(t *testing.T) {
	const limit = 1_000_000
	clock := newTestClock()
	l := NewLedger(Limits{Bytes: limit}, clock.read)
	random := rand.New(rand.NewPCG(1, 2))
	var holders []*Holder
	for range 2000 {
		switch c := connect(l, Clients); {
		case c.holder != nil:
			holders = append(holders, c.holder)
		case len(holders) == 0:
			require.Fail(t, "an empty ledger refuses a connection")
		}
		h := holders[random.IntN(len(holders))]
		before := l.Usage().Bytes
		n := random.Int64N(100_000)
		if h.Reserve(n) {
			require.LessOrEqual(t, l.Usage().Bytes, int64(bulkRatio*limit))
		} else {
			require.Greater(t, before+n, int64(bulkRatio*limit))
		}
		h.ReserveSmall(random.Int64N(1000))
		require.LessOrEqual(t, l.Usage().Bytes, int64(limit))
		if random.IntN(3) == 0 {
			i := random.IntN(len(holders))
			holders[i].Close()
			holders = append(holders[:i], holders[i+1:]...)
		}
	}
	for _, h := range holders {
		h.Close()
		h.Close() // has no effect
		h.Release(1000)
	}
	require.Zero(t, l.Usage().Bytes)
	require.Zero(t, l.Usage().Clients)
}

// TestForcedMemoryIsGivenBack guards against memory of executed requests that stays charged, also if it is
// taken or given back after the connection is closed.
func TestForcedMemoryIsGivenBack(t *testing.T) {
	l := NewLedger(Limits{Bytes: 1 << 20}, newTestClock().read)
	h := connect(l, Clients).holder
	h.Force(4 << 20)
	require.Greater(t, l.Usage().Bytes, int64(4<<20))
	h.Close()
	require.Zero(t, l.Usage().Bytes)
	h.Force(100)
	h.Release(100)
	h.Release(100)
	require.Zero(t, l.Usage().Bytes)
}

// TestStalledClientsGoFirst guards the order in which clients are asked to go: those that stopped, the
// longest wait first, before those that are slow but steady; those that the process itself keeps waiting
// stay.
func TestStalledClientsGoFirst(t *testing.T) {
	clock := newTestClock()
	l := NewLedger(Limits{Bytes: 1_000_000}, clock.read)
	stalledLong, stalled, steady, working, young := connect(l, Clients), connect(l, Clients), connect(l, Clients), connect(l, Clients), (*testClient)(nil)
	for _, c := range []*testClient{stalledLong, stalled, steady, working} {
		require.True(t, c.holder.Reserve(100_000))
	}
	stalledLong.receive(clock, 90_000, 0)
	clock.advance(patience)
	stalled.receive(clock, 90_000, 0)
	steady.receive(clock, 10, 0)
	for range 20 {
		steady.receive(clock, 10, patience/10)
	}
	clock.advance(patience / 2)
	young = connect(l, Clients)
	young.receive(clock, 10, 0)
	require.True(t, young.holder.Reserve(100_000))
	require.Empty(t, stalledLong.asked, "there is no pressure")
	require.True(t, young.holder.ReserveSmall(130_000))
	require.Equal(t, []Direction{Receiving}, stalledLong.asked)
	require.Empty(t, stalled.asked, "one of them was enough")

	clock.advance(reliefInterval)
	require.True(t, young.holder.ReserveSmall(1))
	require.Empty(t, stalled.asked, "the one that was asked is about to go")
	require.True(t, young.holder.ReserveSmall(100_000))
	clock.advance(reliefInterval)
	require.True(t, young.holder.ReserveSmall(1))
	require.Equal(t, []Direction{Receiving}, stalled.asked)
	clock.advance(reliefInterval)
	young.holder.Force(400_000)
	require.Equal(t, []Direction{Receiving}, steady.asked)
	require.Empty(t, working.asked)
	require.Empty(t, young.asked)
}

// TestSlowReadersGo guards against clients that keep what the process holds for them by not reading.
func TestSlowReadersGo(t *testing.T) {
	clock := newTestClock()
	l := NewLedger(Limits{Bytes: 1_000_000}, clock.read)
	reader, fast := connect(l, Clients), connect(l, Clients)
	require.True(t, reader.holder.Reserve(400_000))
	reader.holder.Wait(Sending)
	clock.advance(2 * patience)
	fast.holder.Wait(Sending)
	fast.holder.Progress(Sending, 1000)
	fast.holder.Wait(Sending)
	require.True(t, fast.holder.Reserve(350_000))
	require.Equal(t, []Direction{Sending}, reader.asked)
	require.Empty(t, fast.asked)
}

// TestIdleConnectionsGoFirst guards against clients that use up the connections: those without a request
// are closed first, then those without progress, and other daemons keep their share.
func TestIdleConnectionsGoFirst(t *testing.T) {
	clock := newTestClock()
	l := NewLedger(DescriptorLimits(100), clock.read)
	clients := int(clientsRatio * 100)
	var idle []*testClient
	for len(idle) < clients/2 {
		c := connect(l, Clients)
		c.holder.SetIdle(true)
		idle = append(idle, c)
		clock.advance(time.Millisecond)
	}
	stalled := connect(l, Clients)
	stalled.holder.Wait(Receiving)
	clock.advance(patience)
	var others []*testClient
	for {
		c := connect(l, Clients)
		if c.holder == nil {
			break
		}
		others = append(others, c)
		clock.advance(reliefInterval)
	}
	require.Len(t, others, clients-len(idle)-1)
	require.Equal(t, []Direction{Receiving}, idle[0].asked, "the longest idle one")
	require.Empty(t, idle[len(idle)-1].asked)
	require.Empty(t, stalled.asked)
	require.Zero(t, l.Usage().Peers)
	require.NotNil(t, connect(l, Peers).holder, "clients do not take the share of other daemons")
	for _, c := range idle {
		if len(c.asked) > 0 {
			c.holder.Close()
		}
	}
	require.NotNil(t, connect(l, Clients).holder, "a new client takes the place of an idle one")
}

// TestOutgoingConnectionsAreLimited guards against requests that open more connections than the process has
// descriptors. Idle outgoing connections are closed first.
func TestOutgoingConnectionsAreLimited(t *testing.T) {
	clock := newTestClock()
	l := NewLedger(DescriptorLimits(10), clock.read)
	idle := 5
	l.OnShortage(func() {
		for ; idle > 0; idle-- {
			l.Disconnect()
		}
	})
	for range idle {
		require.True(t, l.Connect())
	}
	for range 10 {
		require.True(t, l.Connect())
		clock.advance(reliefInterval)
	}
	require.Zero(t, idle)
	require.False(t, l.Connect())
	require.Equal(t, int64(10), l.Usage().Outgoing)
}

// TestNoLimits checks that nothing is refused without limits, and without a ledger.
func TestNoLimits(t *testing.T) {
	for _, l := range []*Ledger{nil, NewLedger(Limits{}, newTestClock().read)} {
		h := connect(l, Clients).holder
		require.True(t, h.Reserve(1<<40))
		require.True(t, h.ReserveSmall(1<<40))
		require.True(t, l.Connect())
		h.SetIdle(true)
		h.BeginMessage(Sending)
		h.Wait(Sending)
		h.Progress(Sending, 1)
		h.Release(1 << 40)
		l.Disconnect()
		h.Close()
	}
	var none *Holder
	require.True(t, none.Reserve(1))
	none.Force(1)
	none.Release(1)
	none.Close()
}

// TestConcurrentClients runs clients that connect, take memory and leave while others do, near the limits,
// for the race detector. All is given back in the end.
func TestConcurrentClients(t *testing.T) {
	limits := DescriptorLimits(200)
	limits.Bytes = 1_000_000
	var readings atomic.Int64
	l := NewLedger(limits, func() time.Time { return time.Unix(0, readings.Add(1)*int64(reliefInterval)) }) // each shortage is searched
	l.OnShortage(func() {})
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			for range 2000 {
				c := connect(l, Clients)
				if l.Connect() {
					l.Disconnect()
				}
				if c.holder == nil {
					continue
				}
				c.holder.SetIdle(true)
				c.holder.SetIdle(false)
				c.holder.BeginMessage(Receiving)
				c.holder.Wait(Receiving)
				if c.holder.Reserve(100_000) {
					c.holder.Progress(Receiving, 1)
				}
				c.holder.Force(100)
				c.holder.Close()
			}
		})
	}
	clients.Wait()
	require.Zero(t, l.Usage().Bytes)
	require.Zero(t, l.Usage().Clients)
	require.Zero(t, l.Usage().Outgoing)
}
