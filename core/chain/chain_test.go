package chain

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The seed makes every run use the same call trees.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// tree is a random call tree.
type tree struct {
	t       *rapid.T
	retries int
	misled  int // retries that a faulty answer claimed although they were spent
}

// call emulates one hop and returns what it gives back of its share.
func (c *tree) call(share, depth int) (unused int) {
	a := NewRetryAllowance(share)
	calls := 0
	if depth > 0 {
		calls = rapid.IntRange(0, 3).Draw(c.t, "calls")
	}
	for range calls {
		c.attempt(a, depth)
		for rapid.Bool().Draw(c.t, "failed") && a.Consume() {
			c.retries++
			c.attempt(a, depth)
		}
	}
	return a.Remaining()
}

func (c *tree) attempt(a *RetryAllowance, depth int) {
	lent := a.Delegate()
	unused := c.call(lent, depth-1)
	switch rapid.IntRange(0, 3).Draw(c.t, "answer") {
	case 0: // lost, and the share with it
	case 1:
		before := a.Remaining()
		a.Reclaim(lent, rapid.IntRange(-5, 50).Draw(c.t, "faulty count"))
		c.misled += max(0, a.Remaining()-before-unused)
		require.LessOrEqual(c.t, a.Remaining()-before, lent, "a claim above the share")
	default:
		a.Reclaim(lent, unused)
	}
}

// TestAllowanceBoundsCallTree guards against retries that multiply over the
// hops. With any answers lost, a whole tree retries at most as often as its
// allowance; a faulty answer can claim at most the share of its own call.
func TestAllowanceBoundsCallTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 8).Draw(t, "allowance")
		c := &tree{t: t}
		unused := c.call(n, rapid.IntRange(0, 5).Draw(t, "depth"))
		require.LessOrEqual(t, c.retries+unused, n+c.misled)
	})
}

// TestPriorityOrder guards against a request of a lower class that outranks one
// of a higher class, and against hops that disagree on a request.
func TestPriorityOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.String().Draw(t, "a"), rapid.String().Draw(t, "b")
		for class := Sheddable; class < Critical; class++ {
			require.Less(t, NewPriority(class, a), NewPriority(class+1, b))
			require.Equal(t, class, NewPriority(class, a).Class())
			require.LessOrEqual(t, class.MinPriority(), NewPriority(class, a))
		}
		require.Less(t, NewPriority(Critical, a), MaxPriority)
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

// TestNames guards against names that headers and declarations cannot carry
// back.
func TestNames(t *testing.T) {
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
	require.Equal(t, Unknown, unknown, "what cannot be read proves nothing")
}

// TestFailureStatus guards against refusals under load that look like faults,
// and against faults that look like refusals.
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
