package forward

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// TestRetryAfterOnlyIfNotExecuted checks that a response has no Retry-After if the request may
// have been executed, since clients would execute it twice.
func TestRetryAfterOnlyIfNotExecuted(t *testing.T) {
	r := &request{}
	for _, c := range []struct {
		outcome   chain.Outcome
		reason    chain.Reason
		status    int
		retryable bool
	}{
		{chain.NotRun, chain.ReasonOverload, http.StatusServiceUnavailable, true},
		{chain.NotRun, chain.ReasonDownstream, http.StatusServiceUnavailable, true},
		{chain.NotRun, chain.ReasonDraining, http.StatusServiceUnavailable, true},
		{chain.NotRun, chain.ReasonUnknownRoute, http.StatusNotFound, false},
		{chain.Unknown, chain.ReasonUpstreamError, http.StatusBadGateway, false},
		{chain.Unknown, chain.ReasonOverload, http.StatusBadGateway, false},
		{chain.Unknown, chain.ReasonDeadline, http.StatusGatewayTimeout, false},
	} {
		res := &result{failure: chain.NewFailure(c.outcome, c.reason, "")}
		require.Equal(t, c.status, httpStatus(res.failure), "%s %s", c.outcome, c.reason)
		after, ok := r.retryAfter(res)
		require.Equal(t, c.retryable, ok, "%s %s", c.outcome, c.reason)
		require.Equal(t, ok, after > 0)
	}
}

// TestRetryAfterIsSpread checks that clients rejected at the same time do not all retry at the
// same time.
func TestRetryAfterIsSpread(t *testing.T) {
	values := map[time.Duration]bool{}
	for sub := range chain.Default.MinPriority() {
		for _, class := range []chain.Class{chain.Sheddable, chain.Default, chain.Critical} {
			after := admission.RetryAfter(class.MinPriority() + sub)
			require.True(t, after >= time.Second && after < 2*time.Second, after)
			values[after] = true
		}
	}
	require.Len(t, values, int(chain.Default.MinPriority()))
}

// TestMetricsCountResponses checks the counters and histograms of responses.
func TestMetricsCountResponses(t *testing.T) {
	f := newTestFleet(t, ordersTable(), newFakeUpstream(t, "i-1", nil))
	resp, _ := f.send(0, testRequest{kind: routing.Idempotent})
	require.Equal(t, http.StatusOK, resp.StatusCode)
	f.daemons[0].DeregisterUpstream("i-1")
	resp, _ = f.send(0, testRequest{kind: routing.Idempotent})
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Eventually(t, func() bool {
		text := metricsText(t, f.daemons[0])
		return strings.Contains(text, `bilberry_answers_total{outcome="ok",reason=""} 1`) &&
			strings.Contains(text, `bilberry_answers_total{outcome="not-run",reason="draining"} 1`) &&
			strings.Contains(text, "bilberry_request_seconds_count 2")
	}, testTimeout, time.Millisecond, "%s", metricsText(t, f.daemons[0]))
}

// TestDisconnectAfterResponseIsNotCancelled checks the log and the metrics for a client that
// closes the connection as soon as it has a rejection: the request was not cancelled.
func TestDisconnectAfterResponseIsNotCancelled(t *testing.T) {
	f := newTestFleet(t, ordersTable(), newFakeUpstream(t, "i-1", nil))
	d := f.daemons[0]
	d.DeregisterUpstream("i-1")
	f.clockDelay.Store(int64(20 * time.Millisecond)) // the client has disconnected when the response is recorded
	resp, _ := f.send(0, testRequest{kind: routing.Idempotent})
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Eventually(t, func() bool { return strings.Contains(metricsText(t, d), "bilberry_request_seconds_count 1") }, testTimeout, time.Millisecond)
	require.Contains(t, metricsText(t, d), `bilberry_answers_total{outcome="not-run",reason="draining"} 1`)
}

func metricsText(t *testing.T, d *Forwarder) string {
	var text strings.Builder
	require.NoError(t, d.WriteMetrics(&text))
	return text.String()
}

// TestResponseWithoutBody checks that a response without a body is complete although its head states
// the length that the body of another method would have.
func TestResponseWithoutBody(t *testing.T) {
	u := newFakeUpstream(t, "i-1", func(req *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+req.Header.Get("X-Id")+"\r\nContent-Length: 1000\r\n\r\n") // the daemon may have disconnected
	})
	f := newTestFleet(t, ordersTable(), u, newFakeUpstream(t, "i-2", nil))
	f.daemons[1].DeregisterUpstream("i-2")
	for daemon := range f.daemons {
		resp, body := f.send(daemon, testRequest{kind: routing.Idempotent, method: http.MethodHead})
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Empty(t, body)
	}
}
