package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/feed"
)

// TestVersionAndMembersReachDaemons checks that a change accepted by control becomes active at each
// of two daemons, and that each receives the member entries of both.
func TestVersionAndMembersReachDaemons(t *testing.T) {
	source := newFakeSource()
	control, server := startControl(t, "control-1", source)
	south := newAZ(t, "south-a", 3, control)
	south.startRelays(t)
	first := south.startDaemon(t, "d1", "bookings")
	second := south.startDaemon(t, "d2", "bookings", "bookings")
	first.waitVersion(t, 0)

	version := source.accept(t, map[string]string{"bookings": "{1}", "photos": "{2}"})
	first.waitVersion(t, version)
	second.waitVersion(t, version)
	require.Equal(t, "{2}", string(first.state().Documents["photos"]))
	require.Equal(t, map[string][]byte{"bookings": []byte("{1}")}, second.state().Documents)

	version = source.accept(t, nil, "photos")
	first.waitVersion(t, version)
	require.NotContains(t, first.state().Documents, "photos")

	first.waitFor(t, "both members", func(v *FeedState) bool { return len(v.Members["bookings"]) == 2 })
	second.Announce(Announcement{Service: "bookings", State: feed.StateDraining})
	first.waitFor(t, "draining", func(v *FeedState) bool {
		m := members(v, "bookings")["d2"]
		return m != nil && m.State == feed.StateDraining
	})
	second.Deregister(context.Background())
	first.waitFor(t, "one remaining member", func(v *FeedState) bool { return len(v.Members["bookings"]) == 1 })

	require.Eventually(t, func() bool {
		reported := server.DaemonStatuses(context.Background())
		return len(reported) == 2 && reported[0].GetVersion() == version && reported[0].GetConfirmationAgeMs() >= 0
	}, testTimeout, tickInterval)
}

// TestSlowSubscriber guards against updates that accumulate for a subscriber that does not read:
// it must receive one update with all changes.
func TestSlowSubscriber(t *testing.T) {
	r, err := NewRelay(RelayConfig{Name: "r", AvailabilityZone: "az-0", Relays: []Endpoint{{Name: "r"}}})
	require.NoError(t, err)
	s := &subscription{wantConfig: true, dirty: true, updates: make(chan *api.SyncUpdate, 1)}
	r.subscriptions[s] = true
	apply := func(from, to uint64, name string) {
		d := feed.Delta{From: from, To: to, Changed: []feed.Document{{Service: name}}}
		require.NoError(t, r.store.Apply(d))
		r.markAllDirty()
		r.hub.flush(time.Now())
	}
	apply(0, 1, "a")
	require.Equal(t, uint64(1), (<-s.updates).GetConfig().GetToVersion())
	apply(1, 2, "b") // the first update is still being sent
	apply(2, 3, "c")
	require.Empty(t, s.updates)
	s.sending = false
	r.hub.flush(time.Now())
	u := <-s.updates
	require.Equal(t, uint64(1), u.GetConfig().GetFromVersion())
	require.Len(t, u.GetConfig().GetServices(), 2)
}
