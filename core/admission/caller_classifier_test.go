package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCallerClassifierTellsRoutesApart guards calls against being taken for clients' requests,
// with failures of both at once.
func TestCallerClassifierTellsRoutesApart(t *testing.T) {
	var c CallerClassifier
	rng := rand.New(rand.NewPCG(1, 4))
	now := simEpoch
	require.False(t, c.ClientOnly("lookup"), "nothing is known at first")
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

// TestCallerClassifierNoticesChange guards a route that upstreams begin to call.
func TestCallerClassifierNoticesChange(t *testing.T) {
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
