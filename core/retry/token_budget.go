// Package retry decides whether a failed attempt is repeated and how long the
// repetition waits, and holds off callers that ignore Retry-After.
//
// Time and seeds are passed in. All types are safe for concurrent use.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// TokenBudgetConfig holds the parameters of a TokenBudget. A zero field takes its default.
type TokenBudgetConfig struct {
	Ratio       float64       // tokens per call; default 0.1
	Burst       float64       // most tokens that are kept; default 20
	Initial     float64       // tokens at the start; default 2
	MaxAttempts int           // per call, the first included; default 3
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

// TokenBudget limits the retries towards one destination service to a part of the
// calls: each call adds Ratio tokens, each retry takes one.
type TokenBudget struct {
	mu     sync.Mutex
	cfg    TokenBudgetConfig
	tokens float64
	rng    *rand.Rand
}

// NewTokenBudget builds a budget.
func NewTokenBudget(cfg TokenBudgetConfig) *TokenBudget {
	cfg = cfg.withDefaults()
	return &TokenBudget{cfg: cfg, tokens: cfg.Initial, rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
}

// RecordCall counts a call, not its retries.
func (b *TokenBudget) RecordCall(time.Time) {
	b.mu.Lock()
	b.tokens = min(b.cfg.Burst, b.tokens+b.cfg.Ratio)
	b.mu.Unlock()
}

// Attempt describes an attempt that failed.
type Attempt struct {
	Failure    *chain.Failure
	Idempotent bool                  // the route may run more than once
	Number     int                   // of the attempt, from 1
	Remaining  time.Duration         // time left before the deadline of the call
	Allowance  *chain.RetryAllowance // of the request; a granted retry spends one
}

// Decision is the verdict on a failed attempt.
type Decision struct {
	Retry  bool
	After  time.Duration
	Reason chain.Reason // why there is no retry; empty if the failure itself forbids it
}

// Decide grants or denies a retry. A grant has taken one token and one unit of
// the allowance.
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

// delay draws from zero to an exponentially rising bound. An upstream that
// leaves or refuses connections is replaced by another one at once.
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

// Retryable reports whether the failure itself permits a retry by the hop that
// received it. A failure from further down was retried where it happened, and
// work that must run once is resent only if it is proved not to have run.
func Retryable(f *chain.Failure, idempotent bool) bool {
	if f == nil || f.FromDependency {
		return false
	}
	switch f.Outcome {
	case chain.NotRun:
		return retryableRefusal(f.Reason)
	case chain.Failed, chain.Unknown:
		return idempotent && transportFault(f.Reason)
	}
	return false
}

// retryableRefusal lists the refusals that another upstream may not repeat.
func retryableRefusal(r chain.Reason) bool {
	switch r {
	case chain.ReasonOverload, chain.ReasonDraining, chain.ReasonConnect, chain.ReasonUnconfirmed, chain.ReasonClaimsUnavailable:
		return true
	}
	return false
}

func transportFault(r chain.Reason) bool {
	switch r {
	case chain.ReasonConnect, chain.ReasonTruncated, chain.ReasonCrossed, chain.ReasonUpstreamError:
		return true
	}
	return false
}
