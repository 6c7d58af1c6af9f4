package process

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/routing"
	"github.com/bilberrydeck/bilberrydeck/core/statemachine"
	"github.com/bilberrydeck/bilberrydeck/fleet"
	"github.com/bilberrydeck/bilberrydeck/logging"
	"github.com/bilberrydeck/bilberrydeck/platform"
)

func servingMember(address, id string, slots uint32) *api.FleetMember {
	return &api.FleetMember{PeerAddress: address, Service: "orders", UpstreamId: id, Slots: slots, State: api.UpstreamState_UPSTREAM_STATE_SERVING}
}

// TestOddMembersAreIgnored guards against a member entry of an older version that ends a daemon, that
// is used as an upstream, or that keeps the daemon from following the other entries, whether the entry
// arrives in an update or from the log and a snapshot of a replica.
func TestOddMembersAreIgnored(t *testing.T) {
	odd := []*api.FleetMember{
		servingMember("10.0.0.2:70000", "i-2", 4),
		servingMember("10.0.0.3:99999999", "i-3", 4),
		servingMember("10.0.0.4:0", "i-4", 4),
		servingMember("", "i-5", 4),
		servingMember("[[[[", "i-6", 4),
		servingMember("10.0.0.7:7000", "i-7", math.MaxUint32),
		servingMember("10.0.0.8:7000", "i-8", 0),
		servingMember("10.0.0.9:7000", "i-9\r\nX: y", 4),
		servingMember("10.0.0.10:7000", "i 10", 4),
		servingMember("10.0.0.11:7000", strings.Repeat("i", 1000), 4),
		{PeerAddress: "10.0.0.12:7000", Service: "orders", UpstreamId: "i-12", State: 77, Slots: 4, WarmUpMs: math.MaxUint32, Sequence: math.MaxUint64},
	}
	replica := statemachine.NewFleet()
	for i, m := range append(odd, servingMember("10.0.0.1:7000", "i-1", 4)) {
		cmd, err := proto.Marshal(&api.FleetCommand{Operation: &api.FleetCommand_Announce{Announce: m}})
		require.NoError(t, err)
		replica.Apply(uint64(i+1), cmd)
	}
	snapshot, err := replica.Snapshot()
	require.NoError(t, err)
	restored := statemachine.NewFleet()
	require.NoError(t, restored.Restore(snapshot))
	for _, source := range []*statemachine.Fleet{replica, restored} {
		members := map[string]*api.FleetMember{}
		for _, m := range source.ChangesSince(0).Members {
			members[m.PeerAddress] = m
		}
		require.Len(t, members, len(odd)+1)
		var log bytes.Buffer
		d := &fleetDaemon{fleetProcess: fleetProcess{FleetOptions: FleetOptions{Logger: logging.New(&log)}}}
		for range 3 {
			state := d.fleetState(fleet.State{Members: members})
			require.Len(t, state.Upstreams, 1)
			require.Len(t, state.Upstreams["orders"], 1)
			require.Equal(t, "i-1", state.Upstreams["orders"][0].ID)
		}
		require.Equal(t, len(odd)-1, strings.Count(log.String(), "member entry ignored"), "each odd entry that claims to serve is logged once")
	}
}

// TestUnusableConfigurationDoesNotStopUpdates guards against a daemon that ignores changes of the
// upstreams because it cannot use a configuration in the log.
func TestUnusableConfigurationDoesNotStopUpdates(t *testing.T) {
	var log bytes.Buffer
	d := &fleetDaemon{fleetProcess: fleetProcess{FleetOptions: FleetOptions{Logger: logging.New(&log)}}}
	text, err := platform.EncodeConfig(&routing.Table{Version: 1, Services: []routing.Service{{Name: "orders"}}, Routes: []routing.Route{
		{Name: "r", Host: "shop.example", Prefix: "/", Targets: []routing.Target{{Service: "orders", Weight: 1}}},
	}})
	require.NoError(t, err)
	good, err := fleet.DeflateDocument(1, text)
	require.NoError(t, err)
	state := d.fleetState(fleet.State{Routing: good})
	require.EqualValues(t, 1, state.Table.Version)
	for name, doc := range map[string]*api.RoutingDocument{
		"not compressed": {Number: 2, Deflated: []byte("?")},
		"deeply nested":  deflated(t, 3, strings.Repeat("[", 100_000)),
		"large number":   deflated(t, 4, `{"version":1e999}`),
	} {
		for range 3 {
			state = d.fleetState(fleet.State{Routing: doc, Members: map[string]*api.FleetMember{"a": servingMember("10.0.0.1:7000", "i-1", 4)}})
			require.EqualValues(t, 1, state.Table.Version, name)
			require.Len(t, state.Upstreams["orders"], 1, name)
		}
	}
	require.Equal(t, 3, strings.Count(log.String(), "not activated"), log.String())
}

func deflated(t *testing.T, number uint64, text string) *api.RoutingDocument {
	doc, err := fleet.DeflateDocument(number, []byte(text))
	require.NoError(t, err)
	return doc
}
