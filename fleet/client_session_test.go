package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/replicaselect"
)

// TestSessionHealthy checks that a session is unhealthy if its updates are delayed, and healthy
// if its replica is a follower, whose quorum confirmations are up to three heartbeats old.
func TestSessionHealthy(t *testing.T) {
	sent := time.Unix(1_000_000, 0)
	sessionAfter := func(delay, confirmation time.Duration) *session {
		s := &session{sentAt: map[uint64]time.Time{1: sent}}
		s.recordUpdate(sent.Add(delay), &api.AttendUpdate{Echo: 1, ConfirmationAgeMs: confirmation.Milliseconds()})
		return s
	}
	healthy := sessionAfter(50*time.Millisecond, 750*time.Millisecond)
	require.True(t, healthy.healthy(sent.Add(renewInterval+100*time.Millisecond)), "the next update is due")
	require.False(t, healthy.healthy(sent.Add(replicaselect.SessionTimeout+time.Millisecond)), "no further update was received")
	require.False(t, sessionAfter(3*time.Second, 0).healthy(sent.Add(3*time.Second)), "the update was delayed")
	require.False(t, sessionAfter(50*time.Millisecond, replicaselect.MaxConfirmationAge).healthy(sent.Add(60*time.Millisecond)), "the replica has lost quorum contact")
	require.False(t, (&session{}).healthy(sent), "no update was received")
}

// TestStateIgnoresOlderUpdates checks that an update of a replica that is behind the previously
// connected one does not revert the state.
func TestStateIgnoresOlderUpdates(t *testing.T) {
	changes := 0
	a := NewAgent(AgentConfig{OnChange: func(State) { changes++ }})
	a.applyState(&api.AttendUpdate{Index: 5, Full: true, Routing: &api.RoutingDocument{Number: 5}}, 0, true)
	a.applyState(&api.AttendUpdate{Index: 4, Full: true, Routing: &api.RoutingDocument{Number: 4}}, 0, true)
	require.EqualValues(t, 5, a.state.Index)
	require.EqualValues(t, 5, a.state.Routing.Number)
	require.Equal(t, 1, changes)
}
