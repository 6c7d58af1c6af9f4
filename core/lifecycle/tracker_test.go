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

// checkHealth plays a health check to which an incarnation responds, without an event in between.
func checkHealth(tracker *Tracker, id string, result HealthCheckResult) {
	tracker.ObserveHealthCheck(tracker.BeginHealthCheck(), id, 4, result)
}

// run plays a daemon that runs without a freeze.
func run(tracker *Tracker, from, to time.Time) {
	for now := from; now.Before(to); now = now.Add(100 * time.Millisecond) {
		tracker.Tick(now)
	}
	tracker.Tick(to)
}

// TestLateHeartbeatOfFormerIncarnation guards against a heartbeat that a partition delays
// until its sender has crashed and another incarnation has registered.
func TestLateHeartbeatOfFormerIncarnation(t *testing.T) {
	tracker := NewTracker(start, "photos")
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 9, Ready), true))
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-2", 200, 1, Ready), true))
	require.Equal(t, Stale, tracker.Observe(start, heartbeat("i-1", 100, 10, Draining), true))
	require.Equal(t, "i-2", tracker.Current().ID)
	checkHealth(tracker, "i-2", CheckReady)
	require.Equal(t, Ready, tracker.Current().State)
	require.False(t, tracker.Deregister(start, "i-1"))
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-2", 300, 1, Ready), true), "a new incarnation with the same id starts its own sequence")
	require.Equal(t, Stale, tracker.Observe(start, heartbeat("i-2", 200, 50, Ready), true))
}

// TestDrainingIsFinal guards a draining upstream against new requests: neither a late
// heartbeat nor one after it has deregistered makes it ready again.
func TestDrainingIsFinal(t *testing.T) {
	tracker := NewTracker(start, "photos")
	tracker.Observe(start, heartbeat("i-1", 100, 1, Ready), true)
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 3, Draining), true))
	require.Equal(t, Stale, tracker.Observe(start, heartbeat("i-1", 100, 2, Ready), true))
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 4, Ready), true))
	require.Equal(t, Draining, tracker.Current().State)
	require.True(t, tracker.Deregister(start, "i-1"))
	require.Equal(t, Absent, tracker.Current().State)
	require.Equal(t, Stale, tracker.Observe(start, heartbeat("i-1", 100, 5, Ready), true))
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 101, 1, Ready), true))
	checkHealth(tracker, "i-1", CheckReady)
	require.Equal(t, Ready, tracker.Current().State)
}

// TestHeartbeatOfWrongService guards against an upstream of another service at this daemon.
func TestHeartbeatOfWrongService(t *testing.T) {
	tracker := NewTracker(start, "rounds")
	require.Equal(t, WrongService, tracker.Observe(start, heartbeat("i-1", 100, 1, Ready), true))
	require.Equal(t, Absent, tracker.Current().State)
}

// TestHealthCheckBeforeFirstHeartbeat guards a daemon that starts while the upstream is
// already running: it serves after a health check, and the next heartbeat takes precedence.
func TestHealthCheckBeforeFirstHeartbeat(t *testing.T) {
	tracker := NewTracker(start, "photos")
	check := tracker.BeginHealthCheck()
	tracker.ObserveHealthCheck(check, "i-1", 4, CheckReady)
	require.Equal(t, Ready, tracker.Current().State)
	require.False(t, tracker.NeedsHealthCheck())
	tracker.ObserveHealthCheck(check, "i-9", 4, CheckReady)
	require.Equal(t, "i-1", tracker.Current().ID)
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 7, Ready), true))
	require.Equal(t, 8, tracker.Current().Slots)
	require.True(t, tracker.ObserveReplacement("i-2"))
	require.Equal(t, Absent, tracker.Current().State)
	require.False(t, tracker.ObserveReplacement("i-1"))
}

// TestDrainingAfterOddSequence guards against a heartbeat of another writer with a sequence that no
// later heartbeat of the upstream reaches: the upstream must still be able to drain and to leave.
func TestDrainingAfterOddSequence(t *testing.T) {
	tracker := NewTracker(start, "photos")
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 4, Ready), true))
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, MaxSequence, Ready), true))
	require.Equal(t, Stale, tracker.Observe(start, heartbeat("i-1", 100, 5, Ready), true))
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 6, Draining), true))
	require.Equal(t, Draining, tracker.Current().State)
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 6, Draining), true), "a repeated heartbeat is acknowledged again")
	require.True(t, tracker.Deregister(start, "i-1"))
}

// TestOddStartTimeIsRepaired guards against a heartbeat of another writer that claims a later start
// than the upstream has: once the upstream has responded in its place, its heartbeats count again.
func TestOddStartTimeIsRepaired(t *testing.T) {
	tracker := NewTracker(start, "photos")
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 4, Ready), true))
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-odd", MaxStartedAtMs, 1, Ready), true))
	require.Equal(t, Stale, tracker.Observe(start, heartbeat("i-1", 100, 5, Ready), true))
	require.True(t, tracker.ObserveReplacement("i-1"))
	require.Equal(t, Absent, tracker.Current().State)
	require.Equal(t, Stale, tracker.Observe(start, heartbeat("i-0", 90, 5, Ready), true), "a late heartbeat of an incarnation that has ended")
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 6, Ready), true))
	checkHealth(tracker, "i-1", CheckReady)
	require.Equal(t, Ready, tracker.Current().State)
	require.Equal(t, "i-1", tracker.Current().ID)
}

// TestLateHeartbeatAfterRestart guards against a heartbeat that an upstream sent before it left, and
// that reaches a daemon which was restarted in between and does not know of the departure.
func TestLateHeartbeatAfterRestart(t *testing.T) {
	for name, foundFirst := range map[string]bool{"after a health check": true, "before a health check": false} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker(start, "photos")
			if foundFirst {
				checkHealth(tracker, "i-1", CheckNotReady)
				require.Equal(t, Unconfirmed, tracker.Current().State)
			}
			for sequence := range uint64(3) {
				require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 5+sequence, Ready), true))
				require.Equal(t, Unconfirmed, tracker.Current().State)
				require.True(t, tracker.NeedsHealthCheck())
				checkHealth(tracker, "i-1", CheckNotReady)
				require.Equal(t, Unconfirmed, tracker.Current().State)
			}
			require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 200, 1, Ready), true))
			require.Equal(t, Unconfirmed, tracker.Current().State, "a new incarnation with the same id")
			checkHealth(tracker, "i-1", CheckReady)
			require.Equal(t, Ready, tracker.Current().State)
			require.False(t, tracker.NeedsHealthCheck())
		})
	}
}

// TestDepartureDuringHealthCheck guards against the response to a health check that an upstream sent
// before it left, and against a late heartbeat of an upstream that has left before the daemon heard of
// it.
func TestDepartureDuringHealthCheck(t *testing.T) {
	for name, depart := range map[string]func(*Tracker){
		"deregistration":      func(tracker *Tracker) { tracker.Deregister(start, "i-1") },
		"draining":            func(tracker *Tracker) { tracker.Observe(start, heartbeat("i-1", 100, 2, Draining), true) },
		"unknown to a daemon": func(tracker *Tracker) { *tracker = *NewTracker(start, "photos"); tracker.Deregister(start, "i-1") },
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker(start, "photos")
			tracker.Observe(start, heartbeat("i-1", 100, 1, Ready), true)
			check := tracker.BeginHealthCheck()
			depart(tracker)
			tracker.ObserveHealthCheck(check, "i-1", 4, CheckReady)
			require.NotEqual(t, Ready, tracker.Current().State)
			for i, checkable := range []bool{true, false} {
				tracker.Observe(start, heartbeat("i-1", 100, uint64(3+i), Ready), checkable)
				require.NotEqual(t, Ready, tracker.Current().State)
			}
		})
	}
}

// TestNewIncarnationDuringHealthCheck guards against the response of a former incarnation to a health
// check, which arrives after the first heartbeat of the current one.
func TestNewIncarnationDuringHealthCheck(t *testing.T) {
	tracker := NewTracker(start, "photos")
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 5, Ready), false))
	check := tracker.BeginHealthCheck()
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-2", 200, 1, Ready), true))
	for _, result := range []HealthCheckResult{CheckReady, CheckNotReady} {
		tracker.ObserveHealthCheck(check, "i-1", 4, result)
		require.Equal(t, "i-2", tracker.Current().ID)
		require.Equal(t, Unconfirmed, tracker.Current().State)
	}
	checkHealth(tracker, "i-2", CheckReady)
	require.Equal(t, Ready, tracker.Current().State)
}

// TestHeartbeatWithoutHealthCheck guards an upstream whose health cannot be checked: before the daemon
// has a configuration it is taken at its word, until a check is possible, and a service whose health
// path leads nowhere is not taken out of service.
func TestHeartbeatWithoutHealthCheck(t *testing.T) {
	tracker := NewTracker(start, "photos")
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 1, Ready), false))
	require.Equal(t, Ready, tracker.Current().State)
	require.True(t, tracker.NeedsHealthCheck())
	checkHealth(tracker, "i-1", CheckNotReady)
	require.Equal(t, Unconfirmed, tracker.Current().State)
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 2, Ready), true))
	require.Equal(t, Unconfirmed, tracker.Current().State)
	checkHealth(tracker, "", CheckUnusable)
	require.Equal(t, Ready, tracker.Current().State)
	require.False(t, tracker.NeedsHealthCheck())
}

// TestHealthCheckFindsAnotherIncarnation guards against a late heartbeat of an incarnation that has
// ended, at a daemon that was restarted: the one that responds at the address is the current one.
func TestHealthCheckFindsAnotherIncarnation(t *testing.T) {
	tracker := NewTracker(start, "photos")
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-1", 100, 9, Ready), true))
	checkHealth(tracker, "i-2", CheckReady)
	require.Equal(t, "i-2", tracker.Current().ID)
	require.Equal(t, Ready, tracker.Current().State)
	require.Equal(t, Accepted, tracker.Observe(start, heartbeat("i-2", 200, 1, Ready), true))
	require.Equal(t, Ready, tracker.Current().State, "its first heartbeat does not interrupt it")
	require.Equal(t, Stale, tracker.Observe(start, heartbeat("i-1", 100, 10, Ready), true))
	checkHealth(tracker, "i-2", CheckNotReady)
	require.Equal(t, Ready, tracker.Current().State, "an upstream that fails its health checks later is still used")
}

// TestNewHeartbeatNeedsNoHealthCheck guards against a sound upstream whose health checks say that it is
// not: it is used as soon as its heartbeats cannot be older than the daemon.
func TestNewHeartbeatNeedsNoHealthCheck(t *testing.T) {
	tracker := NewTracker(start, "photos")
	last := start.Add(MaxHeartbeatDelay - time.Millisecond)
	run(tracker, start, last)
	require.Equal(t, Accepted, tracker.Observe(last, heartbeat("i-1", 100, 5, Ready), true))
	checkHealth(tracker, "i-1", CheckNotReady)
	require.Equal(t, Unconfirmed, tracker.Current().State)
	end := start.Add(MaxHeartbeatDelay)
	require.Equal(t, Stale, tracker.Observe(end, heartbeat("i-1", 100, 4, Ready), true))
	require.Equal(t, Unconfirmed, tracker.Current().State)
	require.Equal(t, Accepted, tracker.Observe(end, heartbeat("i-1", 100, 6, Ready), true))
	require.Equal(t, Ready, tracker.Current().State)
	require.False(t, tracker.NeedsHealthCheck())
	require.Equal(t, Accepted, tracker.Observe(end, heartbeat("i-2", 200, 1, Ready), true))
	require.Equal(t, Ready, tracker.Current().State, "a new incarnation")
}

// TestHeartbeatAfterUnknownDeparture guards against a late heartbeat of an incarnation that left before
// the daemon heard of it: after the deregistration of an id, its heartbeats may be older.
func TestHeartbeatAfterUnknownDeparture(t *testing.T) {
	tracker := NewTracker(start, "photos")
	now := start.Add(time.Hour)
	run(tracker, start, now)
	require.Equal(t, Accepted, tracker.Observe(now, heartbeat("i-1", 100, 5, Ready), true))
	require.False(t, tracker.Deregister(now, "i-2"))
	require.Equal(t, Accepted, tracker.Observe(now, heartbeat("i-2", 200, 1, Ready), true))
	require.Equal(t, Unconfirmed, tracker.Current().State)
	checkHealth(tracker, "i-2", CheckNotReady)
	require.Equal(t, Unconfirmed, tracker.Current().State)
	require.Equal(t, Accepted, tracker.Observe(now, heartbeat("i-2", 300, 1, Ready), true))
	require.Equal(t, Unconfirmed, tracker.Current().State)
	checkHealth(tracker, "i-2", CheckReady)
	require.Equal(t, Ready, tracker.Current().State, "a new incarnation with the same id")
}

// TestHeartbeatReadAfterFreeze guards against a late heartbeat that arrives while the restarted daemon is
// frozen: when it is read, the daemon has existed for long enough, but would not know of a departure.
func TestHeartbeatReadAfterFreeze(t *testing.T) {
	for name, ticked := range map[string]bool{"before the first tick": false, "after it": true} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker(start, "photos")
			run(tracker, start, start.Add(time.Second))
			now := start.Add(time.Minute)
			if ticked {
				tracker.Tick(now)
			}
			require.Equal(t, Accepted, tracker.Observe(now, heartbeat("i-1", 100, 5, Ready), true))
			require.Equal(t, Unconfirmed, tracker.Current().State)
			require.False(t, tracker.Deregister(now, "i-2"))
			end := now.Add(MaxHeartbeatDelay)
			run(tracker, now, end)
			require.Equal(t, Accepted, tracker.Observe(end, heartbeat("i-1", 100, 6, Ready), true))
			require.Equal(t, Ready, tracker.Current().State, "a heartbeat that is new enough")
		})
	}
	tracker := NewTracker(start, "photos")
	now := start.Add(time.Hour)
	run(tracker, start, now)
	require.False(t, tracker.Deregister(now, "i-1"))
	require.Equal(t, Accepted, tracker.Observe(now.Add(time.Minute), heartbeat("i-1", 100, 5, Ready), true))
	require.Equal(t, Unconfirmed, tracker.Current().State, "after a departure")
}
