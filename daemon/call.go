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
	d       *Daemon
	svc     *service
	route   *route
	owner   *entry // whose allowance the call uses
	ctx     context.Context
	context chain.Metadata // of this call
	arrived time.Time
	method  string
	path    string // escaped path and query
	host    string
	header  http.Header // of the caller, read only
	body    *body
	version uint64
	tried   []string
	entered bool // came from a caller, not from the local service
	mayRun  bool // an attempt ended without proof that its handler did not run
}

// attempt is the result of one attempt: an answer, a failure, or an answer
// that says that its handler failed.
type attempt struct {
	choice  balance.PickResult
	number  uint32
	share   int // retries lent
	started time.Time
	answer  *answer
	failure *chain.Failure
	refused bool // a daemon wrote the answer
}

// run makes attempts until one is final, and passes its answer on. It returns
// the failure that the caller saw, nil for an answer that is ok. Truncated
// reports that the answer began and must be cut off.
func (c *call) run(w http.ResponseWriter) (failure *chain.Failure, truncated bool) {
	c.svc.target.budget.RecordCall(c.arrived)
	var last *attempt
	for number := uint32(1); ; number++ {
		choice, failure := c.pick(number)
		if failure != nil {
			if last != nil {
				return c.conclude(w, last)
			}
			c.refuse(w, failure, 0)
			return failure, false
		}
		if last != nil && last.answer != nil {
			last.answer.discard()
		}
		a := c.try(choice, number)
		c.mayRun = c.mayRun || a.failure != nil && a.failure.Outcome != chain.NotRun
		if a.failure == nil || !c.again(a) {
			return c.conclude(w, a)
		}
		last = a
	}
}

func (c *call) pick(number uint32) (balance.PickResult, *chain.Failure) {
	now := c.d.cfg.Now()
	choice, failure := c.svc.target.balancer.Pick(now, balance.PickInfo{
		Priority:  c.context.Priority,
		Exclude:   c.tried,
		BodyBytes: max(c.body.length, 0),
		Retry:     number > 1,
	})
	decision := c.decision("route", number, now)
	if failure != nil {
		decision.Outcome, decision.Reason = failure.Outcome.String(), string(failure.Reason)
	} else {
		decision.Upstream = choice.Upstream.ID
	}
	c.d.decisions.Record(decision)
	return choice, failure
}

// try makes one attempt up to the headers of the answer, and settles what is
// known then.
func (c *call) try(choice balance.PickResult, number uint32) *attempt {
	a := &attempt{choice: choice, number: number, started: c.d.cfg.Now(), share: c.owner.lend()}
	c.d.metrics.attempts.Add(1)
	if number > 1 {
		c.d.metrics.retries.Add(1)
	}
	out := &outgoing{
		transport: c.svc.target.client(),
		method:    http.MethodPost,
		url:       &url.URL{Scheme: c.d.peerScheme, Host: choice.Upstream.Address, Path: "/"},
		host:      c.host,
		header:    c.peerHeader(a),
		body:      c.body,
		expect:    true,
	}
	resp, s, failure := out.send(c.ctx)
	if failure == nil {
		a.answer, a.failure = c.check(resp, s, a)
	} else {
		a.failure = failure
	}
	if a.answer == nil {
		c.settle(a, 0) // a lost answer forfeits its share
	}
	return a
}

// check verifies that an answer belongs to the attempt and types it.
func (c *call) check(resp *http.Response, s *sent, a *attempt) (*answer, *chain.Failure) {
	number, err := strconv.ParseUint(resp.Header.Get(headerPeerAttempt), 10, 32)
	if err != nil || uint32(number) != a.number || resp.Header.Get(headerRequestID) != c.context.RequestID {
		s.abandon()
		_ = resp.Body.Close() // the connection is closed already
		c.d.metrics.crossed.Add(1)
		return nil, chain.NewFailure(chain.Unknown, chain.ReasonCrossed, "the answer belongs to another request")
	}
	ans, failure := newAnswer(c.ctx, resp, s)
	if failure != nil {
		if failure.Reason == chain.ReasonTruncated {
			c.d.metrics.truncated.Add(1)
		}
		return nil, failure
	}
	a.refused = ans.header.Get(headerPeerRefusal) != ""
	outcome, ok := chain.ParseOutcome(ans.header.Get(headerOutcome))
	if ok && outcome == chain.OK && !a.refused {
		return ans, nil
	}
	return ans, parseRefusal(ans)
}

// peerHeader builds the headers of an attempt. Each attempt has its own map,
// because net/http may read it after an attempt has been given up.
func (c *call) peerHeader(a *attempt) http.Header {
	h := make(http.Header, len(c.header)+4)
	passHeaders(h, c.header)
	p := peerRequest{
		service: c.route.service, remaining: c.context.Remaining(a.started), allowance: a.share,
		depth: c.context.Depth, context: c.context,
	}
	p.context.Attempt, p.context.ConfigVersion = a.number, c.version
	values := [...]string{c.context.RequestID, c.method + " " + c.path, formatPeer(&p), c.context.IdempotencyKey}
	h[headerRequestID] = values[0:1:1]
	h[headerPeerPath] = values[1:2:2]
	h[headerPeerContext] = values[2:3:3]
	if c.context.IdempotencyKey != "" {
		h[headerPeerKey] = values[3:4:4]
	}
	return h
}

// again decides on a retry and waits for its delay.
func (c *call) again(a *attempt) bool {
	if !c.body.resendable() {
		return false
	}
	now := c.d.cfg.Now()
	verdict := c.owner.decide(now, c.svc.target.budget, retry.Attempt{
		Failure:    a.failure,
		Idempotent: c.route.Idempotent,
		Number:     int(a.number),
		Remaining:  c.context.Remaining(now),
	})
	decision := c.decision("retry", a.number, now)
	decision.Upstream, decision.Outcome, decision.Reason = a.choice.Upstream.ID, a.failure.Outcome.String(), string(a.failure.Reason)
	if !verdict.Retry {
		decision.Event = "no-retry"
	}
	c.d.decisions.Record(decision)
	if !verdict.Retry {
		return false
	}
	if a.answer != nil {
		c.settle(a, c.unused(a))
	}
	c.tried = append(c.tried, a.choice.Upstream.ID)
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

// conclude passes the final attempt on to the caller.
func (c *call) conclude(w http.ResponseWriter, a *attempt) (*chain.Failure, bool) {
	if a.answer == nil {
		failure := c.overall(a.failure)
		c.refuse(w, failure, 0)
		return failure, false
	}
	if a.refused {
		after := parseRetryAfter(a.answer.header.Get("Retry-After"))
		c.settle(a, c.unused(a))
		a.answer.discard()
		failure := c.overall(a.failure)
		c.refuse(w, failure, after)
		return failure, false
	}
	return c.deliver(w, a)
}

// overall is the failure of the call, given that of its last attempt. The
// outcome not-run holds for the call only if it holds for all attempts.
func (c *call) overall(last *chain.Failure) *chain.Failure {
	if last == nil || last.Outcome != chain.NotRun || !c.mayRun {
		return last
	}
	f := *last
	f.Outcome = chain.Unknown
	return &f
}

// deliver passes a handler's answer on. A truncated one is reported, so that
// the caller's connection is cut off.
func (c *call) deliver(w http.ResponseWriter, a *attempt) (*chain.Failure, bool) {
	announced := parseLength(a.answer.header.Get(headerPeerLength))
	var cp *copier
	if a.answer.resp != nil {
		cp = newCopier(w, c.d.cfg.BodyProgressTimeout, announced)
	}
	c.writeHead(w, a, announced)
	var broken *chain.Failure
	if cp != nil {
		broken = a.answer.stream(c.ctx, cp, announced)
	} else if c.method != http.MethodHead && bodyAllowed(a.answer.status) {
		_, _ = w.Write(a.answer.whole) // the caller has left if this fails
	}
	if broken == nil {
		c.settle(a, c.unused(a))
		a.answer.release()
		return a.failure, false
	}
	if broken.Reason == chain.ReasonTruncated {
		c.d.metrics.truncated.Add(1)
	}
	a.failure = broken
	c.settle(a, 0)
	return broken, true
}

// senderFault reports whether the sender of the request caused a failure.
func senderFault(f *chain.Failure) bool {
	switch f.Reason {
	case chain.ReasonSlowBody, chain.ReasonBodyLength, chain.ReasonTooLarge, chain.ReasonCancelled:
		return true
	}
	return false
}

// writeHead writes status and headers. Announced is the length of a body that
// is still to be copied, or that HEAD asked for.
func (c *call) writeHead(w http.ResponseWriter, a *attempt, announced int64) {
	h := w.Header()
	passHeaders(h, a.answer.header)
	h[headerRequestID] = a.answer.header[headerRequestID]
	for _, name := range [...]string{headerOutcome, headerReason, headerReplayed} {
		if v := a.answer.header[name]; v != nil {
			h[name] = v
		}
	}
	switch {
	case c.method == http.MethodHead:
		if announced >= 0 {
			setLength(h, announced)
		}
	case a.answer.resp == nil && bodyAllowed(a.answer.status):
		setLength(h, int64(len(a.answer.whole)))
	case a.answer.resp != nil && announced >= 0:
		setLength(h, announced)
	}
	w.WriteHeader(a.answer.status)
}

// unused is the number of retries that came back with an answer.
func (c *call) unused(a *attempt) int {
	n, err := strconv.ParseUint(a.answer.trailer(headerPeerUnused), 10, 16)
	if err != nil {
		return 0
	}
	return int(n)
}

// settle ends an attempt: the allowance comes back, the balancer and the
// levels learn.
func (c *call) settle(a *attempt, unused int) {
	if a.share < 0 {
		return // settled before
	}
	now := c.d.cfg.Now()
	c.owner.giveBack(a.share, unused)
	a.share = -1
	result := balance.DoneInfo{Latency: now.Sub(a.started), Bytes: max(c.body.length, 0)}
	if a.failure != nil {
		result.Outcome, result.Reason, result.FromDependency = a.failure.Outcome, a.failure.Reason, a.failure.FromDependency
		if senderFault(a.failure) {
			result.Reason = chain.ReasonCancelled // says nothing about the upstream
		}
	}
	if a.answer != nil {
		result.Bytes += max(a.answer.length, 0)
		result.LoadReport = admission.ParseLoadReport(a.answer.trailer(headerPeerReport))
	}
	if result.LoadReport != nil {
		c.d.levels.Record(now, c.route.id, a.choice.Upstream.ID, *result.LoadReport)
	}
	c.svc.target.balancer.Done(now, a.choice, result)
}

func (c *call) refuse(w http.ResponseWriter, f *chain.Failure, after time.Duration) {
	refusal{f, c.context.RequestID, after}.write(w)
}

func (c *call) decision(event string, number uint32, now time.Time) logging.Decision {
	return logging.Decision{
		Event:     event,
		RequestID: c.context.RequestID,
		Service:   c.route.service,
		Route:     c.route.Name,
		Attempt:   number,
		Priority:  uint16(c.context.Priority),
		Depth:     c.context.Depth,
		Remaining: c.context.Remaining(now),
		Elapsed:   now.Sub(c.arrived),
	}
}
