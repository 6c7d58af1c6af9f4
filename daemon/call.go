package daemon

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/retry"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// call is one call from this daemon to a service, with all its attempts.
type call struct {
	d               *Daemon
	svc             *service
	route           *route
	parent          *parentRequest // whose allowance the call uses
	ctx             context.Context
	metadata        chain.Metadata // of this call
	arrivedAt       time.Time
	method          string
	path            string // escaped path and query
	host            string
	header          http.Header // of the caller, read only
	body            *requestBody
	configVersion   uint64
	triedUpstreams  []string
	fromIngress     bool // came from a caller, not from the local service
	mayHaveExecuted bool // an attempt ended without proof that its handler did not run
}

// attempt is the result of one attempt: an answer, a failure, or an answer
// that says that its handler failed.
type attempt struct {
	choice           balance.PickResult
	number           uint32
	delegatedRetries int // retries lent
	started          time.Time
	response         *response
	failure          *chain.Failure
	generated        bool // a daemon wrote the answer
}

// tryUpstreams makes attempts until one is final, and passes its answer on. It returns
// the failure that the caller saw, nil for an answer that is ok. Truncated
// reports that the answer began and must be cut off.
func (c *call) tryUpstreams(w http.ResponseWriter) (failure *chain.Failure, truncated bool) {
	c.svc.client.retryBudget.RecordCall(c.arrivedAt)
	var last *attempt
	for number := uint32(1); ; number++ {
		choice, failure := c.pickUpstream(number)
		if failure != nil {
			if last != nil {
				return c.respond(w, last)
			}
			c.respondError(w, failure, 0)
			return failure, false
		}
		if last != nil && last.response != nil {
			last.response.discard()
		}
		a := c.sendAttempt(choice, number)
		c.mayHaveExecuted = c.mayHaveExecuted || a.failure != nil && a.failure.Outcome != chain.NotRun
		if a.failure == nil || !c.prepareRetry(a) {
			return c.respond(w, a)
		}
		last = a
	}
}

func (c *call) pickUpstream(number uint32) (balance.PickResult, *chain.Failure) {
	now := c.d.cfg.Now()
	choice, failure := c.svc.client.balancer.Pick(now, balance.PickInfo{
		Priority:  c.metadata.Priority,
		Exclude:   c.triedUpstreams,
		BodyBytes: max(c.body.length, 0),
		Retry:     number > 1,
	})
	decision := c.newDecision("route", number, now)
	if failure != nil {
		decision.Outcome, decision.Reason = failure.Outcome.String(), string(failure.Reason)
	} else {
		decision.Upstream = choice.Upstream.ID
	}
	c.d.decisions.Record(decision)
	return choice, failure
}

// sendAttempt makes one attempt up to the headers of the answer, and settles what is
// known then.
func (c *call) sendAttempt(choice balance.PickResult, number uint32) *attempt {
	a := &attempt{choice: choice, number: number, started: c.d.cfg.Now(), delegatedRetries: c.parent.delegateRetries()}
	c.d.metrics.attemptsSent.Add(1)
	if number > 1 {
		c.d.metrics.retriesSent.Add(1)
	}
	out := &outgoingRequest{
		transport:      c.svc.client.currentTransport(),
		method:         http.MethodPost,
		url:            &url.URL{Scheme: c.d.peerScheme, Host: choice.Upstream.Address, Path: "/"},
		host:           c.host,
		header:         c.peerHeader(a),
		body:           c.body,
		expectContinue: true,
	}
	resp, s, failure := out.send(c.ctx)
	if failure == nil {
		a.response, a.failure = c.verifyResponse(resp, s, a)
	} else {
		a.failure = failure
	}
	if a.response == nil {
		c.completeAttempt(a, 0) // a lost answer forfeits its share
	}
	return a
}

// verifyResponse verifies that an answer belongs to the attempt and types it.
func (c *call) verifyResponse(resp *http.Response, s *connUse, a *attempt) (*response, *chain.Failure) {
	number, err := strconv.ParseUint(resp.Header.Get(headerPeerAttempt), 10, 32)
	if err != nil || uint32(number) != a.number || resp.Header.Get(headerRequestID) != c.metadata.RequestID {
		s.abandon()
		_ = resp.Body.Close() // the connection is closed already
		c.d.metrics.mismatchedResponses.Add(1)
		return nil, chain.NewFailure(chain.Unknown, chain.ReasonCrossed, "the answer belongs to another request")
	}
	ans, failure := newResponse(c.ctx, resp, s)
	if failure != nil {
		if failure.Reason == chain.ReasonTruncated {
			c.d.metrics.truncatedResponses.Add(1)
		}
		return nil, failure
	}
	a.generated = ans.header.Get(headerPeerGenerated) != ""
	outcome, ok := chain.ParseOutcome(ans.header.Get(headerOutcome))
	if ok && outcome == chain.OK && !a.generated {
		return ans, nil
	}
	return ans, parseErrorResponse(ans)
}

// peerHeader builds the headers of an attempt. Each attempt has its own map,
// because net/http may read it after an attempt has been given up.
func (c *call) peerHeader(a *attempt) http.Header {
	h := make(http.Header, len(c.header)+4)
	copyEndToEndHeaders(h, c.header)
	p := peerRequest{
		service: c.route.service, remaining: c.metadata.Remaining(a.started), allowance: a.delegatedRetries,
		depth: c.metadata.Depth, metadata: c.metadata,
	}
	p.metadata.Attempt, p.metadata.ConfigVersion = a.number, c.configVersion
	values := [...]string{c.metadata.RequestID, c.method + " " + c.path, formatPeerContext(&p), c.metadata.IdempotencyKey}
	h[headerRequestID] = values[0:1:1]
	h[headerPeerPath] = values[1:2:2]
	h[headerPeerContext] = values[2:3:3]
	if c.metadata.IdempotencyKey != "" {
		h[headerPeerKey] = values[3:4:4]
	}
	return h
}

// prepareRetry decides on a retry and waits for its delay.
func (c *call) prepareRetry(a *attempt) bool {
	if !c.body.resendable() {
		return false
	}
	now := c.d.cfg.Now()
	verdict := c.parent.decideRetry(now, c.svc.client.retryBudget, retry.Attempt{
		Failure:    a.failure,
		Idempotent: c.route.Idempotent,
		Number:     int(a.number),
		Remaining:  c.metadata.Remaining(now),
	})
	decision := c.newDecision("retry", a.number, now)
	decision.Upstream, decision.Outcome, decision.Reason = a.choice.Upstream.ID, a.failure.Outcome.String(), string(a.failure.Reason)
	if !verdict.Retry {
		decision.Event = "no-retry"
	}
	c.d.decisions.Record(decision)
	if !verdict.Retry {
		return false
	}
	if a.response != nil {
		c.completeAttempt(a, c.unusedRetries(a))
	}
	c.triedUpstreams = append(c.triedUpstreams, a.choice.Upstream.ID)
	return c.sleep(verdict.After)
}

// sleep waits and reports whether the request is still wanted.
func (c *call) sleep(d time.Duration) bool {
	if d <= 0 {
		return c.ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// respond passes the final attempt on to the caller.
func (c *call) respond(w http.ResponseWriter, a *attempt) (*chain.Failure, bool) {
	if a.response == nil {
		failure := c.callFailure(a.failure)
		c.respondError(w, failure, 0)
		return failure, false
	}
	if a.generated {
		after := parseRetryAfter(a.response.header.Get("Retry-After"))
		c.completeAttempt(a, c.unusedRetries(a))
		a.response.discard()
		failure := c.callFailure(a.failure)
		c.respondError(w, failure, after)
		return failure, false
	}
	return c.forwardResponse(w, a)
}

// callFailure is the failure of the call, given that of its last attempt. The
// outcome not-run holds for the call only if it holds for all attempts.
func (c *call) callFailure(last *chain.Failure) *chain.Failure {
	if last == nil || last.Outcome != chain.NotRun || !c.mayHaveExecuted {
		return last
	}
	f := *last
	f.Outcome = chain.Unknown
	return &f
}

// forwardResponse passes a handler's answer on. A truncated one is reported, so that
// the caller's connection is cut off.
func (c *call) forwardResponse(w http.ResponseWriter, a *attempt) (*chain.Failure, bool) {
	announced := parseLength(a.response.header.Get(headerPeerLength))
	var cp *responseCopier
	if a.response.stream != nil {
		cp = newResponseCopier(w, c.d.cfg.BodyProgressTimeout, announced)
	}
	c.writeHeader(w, a, announced)
	var broken *chain.Failure
	if cp != nil {
		broken = a.response.copyTo(c.ctx, cp, announced)
	} else if c.method != http.MethodHead && bodyAllowed(a.response.status) {
		_, _ = w.Write(a.response.buffered) // the caller has left if this fails
	}
	if broken == nil {
		c.completeAttempt(a, c.unusedRetries(a))
		a.response.release()
		return a.failure, false
	}
	if broken.Reason == chain.ReasonTruncated {
		c.d.metrics.truncatedResponses.Add(1)
	}
	a.failure = broken
	c.completeAttempt(a, 0)
	return broken, true
}

// causedBySender reports whether the sender of the request caused a failure.
func causedBySender(f *chain.Failure) bool {
	switch f.Reason {
	case chain.ReasonSlowBody, chain.ReasonBodyLength, chain.ReasonTooLarge, chain.ReasonCancelled:
		return true
	}
	return false
}

// writeHeader writes status and headers. Announced is the length of a body that
// is still to be copied, or that HEAD asked for.
func (c *call) writeHeader(w http.ResponseWriter, a *attempt, announced int64) {
	h := w.Header()
	copyEndToEndHeaders(h, a.response.header)
	h[headerRequestID] = a.response.header[headerRequestID]
	for _, name := range [...]string{headerOutcome, headerReason, headerReplayed} {
		if v := a.response.header[name]; v != nil {
			h[name] = v
		}
	}
	switch {
	case c.method == http.MethodHead:
		if announced >= 0 {
			setLength(h, announced)
		}
	case a.response.stream == nil && bodyAllowed(a.response.status):
		setLength(h, int64(len(a.response.buffered)))
	case a.response.stream != nil && announced >= 0:
		setLength(h, announced)
	}
	w.WriteHeader(a.response.status)
}

// unusedRetries is the number of retries that came back with an answer.
func (c *call) unusedRetries(a *attempt) int {
	n, err := strconv.ParseUint(a.response.trailer(headerPeerUnusedRetries), 10, 16)
	if err != nil {
		return 0
	}
	return int(n)
}

// completeAttempt ends an attempt: the allowance comes back, the balancer and the
// levels learn.
func (c *call) completeAttempt(a *attempt, unused int) {
	if a.delegatedRetries < 0 {
		return // settled before
	}
	now := c.d.cfg.Now()
	c.parent.reclaimRetries(a.delegatedRetries, unused)
	a.delegatedRetries = -1
	result := balance.DoneInfo{Latency: now.Sub(a.started), Bytes: max(c.body.length, 0)}
	if a.failure != nil {
		result.Outcome, result.Reason, result.FromDependency = a.failure.Outcome, a.failure.Reason, a.failure.FromDependency
		if causedBySender(a.failure) {
			result.Reason = chain.ReasonCancelled // says nothing about the upstream
		}
	}
	if a.response != nil {
		result.Bytes += max(a.response.length, 0)
		result.LoadReport = admission.ParseLoadReport(a.response.trailer(headerPeerLoadReport))
	}
	if result.LoadReport != nil {
		c.d.admissionLevels.Record(now, c.route.id, a.choice.Upstream.ID, *result.LoadReport)
	}
	c.svc.client.balancer.Done(now, a.choice, result)
}

func (c *call) respondError(w http.ResponseWriter, f *chain.Failure, after time.Duration) {
	errorResponse{f, c.metadata.RequestID, after}.write(w)
}

func (c *call) newDecision(event string, number uint32, now time.Time) logging.Decision {
	return logging.Decision{
		Event:     event,
		RequestID: c.metadata.RequestID,
		Service:   c.route.service,
		Route:     c.route.Name,
		Attempt:   number,
		Priority:  uint16(c.metadata.Priority),
		Depth:     c.metadata.Depth,
		Remaining: c.metadata.Remaining(now),
		Elapsed:   now.Sub(c.arrivedAt),
	}
}
