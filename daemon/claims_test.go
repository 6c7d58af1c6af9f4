package daemon

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/declaration"
)

var errNoQuorum = errors.New("no quorum")

// fakeClaims is an in-memory claim group. If unreachable is set, calls fail and record nothing; if
// responsesLost is set, Claim records a new claim and then fails.
type fakeClaims struct {
	mu            sync.Mutex
	claims        map[string]*fakeClaim
	unreachable   bool
	responsesLost bool
	expired       bool // unfinished claims have the status unknown
}

type fakeClaim struct {
	claimant    string
	fingerprint []byte
	response    *api.StoredAnswer
}

func newFakeClaims() *fakeClaims { return &fakeClaims{claims: make(map[string]*fakeClaim)} }

func (f *fakeClaims) Claim(_ context.Context, r *api.ClaimRequest) (*api.ClaimResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		return nil, errNoQuorum
	}
	existing := f.claims[r.GetKey().GetKey()]
	if existing == nil {
		f.claims[r.GetKey().GetKey()] = &fakeClaim{claimant: r.GetClaimant(), fingerprint: r.GetFingerprint()}
		if f.responsesLost {
			return nil, errNoQuorum
		}
		return &api.ClaimResponse{Status: api.ClaimStatus_CLAIM_STATUS_GRANTED}, nil
	}
	switch {
	case !bytes.Equal(existing.fingerprint, r.GetFingerprint()):
		return &api.ClaimResponse{Status: api.ClaimStatus_CLAIM_STATUS_KEY_REUSED}, nil
	case existing.response != nil:
		return &api.ClaimResponse{Status: api.ClaimStatus_CLAIM_STATUS_FINISHED, Answer: existing.response}, nil
	case f.expired:
		return &api.ClaimResponse{Status: api.ClaimStatus_CLAIM_STATUS_UNKNOWN}, nil
	}
	return &api.ClaimResponse{Status: api.ClaimStatus_CLAIM_STATUS_IN_PROGRESS}, nil
}

func (f *fakeClaims) Finish(_ context.Context, r *api.FinishClaimRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		return errNoQuorum
	}
	f.claims[r.GetKey().GetKey()].response = r.GetAnswer()
	return nil
}

func (f *fakeClaims) Release(_ context.Context, r *api.ReleaseClaimRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		return errNoQuorum
	}
	if existing := f.claims[r.GetKey().GetKey()]; existing != nil && existing.claimant == r.GetClaimant() && existing.response == nil {
		delete(f.claims, r.GetKey().GetKey())
	}
	return nil
}

func (f *fakeClaims) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeClaims) stored(key string) *api.StoredAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if existing := f.claims[key]; existing != nil {
		return existing.response
	}
	return nil
}

func (f *fakeClaims) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.claims)
}

func newKey(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	require.NoError(t, err)
	return id.String()
}

// startClaimNodes starts two upstreams of a service that share a claim group, and an edge.
func startClaimNodes(t *testing.T, claims ClaimClient, h http.Handler) (edge *testNode, backs []*testNode) {
	t.Helper()
	for _, id := range []string{"b-1", "b-2"} {
		cfg := nodeConfig(id, "b")
		cfg.Claims = claims
		backs = append(backs, startNode(t, cfg, h))
	}
	edge = startNode(t, nodeConfig("edge-1", ""), nil)
	applySnapshot(t, []declaration.Service{testService("b",
		testRoute("order", "POST", "/orders", false), testRoute("list", "GET", "/orders", true))}, append(backs, edge)...)
	return edge, backs
}

// TestRetryGetsStoredResponse checks that a request with an idempotency key is executed at most
// once, and that a retry gets the stored response from whichever upstream it reaches.
func TestRetryGetsStoredResponse(t *testing.T) {
	var executions atomic.Int32
	claims := newFakeClaims()
	edge, _ := startClaimNodes(t, claims, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		executions.Add(1)
		require.NotEmpty(t, r.Header.Get(headerIdempotencyKey))
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(201)
		_, _ = io.WriteString(w, "order 17")
	}))
	key := newKey(t)
	for i := range 5 {
		resp := edge.request("POST", "/b/orders", strings.NewReader("laminate"), headerIdempotencyKey, strings.ToUpper(key))
		require.Equal(t, "order 17", readAll(t, resp))
		require.Equal(t, 201, resp.StatusCode)
		require.Equal(t, "text/plain", resp.Header.Get("Content-Type"))
		require.Equal(t, i > 0, resp.Header.Get(headerReplayed) != "")
		require.Eventually(t, func() bool { return claims.stored(key) != nil }, testTimeout, time.Millisecond)
	}
	require.EqualValues(t, 1, executions.Load())
	resp := edge.request("POST", "/b/orders", strings.NewReader("other work"), headerIdempotencyKey, key)
	requireErrorResponse(t, resp, 409, chain.NotRun, chain.ReasonKeyReused)
}

// TestLargeResponseIsNotStored guards against storing a truncated response, which a retry would
// treat as complete.
func TestLargeResponseIsNotStored(t *testing.T) {
	for name, size := range map[string]int{"buffered": maxStoredResponseBytes + 1, "streamed": 4 * maxBufferedBody} {
		t.Run(name, func(t *testing.T) {
			claims := newFakeClaims()
			edge, _ := startClaimNodes(t, claims, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, strings.Repeat("x", size))
			}))
			key := newKey(t)
			require.Len(t, readAll(t, edge.request("POST", "/b/orders", nil, headerIdempotencyKey, key)), size)
			require.Eventually(t, func() bool { return claims.stored(key) != nil }, testTimeout, time.Millisecond)
			require.True(t, claims.stored(key).GetBodyOmitted())
			resp := edge.request("POST", "/b/orders", nil, headerIdempotencyKey, key)
			requireErrorResponse(t, resp, 409, chain.OK, chain.ReasonKeyFinished)
		})
	}
}

// TestCrashBetweenClaimAndFinish checks that a request with an idempotency key is executed at most
// once if the upstream crashes during the execution: the key is never executed again, and retries
// get the outcome unknown.
func TestCrashBetweenClaimAndFinish(t *testing.T) {
	var executions atomic.Int32
	claims := newFakeClaims()
	edge, _ := startClaimNodes(t, claims, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		executions.Add(1)
		panic(http.ErrAbortHandler)
	}))
	key := newKey(t)
	requireErrorResponse(t, edge.request("POST", "/b/orders", nil, headerIdempotencyKey, key), 502, chain.Unknown, chain.ReasonUpstreamError)
	resp := edge.request("POST", "/b/orders", nil, headerIdempotencyKey, key)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	requireErrorResponse(t, resp, 409, chain.Unknown, chain.ReasonInProgress)
	claims.set(func() { claims.expired = true })
	requireErrorResponse(t, edge.request("POST", "/b/orders", nil, headerIdempotencyKey, key), 409, chain.Unknown, chain.ReasonClaimUnknown)
	require.EqualValues(t, 1, executions.Load())
}

// TestClaimsUnavailable checks that without the claim group requests are rejected as not-run and
// are not executed, and that a claim that was recorded although its response was lost is released.
func TestClaimsUnavailable(t *testing.T) {
	var executions atomic.Int32
	claims := newFakeClaims()
	edge, _ := startClaimNodes(t, claims, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		executions.Add(1)
		_, _ = io.WriteString(w, "done")
	}))
	claims.set(func() { claims.unreachable = true })
	key := newKey(t)
	requireErrorResponse(t, edge.request("POST", "/b/orders", nil, headerIdempotencyKey, key), 503, chain.NotRun, chain.ReasonClaimsUnavailable)
	require.Equal(t, "done", readAll(t, edge.request("GET", "/b/orders", nil, headerIdempotencyKey, key)), "idempotent requests need no claim")
	claims.set(func() { claims.unreachable, claims.responsesLost = false, true })
	other := newKey(t)
	resp := edge.request("POST", "/b/orders", nil, headerIdempotencyKey, other)
	require.Equal(t, 1, int(executions.Load()), readAll(t, resp))
	require.Eventually(t, func() bool { return claims.count() == 0 }, testTimeout, time.Millisecond)
	claims.set(func() { claims.responsesLost = false })
	require.Equal(t, "done", readAll(t, edge.request("POST", "/b/orders", nil, headerIdempotencyKey, key)))
}

// TestUnreachableUpstreamReleasesKey guards against a key that stays claimed although the request
// did not reach the upstream.
func TestUnreachableUpstreamReleasesKey(t *testing.T) {
	claims := newFakeClaims()
	edge, backs := startClaimNodes(t, claims, respondWith("done"))
	backs[0].upstream.Close()
	for range 2 { // the retry budget allows two retries at the start
		require.Equal(t, "done", readAll(t, edge.request("POST", "/b/orders", nil, headerIdempotencyKey, newKey(t))))
	}
	backs[1].upstream.Close()
	requireErrorResponse(t, edge.request("POST", "/b/orders", nil, headerIdempotencyKey, newKey(t)), 503, chain.NotRun, chain.ReasonConnect)
	require.Equal(t, 2, claims.count())
}

// TestClaimedRequestCompletesAfterClientCancels checks that a claimed request is not aborted when
// its client cancels: it completes and its response is stored.
func TestClaimedRequestCompletesAfterClientCancels(t *testing.T) {
	for name, size := range map[string]int{"small": 8, "streamed": -1} {
		t.Run(name, func(t *testing.T) {
			claims := newFakeClaims()
			entered, release := make(chan struct{}), make(chan struct{})
			edge, backs := startClaimNodes(t, claims, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if size < 0 {
					_, _ = io.WriteString(w, "the ")
					_ = http.NewResponseController(w).Flush()
				}
				close(entered)
				<-release
				_, _ = io.WriteString(w, "response")
			}))
			key := newKey(t)
			cancel := startCancellableRequest(t, edge, "POST", "/b/orders", "a job", headerIdempotencyKey, key)
			receive(t, entered)
			cancel()
			require.Eventually(t, func() bool { return edge.d.metrics.failedCount() == 1 }, testTimeout, time.Millisecond)
			backs[0].stop()
			backs[1].stop()
			close(release)
			require.Eventually(t, func() bool { return claims.stored(key) != nil }, testTimeout, time.Millisecond)
			require.True(t, strings.HasSuffix(string(claims.stored(key).GetBody()), "response"))
			require.NoError(t, backs[0].waitStopped())
			require.NoError(t, backs[1].waitStopped())
		})
	}
}

// failedCount returns the number of calls that did not end with outcome ok.
func (m *metrics) failedCount() (n int64) {
	m.callsFailed.Do(func(kv expvar.KeyValue) { n += kv.Value.(*expvar.Int).Value() })
	return n
}
