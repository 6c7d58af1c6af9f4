package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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

// TestSequencesMatchOnce guards first calls: an answer makes one call a later one, soon
// after it and on its route.
func TestSequencesMatchOnce(t *testing.T) {
	var s Sequences
	now := simEpoch
	require.False(t, s.Follows(now, "r"))
	s.Answered(now, "r")
	s.Answered(now, "r")
	require.False(t, s.Follows(now, "other"))
	now = now.Add(followTime / 2)
	require.True(t, s.Follows(now, "r"))
	require.True(t, s.Follows(now, "r"))
	require.False(t, s.Follows(now, "r"))
	s.Answered(now, "r")
	require.False(t, s.Follows(now.Add(followTime+time.Microsecond), "r"))
}
