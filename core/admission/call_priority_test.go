package admission

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// TestSubsequentCallsPrioritized verifies that goodput rises if subsequent calls take precedence
// over first calls at an overloaded dependency: requests in progress then succeed, and fewer are
// started. Subsequent calls are only inferred from their timing, with hundreds of calls per
// second at each daemon.
func TestSubsequentCallsPrioritized(t *testing.T) {
	for _, load := range []float64{1.5, 2, 3} {
		without := (&callScenario{callsPerRequest: 5, load: load}).run()
		with := (&callScenario{callsPerRequest: 5, load: load, prioritizeSubsequent: true}).run()
		both := (&callScenario{callsPerRequest: 5, load: load, prioritizeSubsequent: true, throttle: true}).run()
		t.Logf("load %.1f: goodput %.2f of the capacity without precedence, %.2f with precedence of subsequent calls, %.2f with the throttle too",
			load, without.goodputRatio(), with.goodputRatio(), both.goodputRatio())
		require.Greater(t, with.goodputRatio(), without.goodputRatio())
		require.Greater(t, with.goodputRatio(), minGoodputRatio, "load %.1f", load)
		require.Greater(t, both.goodputRatio(), minGoodputRatio, "load %.1f", load)
	}
	lowLoad := (&callScenario{callsPerRequest: 5, load: 0.6, prioritizeSubsequent: true}).run()
	require.InDelta(t, 0.6, lowLoad.goodputRatio(), 0.05)
}

// TestCallsInheritRequestPriority verifies that calls of critical requests, whose routes do not
// differ from those of other requests' calls, are rejected last while a dependency is overloaded.
// The parent of a call is only inferred from its timing.
func TestCallsInheritRequestPriority(t *testing.T) {
	successRatio := func(s *callScenario, class chain.Class) float64 {
		return float64(s.succeeded[class]) / float64(s.offered[class])
	}
	for _, load := range []float64{1.2, 1.5, 2} {
		without := (&callScenario{callsPerRequest: 5, load: load, prioritizeSubsequent: true, throttle: true}).run()
		with := (&callScenario{callsPerRequest: 5, load: load, prioritizeSubsequent: true, throttle: true, inheritPriority: true}).run()
		t.Logf("load %.1f: goodput %.2f of the capacity without and %.2f with inherited priorities; critical %.2f and %.2f, sheddable %.2f and %.2f",
			load, without.goodputRatio(), with.goodputRatio(), successRatio(without, chain.Critical), successRatio(with, chain.Critical), successRatio(without, chain.Sheddable), successRatio(with, chain.Sheddable))
		require.Greater(t, successRatio(with, chain.Critical), successRatio(without, chain.Critical))
		require.Greater(t, with.goodputRatio(), minGoodputRatio, "load %.1f", load)
		require.Greater(t, successRatio(with, chain.Sheddable), 0.1, "no class is starved")
	}
	lowLoad := (&callScenario{callsPerRequest: 5, load: 0.6, prioritizeSubsequent: true, inheritPriority: true}).run()
	require.InDelta(t, 0.6, lowLoad.goodputRatio(), 0.05)
}
