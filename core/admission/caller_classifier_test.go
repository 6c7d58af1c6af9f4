package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCallerClassifierSeparatesRoutes verifies that a route that the upstream calls is
// distinguished from a route of clients, with failures on both at the same time.
func TestCallerClassifierSeparatesRoutes(t *testing.T) {
	var c CallerClassifier
	rng := rand.New(rand.NewPCG(1, 4))
	now := simEpoch
	require.False(t, c.ClientOnly("lookup"), "no failure was recorded yet")
	for range 400 {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(50*time.Millisecond)))
		if rng.IntN(2) == 0 {
			c.RequestFailed(now, "lookup")
			continue
		}
		c.RequestFailed(now, "internal")
		now = now.Add(time.Duration(rng.IntN(5)) * time.Millisecond)
		c.ExecutionFailed(now)
	}
	require.True(t, c.ClientOnly("lookup"))
	require.False(t, c.ClientOnly("internal"))
}

// TestCallerClassifierAdapts verifies that a route is no longer classified as client-only once
// the upstream calls it.
func TestCallerClassifierAdapts(t *testing.T) {
	var c CallerClassifier
	now := simEpoch
	for range 200 {
		now = now.Add(time.Second)
		c.RequestFailed(now, "r")
	}
	require.True(t, c.ClientOnly("r"))
	for range 100 {
		now = now.Add(time.Second)
		c.RequestFailed(now, "r")
		c.ExecutionFailed(now.Add(time.Millisecond))
	}
	require.False(t, c.ClientOnly("r"))
}
