package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// Internal headers, sent between daemons. They are short, because traffic between
// availability zones is paid for by the byte.
const (
	internalHeaderPrefix = "Bilberry-"
	headerCall           = "Bilberry-Call"    // see formatCall; in requests
	headerLoadReport     = "Bilberry-Report"  // load report of the admission controller; in responses
	headerRejection      = "Bilberry-Refusal" // see formatRejection; set if the daemon responds in place of the upstream
	headerDependency     = "Bilberry-Deep"    // see dependencyCause; set if the upstream failed because of a downstream dependency
)

// Flags of a call.
const (
	flagHasAlternative = 1 << iota // another upstream could take the call
	flagSubsequent                 // the parent request has issued other calls before
)

// removeInternalHeaders removes the headers that only daemons may set.
func removeInternalHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, internalHeaderPrefix) {
			delete(h, name)
		}
	}
}

// formatCall encodes a call for the admission controller of a peer: service, upstream, route,
// kind, priority, attempt, permille of the retry probability, remaining milliseconds, and
// flags.
func formatCall(c *call, remaining time.Duration) string {
	buf := make([]byte, 0, 96)
	for _, token := range [...]string{c.service, c.upstream, c.route} {
		buf = append(buf, token...)
		buf = append(buf, ' ')
	}
	flags := int64(0)
	if c.hasAlternative {
		flags |= flagHasAlternative
	}
	if c.subsequent {
		flags |= flagSubsequent
	}
	for i, n := range [...]int64{int64(c.kind), int64(c.priority), int64(c.attempt), int64(c.retryProbability * 1000), max(remaining.Milliseconds(), 1), flags} {
		if i > 0 {
			buf = append(buf, ' ')
		}
		buf = strconv.AppendInt(buf, n, 10)
	}
	return string(buf)
}

// parseCall decodes the output of formatCall into a call. It returns false if the value is
// invalid.
func parseCall(value string, now time.Time, c *call) bool {
	tokens := strings.Split(value, " ")
	if len(tokens) != 9 {
		return false
	}
	var n [6]int64
	for i, token := range tokens[3:] {
		v, err := strconv.ParseInt(token, 10, 32)
		if err != nil || v < 0 {
			return false
		}
		n[i] = v
	}
	if n[0] > int64(routing.Upload) || n[1] >= int64(chain.NumPriorities) || n[3] > 1000 {
		return false
	}
	c.service, c.upstream, c.route = tokens[0], tokens[1], tokens[2]
	c.kind, c.priority, c.attempt = routing.RouteKind(n[0]), chain.Priority(n[1]), int(n[2])
	c.retryProbability = float64(n[3]) / 1000
	c.deadline = now.Add(time.Duration(n[4]) * time.Millisecond)
	c.hasAlternative, c.subsequent = n[5]&flagHasAlternative != 0, n[5]&flagSubsequent != 0
	return true
}

// headerToken replaces the characters of a name that cannot be part of a header token.
func headerToken(s string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r > '~' {
			return '_'
		}
		return r
	}, s)
}

// formatRejection encodes a failure: outcome, reason, whether the request reached the
// upstream, and the Retry-After in milliseconds.
func formatRejection(r *result) string {
	delivered := "0"
	if r.delivered {
		delivered = "1"
	}
	return r.failure.Outcome.String() + " " + string(r.failure.Reason) + " " + delivered + " " + strconv.FormatInt(r.retryAfter.Milliseconds(), 10)
}

// parseRejection decodes the output of formatRejection. If the value is invalid, it is
// unknown whether the request was executed.
func parseRejection(value string) *result {
	r := &result{failure: chain.NewFailure(chain.Unknown, chain.ReasonUpstreamError, "rejected by a peer"), delivered: true}
	tokens := strings.Split(value, " ")
	if len(tokens) != 4 {
		return r
	}
	outcome, ok := chain.ParseOutcome(tokens[0])
	ms, err := strconv.ParseInt(tokens[3], 10, 32)
	if !ok || err != nil {
		return r
	}
	r.failure.Outcome, r.failure.Reason = outcome, chain.Reason(tokens[1])
	r.delivered = tokens[2] == "1"
	r.retryAfter = time.Duration(ms) * time.Millisecond
	return r
}

// parseLoadReport returns the load report of a peer, nil if there is none.
func parseLoadReport(h http.Header) *admission.LoadReport {
	value := h.Get(headerLoadReport)
	if value == "" {
		return nil
	}
	return admission.ParseLoadReport(value)
}
