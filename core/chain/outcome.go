package chain

import (
	"context"
	"fmt"
)

// Outcome describes whether a call was executed and whether it succeeded.
type Outcome uint8

// The outcomes. NotRun requires proof: either no byte was written to the process that would
// execute the call, or that process reported that it did not execute it.
const (
	OK      Outcome = iota // complete response
	NotRun                 // proven not to have been executed
	Failed                 // executed, and failed
	Unknown                // may have been executed
)

var outcomeNames = [...]string{"ok", "not-run", "failed", "unknown"}

// String returns the value of the Bilberry-Outcome header.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// ParseOutcome parses the value of a Bilberry-Outcome header.
func ParseOutcome(name string) (Outcome, bool) {
	for i, n := range outcomeNames {
		if n == name {
			return Outcome(i), true
		}
	}
	return Unknown, false
}

// Reason is the cause of a failure, one of a closed set.
type Reason string

// The reasons. docs/reference lists them with their HTTP status codes.
const (
	ReasonNone              Reason = ""
	ReasonOverload          Reason = "overload"                  // rejected by the admission level or a full queue
	ReasonUpstreamRefused   Reason = "upstream-refused"          // the upstream itself rejected it, regardless of its load
	ReasonNoMemory          Reason = "no-memory"                 // what the daemon may hold for clients is used up
	ReasonDownstream        Reason = "downstream-overload"       // rejected early: a dependency is overloaded
	ReasonDeadline          Reason = "deadline"                  // the deadline passed or cannot be met
	ReasonTooLate           Reason = "too-late"                  // arrived with less remaining time than the service time
	ReasonCancelled         Reason = "cancelled"                 // the client cancelled or disconnected
	ReasonDraining          Reason = "draining"                  // the upstream is draining
	ReasonStopping          Reason = "stopping"                  // a daemon shuts down before the call could be completed
	ReasonUnhealthy         Reason = "unhealthy"                 // the upstream fails or hangs, and another one can take the call
	ReasonNoUpstream        Reason = "no-upstream"               // there is no usable upstream
	ReasonLinkBudget        Reason = "link-budget"               // the byte budget of the link between regions is spent
	ReasonRetryBudget       Reason = "retry-budget"              // the retry allowance or retry budget is spent
	ReasonHeldOff           Reason = "held-off"                  // the caller ignored Retry-After
	ReasonUnknownRoute      Reason = "unknown-route"             // no declared route matches
	ReasonBadRequest        Reason = "bad-request"               // malformed header or key
	ReasonForgedChain       Reason = "forged-chain"              // malformed chain handle, or one sent by a client
	ReasonParentEnded       Reason = "parent-ended"              // the call arrived after its parent request had ended
	ReasonTooDeep           Reason = "too-deep"                  // MaxDepth exceeded
	ReasonTooLarge          Reason = "too-large"                 // the body exceeds the declared limit
	ReasonBodyLength        Reason = "body-length"               // the length of the body differs from the announced one
	ReasonConnect           Reason = "connect"                   // no connection to the upstream or its daemon
	ReasonTruncated         Reason = "truncated"                 // the response was truncated
	ReasonCrossed           Reason = "crossed"                   // the response belongs to another request or attempt
	ReasonUpstreamError     Reason = "upstream-error"            // the connection failed after bytes were written
	ReasonHandlerError      Reason = "handler-error"             // the upstream responded with a 5xx status
	ReasonSlowBody          Reason = "slow-body"                 // the body was sent too slowly
	ReasonInProgress        Reason = "in-progress"               // another attempt holds the claim
	ReasonKeyFinished       Reason = "key-finished"              // finished before, but its response was too large to store
	ReasonKeyExpired        Reason = "key-expired"               // older than the retention of claims
	ReasonKeyReused         Reason = "key-reused"                // same key with a different request
	ReasonClaimUnknown      Reason = "claim-unknown"             // claimed before and never finished
	ReasonClaimsUnavailable Reason = "claims-unavailable"        // the claim group had no quorum within the deadline
	ReasonUnconfirmed       Reason = "configuration-unconfirmed" // the daemon has just started and has no confirmed configuration
)

// Failure is the typed error of a call.
type Failure struct {
	Outcome              Outcome
	Reason               Reason
	Message              string
	Cause                error // nil if there is no underlying error
	FromDependency       bool  // the failure occurred at a dependency and must not be retried at this hop
	DependencyOverloaded bool  // with FromDependency: the dependency rejected for lack of capacity
}

// NewFailure builds a Failure.
func NewFailure(o Outcome, r Reason, message string) *Failure {
	return &Failure{Outcome: o, Reason: r, Message: message}
}

// WrapFailure builds a Failure with an underlying error.
func WrapFailure(o Outcome, r Reason, message string, cause error) *Failure {
	return &Failure{Outcome: o, Reason: r, Message: message, Cause: cause}
}

// FailureFromContext builds a Failure from an ended context: its deadline passed, or the client
// cancelled.
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

// IsOverload reports whether a request failed for lack of capacity, here or at a dependency. With
// less load, it would have been admitted.
func (f *Failure) IsOverload() bool {
	return f.Outcome == NotRun && (f.Reason == ReasonOverload || f.Reason == ReasonDeadline) || f.FromDependency && f.DependencyOverloaded
}

// HTTPStatus returns the HTTP status code that reports the failure to a client.
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

// RetryableByCaller reports whether the response should have a Retry-After header.
func (f *Failure) RetryableByCaller() bool {
	switch f.Reason {
	case ReasonOverload, ReasonNoMemory, ReasonUpstreamRefused, ReasonDownstream, ReasonDraining, ReasonStopping, ReasonUnhealthy, ReasonNoUpstream, ReasonLinkBudget, ReasonRetryBudget,
		ReasonHeldOff, ReasonClaimsUnavailable, ReasonUnconfirmed, ReasonInProgress:
		return true
	}
	return false
}
