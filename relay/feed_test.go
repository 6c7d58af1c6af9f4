package relay

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/feed"
)

// TestVersionAndMembersReachDaemons guards the whole path: a change accepted by
// control must come into force at each daemon, with members of each other.
func TestVersionAndMembersReachDaemons(t *testing.T) {
	source := newFakeSource()
	control := startControl(t, "control-1", source)
	south := newAZ(t, "south-a", 3, control)
	south.startRelays(t)
	first := south.startDaemon(t, "d1", "bookings")
	second := south.startDaemon(t, "d2", "bookings", "bookings")
	first.waitVersion(t, 0)

	version := source.accept(t, map[string]string{"bookings": "{1}", "photos": "{2}"})
	first.waitVersion(t, version)
	second.waitVersion(t, version)
	require.Equal(t, "{2}", string(first.view().Documents["photos"]))
	require.Equal(t, map[string][]byte{"bookings": []byte("{1}")}, second.view().Documents)

	version = source.accept(t, nil, "photos")
	first.waitVersion(t, version)
	require.NotContains(t, first.view().Documents, "photos")

	first.waitFor(t, "both members", func(v *View) bool { return len(v.Members["bookings"]) == 2 })
	second.Announce(Announcement{Service: "bookings", State: feed.StateDraining})
	first.waitFor(t, "draining", func(v *View) bool {
		m := members(v, "bookings")["d2"]
		return m != nil && m.State == feed.StateDraining
	})
	second.Leave(context.Background())
	first.waitFor(t, "gone", func(v *View) bool { return len(v.Members["bookings"]) == 1 })

	require.Eventually(t, func() bool {
		source.mu.Lock()
		defer source.mu.Unlock()
		d1 := source.reports["d1"]
		return len(source.reports) == 2 && d1.GetVersion() == version && d1.GetConfirmationAgeMs() >= 0
	}, waitTime, tickEvery)
}
