package retry

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// The fixed seed makes the schedules reproducible.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var epoch = time.Unix(1_000_000, 0)

var (
	allOutcomes   = []chain.Outcome{chain.OK, chain.NotRun, chain.Failed, chain.Unknown}
	sampleReasons = []chain.Reason{chain.ReasonNone, chain.ReasonOverload, chain.ReasonDownstream, chain.ReasonDeadline,
		chain.ReasonCancelled, chain.ReasonDraining, chain.ReasonNoUpstream, chain.ReasonRetryBudget, chain.ReasonHeldOff,
		chain.ReasonBadRequest, chain.ReasonConnect, chain.ReasonTruncated, chain.ReasonCrossed,
		chain.ReasonUpstreamError, chain.ReasonInProgress, chain.ReasonKeyReused}
)

// TestRetryable guards against a second execution of a non-idempotent request, and against
// retries at hops that are not next to the rejection.
func TestRetryable(t *testing.T) {
	for _, o := range allOutcomes {
		for _, r := range sampleReasons {
			f := chain.NewFailure(o, r, "m")
			if Retryable(f, false) {
				require.Equal(t, chain.NotRun, o, r)
				require.True(t, Retryable(f, true), r)
			}
			f.FromDependency = true
			require.False(t, Retryable(f, true), "%s %s at a dependency", o, r)
		}
	}
	require.False(t, Retryable(nil, true))
	require.True(t, Retryable(chain.NewFailure(chain.NotRun, chain.ReasonOverload, "m"), false))
	require.True(t, Retryable(chain.NewFailure(chain.Unknown, chain.ReasonUpstreamError, "m"), true))
	require.False(t, Retryable(chain.NewFailure(chain.NotRun, chain.ReasonDownstream, "m"), true))
	require.False(t, Retryable(chain.NewFailure(chain.Failed, chain.ReasonNone, "m"), true), "a response of the service")
}

// TestTokenBudgetBounds guards against more retries than the token budget or the allowance
// permits, and against retries that start after the deadline.
func TestTokenBudgetBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewTokenBudget(TokenBudgetConfig{Seed: 1})
		calls, retries := 0, 0
		for range rapid.IntRange(0, 200).Draw(t, "calls") {
			b.RecordCall(epoch)
			calls++
			a := Attempt{
				Failure:    chain.NewFailure(rapid.SampledFrom(allOutcomes).Draw(t, "outcome"), rapid.SampledFrom(sampleReasons).Draw(t, "reason"), "m"),
				Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Remaining:  time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond,
				Allowance:  chain.NewRetryAllowance(rapid.IntRange(0, 3).Draw(t, "allowance")),
			}
			for a.Number = 1; ; a.Number++ {
				remaining := a.Allowance.Remaining()
				d := b.Decide(epoch, a)
				if !d.Retry {
					require.Equal(t, remaining, a.Allowance.Remaining(), "a denied retry consumes no allowance")
					break
				}
				require.Equal(t, remaining-1, a.Allowance.Remaining())
				require.Less(t, d.After, a.Remaining)
				retries++
			}
			require.Less(t, a.Number, 4)
		}
		require.LessOrEqual(t, float64(retries), 2+0.1*float64(calls)+1e-6)
	})
}

// TestDenialReason verifies that a denial reports which limit was reached.
func TestDenialReason(t *testing.T) {
	b := NewTokenBudget(TokenBudgetConfig{})
	a := Attempt{Failure: chain.NewFailure(chain.NotRun, chain.ReasonDraining, "m"), Number: 1, Remaining: time.Second}
	require.Equal(t, Decision{Reason: chain.ReasonRetryBudget}, b.Decide(epoch, a), "no allowance")
	a.Allowance = chain.NewRetryAllowance(9)
	require.Equal(t, Decision{Retry: true}, b.Decide(epoch, a), "the first retry is not delayed")
	a.Remaining = 0
	require.Equal(t, Decision{Reason: chain.ReasonDeadline}, b.Decide(epoch, a))
	a.Remaining = time.Second
	b.Decide(epoch, a)
	require.Equal(t, Decision{Reason: chain.ReasonRetryBudget}, b.Decide(epoch, a), "no token")
}

// sendCalls simulates a caller that sends a fixed number of calls per second, of which the
// service admits a fixed number. It returns the number of calls that the limiter allows, or -1 if
// a rejection has no Retry-After.
func sendCalls(limiter *RejectionLimiter, address string, from time.Time, seconds, rate, admitted int) (allowed int) {
	for second := range seconds {
		served := 0
		for i := range rate {
			now := from.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/time.Duration(rate))
			if ok, after := limiter.Allow(now, address); !ok {
				if after <= 0 {
					return -1
				}
				continue
			}
			allowed++
			if served < admitted*(i+1)/rate {
				served++
			} else {
				limiter.RecordRejection(now, address)
			}
		}
	}
	return allowed
}

// TestRejectionLimiter guards against callers that retry without bound, against rejecting a
// caller whose calls are admitted, and against a limit that never ends.
func TestRejectionLimiter(t *testing.T) {
	limiter := NewRejectionLimiter(RejectionLimiterConfig{})
	require.Equal(t, 1000, sendCalls(limiter, "polite", epoch, 10, 100, 100))
	require.Equal(t, 1000, sendCalls(limiter, "small", epoch, 10, 100, 60), "some rejections are tolerated")
	require.NotContains(t, limiter.entries, "polite", "addresses without rejections are not stored")
	allowed := sendCalls(limiter, "impatient", epoch, 10, 2000, 100)
	require.Less(t, allowed, 10*(2*100+50)+2*200, "twice the admitted calls, the rate and the burst")
	require.GreaterOrEqual(t, allowed, 1000)
	require.Equal(t, 100, sendCalls(limiter, "impatient", epoch.Add(15*time.Second), 1, 100, 100))
}

// TestRejectionLimiterClasses guards against rejections of sheddable calls that limit critical
// ones, and against limiting critical calls while default ones are allowed.
func TestRejectionLimiterClasses(t *testing.T) {
	limiter := NewRejectionLimiter(RejectionLimiterConfig{})
	for range 1000 {
		limiter.RecordRejectionClass(epoch, "a", chain.Sheddable)
	}
	allowed, after := limiter.AllowClass(epoch, "a", chain.Sheddable)
	require.False(t, allowed)
	require.LessOrEqual(t, after, 2*time.Second)
	ok, _ := limiter.AllowClass(epoch, "a", chain.Critical)
	require.True(t, ok)
	for range 1000 {
		limiter.RecordRejectionClass(epoch, "a", chain.Critical)
	}
	ok, _ = limiter.AllowClass(epoch, "a", chain.Critical)
	require.False(t, ok)
	ok, _ = limiter.AllowClass(epoch, "a", chain.Default)
	require.True(t, ok)
	ok, _ = limiter.AllowClass(epoch, "a", chain.Critical)
	require.True(t, ok, "a lower class is allowed")
}

// TestRejectionLimiterBoundsAddresses guards against a table that grows with the number of
// addresses, and against evicting the most recent one.
func TestRejectionLimiterBoundsAddresses(t *testing.T) {
	limiter := NewRejectionLimiter(RejectionLimiterConfig{MaxAddresses: 10})
	rapid.Check(t, func(t *rapid.T) {
		address := fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "address"))
		limiter.RecordRejection(epoch, address)
		require.LessOrEqual(t, len(limiter.entries), 10)
		require.Equal(t, address, limiter.newest.address)
		n := 0
		for e := limiter.newest; e != nil; e = e.next {
			require.Same(t, e, limiter.entries[e.address])
			n++
		}
		require.Len(t, limiter.entries, n)
	})
}

func BenchmarkDecide(b *testing.B) {
	budget := NewTokenBudget(TokenBudgetConfig{})
	a := Attempt{Failure: chain.NewFailure(chain.NotRun, chain.ReasonOverload, "m"), Number: 1,
		Remaining: time.Second, Allowance: chain.NewRetryAllowance(1 << 40)}
	b.ReportAllocs()
	for b.Loop() {
		budget.RecordCall(epoch)
		budget.Decide(epoch, a)
	}
}

func BenchmarkRejectionLimiter(b *testing.B) {
	limiter := NewRejectionLimiter(RejectionLimiterConfig{})
	b.ReportAllocs()
	for b.Loop() {
		limiter.Allow(epoch, "10.0.0.1")
		limiter.RecordRejection(epoch, "10.0.0.1")
	}
}
