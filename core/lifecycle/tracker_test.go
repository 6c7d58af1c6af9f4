package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func report(id string, born int64, sequence uint64, state State) Heartbeat {
	return Heartbeat{ID: id, StartedAtMs: born, Sequence: sequence, Service: "photos", State: state, Slots: 8}
}

// TestLateReportOfFormerRun guards against a report that was held up by a
// partition while its sender crashed and another run registered.
func TestLateReportOfFormerRun(t *testing.T) {
	p := NewTracker("photos")
	require.Equal(t, Accepted, p.Observe(start, report("i-1", 100, 9, Ready)))
	require.Equal(t, Accepted, p.Observe(start, report("i-2", 200, 1, Ready)))
	require.Equal(t, Stale, p.Observe(start, report("i-1", 100, 10, Draining)))
	require.Equal(t, "i-2", p.Current().ID)
	require.Equal(t, Ready, p.Current().State)
	require.False(t, p.Deregister("i-1"))
	require.Equal(t, Accepted, p.Observe(start, report("i-2", 300, 1, Ready)), "a new run under the same id counts anew")
	require.Equal(t, Stale, p.Observe(start, report("i-2", 200, 50, Ready)))
}

// TestDrainingIsFinal guards a leaving upstream against new work: neither a late
// report nor one after it left makes it ready again.
func TestDrainingIsFinal(t *testing.T) {
	p := NewTracker("photos")
	p.Observe(start, report("i-1", 100, 1, Ready))
	require.Equal(t, Accepted, p.Observe(start, report("i-1", 100, 3, Draining)))
	require.Equal(t, Stale, p.Observe(start, report("i-1", 100, 2, Ready)))
	require.Equal(t, Accepted, p.Observe(start, report("i-1", 100, 4, Ready)))
	require.Equal(t, Draining, p.Current().State)
	require.True(t, p.Deregister("i-1"))
	require.Equal(t, Absent, p.Current().State)
	require.Equal(t, Stale, p.Observe(start, report("i-1", 100, 5, Ready)))
	require.Equal(t, Accepted, p.Observe(start, report("i-1", 101, 1, Ready)))
	require.Equal(t, Ready, p.Current().State)
}

func TestForeignReport(t *testing.T) {
	p := NewTracker("rounds")
	require.Equal(t, WrongService, p.Observe(start, report("i-1", 100, 1, Ready)))
	require.Equal(t, Absent, p.Current().State)
}

// TestProbeBeforeTheFirstReport guards a daemon that starts beside a running
// upstream: it serves before the next report, which then takes precedence.
func TestProbeBeforeTheFirstReport(t *testing.T) {
	p := NewTracker("photos")
	require.True(t, p.ObserveHealthCheck("i-1", 4, true))
	require.Equal(t, Ready, p.Current().State)
	require.False(t, p.ObserveHealthCheck("i-9", 4, true))
	require.Equal(t, Accepted, p.Observe(start, report("i-1", 100, 7, Ready)))
	require.Equal(t, 8, p.Current().Slots)
	require.True(t, p.ObserveReplacement("i-2"))
	require.Equal(t, Absent, p.Current().State)
	require.False(t, p.ObserveReplacement("i-1"))
}
