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
	"github.com/bilberrydeck/bilberrydeck/internal/httphold"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// call is a call to a service that this daemon forwards, with all its attempts.
type call struct {
	d               *Daemon
	svc             *service
	route           *route
	parent          *parentRequest // provides the retry allowance; for a root call, represents the call itself
	ctx             context.Context
	metadata        chain.Metadata
	receivedAt      time.Time
	method          string
	path            string // escaped path and query
	host            string
	header          http.Header // of the request, read only
	body            *requestBody
	held            *httphold.Request // is charged with what the call takes
	configVersion   uint64
	triedUpstreams  []string
	fromIngress     bool // received from a client, not from the local upstream
	mayHaveExecuted bool // an attempt ended without proof that its handler was not executed
}

// attempt is one attempt and its result: a response, a failure, or both if the response states a
// failure.
type attempt struct {
	choice           balance.PickResult
	number           uint32
	delegatedRetries int // retries that the callee may use; negative once the attempt is completed
	started          time.Time
	response         *response
	failure          *chain.Failure
	generated        bool // a daemon generated the response, not the upstream
}

// tryUpstreams makes attempts until one is final, and responds with its result. It returns the
// failure that it responded with, nil for a successful response. truncated is true if the response
// is incomplete and its connection must be aborted.
func (c *call) tryUpstreams(w http.ResponseWriter) (failure *chain.Failure, truncated bool) {
	c.svc.client.retryBudget.RecordCall(c.receivedAt)
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

// pickUpstream selects the upstream for an attempt and records the decision.
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

// sendAttempt makes one attempt and reads the response. The body of a large response is left in
// its stream. An attempt without a response is completed here.
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
	resp, use, failure := out.send(c.ctx)
	if failure == nil {
		a.response, a.failure = c.verifyResponse(resp, use, a)
	} else {
		a.failure = failure
	}
	if a.response == nil {
		c.completeAttempt(a, 0) // without a response the delegated retries are lost
	}
	return a
}

// verifyResponse checks that a response belongs to the attempt, and returns it with the failure
// that it states.
func (c *call) verifyResponse(resp *http.Response, use *connUse, a *attempt) (*response, *chain.Failure) {
	number, err := strconv.ParseUint(resp.Header.Get(headerPeerAttempt), 10, 32)
	if err != nil || uint32(number) != a.number || resp.Header.Get(headerRequestID) != c.metadata.RequestID {
		use.abandon()
		_ = resp.Body.Close() // the connection is closed already
		c.d.metrics.mismatchedResponses.Add(1)
		return nil, chain.NewFailure(chain.Unknown, chain.ReasonCrossed, "the response belongs to another request or attempt")
	}
	response, failure := newResponse(c.ctx, resp, use)
	if failure != nil {
		if failure.Reason == chain.ReasonTruncated {
			c.d.metrics.truncatedResponses.Add(1)
		}
		return nil, failure
	}
	a.generated = response.header.Get(headerPeerGenerated) != ""
	outcome, ok := chain.ParseOutcome(response.header.Get(headerOutcome))
	if ok && outcome == chain.OK && !a.generated {
		return response, nil
	}
	return response, parseErrorResponse(response)
}

// peerHeader returns the headers of an attempt. Each attempt has its own map because net/http may
// still read it after the attempt has been abandoned.
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
		h[headerPeerIdempotencyKey] = values[3:4:4]
	}
	return h
}

// prepareRetry decides whether to retry after a failed attempt, and waits for the delay of the
// retry. It returns false if there is no retry.
func (c *call) prepareRetry(a *attempt) bool {
	if !c.body.resendable() {
		return false
	}
	now := c.d.cfg.Now()
	retryDecision := c.parent.decideRetry(now, c.svc.client.retryBudget, retry.Attempt{
		Failure:    a.failure,
		Idempotent: c.route.Idempotent,
		Number:     int(a.number),
		Remaining:  c.metadata.Remaining(now),
	})
	decision := c.newDecision("retry", a.number, now)
	decision.Upstream, decision.Outcome, decision.Reason = a.choice.Upstream.ID, a.failure.Outcome.String(), string(a.failure.Reason)
	if !retryDecision.Retry {
		decision.Event = "no-retry"
	}
	c.d.decisions.Record(decision)
	if !retryDecision.Retry {
		return false
	}
	if a.response != nil {
		c.completeAttempt(a, c.unusedRetries(a))
	}
	c.triedUpstreams = append(c.triedUpstreams, a.choice.Upstream.ID)
	return c.sleep(retryDecision.After)
}

// sleep waits for d. It returns false if the context of the call ends before.
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

// respond responds with the result of the final attempt.
func (c *call) respond(w http.ResponseWriter, a *attempt) (*chain.Failure, bool) {
	if a.response == nil {
		failure := c.callFailure(a.failure)
		c.respondError(w, failure, 0)
		return failure, false
	}
	if a.generated {
		retryAfter := parseRetryAfter(a.response.header.Get("Retry-After"))
		c.completeAttempt(a, c.unusedRetries(a))
		a.response.discard()
		failure := c.callFailure(a.failure)
		c.respondError(w, failure, retryAfter)
		return failure, false
	}
	return c.forwardResponse(w, a)
}

// callFailure returns the failure of the call, given the failure of its last attempt. The outcome
// of the call is not-run only if it is not-run for all attempts.
func (c *call) callFailure(last *chain.Failure) *chain.Failure {
	if last == nil || last.Outcome != chain.NotRun || !c.mayHaveExecuted {
		return last
	}
	f := *last
	f.Outcome = chain.Unknown
	return &f
}

// forwardResponse forwards the response of an upstream. It returns true if the response is
// truncated, so that the connection to the client is aborted.
func (c *call) forwardResponse(w http.ResponseWriter, a *attempt) (*chain.Failure, bool) {
	announced := parseLength(a.response.header.Get(headerPeerLength))
	var cp *responseCopier
	if a.response.stream != nil {
		cp = newResponseCopier(w, c.held, c.d.cfg.BodyProgressTimeout, announced)
	}
	holdResponse(c.held, a.response)
	c.writeHeader(w, a, announced)
	var copyFailure *chain.Failure
	if cp != nil {
		copyFailure = a.response.copyTo(c.ctx, cp, announced)
	} else if c.method != http.MethodHead && bodyAllowed(a.response.status) {
		_, _ = w.Write(a.response.buffered) // an error means that the client has disconnected
	}
	if copyFailure == nil {
		c.completeAttempt(a, c.unusedRetries(a))
		a.response.release()
		return a.failure, false
	}
	if copyFailure.Reason == chain.ReasonTruncated {
		c.d.metrics.truncatedResponses.Add(1)
	}
	a.failure = copyFailure
	c.completeAttempt(a, 0)
	return copyFailure, true
}

// causedBySender reports whether the sender of the request caused a failure.
func causedBySender(f *chain.Failure) bool {
	switch f.Reason {
	case chain.ReasonSlowBody, chain.ReasonBodyLength, chain.ReasonTooLarge, chain.ReasonCancelled:
		return true
	}
	return false
}

// writeHeader writes the status and the headers. announced is the length of a body that is still to
// be copied, or the length in a response to HEAD; -1 if unknown.
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

// unusedRetries returns the number of delegated retries that a response returns.
func (c *call) unusedRetries(a *attempt) int {
	n, err := strconv.ParseUint(a.response.trailer(headerPeerUnusedRetries), 10, 16)
	if err != nil {
		return 0
	}
	return int(n)
}

// completeAttempt returns the unused retries to the allowance, and passes the result and the load
// report of an attempt to the balancer and the admission levels.
func (c *call) completeAttempt(a *attempt, unused int) {
	if a.delegatedRetries < 0 {
		return // completed before
	}
	now := c.d.cfg.Now()
	c.parent.reclaimRetries(a.delegatedRetries, unused)
	a.delegatedRetries = -1
	result := balance.DoneInfo{Latency: now.Sub(a.started), Bytes: max(c.body.length, 0)}
	if a.failure != nil {
		result.Outcome, result.Reason, result.FromDependency = a.failure.Outcome, a.failure.Reason, a.failure.FromDependency
		if causedBySender(a.failure) {
			result.Reason = chain.ReasonCancelled // the failure is not attributable to the upstream
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

// respondError responds with a failure. retryAfter is 0 for the default delay.
func (c *call) respondError(w http.ResponseWriter, f *chain.Failure, retryAfter time.Duration) {
	errorResponse{f, c.metadata.RequestID, retryAfter}.write(w)
}

// newDecision returns an entry of the decision log for this call.
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
		Elapsed:   now.Sub(c.receivedAt),
	}
}
