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

// The seed makes every run use the same schedules.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var epoch = time.Unix(1_000_000, 0)

var (
	outcomes = []chain.Outcome{chain.OK, chain.NotRun, chain.Failed, chain.Unknown}
	reasons  = []chain.Reason{chain.ReasonNone, chain.ReasonOverload, chain.ReasonDownstream, chain.ReasonDeadline,
		chain.ReasonCancelled, chain.ReasonDraining, chain.ReasonNoUpstream, chain.ReasonRetryBudget, chain.ReasonHeldOff,
		chain.ReasonBadRequest, chain.ReasonConnect, chain.ReasonTruncated, chain.ReasonCrossed,
		chain.ReasonUpstreamError, chain.ReasonInProgress, chain.ReasonKeyReused}
)

// TestRetryable guards against a second run of work that must run once, and
// against retries above the hop next to a refusal.
func TestRetryable(t *testing.T) {
	for _, o := range outcomes {
		for _, r := range reasons {
			f := chain.NewFailure(o, r, "m")
			if Retryable(f, false) {
				require.Equal(t, chain.NotRun, o, r)
				require.True(t, Retryable(f, true), r)
			}
			f.FromDependency = true
			require.False(t, Retryable(f, true), "%s %s from further down", o, r)
		}
	}
	require.False(t, Retryable(nil, true))
	require.True(t, Retryable(chain.NewFailure(chain.NotRun, chain.ReasonOverload, "m"), false))
	require.True(t, Retryable(chain.NewFailure(chain.Unknown, chain.ReasonUpstreamError, "m"), true))
	require.False(t, Retryable(chain.NewFailure(chain.NotRun, chain.ReasonDownstream, "m"), true))
	require.False(t, Retryable(chain.NewFailure(chain.Failed, chain.ReasonNone, "m"), true), "the service's own answer")
}

// TestTokenBudgetBounds guards against more retries than the token budget or the
// allowance permits, and against retries that would start after the deadline.
func TestTokenBudgetBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewTokenBudget(TokenBudgetConfig{Seed: 1})
		calls, retries := 0, 0
		for range rapid.IntRange(0, 200).Draw(t, "calls") {
			b.RecordCall(epoch)
			calls++
			a := Attempt{
				Failure:    chain.NewFailure(rapid.SampledFrom(outcomes).Draw(t, "outcome"), rapid.SampledFrom(reasons).Draw(t, "reason"), "m"),
				Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Remaining:  time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond,
				Allowance:  chain.NewRetryAllowance(rapid.IntRange(0, 3).Draw(t, "allowance")),
			}
			for a.Number = 1; ; a.Number++ {
				left := a.Allowance.Remaining()
				d := b.Decide(epoch, a)
				if !d.Retry {
					require.Equal(t, left, a.Allowance.Remaining(), "a denial costs nothing")
					break
				}
				require.Equal(t, left-1, a.Allowance.Remaining())
				require.Less(t, d.After, a.Remaining)
				retries++
			}
			require.Less(t, a.Number, 4)
		}
		require.LessOrEqual(t, float64(retries), 2+0.1*float64(calls)+1e-6)
	})
}

// TestDenialReason guards against a denial that does not say what ran out.
func TestDenialReason(t *testing.T) {
	b := NewTokenBudget(TokenBudgetConfig{})
	a := Attempt{Failure: chain.NewFailure(chain.NotRun, chain.ReasonDraining, "m"), Number: 1, Remaining: time.Second}
	require.Equal(t, Decision{Reason: chain.ReasonRetryBudget}, b.Decide(epoch, a), "no allowance")
	a.Allowance = chain.NewRetryAllowance(9)
	require.Equal(t, Decision{Retry: true}, b.Decide(epoch, a), "another upstream is tried at once")
	a.Remaining = 0
	require.Equal(t, Decision{Reason: chain.ReasonDeadline}, b.Decide(epoch, a))
	a.Remaining = time.Second
	b.Decide(epoch, a)
	require.Equal(t, Decision{Reason: chain.ReasonRetryBudget}, b.Decide(epoch, a), "no token")
}

// passed emulates a caller for a number of seconds: it sends calls at a fixed
// rate, of which the service admits a number per second.
func passed(h *RejectionLimiter, address string, from time.Time, seconds, rate, admitted int) (allowed int) {
	for s := range seconds {
		good := 0
		for i := range rate {
			now := from.Add(time.Duration(s)*time.Second + time.Duration(i)*time.Second/time.Duration(rate))
			if ok, after := h.Allow(now, address); !ok {
				if after <= 0 {
					return -1
				}
				continue
			}
			allowed++
			if good < admitted*(i+1)/rate {
				good++
			} else {
				h.RecordRejection(now, address)
			}
		}
	}
	return allowed
}

// TestRejectionLimiter guards against callers that retry without bound, against holding
// off one whose calls are admitted, and against a hold that never ends.
func TestRejectionLimiter(t *testing.T) {
	h := NewRejectionLimiter(RejectionLimiterConfig{})
	require.Equal(t, 1000, passed(h, "polite", epoch, 10, 100, 100))
	require.Equal(t, 1000, passed(h, "small", epoch, 10, 100, 60), "some refusals are no abuse")
	require.NotContains(t, h.entries, "polite", "never refused, not stored")
	allowed := passed(h, "impatient", epoch, 10, 2000, 100)
	require.Less(t, allowed, 10*(2*100+50)+2*200, "twice the admitted calls, the rate and the burst")
	require.GreaterOrEqual(t, allowed, 1000)
	require.Equal(t, 100, passed(h, "impatient", epoch.Add(15*time.Second), 1, 100, 100))
}

// TestRejectionLimiterClasses guards against refused checks that hold off bookings, and
// against bookings that are held off while lookups go on.
func TestRejectionLimiterClasses(t *testing.T) {
	h := NewRejectionLimiter(RejectionLimiterConfig{})
	for range 1000 {
		h.RecordRejectionClass(epoch, "a", chain.Sheddable)
	}
	held, after := h.AllowClass(epoch, "a", chain.Sheddable)
	require.False(t, held)
	require.LessOrEqual(t, after, 2*time.Second)
	ok, _ := h.AllowClass(epoch, "a", chain.Critical)
	require.True(t, ok)
	for range 1000 {
		h.RecordRejectionClass(epoch, "a", chain.Critical)
	}
	ok, _ = h.AllowClass(epoch, "a", chain.Critical)
	require.False(t, ok)
	ok, _ = h.AllowClass(epoch, "a", chain.Default)
	require.True(t, ok)
	ok, _ = h.AllowClass(epoch, "a", chain.Critical)
	require.True(t, ok, "a lower class goes on")
}

// TestRejectionLimiterMemory guards against a table that grows with the number of
// addresses, and against losing the most recent one.
func TestRejectionLimiterMemory(t *testing.T) {
	h := NewRejectionLimiter(RejectionLimiterConfig{MaxAddresses: 10})
	rapid.Check(t, func(t *rapid.T) {
		address := fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "address"))
		h.RecordRejection(epoch, address)
		require.LessOrEqual(t, len(h.entries), 10)
		require.Equal(t, address, h.newest.address)
		n := 0
		for e := h.newest; e != nil; e = e.next {
			require.Same(t, e, h.entries[e.address])
			n++
		}
		require.Len(t, h.entries, n)
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
	h := NewRejectionLimiter(RejectionLimiterConfig{})
	b.ReportAllocs()
	for b.Loop() {
		h.Allow(epoch, "10.0.0.1")
		h.RecordRejection(epoch, "10.0.0.1")
	}
}
