package chain

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The fixed seed makes the call trees reproducible.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// callTree is a random call tree.
type callTree struct {
	t           *rapid.T
	retries     int
	overclaimed int // retries that faulty responses returned although they were consumed or delegated
}

// call simulates one hop and returns the unused part of its allowance.
func (tree *callTree) call(delegated, depth int) (unused int) {
	allowance := NewRetryAllowance(delegated)
	calls := 0
	if depth > 0 {
		calls = rapid.IntRange(0, 3).Draw(tree.t, "calls")
	}
	for range calls {
		tree.attempt(allowance, depth)
		for rapid.Bool().Draw(tree.t, "failed") && allowance.Consume() {
			tree.retries++
			tree.attempt(allowance, depth)
		}
	}
	return allowance.Remaining()
}

func (tree *callTree) attempt(allowance *RetryAllowance, depth int) {
	delegated := allowance.Delegate()
	unused := tree.call(delegated, depth-1)
	switch rapid.IntRange(0, 3).Draw(tree.t, "response") {
	case 0: // the response is lost, and the delegated retries with it
	case 1:
		before := allowance.Remaining()
		allowance.Reclaim(delegated, rapid.IntRange(-5, 50).Draw(tree.t, "faulty count"))
		tree.overclaimed += max(0, allowance.Remaining()-before-unused)
		require.LessOrEqual(tree.t, allowance.Remaining()-before, delegated, "more than the delegated retries")
	default:
		allowance.Reclaim(delegated, unused)
	}
}

// TestAllowanceBoundsRetries guards against retries that multiply over the hops. Whatever
// responses are lost, a whole call tree retries at most as often as its allowance permits; a
// faulty response can return at most the retries delegated to its own call.
func TestAllowanceBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 8).Draw(t, "allowance")
		c := &callTree{t: t}
		unused := c.call(n, rapid.IntRange(0, 5).Draw(t, "depth"))
		require.LessOrEqual(t, c.retries+unused, n+c.overclaimed)
	})
}

// TestPriorityOrder guards against a request of a lower class with a higher priority than one of
// a higher class, and against sub-priorities that are not evenly distributed.
func TestPriorityOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.String().Draw(t, "a"), rapid.String().Draw(t, "b")
		for class := Sheddable; class < Critical; class++ {
			require.Less(t, NewPriority(class, a), NewPriority(class+1, b))
			require.Equal(t, class, NewPriority(class, a).Class())
			require.LessOrEqual(t, class.MinPriority(), NewPriority(class, a))
		}
		require.Less(t, NewPriority(Critical, a), NumPriorities)
	})
	buckets := map[Priority]int{}
	for i := range 12800 {
		buckets[NewPriority(Default, fmt.Sprintf("req-%d", i))]++
	}
	require.Len(t, buckets, 128)
	for p, n := range buckets {
		require.InDelta(t, 100, n, 60, "priority %d of sequential ids", p)
	}
}

// TestNamesRoundTrip verifies that the names of classes and outcomes can be parsed.
func TestNamesRoundTrip(t *testing.T) {
	for c, name := range ClassNames() {
		got, ok := ParseClass(name)
		require.True(t, ok && got == Class(c), name)
	}
	for o := OK; o <= Unknown; o++ {
		got, ok := ParseOutcome(o.String())
		require.True(t, ok && got == o, o)
	}
	_, ok := ParseClass("urgent")
	require.False(t, ok)
	unknown, ok := ParseOutcome("maybe")
	require.False(t, ok)
	require.Equal(t, Unknown, unknown, "an unknown outcome is no proof of non-execution")
}

// TestFailureStatus guards against rejections under load that are reported as faults, and against
// faults that are reported as rejections.
func TestFailureStatus(t *testing.T) {
	for reason, status := range map[Reason]int{
		ReasonOverload: 503, ReasonDraining: 503, ReasonDeadline: 504, ReasonKeyExpired: 409, ReasonBadRequest: 400,
		ReasonUnknownRoute: 404, ReasonTooLarge: 413, ReasonTruncated: 502, ReasonHeldOff: 429,
	} {
		require.Equal(t, status, NewFailure(NotRun, reason, "m").HTTPStatus(), reason)
	}
	require.Equal(t, 502, NewFailure(Unknown, ReasonConnect, "m").HTTPStatus())
	require.True(t, NewFailure(NotRun, ReasonOverload, "m").RetryableByCaller())
	require.False(t, NewFailure(Unknown, ReasonClaimUnknown, "m").RetryableByCaller())
}
