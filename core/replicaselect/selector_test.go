package replicaselect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func newTestSelector() *Selector {
	s := NewSelector("cardiff-a", "south", []string{"seed:1", "seed:2"}, 1)
	s.SetReplicas([]Replica{{"far:1", "wrexham-a", "north"}, {"near:1", "cardiff-a", "south"}, {"region:1", "swansea-b", "south"}})
	return s
}

// TestNearestUsableReplicaFirst guards against paid traffic between zones: a replica of the
// daemon's zone comes first, then one of its region.
func TestNearestUsableReplicaFirst(t *testing.T) {
	s := newTestSelector()
	require.Equal(t, "near:1", s.Next(start))
	s.MarkFailed(start, "near:1")
	require.Equal(t, "region:1", s.Next(start))
	s.MarkFailed(start, "region:1")
	require.Equal(t, "far:1", s.Next(start))
	s.SetConnected("far:1")
	require.False(t, s.ShouldSwitch(start.Add(time.Second)))
	require.True(t, s.ShouldSwitch(start.Add(10*time.Second)))
	require.Equal(t, "near:1", s.Next(start.Add(10*time.Second)))
	s.SetConnected("near:1")
	require.False(t, s.ShouldSwitch(start.Add(20*time.Second)))
	require.Equal(t, "region:1", s.Next(start.Add(20*time.Second)), "the connected replica is not selected again")
}

// TestFallbackToSeeds guards against a daemon that finds no replica after all known replicas
// have been replaced: it falls back to the seeds.
func TestFallbackToSeeds(t *testing.T) {
	s := newTestSelector()
	for _, address := range []string{"near:1", "region:1", "far:1"} {
		s.MarkFailed(start, address)
	}
	require.Contains(t, s.Next(start), "seed")
	s.MarkFailed(start, "seed:1")
	s.MarkFailed(start, "seed:2")
	require.NotEmpty(t, s.Next(start), "if all are in backoff, the one whose backoff ends first is selected")
	selector := NewSelector("cardiff-a", "south", []string{"seed:1"}, 1)
	require.Equal(t, "seed:1", selector.Next(start))
	selector.SetConnected("seed:1")
	selector.SetReplicas([]Replica{{"near:1", "cardiff-a", "south"}})
	require.True(t, selector.ShouldSwitch(start), "a daemon switches from a seed to a known replica at once")
	require.Empty(t, NewSelector("", "", nil, 1).Next(start))
}

// TestBackoffIsBounded guards the time after which a replica is selected again once a
// partition has ended.
func TestBackoffIsBounded(t *testing.T) {
	s := newTestSelector()
	for range 20 {
		s.MarkFailed(start, "near:1")
	}
	require.Equal(t, "near:1", s.Next(start.Add(maxBackoff)))
	s.MarkHealthy("near:1")
	require.Equal(t, "near:1", s.Next(start))
}
