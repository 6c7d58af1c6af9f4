package daemon

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

const (
	// maxStoredResponseBytes is the largest answer that a claim keeps.
	maxStoredResponseBytes = 16 << 10

	// claimRejectionReserve is kept from the deadline for the refusal of a request
	// that got no claim. Without it the entrance would report an unknown outcome
	// at the deadline, before the refusal arrives.
	claimRejectionReserve = 250 * time.Millisecond
	// Finishing and releasing claims is repeated in the background, because
	// the group that stores them may be electing a leader.
	claimCallTimeout    = 5 * time.Second
	minClaimBackoff     = 100 * time.Millisecond
	maxClaimBackoff     = 5 * time.Second
	claimRetryTimeout   = 2 * time.Minute
	maxBackgroundClaims = 1024 // beyond it a request waits for one try instead
	releaseTimeout      = time.Second
)

// claim is a granted claim of one attempt. A nil claim ignores all calls, for
// work that needs none.
type claim struct {
	d        *Daemon
	key      *api.ClaimKey
	claimant string
}

// serveKeyed runs work that must run at most once: it is claimed first. The
// claim comes before the queue of the gate, so that no slot waits for the
// claim group; the level of the gate is checked before, so that a request
// that will be refused costs no claim.
func (in *inboundAttempt) serveKeyed(ctx context.Context) {
	if in.admissionQueue.LoadReport().Level > in.request.metadata.Priority {
		f := chain.NewFailure(chain.NotRun, chain.ReasonOverload, "priority below the admission level")
		in.respondError(f, 0, in.request.allowance)
		return
	}
	c, response, failure := in.acquireClaim(ctx)
	if failure != nil {
		in.respondError(failure, 0, in.request.allowance)
		return
	}
	if response.GetStatus() == api.ClaimStatus_CLAIM_STATUS_FINISHED {
		in.respondStored(response.GetAnswer())
		return
	}
	if failure := claimFailure(response.GetStatus()); failure != nil {
		in.respondError(failure, 0, in.request.allowance)
		return
	}
	in.recordDecision("claim", nil)
	ticket, after, failure := in.admit(ctx)
	if failure != nil {
		c.releaseBeforeResponse()
		in.respondError(failure, after, in.request.allowance)
		return
	}
	// Once it runs, the work is finished and recorded even if the caller leaves.
	running, cancel := context.WithTimeout(in.d.killed, maxDeadline)
	defer cancel()
	in.execute(running, ticket, c)
}

// acquireClaim asks the claim group. An error leaves open whether the claim was
// recorded, so it is released in the background.
func (in *inboundAttempt) acquireClaim(ctx context.Context) (*claim, *api.ClaimResponse, *chain.Failure) {
	c := &claim{
		d:        in.d,
		key:      &api.ClaimKey{Service: in.request.service, Route: in.route.Name, Key: in.request.metadata.IdempotencyKey},
		claimant: in.newClaimant(),
	}
	if in.d.cfg.Claims == nil {
		return nil, nil, chain.NewFailure(chain.NotRun, chain.ReasonClaimsUnavailable, "no claim group is configured")
	}
	in.d.metrics.claims.Add(1)
	remaining := in.request.metadata.Remaining(in.d.cfg.Now())
	ctx, cancel := context.WithTimeout(ctx, remaining-min(remaining/4, claimRejectionReserve))
	defer cancel()
	response, err := in.d.cfg.Claims.Claim(ctx, &api.ClaimRequest{
		Key: c.key, Claimant: c.claimant, Fingerprint: in.fingerprint(),
		RemainingMs: max(remaining.Milliseconds(), 1),
	})
	if err == nil {
		return c, response, nil
	}
	in.d.metrics.claimErrors.Add(1)
	c.release()
	return nil, nil, chain.WrapFailure(chain.NotRun, chain.ReasonClaimsUnavailable, "the claim was not confirmed", err)
}

// newClaimant is unique for an attempt: one daemon may receive the same key twice.
func (in *inboundAttempt) newClaimant() string {
	n := in.d.lastClaimant.Add(1)
	return in.d.cfg.ID + "/" + strconv.FormatUint(in.d.cfg.Incarnation, 10) + "/" + strconv.FormatUint(n, 10)
}

// fingerprint tells one request from another under the same key.
func (in *inboundAttempt) fingerprint() []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\n%s\n%d", in.request.method, in.request.path, in.body.length))
	return sum[:]
}

// claimFailure types the answers that do not let the work run.
func claimFailure(status api.ClaimStatus) *chain.Failure {
	switch status {
	case api.ClaimStatus_CLAIM_STATUS_GRANTED:
		return nil
	case api.ClaimStatus_CLAIM_STATUS_IN_PROGRESS:
		return chain.NewFailure(chain.Unknown, chain.ReasonInProgress, "another request with this key is running")
	case api.ClaimStatus_CLAIM_STATUS_UNKNOWN:
		return chain.NewFailure(chain.Unknown, chain.ReasonClaimUnknown, "a request with this key ran earlier and its result was not recorded")
	case api.ClaimStatus_CLAIM_STATUS_KEY_EXPIRED:
		return chain.NewFailure(chain.Unknown, chain.ReasonKeyExpired, "the key is older than the retention of claims")
	case api.ClaimStatus_CLAIM_STATUS_KEY_IN_FUTURE:
		return badRequest("the creation time of the key is in the future")
	case api.ClaimStatus_CLAIM_STATUS_KEY_REUSED:
		return chain.NewFailure(chain.NotRun, chain.ReasonKeyReused, "the key belongs to another request")
	}
	return chain.NewFailure(chain.NotRun, chain.ReasonClaimsUnavailable, "unexpected answer of the claim group")
}

// respondStored repeats the first answer of a key.
func (in *inboundAttempt) respondStored(stored *api.StoredAnswer) {
	in.d.metrics.replayedResponses.Add(1)
	if stored == nil || stored.GetBodyOmitted() {
		f := chain.NewFailure(chain.OK, chain.ReasonKeyFinished,
			fmt.Sprintf("finished before with status %d; the answer was too large to keep", stored.GetHttpStatus()))
		in.respondError(f, 0, in.request.allowance)
		return
	}
	h := in.w.Header()
	setOutcome(h, chain.OK, chain.ReasonNone)
	if stored.GetHttpStatus() >= http.StatusInternalServerError {
		setOutcome(h, chain.Failed, chain.ReasonHandlerError)
	}
	h[headerReplayed] = []string{"1"}
	h[headerPeerUnusedRetries] = []string{formatInt(in.request.allowance)}
	h[headerPeerLoadReport] = []string{in.loadReport()}
	if stored.GetContentType() != "" {
		h["Content-Type"] = []string{stored.GetContentType()}
	}
	status := int(stored.GetHttpStatus())
	if bodyAllowed(status) {
		setLength(h, int64(len(stored.GetBody())))
	}
	in.w.WriteHeader(status)
	_, _ = in.w.Write(stored.GetBody()) // the other daemon has left if this fails
	in.recordDecision("replay", nil)
}

// newBuffer collects the part of an answer that is stored.
func (c *claim) newBuffer() *limitedBuffer {
	if c == nil {
		return nil
	}
	return &limitedBuffer{limit: maxStoredResponseBytes}
}

// finish records the answer in the background: the caller need not wait, and a
// repeat meanwhile is told that the work is in progress.
func (c *claim) finish(status int, contentType string, body []byte, over bool) {
	if c == nil {
		return
	}
	answer := &api.StoredAnswer{HttpStatus: int32(status), ContentType: contentType}
	if answer.BodyOmitted = over || len(body) > maxStoredResponseBytes; !answer.BodyOmitted {
		answer.Body = append([]byte(nil), body...) // the caller's buffer is reused
	}
	request := &api.FinishClaimRequest{Key: c.key, Claimant: c.claimant, Answer: answer}
	c.runInBackground(func(ctx context.Context) error { return c.d.cfg.Claims.Finish(ctx, request) })
}

// settleFailure ends the claim of work that gave no answer. Only proof that it
// did not run releases the key; otherwise the claim stays open and repeats are
// told that the outcome is unknown.
func (c *claim) settleFailure(f *chain.Failure) {
	if c != nil && f.Outcome == chain.NotRun {
		c.releaseBeforeResponse()
	}
}

// releaseBeforeResponse waits a moment for the release: a retry at another
// upstream would otherwise be told that the work is in progress.
func (c *claim) releaseBeforeResponse() {
	ctx, cancel := context.WithTimeout(c.d.killed, releaseTimeout)
	defer cancel()
	if c.d.cfg.Claims.Release(ctx, c.releaseRequest()) != nil {
		c.release()
	}
}

func (c *claim) release() {
	request := c.releaseRequest()
	c.runInBackground(func(ctx context.Context) error { return c.d.cfg.Claims.Release(ctx, request) })
}

func (c *claim) releaseRequest() *api.ReleaseClaimRequest {
	return &api.ReleaseClaimRequest{Key: c.key, Claimant: c.claimant}
}

// runInBackground repeats an operation until it succeeds, the time is up or the
// process is killed. A planned stop waits for it.
func (c *claim) runInBackground(operation func(context.Context) error) {
	select {
	case c.d.claimSlots <- struct{}{}:
	default:
		c.tryOnce(operation)
		return
	}
	c.d.backgroundClaims.Add(1)
	go func() {
		defer c.d.backgroundClaims.Done()
		defer func() { <-c.d.claimSlots }()
		c.retry(operation)
	}()
}

func (c *claim) tryOnce(operation func(context.Context) error) bool {
	ctx, cancel := context.WithTimeout(c.d.killed, claimCallTimeout)
	defer cancel()
	err := operation(ctx)
	if err != nil {
		c.d.metrics.claimErrors.Add(1)
	}
	return err == nil
}

func (c *claim) retry(operation func(context.Context) error) {
	ctx, cancel := context.WithTimeout(c.d.killed, claimRetryTimeout)
	defer cancel()
	for wait := minClaimBackoff; ; wait = min(2*wait, maxClaimBackoff) {
		if c.tryOnce(operation) {
			return
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			c.d.log.Warn().Str("key", c.key.GetKey()).Str("claimant", c.claimant).Msg("gave up recording the end of a claim")
			return
		}
	}
}
