package explain

import (
	"fmt"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// meanings tells what a reason in the final answer means to its reader.
var meanings = map[chain.Reason]string{
	chain.ReasonOverload:        "refused, not run: no upstream that was asked had room for its priority",
	chain.ReasonUpstreamRefused: "refused, not run: the upstreams that were asked refused it themselves",
	chain.ReasonDownstream:      "refused, not run: calls that such requests lead to are turned away by a service below",
	chain.ReasonStopping:        "refused, not run: the daemons of the upstreams that were asked stop before the request had to end",
	chain.ReasonDraining:        "refused, not run: the upstreams that were asked are leaving or their daemons stop",
	chain.ReasonUnhealthy:       "refused, not run: the upstreams that were asked fail or hang, and no other had room in time",
	chain.ReasonNoUpstream:      "refused, not run: no usable upstream of the service was known, or another run answered at its address",
	chain.ReasonConnect:         "no connection to the upstream or to the daemon beside it",
	chain.ReasonUnconfirmed:     "refused, not run: the daemon had no configuration that a quorum of control had confirmed",
	chain.ReasonUnknownRoute:    "refused: the configuration in force has no route for it",
	chain.ReasonLinkBudget:      "refused, not run: the byte budget of the link to the other region was spent",
	chain.ReasonRetryBudget:     "an attempt failed and the retry budget allowed no other",
	chain.ReasonDeadline:        "its time ran out",
	chain.ReasonTooLate:         "refused, not run: it came with less time left than the service takes",
	chain.ReasonCancelled:       "its client left",
	chain.ReasonTruncated:       "the answer of the upstream ended early",
	chain.ReasonCrossed:         "the upstream answered other requests on the connection",
	chain.ReasonUpstreamError:   "the connection to the upstream broke after the request was sent; it may have run",
	chain.ReasonHandlerError:    "the upstream itself failed",
	chain.ReasonSlowBody:        "its body did not arrive",
	chain.ReasonTooLarge:        "its body was above the limit of the configuration",
}

// causes names what the logs show, most direct first, and what they do not show.
func causes(s *Trace) []string {
	if len(s.Lines) == 0 {
		return append([]string{"unknown: none of the logs has a line of it; was it sent to a process whose log is missing?"}, gaps(s)...)
	}
	var out []string
	last := s.answered()
	switch {
	case last == nil:
		out = append(out, unanswered(s))
	case last.Field("outcome") == chain.OK.String() && last.Field("reason") == "":
		out = append(out, fmt.Sprintf("none: it was answered with status %s after %s", last.Field("status"), last.Duration("elapsed_us", time.Microsecond)))
	default:
		out = append(out, meaning(last))
	}
	if deepest := deepestFailure(s); deepest != nil && (last == nil || last.Field("outcome") != chain.OK.String()) {
		out = append(out, fmt.Sprintf("it began with a call to service %s: %s", deepest.Field("service"), meaning(deepest)))
	}
	out = append(out, evidence(s)...)
	return append(out, gaps(s)...)
}

func meaning(l *Line) string {
	text, known := meanings[chain.Reason(l.Field("reason"))]
	if !known {
		text = "reason " + l.Field("reason")
	}
	return fmt.Sprintf("%s (outcome %s, status %s, after %s)", text, l.Field("outcome"), l.Field("status"), l.Duration("elapsed_us", time.Microsecond))
}

// deepestFailure is the answer of the failed call that is furthest down, the first of
// several, nil if the logs show none.
func deepestFailure(s *Trace) *Line {
	var deepest *Line
	for _, l := range s.Below {
		if l.Field("outcome") != chain.OK.String() && (deepest == nil || l.Depth > deepest.Depth) {
			deepest = l
		}
	}
	return deepest
}

// unanswered tells how far a request got whose answer is not in the logs.
func unanswered(s *Trace) string {
	last := s.Lines[len(s.Lines)-1]
	return fmt.Sprintf("no answer is in the logs; the last line is %q at %s: its process ended, or the log is cut", last.Event, last.Source)
}

// evidence lists the steps that led to the end.
func evidence(s *Trace) []string {
	var out []string
	for _, l := range s.Lines {
		switch l.Event {
		case "refuse":
			out = append(out, fmt.Sprintf("the gate at %s refused it: %s, load %s", l.Source, l.Field("reason"), l.Field("load")))
		case "retry":
			out = append(out, fmt.Sprintf("attempt %s ended as %s (%s) and was followed by another", l.Field("attempt"), l.Field("outcome"), l.Field("reason")))
		case "no-repeat":
			out = append(out, "the retry budget of the service allowed no further attempt")
		case "ran":
			if l.Field("outcome") != "" {
				out = append(out, fmt.Sprintf("the upstream %s ended it as %s (%s) after %s", l.Field("upstream"), l.Field("outcome"), l.Field("reason"), l.Duration("elapsed_us", time.Microsecond)))
			}
		}
	}
	for _, l := range s.Below {
		if l.Field("outcome") != chain.OK.String() {
			out = append(out, fmt.Sprintf("a call below it to service %s ended as %s (%s)", l.Field("service"), l.Field("outcome"), l.Field("reason")))
		}
	}
	for _, l := range s.Context {
		if told[l.Event] {
			out = append(out, fmt.Sprintf("meanwhile at %s: %s %s", l.Source, l.Event, details(l)))
		}
	}
	return out
}

// told are the changes of belief that explain failures.
var told = map[string]bool{
	"upstream lost": true, "upstream left": true, "upstream replaced by another run": true, "planned stop begins": true,
	"daemon started": true, "control session lost": true, "configuration in force": true,
}

// gaps names what is missing from the logs.
func gaps(s *Trace) []string {
	var out []string
	for _, l := range s.Dropped {
		out = append(out, fmt.Sprintf("lines are missing at %s: %s", l.Source, details(l)))
	}
	if s.Unreadable > 0 {
		out = append(out, fmt.Sprintf("%d lines of the logs could not be read", s.Unreadable))
	}
	return out
}
