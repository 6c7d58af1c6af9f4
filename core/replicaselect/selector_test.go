package replicaselect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func chooser() *Selector {
	c := NewSelector("cardiff-a", "south", []string{"seed:1", "seed:2"}, 1)
	c.SetReplicas([]Replica{{"far:1", "wrexham-a", "north"}, {"near:1", "cardiff-a", "south"}, {"region:1", "swansea-b", "south"}})
	return c
}

// TestNearestThatWorks guards against traffic across zones that is paid for:
// the replica of the own zone comes first, then that of the region.
func TestNearestThatWorks(t *testing.T) {
	c := chooser()
	require.Equal(t, "near:1", c.Next(start))
	c.MarkFailed(start, "near:1")
	require.Equal(t, "region:1", c.Next(start))
	c.MarkFailed(start, "region:1")
	require.Equal(t, "far:1", c.Next(start))
	c.SetConnected("far:1")
	require.False(t, c.ShouldSwitch(start.Add(time.Second)))
	require.True(t, c.ShouldSwitch(start.Add(10*time.Second)))
	require.Equal(t, "near:1", c.Next(start.Add(10*time.Second)))
	c.SetConnected("near:1")
	require.False(t, c.ShouldSwitch(start.Add(20*time.Second)))
	require.Equal(t, "region:1", c.Next(start.Add(20*time.Second)), "the attended one is no alternative to itself")
}

// TestSeedsAreTheLastResort guards a daemon whose known replicas have all been
// replaced: it starts again from the seeds.
func TestSeedsAreTheLastResort(t *testing.T) {
	c := chooser()
	for _, address := range []string{"near:1", "region:1", "far:1"} {
		c.MarkFailed(start, address)
	}
	require.Contains(t, c.Next(start), "seed")
	c.MarkFailed(start, "seed:1")
	c.MarkFailed(start, "seed:2")
	require.NotEmpty(t, c.Next(start), "with nothing else, the one that failed first is tried again")
	fresh := NewSelector("cardiff-a", "south", []string{"seed:1"}, 1)
	require.Equal(t, "seed:1", fresh.Next(start))
	fresh.SetConnected("seed:1")
	fresh.SetReplicas([]Replica{{"near:1", "cardiff-a", "south"}})
	require.True(t, fresh.ShouldSwitch(start), "a seed is left for a known replica at once")
	require.Empty(t, NewSelector("", "", nil, 1).Next(start))
}

// TestPenaltyIsBounded guards the time after which a healed partition is noticed.
func TestPenaltyIsBounded(t *testing.T) {
	c := chooser()
	for range 20 {
		c.MarkFailed(start, "near:1")
	}
	require.Equal(t, "near:1", c.Next(start.Add(maxPenalty)))
	c.MarkHealthy("near:1")
	require.Equal(t, "near:1", c.Next(start))
}
