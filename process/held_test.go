package process

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/holding"
)

// TestHeldLimits checks the limits that follow from those of a VM, and that set ones precede.
func TestHeldLimits(t *testing.T) {
	l := heldLimits(holding.Limits{}, 284<<20, 4100)
	require.Equal(t, int64(71<<20), l.Bytes)
	require.Equal(t, 3850, l.Connections)
	require.Equal(t, 1347, l.Accepted[holding.Clients])
	require.Equal(t, 1347, l.Accepted[holding.Peers])
	require.Equal(t, minClientDescriptors, heldLimits(holding.Limits{}, 0, 10).Connections)
	require.Zero(t, heldLimits(holding.Limits{}, 0, 10).Bytes)
	l = heldLimits(holding.Limits{Bytes: 5 << 20, Connections: 100}, 284<<20, 4100)
	require.Equal(t, int64(5<<20), l.Bytes)
	require.Equal(t, 100, l.Connections)
	require.Equal(t, 35, l.Accepted[holding.Clients])
	require.Positive(t, heldLimits(holding.Limits{}, 0, 0).Connections, "the limit of the process")
}
