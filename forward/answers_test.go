package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// TestOnlyWhatHasNotRunMayComeBack guards callers against a Retry-After that invites
// them to repeat what may have run.
func TestOnlyWhatHasNotRunMayComeBack(t *testing.T) {
	r := &request{}
	for _, c := range []struct {
		outcome chain.Outcome
		reason  chain.Reason
		status  int
		back    bool
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
		require.Equal(t, c.status, statusOf(res.failure), "%s %s", c.outcome, c.reason)
		after, ok := r.comeBack(res)
		require.Equal(t, c.back, ok, "%s %s", c.outcome, c.reason)
		require.Equal(t, ok, after > 0)
	}
}

// TestReturnIsSpread guards a service against the return of all callers at once that
// it refused together.
func TestReturnIsSpread(t *testing.T) {
	times := map[time.Duration]bool{}
	for sub := range chain.Default.MinPriority() {
		for _, class := range []chain.Class{chain.Sheddable, chain.Default, chain.Critical} {
			after := admission.RetryAfter(class.MinPriority() + sub)
			require.True(t, after >= time.Second && after < 2*time.Second, after)
			times[after] = true
		}
	}
	require.Len(t, times, int(chain.Default.MinPriority()))
}

// TestMetricsTellAnswers guards the counters and histograms that operators rely on.
func TestMetricsTellAnswers(t *testing.T) {
	f := newFleet(t, ordersTable(), newUpstream(t, "i-1", nil))
	resp, _ := f.send(0, sent{kind: routing.Idempotent})
	require.Equal(t, http.StatusOK, resp.StatusCode)
	f.daemons[0].DeregisterUpstream("i-1")
	resp, _ = f.send(0, sent{kind: routing.Idempotent})
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Eventually(t, func() bool {
		text := metricsOf(t, f.daemons[0])
		return strings.Contains(text, `bilberry_answers_total{outcome="ok",reason=""} 1`) &&
			strings.Contains(text, `bilberry_answers_total{outcome="not-run",reason="draining"} 1`) &&
			strings.Contains(text, "bilberry_request_seconds_count 2")
	}, patience, time.Millisecond, "%s", metricsOf(t, f.daemons[0]))
}

// TestClientMayLeaveWithItsAnswer guards the log and the metrics against a client that
// has its refusal and leaves at once: it was answered, it did not give up.
func TestClientMayLeaveWithItsAnswer(t *testing.T) {
	f := newFleet(t, ordersTable(), newUpstream(t, "i-1", nil))
	d := f.daemons[0]
	d.DeregisterUpstream("i-1")
	f.clockDelay.Store(int64(20 * time.Millisecond)) // the client has left by the time that the answer is recorded
	resp, _ := f.send(0, sent{kind: routing.Idempotent})
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Eventually(t, func() bool { return strings.Contains(metricsOf(t, d), "bilberry_request_seconds_count 1") }, patience, time.Millisecond)
	require.Contains(t, metricsOf(t, d), `bilberry_answers_total{outcome="not-run",reason="draining"} 1`)
}

func metricsOf(t *testing.T, d *Forwarder) string {
	var text strings.Builder
	require.NoError(t, d.WriteMetrics(&text))
	return text.String()
}
