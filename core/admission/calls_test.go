package admission

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// TestLaterCallsGoFirst guards callers whose requests need a full service several times:
// runs that have begun end well, and fewer are begun. Which calls are later ones is only
// guessed from their times, with hundreds of calls a second at each daemon.
func TestLaterCallsGoFirst(t *testing.T) {
	for _, load := range []float64{1.5, 2, 3} {
		without := (&chainScenario{calls: 5, load: load}).run()
		with := (&chainScenario{calls: 5, load: load, sequenced: true}).run()
		both := (&chainScenario{calls: 5, load: load, sequenced: true, throttled: true}).run()
		t.Logf("load %.1f: whole requests %.2f of the capacity without, %.2f if later calls go first, %.2f with early refusal too",
			load, without.share(), with.share(), both.share())
		require.Greater(t, with.share(), without.share())
		require.Greater(t, with.share(), wholeShare, "load %.1f", load)
		require.Greater(t, both.share(), wholeShare, "load %.1f", load)
	}
	calm := (&chainScenario{calls: 5, load: 0.6, sequenced: true}).run()
	require.InDelta(t, 0.6, calm.share(), 0.05)
}

// TestCallsInheritPriority guards bookings whose calls nobody can tell from those of other
// requests by their routes: while a service further down is full, they are refused last.
// Whose calls are whose is only guessed from times.
func TestCallsInheritPriority(t *testing.T) {
	part := func(s *chainScenario, class chain.Class) float64 {
		return float64(s.served[class]) / float64(s.offered[class])
	}
	for _, load := range []float64{1.2, 1.5, 2} {
		without := (&chainScenario{calls: 5, load: load, sequenced: true, throttled: true}).run()
		with := (&chainScenario{calls: 5, load: load, sequenced: true, throttled: true, inherited: true}).run()
		t.Logf("load %.1f: whole requests %.2f of the capacity without and %.2f with priorities of requests; critical %.2f and %.2f, others %.2f and %.2f",
			load, without.share(), with.share(), part(without, chain.Critical), part(with, chain.Critical), part(without, chain.Sheddable), part(with, chain.Sheddable))
		require.Greater(t, part(with, chain.Critical), part(without, chain.Critical))
		require.Greater(t, with.share(), wholeShare, "load %.1f", load)
		require.Greater(t, part(with, chain.Sheddable), 0.1, "nobody is starved")
	}
	calm := (&chainScenario{calls: 5, load: 0.6, sequenced: true, inherited: true}).run()
	require.InDelta(t, 0.6, calm.share(), 0.05)
}
