package explain

import (
	"fmt"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// reasonTexts explains the reasons of responses to an operator.
var reasonTexts = map[chain.Reason]string{
	chain.ReasonOverload:        "rejected, not executed: no upstream that was tried had capacity for its priority",
	chain.ReasonUpstreamRefused: "rejected, not executed: the upstreams that were tried rejected it themselves",
	chain.ReasonDownstream:      "rejected, not executed: a downstream dependency rejects the calls that such requests issue",
	chain.ReasonNoMemory:        "what a daemon may hold for its clients was used up, or its own client made less progress than others that waited",
	chain.ReasonStopping:        "the daemon that took it, or the daemons of the upstreams that were tried, shut down before it could be completed",
	chain.ReasonDraining:        "rejected, not executed: the upstreams that were tried are draining or their daemons shut down",
	chain.ReasonUnhealthy:       "rejected, not executed: the upstreams that were tried fail or hang, and no other one had capacity in time",
	chain.ReasonNoUpstream:      "rejected, not executed: no usable upstream of the service was known, or another incarnation responded at its address",
	chain.ReasonConnect:         "the connection to the upstream or to its daemon failed",
	chain.ReasonUnconfirmed:     "rejected, not executed: the daemon had no configuration confirmed by a quorum of control replicas",
	chain.ReasonUnknownRoute:    "rejected: the active configuration has no route for it",
	chain.ReasonLinkBudget:      "rejected, not executed: the byte budget of the link to the other region was spent",
	chain.ReasonRetryBudget:     "an attempt failed and the retry budget allowed no retry",
	chain.ReasonDeadline:        "its deadline passed or could not be met",
	chain.ReasonTooLate:         "rejected, not executed: its remaining time was less than the service time",
	chain.ReasonCancelled:       "its client cancelled it or disconnected",
	chain.ReasonTruncated:       "the response of the upstream was truncated",
	chain.ReasonCrossed:         "the response on the connection belonged to another request or attempt",
	chain.ReasonUpstreamError:   "the connection to the upstream failed after the request was sent; it may have been executed",
	chain.ReasonHandlerError:    "the upstream responded with a server error",
	chain.ReasonSlowBody:        "its body did not arrive in time",
	chain.ReasonTooLarge:        "its body exceeded the limit of the configuration",
}

// causes lists the likely causes of the end of a request, the most direct one first, then the
// steps that led to it and the lines that are missing from the logs.
func causes(t *Trace) []string {
	if len(t.Lines) == 0 {
		return append([]string{"unknown: no log contains a line of the request; the log of the process that received it may be missing"}, missingLines(t)...)
	}
	var out []string
	last := t.finalResponse()
	switch {
	case last == nil:
		out = append(out, describeLastLine(t))
	case last.Field("outcome") == chain.OK.String() && last.Field("reason") == "":
		out = append(out, fmt.Sprintf("none: the response had status %s after %s", last.Field("status"), last.Duration("elapsed_us", time.Microsecond)))
	default:
		out = append(out, describeResponse(last))
	}
	if deepest := deepestFailure(t); deepest != nil && (last == nil || last.Field("outcome") != chain.OK.String()) {
		out = append(out, fmt.Sprintf("the failure began with a call to service %s: %s", deepest.Field("service"), describeResponse(deepest)))
	}
	out = append(out, evidence(t)...)
	return append(out, missingLines(t)...)
}

// describeResponse explains the outcome and the reason in the line of a response.
func describeResponse(l *Line) string {
	text, known := reasonTexts[chain.Reason(l.Field("reason"))]
	if !known {
		text = "reason " + l.Field("reason")
	}
	return fmt.Sprintf("%s (outcome %s, status %s, after %s)", text, l.Field("outcome"), l.Field("status"), l.Duration("elapsed_us", time.Microsecond))
}

// deepestFailure returns the line of the failed downstream call with the greatest depth, the
// first of several, nil if the logs show none.
func deepestFailure(t *Trace) *Line {
	var deepest *Line
	for _, l := range t.DownstreamCalls {
		if l.Field("outcome") != chain.OK.String() && (deepest == nil || l.Depth > deepest.Depth) {
			deepest = l
		}
	}
	return deepest
}

// describeLastLine names the last line of a request whose response is not in the logs.
func describeLastLine(t *Trace) string {
	last := t.Lines[len(t.Lines)-1]
	return fmt.Sprintf("the logs contain no response; the last line is %q at %s: its process ended, or the log is incomplete", last.Event, last.Source)
}

// evidence lists rejections, retries, executions, failed downstream calls and related events.
func evidence(t *Trace) []string {
	var out []string
	for _, l := range t.Lines {
		switch l.Event {
		case "refuse":
			out = append(out, fmt.Sprintf("the admission controller at %s rejected it: %s, load %s", l.Source, l.Field("reason"), l.Field("load")))
		case "retry":
			out = append(out, fmt.Sprintf("attempt %s ended with outcome %s (%s) and was retried", l.Field("attempt"), l.Field("outcome"), l.Field("reason")))
		case "no-repeat":
			out = append(out, "the retry budget of the service allowed no further attempt")
		case "ran":
			if l.Field("outcome") != "" {
				out = append(out, fmt.Sprintf("the execution at upstream %s ended with outcome %s (%s) after %s", l.Field("upstream"), l.Field("outcome"), l.Field("reason"), l.Duration("elapsed_us", time.Microsecond)))
			}
		}
	}
	for _, l := range t.DownstreamCalls {
		if l.Field("outcome") != chain.OK.String() {
			out = append(out, fmt.Sprintf("a downstream call to service %s ended with outcome %s (%s)", l.Field("service"), l.Field("outcome"), l.Field("reason")))
		}
	}
	for _, l := range t.RelatedEvents {
		if relatedEventNames[l.Event] {
			out = append(out, fmt.Sprintf("around that time at %s: %s %s", l.Source, l.Event, details(l)))
		}
	}
	return out
}

// relatedEventNames are the events that may explain a failure.
var relatedEventNames = map[string]bool{
	"upstream lost": true, "upstream left": true, "upstream health check": true, "upstream replaced by another run": true, "planned stop begins": true,
	"daemon started": true, "control session lost": true, "configuration in force": true,
}

// missingLines lists the lines that were dropped or could not be read.
func missingLines(t *Trace) []string {
	var out []string
	for _, l := range t.Dropped {
		out = append(out, fmt.Sprintf("lines are missing at %s: %s", l.Source, details(l)))
	}
	if t.Unreadable > 0 {
		out = append(out, fmt.Sprintf("%d lines of the logs could not be read", t.Unreadable))
	}
	return out
}
