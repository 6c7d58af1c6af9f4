package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func explainText(t *testing.T, id string, logs map[string]string) (*Trace, string) {
	var list []Log
	for _, name := range []string{"ingress", "peer", "other"} {
		if text, ok := logs[name]; ok {
			list = append(list, Log{name, strings.NewReader(text)})
		}
	}
	trace, err := Explain(id, list)
	require.NoError(t, err)
	var b strings.Builder
	require.NoError(t, trace.Print(&b))
	return trace, b.String()
}

const rejectedIngress = `time=2026-01-02T10:00:00.000Z level=info event=received request=r1 service=customers route=history priority=40 depth=0 remaining_ms=5000 elapsed_us=20
time=2026-01-02T10:00:00.001Z level=info event=route request=r1 service=customers route=history upstream=i-7 tier=availability-zone usable=1 priority=40 depth=0 load=11/11+30@100 load_age_ms=40 remaining_ms=4999 elapsed_us=90
time=2026-01-02T10:00:00.004Z level=info event=answer request=r1 service=customers route=history upstream=i-7 attempt=1 priority=40 depth=0 outcome=not-run reason=overload status=503 remaining_ms=4996 elapsed_us=4100
time=2026-01-02T10:00:00.005Z level=info event=answer request=r10 service=customers outcome=ok status=200
`

const rejectedPeer = `time=2026-01-02T10:00:00.002Z level=info event=refuse request=r1 service=customers route=history upstream=i-7 attempt=1 priority=40 depth=0 load=11/11+30@100 load_age_ms=0 outcome=not-run reason=overload remaining_ms=4998 elapsed_us=0
`

// TestRejectionAtAnotherVM guards against an explanation that misses a rejection in the log of
// another VM.
func TestRejectionAtAnotherVM(t *testing.T) {
	trace, text := explainText(t, "r1", map[string]string{"ingress": rejectedIngress, "peer": rejectedPeer})
	require.Len(t, trace.Lines, 4, "a request whose id only begins with r1 is another one")
	require.Less(t, strings.Index(text, "refuse"), strings.Index(text, "answer"))
	require.Contains(t, trace.Causes[0], "no upstream that was tried had capacity")
	require.Contains(t, strings.Join(trace.Causes, "\n"), "the admission controller at peer rejected it: overload, load 11/11+30@100")
}

// TestLostResponse guards against an explanation of an unknown outcome that does not name the
// failure of the upstream in the log of the upstream's daemon.
func TestLostResponse(t *testing.T) {
	trace, text := explainText(t, "r2", map[string]string{
		"ingress": `time=2026-01-02T10:00:00.000Z level=info event=received request=r2 service=orders
time=2026-01-02T10:00:00.500Z level=info event=answer request=r2 service=orders outcome=unknown reason=upstream-error status=502 elapsed_us=500000
`,
		"peer": `time=2026-01-02T09:59:50.000Z level=warn event="upstream lost" upstream=i-1
time=2026-01-02T10:00:00.100Z level=info event=admit request=r2 service=orders upstream=i-9
time=2026-01-02T10:00:00.400Z level=warn event="upstream lost" upstream=i-9 error="connection refused"
time=2026-01-02T10:00:00.450Z level=info event=ran request=r2 service=orders upstream=i-9 outcome=unknown reason=upstream-error elapsed_us=350000
`})
	require.Contains(t, trace.Causes[0], "it may have been executed")
	all := strings.Join(trace.Causes, "\n")
	require.Contains(t, all, "around that time at peer: upstream lost")
	require.Contains(t, text, "error=connection refused")
	require.NotContains(t, text, "upstream=i-1 ", "an event long before the request is not related to it")
}

// TestDownstreamCalls guards against an explanation that misses a failed downstream call.
func TestDownstreamCalls(t *testing.T) {
	trace, _ := explainText(t, "p", map[string]string{"ingress": `time=2026-01-02T10:00:00.000Z level=info event=received request=p service=rounds
time=2026-01-02T10:00:00.300Z level=info event=answer request=p.c1 service=bookings outcome=not-run reason=overload status=503
time=2026-01-02T10:00:00.301Z level=info event=route request=p.c2 service=bookings
time=2026-01-02T10:00:00.400Z level=info event=answer request=p service=rounds outcome=failed reason=handler-error status=500 elapsed_us=400000
`})
	require.Contains(t, strings.Join(trace.Causes, "\n"), "a downstream call to service bookings ended with outcome not-run (overload)")
	require.Len(t, trace.DownstreamCalls, 1)
}

// TestDeepestFailureIsTheCause guards against naming the failure of a caller as the cause: a
// failure at the end of a call chain makes each service above it fail, too.
func TestDeepestFailureIsTheCause(t *testing.T) {
	trace, _ := explainText(t, "p", map[string]string{"ingress": `time=2026-01-02T10:00:00.000Z level=info event=received request=p service=rounds
time=2026-01-02T10:00:00.200Z level=info event=answer request=p.c1.d1 service=stock outcome=ok status=200
time=2026-01-02T10:00:00.300Z level=info event=answer request=p.c1.d2 service=stock outcome=not-run reason=overload status=503 elapsed_us=900
time=2026-01-02T10:00:00.301Z level=info event=answer request=p.c1 service=bookings outcome=failed reason=handler-error status=500
time=2026-01-02T10:00:00.400Z level=info event=answer request=p service=rounds outcome=failed reason=handler-error status=500 elapsed_us=400000
`})
	require.Contains(t, trace.Causes[1], "the failure began with a call to service stock: rejected, not executed: no upstream that was tried had capacity")
}

// TestMissingLinesAreReported guards against an explanation that does not say that logs are
// incomplete or that lines were dropped.
func TestMissingLinesAreReported(t *testing.T) {
	trace, _ := explainText(t, "r3", map[string]string{"ingress": `time=2026-01-02T10:00:00.000Z level=info event=received request=r3 service=orders
time=2026-01-02T10:00:00.100Z level=warn event="decisions not written" ordinary=7 refusals=0 failures=0
time=2026-01-02T10:00:00.200Z level=info event=route request=r3 service=orders
time=2026-01-02T10:00:00.300Z level=info event=answer request=r3 outcome="un
`})
	all := strings.Join(trace.Causes, "\n")
	require.Contains(t, all, `the last line is "route"`)
	require.Contains(t, all, "lines are missing at ingress: failures=0 ordinary=7")
	require.Contains(t, all, "1 lines of the logs could not be read")
	unknown, text := explainText(t, "r9", map[string]string{"ingress": rejectedIngress})
	require.Contains(t, unknown.Causes[0], "unknown")
	require.Contains(t, text, "no log contains a line of request r9")
}

// TestSourceBeforeTime guards against lines of several VMs in one file whose prefix, the name of
// the VM, is not parsed as their source.
func TestSourceBeforeTime(t *testing.T) {
	trace, _ := explainText(t, "r1", map[string]string{"other": "  12.5 vm-cardiff-1 " + strings.ReplaceAll(strings.TrimSpace(rejectedIngress), "\n", "\n  12.6 vm-cardiff-1 ")})
	require.Equal(t, "vm-cardiff-1", trace.Lines[0].Source)
	require.Zero(t, trace.Unreadable)
}

// TestCallsAreFoundByParent guards against an explanation that misses downstream calls whose ids
// do not contain that of the request: daemons log the parent request of a call.
func TestCallsAreFoundByParent(t *testing.T) {
	trace, text := explainText(t, "r7", map[string]string{
		"ingress": `time=2026-01-02T10:00:00.000Z level=info event=received request=r7 service=orders
time=2026-01-02T10:00:00.900Z level=info event=answer request=r7 service=orders outcome=failed reason=handler-error status=500 elapsed_us=900000
`,
		"peer": `time=2026-01-02T10:00:00.100Z level=info event=received request=c1 parent=r7 service=scans
time=2026-01-02T10:00:00.800Z level=info event=answer request=c1 service=scans outcome=failed reason=handler-error status=500 elapsed_us=700000
time=2026-01-02T10:00:00.800Z level=info event=answer request=c9 service=other outcome=not-run reason=connect status=503
`,
		"other": `time=2026-01-02T10:00:00.300Z level=info event=received request=c2 parent=c1 service=workshops
time=2026-01-02T10:00:00.700Z level=info event=answer request=c2 service=workshops outcome=not-run reason=overload status=503 elapsed_us=400000
`})
	require.Len(t, trace.DownstreamCalls, 2)
	require.Contains(t, strings.Join(trace.Causes, "\n"), "the failure began with a call to service workshops")
	require.NotContains(t, text, "c9")
}
