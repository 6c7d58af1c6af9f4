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
	// maxStoredResponseBytes is the maximum size of a response body that a claim stores.
	maxStoredResponseBytes = 16 << 10

	// claimRejectionReserve is the time before the deadline at which a claim attempt is abandoned.
	// Without it the ingress would report an unknown outcome at the deadline, before the rejection
	// of this daemon arrives there.
	claimRejectionReserve = 250 * time.Millisecond
	// Finishing and releasing claims is retried in the background, because the group that stores
	// them may be electing a leader.
	claimCallTimeout    = 5 * time.Second
	minClaimBackoff     = 100 * time.Millisecond
	maxClaimBackoff     = 5 * time.Second
	claimRetryTimeout   = 2 * time.Minute
	maxBackgroundClaims = 1024 // above it, the request waits for one call, which is not retried
	releaseTimeout      = time.Second
)

// claim is the claim of one attempt on an idempotency key. It is nil for a request that needs none;
// newBuffer, finish and settleFailure may be called on nil.
type claim struct {
	d        *Daemon
	key      *api.ClaimKey
	claimant string
}

// serveKeyed claims the idempotency key of a request and then executes the request, at most once
// per key. The claim precedes the admission queue, so that no slot is occupied while the claim
// group responds. The admission level is checked before the claim, so that a request that will be
// rejected needs no claim.
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
	permit, retryAfter, failure := in.admit(ctx)
	if failure != nil {
		c.releaseBeforeResponse()
		in.respondError(failure, retryAfter, in.request.allowance)
		return
	}
	// An admitted request is completed and its result recorded even if the client cancels.
	executionCtx, cancel := context.WithTimeout(in.d.killed, maxRequestTimeout)
	defer cancel()
	in.execute(executionCtx, permit, c)
}

// acquireClaim requests a claim from the claim group. After an error the claim is released in the
// background, because it may have been recorded.
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

// newClaimant returns an id that is unique for each attempt, because one daemon may receive the
// same key more than once.
func (in *inboundAttempt) newClaimant() string {
	n := in.d.lastClaimant.Add(1)
	return in.d.cfg.ID + "/" + strconv.FormatUint(in.d.cfg.Incarnation, 10) + "/" + strconv.FormatUint(n, 10)
}

// fingerprint distinguishes different requests with the same key.
func (in *inboundAttempt) fingerprint() []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\n%s\n%d", in.request.method, in.request.path, in.body.length))
	return sum[:]
}

// claimFailure returns the failure for a claim status that does not allow the execution, nil for a
// granted claim.
func claimFailure(status api.ClaimStatus) *chain.Failure {
	switch status {
	case api.ClaimStatus_CLAIM_STATUS_GRANTED:
		return nil
	case api.ClaimStatus_CLAIM_STATUS_IN_PROGRESS:
		return chain.NewFailure(chain.Unknown, chain.ReasonInProgress, "another request with this key is in progress")
	case api.ClaimStatus_CLAIM_STATUS_UNKNOWN:
		return chain.NewFailure(chain.Unknown, chain.ReasonClaimUnknown, "an earlier request with this key may have been executed; its result was not recorded")
	case api.ClaimStatus_CLAIM_STATUS_KEY_EXPIRED:
		return chain.NewFailure(chain.Unknown, chain.ReasonKeyExpired, "the key is older than the retention of claims")
	case api.ClaimStatus_CLAIM_STATUS_KEY_IN_FUTURE:
		return badRequest("the creation time of the key is in the future")
	case api.ClaimStatus_CLAIM_STATUS_KEY_REUSED:
		return chain.NewFailure(chain.NotRun, chain.ReasonKeyReused, "the key belongs to another request")
	}
	return chain.NewFailure(chain.NotRun, chain.ReasonClaimsUnavailable, "the claim group returned an unexpected status")
}

// respondStored responds with the stored response to the first request with the key.
func (in *inboundAttempt) respondStored(stored *api.StoredAnswer) {
	in.d.metrics.replayedResponses.Add(1)
	if stored == nil || stored.GetBodyOmitted() {
		f := chain.NewFailure(chain.OK, chain.ReasonKeyFinished,
			fmt.Sprintf("already finished with status %d; the response was too large to store", stored.GetHttpStatus()))
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
	_, _ = in.w.Write(stored.GetBody()) // an error means that the other daemon has disconnected
	in.recordDecision("replay", nil)
}

// newBuffer returns a buffer for the response body that is to be stored, nil for a nil claim.
func (c *claim) newBuffer() *limitedBuffer {
	if c == nil {
		return nil
	}
	return &limitedBuffer{limit: maxStoredResponseBytes}
}

// finish records the response in the background. The client does not wait for it; a retry that
// arrives before is rejected with the reason in-progress.
func (c *claim) finish(status int, contentType string, body []byte, overflowed bool) {
	if c == nil {
		return
	}
	response := &api.StoredAnswer{HttpStatus: int32(status), ContentType: contentType}
	if response.BodyOmitted = overflowed || len(body) > maxStoredResponseBytes; !response.BodyOmitted {
		response.Body = append([]byte(nil), body...) // body is in a buffer that is reused
	}
	request := &api.FinishClaimRequest{Key: c.key, Claimant: c.claimant, Answer: response}
	c.runInBackground(func(ctx context.Context) error { return c.d.cfg.Claims.Finish(ctx, request) })
}

// settleFailure ends the claim of a request without a response. It releases the key only if the
// request was not executed. Otherwise the claim stays, and retries get the outcome unknown.
func (c *claim) settleFailure(f *chain.Failure) {
	if c != nil && f.Outcome == chain.NotRun {
		c.releaseBeforeResponse()
	}
}

// releaseBeforeResponse releases the claim and waits for it up to releaseTimeout. Without the wait
// a retry at another upstream would be rejected with the reason in-progress. If the release fails,
// it continues in the background.
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

// runInBackground retries an operation until it succeeds, claimRetryTimeout has passed or the
// daemon is killed. A graceful shutdown waits for it.
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
	for backoff := minClaimBackoff; ; backoff = min(2*backoff, maxClaimBackoff) {
		if c.tryOnce(operation) {
			return
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			c.d.log.Warn().Str("key", c.key.GetKey()).Str("claimant", c.claimant).Msg("claim update not recorded; giving up")
			return
		}
	}
}
