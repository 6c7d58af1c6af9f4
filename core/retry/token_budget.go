// Package retry decides whether and after which delay a failed attempt is retried, and limits
// callers that ignore Retry-After.
//
// Time and seeds are passed in. All types are safe for concurrent use.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// TokenBudgetConfig holds the parameters of a TokenBudget. A field that is zero or negative takes
// its default.
type TokenBudgetConfig struct {
	Ratio       float64       // tokens per call; default 0.1
	Burst       float64       // largest number of tokens; default 20
	Initial     float64       // initial number of tokens; default 2
	MaxAttempts int           // largest number of attempts per call, including the first; default 3
	BaseDelay   time.Duration // upper bound of the first delay; default 10 ms
	MaxDelay    time.Duration // upper bound of any delay; default 500 ms
	Seed        uint64
}

func (c TokenBudgetConfig) withDefaults() TokenBudgetConfig {
	setDefault(&c.Ratio, 0.1)
	setDefault(&c.Burst, 20)
	setDefault(&c.Initial, 2)
	setDefault(&c.MaxAttempts, 3)
	setDefault(&c.BaseDelay, 10*time.Millisecond)
	setDefault(&c.MaxDelay, 500*time.Millisecond)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// TokenBudget limits the retries to one destination service to a ratio of the calls: each call
// adds Ratio tokens, each retry takes one.
type TokenBudget struct {
	mu     sync.Mutex
	cfg    TokenBudgetConfig
	tokens float64
	rng    *rand.Rand
}

// NewTokenBudget returns a TokenBudget.
func NewTokenBudget(cfg TokenBudgetConfig) *TokenBudget {
	cfg = cfg.withDefaults()
	return &TokenBudget{cfg: cfg, tokens: cfg.Initial, rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
}

// RecordCall counts a call. It must not be called for retries.
func (b *TokenBudget) RecordCall(time.Time) {
	b.mu.Lock()
	b.tokens = min(b.cfg.Burst, b.tokens+b.cfg.Ratio)
	b.mu.Unlock()
}

// Attempt describes an attempt that failed.
type Attempt struct {
	Failure    *chain.Failure
	Idempotent bool                  // the request may be executed more than once
	Number     int                   // number of the attempt, from 1
	Remaining  time.Duration         // remaining time before the deadline of the call
	Allowance  *chain.RetryAllowance // allowance of the request; a granted retry consumes one
}

// Decision is the decision on a failed attempt.
type Decision struct {
	Retry  bool
	After  time.Duration
	Reason chain.Reason // why there is no retry; empty if the failure itself forbids it
}

// Decide grants or denies a retry. A granted retry has consumed one token and one retry of the
// allowance.
func (b *TokenBudget) Decide(_ time.Time, a Attempt) Decision {
	if !Retryable(a.Failure, a.Idempotent) {
		return Decision{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.Number >= b.cfg.MaxAttempts || b.tokens < 1 || a.Allowance == nil || a.Allowance.Remaining() == 0 {
		return Decision{Reason: chain.ReasonRetryBudget}
	}
	after := b.delay(a)
	if after >= a.Remaining {
		return Decision{Reason: chain.ReasonDeadline}
	}
	a.Allowance.Consume()
	b.tokens--
	return Decision{Retry: true, After: after}
}

// delay returns a random delay between zero and an exponentially growing bound. The first retry
// after a failure other than overload, such as an upstream that drains or refuses connections, is
// not delayed, since it goes to another upstream.
func (b *TokenBudget) delay(a Attempt) time.Duration {
	if a.Number <= 1 && a.Failure.Reason != chain.ReasonOverload {
		return 0
	}
	bound := b.cfg.BaseDelay << min(max(a.Number-1, 0), 16)
	if bound > b.cfg.MaxDelay || bound <= 0 {
		bound = b.cfg.MaxDelay
	}
	return time.Duration(b.rng.Int64N(int64(bound) + 1))
}

// Retryable reports whether the failure itself permits a retry by the hop that received it. A
// failure at a dependency was already retried at the hop next to it. A non-idempotent request is
// sent again only if it is proven not to have been executed.
func Retryable(f *chain.Failure, idempotent bool) bool {
	if f == nil || f.FromDependency {
		return false
	}
	switch f.Outcome {
	case chain.NotRun:
		return retryableRejection(f.Reason)
	case chain.Failed, chain.Unknown:
		return idempotent && transportFailure(f.Reason)
	}
	return false
}

// retryableRejection reports whether another upstream may accept a request that was rejected for
// this reason.
func retryableRejection(r chain.Reason) bool {
	switch r {
	case chain.ReasonOverload, chain.ReasonDraining, chain.ReasonConnect, chain.ReasonUnconfirmed, chain.ReasonClaimsUnavailable:
		return true
	}
	return false
}

func transportFailure(r chain.Reason) bool {
	switch r {
	case chain.ReasonConnect, chain.ReasonTruncated, chain.ReasonCrossed, chain.ReasonUpstreamError:
		return true
	}
	return false
}
