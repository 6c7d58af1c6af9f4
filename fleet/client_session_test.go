package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/replicaselect"
)

// TestSessionWorks guards daemons both against a replica whose updates are long on
// their way and against leaving a healthy one: confirmations of followers are up to
// three heartbeats old.
func TestSessionWorks(t *testing.T) {
	sent := time.Unix(1_000_000, 0)
	answer := func(after, confirmation time.Duration) *session {
		s := &session{sent: map[uint64]time.Time{1: sent}}
		s.note(sent.Add(after), &api.AttendUpdate{Echo: 1, ConfirmationAgeMs: confirmation.Milliseconds()})
		return s
	}
	healthy := answer(50*time.Millisecond, 750*time.Millisecond)
	require.True(t, healthy.works(sent.Add(renewEvery+100*time.Millisecond)), "the next answer is due")
	require.False(t, healthy.works(sent.Add(replicaselect.SessionTimeout+time.Millisecond)), "no answer came")
	require.False(t, answer(3*time.Second, 0).works(sent.Add(3*time.Second)), "the answer was long on its way")
	require.False(t, answer(50*time.Millisecond, replicaselect.MaxConfirmationAge).works(sent.Add(60*time.Millisecond)), "the replica is cut off from its quorum")
	require.False(t, (&session{}).works(sent), "nothing came")
}

// TestStateNeverGoesBack guards a daemon against an update of a replica that is behind
// the one that it attended before.
func TestStateNeverGoesBack(t *testing.T) {
	changes := 0
	a := NewAgent(AgentConfig{OnChange: func(State) { changes++ }})
	a.apply(&api.AttendUpdate{Index: 5, Full: true, Routing: &api.RoutingDocument{Number: 5}}, 0, true)
	a.apply(&api.AttendUpdate{Index: 4, Full: true, Routing: &api.RoutingDocument{Number: 4}}, 0, true)
	require.EqualValues(t, 5, a.state.Index)
	require.EqualValues(t, 5, a.state.Routing.Number)
	require.Equal(t, 1, changes)
}
