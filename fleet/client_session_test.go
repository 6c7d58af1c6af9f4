package fleet

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/replicaselect"
	"github.com/bilberrydeck/bilberrydeck/logging"
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

// discardingStream is a stream that accepts all requests.
type discardingStream struct{ attendStream }

func (discardingStream) Send(*api.AttendRequest) error { return nil }

// TestStateFollowsItsSession checks that a state from a candidate session is published only once
// that session is the active one, so that nobody sees it with the replica of the former session.
func TestStateFollowsItsSession(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var a *Agent
	var connected []string
	a = NewAgent(AgentConfig{Logger: logging.New(io.Discard), Clock: func() time.Time { return now }, OnChange: func(State) { connected = append(connected, a.ConnectedReplica()) }})
	open := func(address string) *session {
		return &session{address: address, cancel: func() {}, stream: discardingStream{}, sequence: 1, sentAt: map[uint64]time.Time{1: now}}
	}
	for i, address := range []string{"first:1", "second:1"} {
		a.candidate = open(address)
		a.handleEvent(event{session: a.candidate, update: &api.AttendUpdate{Index: uint64(i + 1), Full: true, Echo: 1}})
		require.Equal(t, address, a.ConnectedReplica())
	}
	require.Equal(t, []string{"first:1", "second:1"}, connected)
}
