package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func heartbeat(id string, startedAtMs int64, sequence uint64, state State) Heartbeat {
	return Heartbeat{ID: id, StartedAtMs: startedAtMs, Sequence: sequence, Service: "photos", State: state, Slots: 8}
}

// TestLateHeartbeatOfFormerIncarnation guards against a heartbeat that a partition delays
// until its sender has crashed and another incarnation has registered.
func TestLateHeartbeatOfFormerIncarnation(t *testing.T) {
	tracker := NewTracker("photos")
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 9, Ready)))
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-2", 200, 1, Ready)))
	require.Equal(t, Stale, tracker.Observe(start, heartbeat("i-1", 100, 10, Draining)))
	require.Equal(t, "i-2", tracker.Current().ID)
	require.Equal(t, Ready, tracker.Current().State)
	require.False(t, tracker.Deregister("i-1"))
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-2", 300, 1, Ready)), "a new incarnation with the same id starts its own sequence")
	require.Equal(t, Stale, tracker.Observe(start, heartbeat("i-2", 200, 50, Ready)))
}

// TestDrainingIsFinal guards a draining upstream against new requests: neither a late
// heartbeat nor one after it has deregistered makes it ready again.
func TestDrainingIsFinal(t *testing.T) {
	tracker := NewTracker("photos")
	tracker.Observe(start, heartbeat("i-1", 100, 1, Ready))
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 3, Draining)))
	require.Equal(t, Stale, tracker.Observe(start, heartbeat("i-1", 100, 2, Ready)))
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 4, Ready)))
	require.Equal(t, Draining, tracker.Current().State)
	require.True(t, tracker.Deregister("i-1"))
	require.Equal(t, Absent, tracker.Current().State)
	require.Equal(t, Stale, tracker.Observe(start, heartbeat("i-1", 100, 5, Ready)))
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 101, 1, Ready)))
	require.Equal(t, Ready, tracker.Current().State)
}

// TestHeartbeatOfWrongService guards against an upstream of another service at this daemon.
func TestHeartbeatOfWrongService(t *testing.T) {
	tracker := NewTracker("rounds")
	require.Equal(t, WrongService, tracker.Observe(start, heartbeat("i-1", 100, 1, Ready)))
	require.Equal(t, Absent, tracker.Current().State)
}

// TestHealthCheckBeforeFirstHeartbeat guards a daemon that starts while the upstream is
// already running: it serves after a health check, and the next heartbeat takes precedence.
func TestHealthCheckBeforeFirstHeartbeat(t *testing.T) {
	tracker := NewTracker("photos")
	require.True(t, tracker.ObserveHealthCheck("i-1", 4, true))
	require.Equal(t, Ready, tracker.Current().State)
	require.False(t, tracker.ObserveHealthCheck("i-9", 4, true))
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 7, Ready)))
	require.Equal(t, 8, tracker.Current().Slots)
	require.True(t, tracker.ObserveReplacement("i-2"))
	require.Equal(t, Absent, tracker.Current().State)
	require.False(t, tracker.ObserveReplacement("i-1"))
}

// TestDrainingAfterOddSequence guards against a heartbeat of another writer with a sequence that no
// later heartbeat of the upstream reaches: the upstream must still be able to drain and to leave.
func TestDrainingAfterOddSequence(t *testing.T) {
	tracker := NewTracker("photos")
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 4, Ready)))
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, MaxSequence, Ready)))
	require.Equal(t, Stale, tracker.Observe(start, heartbeat("i-1", 100, 5, Ready)))
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 6, Draining)))
	require.Equal(t, Draining, tracker.Current().State)
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 6, Draining)), "a repeated heartbeat is acknowledged again")
	require.True(t, tracker.Deregister("i-1"))
}

// TestOddStartTimeIsRepaired guards against a heartbeat of another writer that claims a later start
// than the upstream has: once the upstream has responded in its place, its heartbeats count again.
func TestOddStartTimeIsRepaired(t *testing.T) {
	tracker := NewTracker("photos")
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 4, Ready)))
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-odd", MaxStartedAtMs, 1, Ready)))
	require.Equal(t, Stale, tracker.Observe(start, heartbeat("i-1", 100, 5, Ready)))
	require.True(t, tracker.ObserveReplacement("i-1"))
	require.Equal(t, Absent, tracker.Current().State)
	require.Equal(t, Stale, tracker.Observe(start, heartbeat("i-0", 90, 5, Ready)), "a late heartbeat of an incarnation that has ended")
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 6, Ready)))
	require.Equal(t, Ready, tracker.Current().State)
	require.Equal(t, "i-1", tracker.Current().ID)
}
