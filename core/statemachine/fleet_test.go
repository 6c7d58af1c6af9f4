package statemachine

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// fleetLog applies commands to a fleet under consecutive log indexes.
type fleetLog struct {
	*Fleet
	t         *testing.T
	lastIndex uint64
}

func newFleetLog(t *testing.T) *fleetLog { return &fleetLog{Fleet: NewFleet(), t: t} }

func (l *fleetLog) apply(cmd *api.FleetCommand) *api.FleetResult {
	l.lastIndex++
	var res api.FleetResult
	require.NoError(l.t, proto.Unmarshal(l.Apply(l.lastIndex, encode(cmd)), &res))
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

// TestConcurrentRoutingChanges guards against accepting two changes with the same
// base, whether their numbers are equal or different.
func TestConcurrentRoutingChanges(t *testing.T) {
	l := newFleetLog(t)
	require.Equal(t, accepted, l.apply(routingChange(0, 5, "first")).Status)
	require.Equal(t, staleBase, l.apply(routingChange(0, 5, "rival")).Status)
	require.Equal(t, staleBase, l.apply(routingChange(0, 9, "rival")).Status)
	require.Equal(t, staleNumber, l.apply(routingChange(5, 5, "rival")).Status)
	require.Equal(t, staleNumber, l.apply(routingChange(5, 4, "older")).Status)
	require.Equal(t, accepted, l.apply(routingChange(5, 6, "second")).Status)
	require.Equal(t, uint64(6), l.ConfigVersion())
}

// TestRetriedRoutingChangeIsAccepted guards against rejecting a retry of an accepted
// change whose response was lost, even after later changes or a restore from a
// snapshot.
func TestRetriedRoutingChangeIsAccepted(t *testing.T) {
	l := newFleetLog(t)
	l.apply(routingChange(0, 5, "first"))
	l.apply(routingChange(5, 6, "second"))
	data, err := l.Snapshot()
	require.NoError(t, err)
	restored := newFleetLog(t)
	require.NoError(t, restored.Restore(data))
	restored.lastIndex = l.lastIndex
	for _, f := range []*fleetLog{l, restored} {
		res := f.apply(routingChange(0, 5, "first"))
		require.Equal(t, accepted, res.Status)
		require.True(t, res.Repeated)
		require.Equal(t, uint64(6), f.ConfigVersion(), "a retried change must not become active again")
		require.Equal(t, "second", string(f.Routing().Deflated))
	}
}

// TestDeltasReproduceState guards against daemons with a wrong copy: after a sequence
// of commands, a copy that is updated by deltas must equal the state.
func TestDeltasReproduceState(t *testing.T) {
	l := newFleetLog(t)
	replicated, number := map[string]*api.FleetMember{}, uint64(0)
	syncedIndex := uint64(0)
	pull := func() {
		u := l.ChangesSince(syncedIndex)
		if u.Full {
			replicated = map[string]*api.FleetMember{}
		}
		for _, m := range u.Members {
			replicated[m.PeerAddress] = m
		}
		for _, address := range u.Removed {
			delete(replicated, address)
		}
		if u.Routing != nil {
			number = u.Routing.Number
		}
		syncedIndex = u.Index
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
	require.Len(t, replicated, len(l.Members()))
	for _, m := range l.Members() {
		require.True(t, proto.Equal(m, replicated[m.PeerAddress]))
	}
	require.Empty(t, l.ChangesSince(syncedIndex+5).Members, "a replica that lags sends no members")
	require.False(t, l.ChangesSince(syncedIndex+5).Full)
}

// TestRemovalOfFormerSession guards against removing a daemon that has connected to
// another replica, or was restarted, on request of its former replica.
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

// TestUndecodableFleetCommand guards against a log entry of an incompatible version:
// it must only advance the applied index.
func TestUndecodableFleetCommand(t *testing.T) {
	f := NewFleet()
	f.Apply(1, []byte{0xff, 0xff})
	require.Equal(t, uint64(1), f.AppliedIndex())
	require.Zero(t, f.ConfigVersion())
}
