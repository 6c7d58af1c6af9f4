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

// Headers between daemons. They are short, since traffic between availability
// zones is paid for by the byte.
const (
	prefixOwn     = "Bilberry-"
	headerCall    = "Bilberry-Call"    // see formatCall; in requests
	headerReport  = "Bilberry-Report"  // load of the gate; in answers
	headerRefusal = "Bilberry-Refusal" // see formatRefusal; the daemon answers in place of the upstream
	headerDeep    = "Bilberry-Deep"    // the upstream failed because a call that it made failed
)

// Flags of a call.
const (
	flagSpare = 1 << iota // another upstream could take the call
	flagLater             // the request that made the call has made others before
)

// stripOwn removes headers that only daemons may set.
func stripOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, prefixOwn) {
			delete(h, name)
		}
	}
}

// formatCall writes what the gate needs to know of a call: service, upstream,
// route, kind, priority, attempt, permille of the probability that it repeats work,
// remaining milliseconds, and flags.
func formatCall(c *call, remaining time.Duration) string {
	buf := make([]byte, 0, 96)
	for _, word := range [...]string{c.service, c.upstream, c.route} {
		buf = append(buf, word...)
		buf = append(buf, ' ')
	}
	flags := int64(0)
	if c.spare {
		flags |= flagSpare
	}
	if c.later {
		flags |= flagLater
	}
	for i, n := range [...]int64{int64(c.kind), int64(c.priority), int64(c.attempt), int64(c.repeat * 1000), max(remaining.Milliseconds(), 1), flags} {
		if i > 0 {
			buf = append(buf, ' ')
		}
		buf = strconv.AppendInt(buf, n, 10)
	}
	return string(buf)
}

// parseCall reads the header of formatCall into a call.
func parseCall(value string, now time.Time, c *call) bool {
	words := strings.Split(value, " ")
	if len(words) != 9 {
		return false
	}
	var n [6]int64
	for i, word := range words[3:] {
		v, err := strconv.ParseInt(word, 10, 32)
		if err != nil || v < 0 {
			return false
		}
		n[i] = v
	}
	if n[0] > int64(routing.Upload) || n[1] >= int64(chain.MaxPriority) || n[3] > 1000 {
		return false
	}
	c.service, c.upstream, c.route = words[0], words[1], words[2]
	c.kind, c.priority, c.attempt = routing.RouteKind(n[0]), chain.Priority(n[1]), int(n[2])
	c.repeat = float64(n[3]) / 1000
	c.deadline = now.Add(time.Duration(n[4]) * time.Millisecond)
	c.spare, c.later = n[5]&flagSpare != 0, n[5]&flagLater != 0
	return true
}

// word makes a name fit into a header of words.
func word(s string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r > '~' {
			return '_'
		}
		return r
	}, s)
}

// formatRefusal writes a failure: outcome, reason, whether the request arrived
// at the upstream, and the milliseconds after which a caller may come back.
func formatRefusal(r *result) string {
	arrived := "0"
	if r.arrived {
		arrived = "1"
	}
	return r.failure.Outcome.String() + " " + string(r.failure.Reason) + " " + arrived + " " + strconv.FormatInt(r.retryAfter.Milliseconds(), 10)
}

// parseRefusal reads the header of formatRefusal. One that cannot be read says
// nothing of whether the request ran.
func parseRefusal(value string) *result {
	r := &result{failure: chain.NewFailure(chain.Unknown, chain.ReasonUpstreamError, "refused by a peer"), arrived: true}
	words := strings.Split(value, " ")
	if len(words) != 4 {
		return r
	}
	outcome, ok := chain.ParseOutcome(words[0])
	ms, err := strconv.ParseInt(words[3], 10, 32)
	if !ok || err != nil {
		return r
	}
	r.failure.Outcome, r.failure.Reason = outcome, chain.Reason(words[1])
	r.arrived = words[2] == "1"
	r.retryAfter = time.Duration(ms) * time.Millisecond
	return r
}

// parseReport reads the load that a peer reports; nil if there is none.
func parseReport(h http.Header) *admission.LoadReport {
	value := h.Get(headerReport)
	if value == "" {
		return nil
	}
	return admission.ParseLoadReport(value)
}
