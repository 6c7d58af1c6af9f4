package statemachine

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// fleetLog applies commands to a fleet, numbering them like a log.
type fleetLog struct {
	*Fleet
	t    *testing.T
	last uint64
}

func newFleetLog(t *testing.T) *fleetLog { return &fleetLog{Fleet: NewFleet(), t: t} }

func (l *fleetLog) apply(cmd *api.FleetCommand) *api.FleetResult {
	l.last++
	var res api.FleetResult
	require.NoError(l.t, proto.Unmarshal(l.Apply(l.last, encode(cmd)), &res))
	return &res
}

func routingChange(base, number uint64, text string) *api.FleetCommand {
	digest := sha256.Sum256([]byte(text))
	return &api.FleetCommand{Operation: &api.FleetCommand_Routing{Routing: &api.RoutingChange{
		Base: base, Digest: digest[:], Document: &api.RoutingDocument{Number: number, Deflated: []byte(text)},
	}}}
}

func announcement(address string, boot, sequence, home uint64) *api.FleetCommand {
	return &api.FleetCommand{Operation: &api.FleetCommand_Announce{Announce: &api.FleetMember{
		PeerAddress: address, Boot: boot, Sequence: sequence, Home: home, Service: "tarifs",
	}}}
}

func removal(address string, boot, home uint64) *api.FleetCommand {
	return &api.FleetCommand{Operation: &api.FleetCommand_Remove{Remove: &api.MemberRemoval{PeerAddress: address, Boot: boot, Home: home}}}
}

const (
	accepted    = api.RoutingStatus_ROUTING_STATUS_ACCEPTED
	staleBase   = api.RoutingStatus_ROUTING_STATUS_STALE_BASE
	staleNumber = api.RoutingStatus_ROUTING_STATUS_STALE_NUMBER
)

// TestRacingOperators guards against two changes on top of the same number that
// are both accepted, with equal and with different numbers.
func TestRacingOperators(t *testing.T) {
	l := newFleetLog(t)
	require.Equal(t, accepted, l.apply(routingChange(0, 5, "first")).Status)
	require.Equal(t, staleBase, l.apply(routingChange(0, 5, "rival")).Status)
	require.Equal(t, staleBase, l.apply(routingChange(0, 9, "rival")).Status)
	require.Equal(t, staleNumber, l.apply(routingChange(5, 5, "rival")).Status)
	require.Equal(t, staleNumber, l.apply(routingChange(5, 4, "older")).Status)
	require.Equal(t, accepted, l.apply(routingChange(5, 6, "second")).Status)
	require.Equal(t, uint64(6), l.ConfigVersion())
}

// TestResentRoutingIsAcceptedAgain guards operators whose answer was lost: the
// same change is never refused, also after later ones and from a snapshot.
func TestResentRoutingIsAcceptedAgain(t *testing.T) {
	l := newFleetLog(t)
	l.apply(routingChange(0, 5, "first"))
	l.apply(routingChange(5, 6, "second"))
	data, err := l.Snapshot()
	require.NoError(t, err)
	restored := newFleetLog(t)
	require.NoError(t, restored.Restore(data))
	restored.last = l.last
	for _, f := range []*fleetLog{l, restored} {
		res := f.apply(routingChange(0, 5, "first"))
		require.Equal(t, accepted, res.Status)
		require.True(t, res.Repeated)
		require.Equal(t, uint64(6), f.ConfigVersion(), "a resent change does not come back into force")
		require.Equal(t, "second", string(f.Routing().Deflated))
	}
}

// TestChangesSinceFollowsTheState guards daemons that get deltas: after any sequence
// of commands, a copy that is kept by deltas equals the state.
func TestChangesSinceFollowsTheState(t *testing.T) {
	l := newFleetLog(t)
	held, number := map[string]*api.FleetMember{}, uint64(0)
	at := uint64(0)
	pull := func() {
		u := l.ChangesSince(at)
		if u.Full {
			held = map[string]*api.FleetMember{}
		}
		for _, m := range u.Members {
			held[m.PeerAddress] = m
		}
		for _, address := range u.Removed {
			delete(held, address)
		}
		if u.Routing != nil {
			number = u.Routing.Number
		}
		at = u.Index
	}
	for i := range uint64(3 * maxRemovedMembers) {
		switch i % 5 {
		case 0, 1:
			l.apply(announcement(fmt.Sprint("vm-", i), i, 1, 1))
		case 2:
			l.apply(removal(fmt.Sprint("vm-", i-1), i-1, 1))
		case 3:
			l.apply(announcement(fmt.Sprint("vm-", i-3), i-3, 2, 2))
		case 4:
			l.apply(routingChange(l.ConfigVersion(), i+1, fmt.Sprint(i)))
		}
		if i%7 == 0 || i > 2*maxRemovedMembers && i%5000 == 0 {
			pull()
		}
	}
	pull()
	require.Equal(t, l.ConfigVersion(), number)
	require.Len(t, held, len(l.Members()))
	for _, m := range l.Members() {
		require.True(t, proto.Equal(m, held[m.PeerAddress]))
	}
	require.Empty(t, l.ChangesSince(at+5).Members, "a replica that is behind sends nothing")
	require.False(t, l.ChangesSince(at+5).Full)
}

// TestRemovalOfFormerSession guards a daemon that moved to another replica, or
// was restarted, against the removal that its former replica asks for.
func TestRemovalOfFormerSession(t *testing.T) {
	l := newFleetLog(t)
	l.apply(announcement("vm", 1, 1, 10))
	l.apply(announcement("vm", 1, 2, 20))
	l.apply(announcement("vm", 1, 1, 10)) // late
	l.apply(removal("vm", 1, 10))
	require.Len(t, l.Members(), 1)
	require.Equal(t, uint64(20), l.Members()[0].Home)
	l.apply(announcement("vm", 2, 1, 20))
	l.apply(removal("vm", 1, 20))
	require.Len(t, l.Members(), 1)
	l.apply(removal("vm", 2, 20))
	require.Empty(t, l.Members())
	l.apply(announcement("vm", 3, 1, 20))
	require.Len(t, l.Members(), 1)
}

// TestUndecodableFleetCommand guards replicas against a log entry of another
// version: it changes nothing.
func TestUndecodableFleetCommand(t *testing.T) {
	f := NewFleet()
	f.Apply(1, []byte{0xff, 0xff})
	require.Equal(t, uint64(1), f.AppliedIndex())
	require.Zero(t, f.ConfigVersion())
}
