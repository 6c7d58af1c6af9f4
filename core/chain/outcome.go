package chain

import (
	"context"
	"fmt"
)

// Outcome says what is known of the execution of a call.
type Outcome uint8

// The outcomes. NotRun needs a proof: either no byte was written towards the
// process that would run the call, or that process said so itself.
const (
	OK      Outcome = iota // a whole answer
	NotRun                 // proved not to have run
	Failed                 // ran, and ended in a failure
	Unknown                // may have run
)

var outcomeNames = [...]string{"ok", "not-run", "failed", "unknown"}

// String returns the name that the Bilberry-Outcome header carries.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// ParseOutcome reads the value of a Bilberry-Outcome header.
func ParseOutcome(name string) (Outcome, bool) {
	for i, n := range outcomeNames {
		if n == name {
			return Outcome(i), true
		}
	}
	return Unknown, false
}

// Reason is the cause of a failure, one word of a closed list.
type Reason string

// The reasons. Each is listed with its HTTP status in docs/reference.
const (
	ReasonNone              Reason = ""
	ReasonOverload          Reason = "overload"                  // refused by an admission level or a full queue
	ReasonUpstreamRefused   Reason = "upstream-refused"          // the upstream itself refused it, whatever its load
	ReasonDownstream        Reason = "downstream-overload"       // refused early: a service further down is saturated
	ReasonDeadline          Reason = "deadline"                  // the deadline passed or cannot be met
	ReasonTooLate           Reason = "too-late"                  // arrived with less time left than the service takes
	ReasonCancelled         Reason = "cancelled"                 // the caller left
	ReasonDraining          Reason = "draining"                  // the upstream is leaving
	ReasonStopping          Reason = "stopping"                  // the daemon stops before the call would have to end
	ReasonUnhealthy         Reason = "unhealthy"                 // the upstream fails or hangs, and another can take the call
	ReasonNoUpstream        Reason = "no-upstream"               // no usable upstream is known
	ReasonLinkBudget        Reason = "link-budget"               // the byte budget of the region link is spent
	ReasonRetryBudget       Reason = "retry-budget"              // the retry allowance or token budget is spent
	ReasonHeldOff           Reason = "held-off"                  // the caller ignored Retry-After
	ReasonUnknownRoute      Reason = "unknown-route"             // no declared route matches
	ReasonBadRequest        Reason = "bad-request"               // a malformed header or key
	ReasonForgedChain       Reason = "forged-chain"              // a chain handle from outside
	ReasonParentEnded       Reason = "parent-ended"              // the call came after its parent request had ended
	ReasonTooDeep           Reason = "too-deep"                  // MaxDepth exceeded
	ReasonTooLarge          Reason = "too-large"                 // the body exceeds the declared limit
	ReasonBodyLength        Reason = "body-length"               // the body does not match its announced length
	ReasonConnect           Reason = "connect"                   // no connection to the upstream or its daemon
	ReasonTruncated         Reason = "truncated"                 // the answer ended early
	ReasonCrossed           Reason = "crossed"                   // the answer belongs to another request or attempt
	ReasonUpstreamError     Reason = "upstream-error"            // the connection broke after bytes were written
	ReasonHandlerError      Reason = "handler-error"             // the upstream answered with a 5xx status
	ReasonSlowBody          Reason = "slow-body"                 // the sender of a body made too little progress
	ReasonInProgress        Reason = "in-progress"               // another attempt holds the claim
	ReasonKeyFinished       Reason = "key-finished"              // finished before, but the answer was too large to keep
	ReasonKeyExpired        Reason = "key-expired"               // older than the retention of claims
	ReasonKeyReused         Reason = "key-reused"                // same key, another request
	ReasonClaimUnknown      Reason = "claim-unknown"             // claimed earlier and never finished
	ReasonClaimsUnavailable Reason = "claims-unavailable"        // no quorum of the claim group within the deadline
	ReasonUnconfirmed       Reason = "configuration-unconfirmed" // a starting daemon without a confirmed configuration
)

// Failure is the typed error of a call.
type Failure struct {
	Outcome              Outcome
	Reason               Reason
	Message              string
	Cause                error // nil if there is no underlying error
	FromDependency       bool  // the refusal came from further down and must not be retried here
	DependencyOverloaded bool  // of a deep failure: a service further down had no room
}

// NewFailure builds a Failure.
func NewFailure(o Outcome, r Reason, message string) *Failure {
	return &Failure{Outcome: o, Reason: r, Message: message}
}

// WrapFailure builds a Failure with an underlying error.
func WrapFailure(o Outcome, r Reason, message string, cause error) *Failure {
	return &Failure{Outcome: o, Reason: r, Message: message, Cause: cause}
}

// FailureFromContext types the end of a context: its deadline passed, or the caller
// left.
func FailureFromContext(ctx context.Context, outcome Outcome, message string) *Failure {
	if ctx.Err() == context.DeadlineExceeded {
		return WrapFailure(outcome, ReasonDeadline, message, ctx.Err())
	}
	return WrapFailure(outcome, ReasonCancelled, message, ctx.Err())
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", f.Outcome, f.Reason, f.Message, f.Cause)
	}
	return fmt.Sprintf("%s (%s): %s", f.Outcome, f.Reason, f.Message)
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Cause }

// IsOverload reports whether a service was too busy for a request, here or further
// down. Less load would have let it through.
func (f *Failure) IsOverload() bool {
	return f.Outcome == NotRun && (f.Reason == ReasonOverload || f.Reason == ReasonDeadline) || f.FromDependency && f.DependencyOverloaded
}

// HTTPStatus is the status code with which a failure is reported to a caller.
func (f *Failure) HTTPStatus() int {
	switch f.Reason {
	case ReasonUnknownRoute:
		return 404
	case ReasonBadRequest, ReasonForgedChain, ReasonTooDeep, ReasonBodyLength:
		return 400
	case ReasonTooLarge:
		return 413
	case ReasonSlowBody:
		return 408
	case ReasonDeadline, ReasonTooLate:
		return 504
	case ReasonHeldOff:
		return 429
	case ReasonInProgress, ReasonKeyFinished, ReasonKeyExpired, ReasonKeyReused, ReasonClaimUnknown:
		return 409
	case ReasonTruncated, ReasonCrossed, ReasonUpstreamError:
		return 502
	}
	if f.Outcome == NotRun {
		return 503
	}
	return 502
}

// RetryableByCaller reports whether a Retry-After header makes sense.
func (f *Failure) RetryableByCaller() bool {
	switch f.Reason {
	case ReasonOverload, ReasonUpstreamRefused, ReasonDownstream, ReasonDraining, ReasonStopping, ReasonUnhealthy, ReasonNoUpstream, ReasonLinkBudget, ReasonRetryBudget,
		ReasonHeldOff, ReasonClaimsUnavailable, ReasonUnconfirmed, ReasonInProgress:
		return true
	}
	return false
}
