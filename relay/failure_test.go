package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/feed"
)

// TestRestartedDaemonStaysUnconfirmed guards against a restarted daemon that activates an older
// version from a minority of the relays while control is unreachable.
func TestRestartedDaemonStaysUnconfirmed(t *testing.T) {
	source := newFakeSource()
	control := NewControlServer(ControlConfig{Name: "control-1", Source: source})
	address, controlProcess := serve(t, "", control, control.Run)
	south := newAZ(t, "south-a", 3, Endpoint{Name: "control-1", Address: address})
	south.startRelays(t)
	version := source.accept(t, map[string]string{"bookings": "{}"})
	first := south.startDaemon(t, "d1", "bookings")
	first.waitVersion(t, version)

	controlProcess.stop()
	south.relays[0].stop()
	second := south.startDaemon(t, "d2", "bookings")
	second.waitVersion(t, version) // a majority of the relays has started and responds
	south.relays[1].stop()
	third := south.startDaemon(t, "d3", "bookings")
	third.waitFor(t, "a response of a relay", func(v *FeedState) bool { return len(v.Members["bookings"]) >= 2 })
	require.False(t, third.state().Confirmed)

	south.startRelay(t, 0) // restarted without state: it must not count for a majority
	south.startRelay(t, 1)
	third.waitFor(t, "new lease", func(v *FeedState) bool { return len(members(v, "bookings")) == 3 })
	require.False(t, third.state().Confirmed)
	require.Equal(t, version, first.state().ActiveVersion)

	restarted := NewControlServer(ControlConfig{Name: "control-1", Source: source})
	serve(t, address, restarted, restarted.Run)
	for _, d := range []*testDaemon{first, second, third} {
		d.waitVersion(t, version)
	}
}

// TestAllRelaysRestart guards against a return to an older version and against an empty
// membership table while all relays restart without state.
func TestAllRelaysRestart(t *testing.T) {
	source := newFakeSource()
	control, _ := startControl(t, "control-1", source)
	south, north := newAZ(t, "south-a", 3, control), newAZ(t, "north-a", 3, control)
	south.remote = map[string][]Endpoint{north.name: north.endpoints}
	north.remote = map[string][]Endpoint{south.name: south.endpoints}
	south.startRelays(t)
	north.startRelays(t)
	var daemons []*testDaemon
	for i := range 4 {
		daemons = append(daemons, south.startDaemon(t, fmt.Sprint("s", i), "bookings"),
			north.startDaemon(t, fmt.Sprint("n", i), "bookings"))
	}
	version := source.accept(t, map[string]string{"bookings": "{1}"})
	all := func(v *FeedState) bool { return len(v.Members["bookings"]) == len(daemons) }
	for _, d := range daemons {
		d.waitVersion(t, version)
		d.waitFor(t, "all members", all)
	}
	fewest := make(chan int, 1)
	stop := make(chan struct{})
	go func() { fewest <- fewestMembers(daemons, stop) }()
	for _, r := range south.relays {
		r.stop()
	}
	south.startRelays(t)
	version = source.accept(t, map[string]string{"bookings": "{2}"})
	for _, d := range daemons {
		d.waitVersion(t, version)
	}
	late := south.startDaemon(t, "late", "bookings")
	for _, d := range daemons {
		d.waitFor(t, "the new member", func(v *FeedState) bool { return members(v, "bookings")["late"] != nil })
	}
	late.stop()
	for _, d := range daemons {
		d.waitFor(t, "its lease to end", all)
	}
	close(stop)
	require.Equal(t, len(daemons), <-fewest, "no member was missing in the meantime")
}

// fewestMembers returns the smallest number of members in any state until stop is closed.
func fewestMembers(daemons []*testDaemon, stop chan struct{}) int {
	fewest := len(daemons)
	for {
		select {
		case <-stop:
			return fewest
		case <-time.After(time.Millisecond):
		}
		for _, d := range daemons {
			fewest = min(fewest, len(d.state().Members["bookings"]))
		}
	}
}

// TestRelayBehindRelay checks relays whose source is another relay, which fetches across a metered
// link: they receive versions and send statuses of daemons through it, and the confirmation age
// stays within its bound despite the additional hop.
func TestRelayBehindRelay(t *testing.T) {
	source := newFakeSource()
	control, server := startControl(t, "control-1", source)
	near := newAZ(t, "south-a", 1, control)
	near.startRelays(t)
	far := newAZ(t, "south-b", 3, near.endpoints[0])
	far.startRelays(t)
	daemon := far.startDaemon(t, "d1", "bookings")
	version := source.accept(t, map[string]string{"bookings": "{1}"})
	daemon.waitVersion(t, version)
	require.Eventually(t, func() bool {
		reported := server.DaemonStatuses(t.Context())
		return len(reported) == 1 && reported[0].GetVersion() == version
	}, testTimeout, tickInterval)
	daemon.waitFor(t, "a recent confirmation", func(v *FeedState) bool {
		age, ok := v.ConfirmationAge(time.Now())
		return ok && age <= feed.MaxConfirmationAge
	})
}

// TestPartitionWithoutConnectionErrors guards against a subscriber that waits forever on a
// connection that is open but transfers nothing.
func TestPartitionWithoutConnectionErrors(t *testing.T) {
	source := newFakeSource()
	control, _ := startControl(t, "control-1", source)
	south := newAZ(t, "south-a", 1, control)
	south.traffic = &traffic{}
	south.startRelays(t)
	daemon := south.startDaemon(t, "d1", "bookings")
	daemon.waitVersion(t, source.accept(t, map[string]string{"bookings": "{1}"}))
	south.traffic.partitions.Add(1)
	daemon.waitVersion(t, source.accept(t, map[string]string{"bookings": "{2}"}))
	daemon.waitFor(t, "its own lease", func(v *FeedState) bool { return len(v.Members["bookings"]) == 1 })
}

// TestSourceFailover guards against daemons or relays that keep a failed control replica or relay
// as their source, and against lost changes of an upstream's state and of the filter.
func TestSourceFailover(t *testing.T) {
	stale, source := newFakeSource(), newFakeSource()
	stale.confirmed = false // isolated: it has no quorum confirmation
	isolated, _ := startControl(t, "control-1", stale)
	healthy, _ := startControl(t, "control-2", source)
	south := newAZ(t, "south-a", 3, isolated, healthy)
	south.startRelays(t)
	daemon, other := south.startDaemon(t, "d1", "bookings"), south.startDaemon(t, "d2", "bookings")
	version := source.accept(t, map[string]string{"bookings": "{1}"})
	daemon.waitVersion(t, version)

	followed := daemon.waitFor(t, "a source", func(v *FeedState) bool { return v.Source != "" }).Source
	for i, e := range south.endpoints {
		if e.Name == followed {
			south.relays[i].stop()
		}
	}
	daemon.waitFor(t, "another source", func(v *FeedState) bool { return v.Source != "" && v.Source != followed })
	version = source.accept(t, map[string]string{"bookings": "{2}"})
	daemon.waitVersion(t, version)
	other.Announce(Announcement{Service: "bookings", State: feed.StateDraining})
	daemon.waitFor(t, "draining", func(v *FeedState) bool {
		m := members(v, "bookings")["d2"]
		return m != nil && m.State == feed.StateDraining
	})

	other.SetServices([]string{"photos"})
	source.accept(t, map[string]string{"photos": "{3}"})
	other.waitFor(t, "another filter", func(v *FeedState) bool {
		return len(v.Documents) == 1 && string(v.Documents["photos"]) == "{3}"
	})
	other.SetServices([]string{"bookings"})
	other.waitFor(t, "an older document", func(v *FeedState) bool {
		return len(v.Documents) == 1 && string(v.Documents["bookings"]) == "{2}"
	})
}
