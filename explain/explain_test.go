package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func explainText(t *testing.T, id string, logs map[string]string) (*Trace, string) {
	var list []Log
	for _, name := range []string{"entrance", "gate", "other"} {
		if text, ok := logs[name]; ok {
			list = append(list, Log{name, strings.NewReader(text)})
		}
	}
	s, err := Explain(id, list)
	require.NoError(t, err)
	var b strings.Builder
	require.NoError(t, s.Print(&b))
	return s, b.String()
}

const refusedEntrance = `time=2026-01-02T10:00:00.000Z level=info event=received request=r1 service=customers route=history priority=40 depth=0 remaining_ms=5000 elapsed_us=20
time=2026-01-02T10:00:00.001Z level=info event=route request=r1 service=customers route=history upstream=i-7 tier=availability-zone usable=1 priority=40 depth=0 load=11/11+30@100 load_age_ms=40 remaining_ms=4999 elapsed_us=90
time=2026-01-02T10:00:00.004Z level=info event=answer request=r1 service=customers route=history upstream=i-7 attempt=1 priority=40 depth=0 outcome=not-run reason=overload status=503 remaining_ms=4996 elapsed_us=4100
time=2026-01-02T10:00:00.005Z level=info event=answer request=r10 service=customers outcome=ok status=200
`

const refusedGate = `time=2026-01-02T10:00:00.002Z level=info event=refuse request=r1 service=customers route=history upstream=i-7 attempt=1 priority=40 depth=0 load=11/11+30@100 load_age_ms=0 outcome=not-run reason=overload remaining_ms=4998 elapsed_us=0
`

// TestRefusalAcrossTwoVMs guards the way from an id to a refusal at another VM.
func TestRefusalAcrossTwoVMs(t *testing.T) {
	s, text := explainText(t, "r1", map[string]string{"entrance": refusedEntrance, "gate": refusedGate})
	require.Len(t, s.Lines, 4, "another request whose id begins alike is not it")
	require.Less(t, strings.Index(text, "refuse"), strings.Index(text, "answer"))
	require.Contains(t, s.Causes[0], "no upstream that was asked had room")
	require.Contains(t, strings.Join(s.Causes, "\n"), "the gate at gate refused it: overload, load 11/11+30@100")
}

// TestLostAnswer guards a request whose upstream died: its outcome is unknown,
// and what was seen at the gate says why.
func TestLostAnswer(t *testing.T) {
	s, text := explainText(t, "r2", map[string]string{
		"entrance": `time=2026-01-02T10:00:00.000Z level=info event=received request=r2 service=orders
time=2026-01-02T10:00:00.500Z level=info event=answer request=r2 service=orders outcome=unknown reason=upstream-error status=502 elapsed_us=500000
`,
		"gate": `time=2026-01-02T09:59:50.000Z level=warn event="upstream lost" upstream=i-1
time=2026-01-02T10:00:00.100Z level=info event=admit request=r2 service=orders upstream=i-9
time=2026-01-02T10:00:00.400Z level=warn event="upstream lost" upstream=i-9 error="connection refused"
time=2026-01-02T10:00:00.450Z level=info event=ran request=r2 service=orders upstream=i-9 outcome=unknown reason=upstream-error elapsed_us=350000
`})
	require.Contains(t, s.Causes[0], "it may have run")
	all := strings.Join(s.Causes, "\n")
	require.Contains(t, all, "meanwhile at gate: upstream lost")
	require.Contains(t, text, "error=connection refused")
	require.NotContains(t, text, "upstream=i-1 ", "what happened long before explains nothing")
}

// TestCallsBelow guards the way down a call chain.
func TestCallsBelow(t *testing.T) {
	s, _ := explainText(t, "p", map[string]string{"entrance": `time=2026-01-02T10:00:00.000Z level=info event=received request=p service=rounds
time=2026-01-02T10:00:00.300Z level=info event=answer request=p.c1 service=bookings outcome=not-run reason=overload status=503
time=2026-01-02T10:00:00.301Z level=info event=route request=p.c2 service=bookings
time=2026-01-02T10:00:00.400Z level=info event=answer request=p service=rounds outcome=failed reason=handler-error status=500 elapsed_us=400000
`})
	require.Contains(t, strings.Join(s.Causes, "\n"), "a call below it to service bookings ended as not-run (overload)")
	require.Len(t, s.Below, 1)
}

// TestDeepestFailureIsTheCause guards the reader of a failure that went up a chain:
// each service above reports a failure of its own.
func TestDeepestFailureIsTheCause(t *testing.T) {
	s, _ := explainText(t, "p", map[string]string{"entrance": `time=2026-01-02T10:00:00.000Z level=info event=received request=p service=rounds
time=2026-01-02T10:00:00.200Z level=info event=answer request=p.c1.d1 service=stock outcome=ok status=200
time=2026-01-02T10:00:00.300Z level=info event=answer request=p.c1.d2 service=stock outcome=not-run reason=overload status=503 elapsed_us=900
time=2026-01-02T10:00:00.301Z level=info event=answer request=p.c1 service=bookings outcome=failed reason=handler-error status=500
time=2026-01-02T10:00:00.400Z level=info event=answer request=p service=rounds outcome=failed reason=handler-error status=500 elapsed_us=400000
`})
	require.Contains(t, s.Causes[1], "it began with a call to service stock: refused, not run: no upstream that was asked had room")
}

// TestMissingLinesAreSaid guards against a cause that is guessed where the logs
// are cut or lines were dropped.
func TestMissingLinesAreSaid(t *testing.T) {
	s, _ := explainText(t, "r3", map[string]string{"entrance": `time=2026-01-02T10:00:00.000Z level=info event=received request=r3 service=orders
time=2026-01-02T10:00:00.100Z level=warn event="decisions not written" ordinary=7 refusals=0 failures=0
time=2026-01-02T10:00:00.200Z level=info event=route request=r3 service=orders
time=2026-01-02T10:00:00.300Z level=info event=answer request=r3 outcome="un
`})
	all := strings.Join(s.Causes, "\n")
	require.Contains(t, all, `the last line is "route"`)
	require.Contains(t, all, "lines are missing at entrance: failures=0 ordinary=7")
	require.Contains(t, all, "1 lines of the logs could not be read")
	nothing, text := explainText(t, "r9", map[string]string{"entrance": refusedEntrance})
	require.Contains(t, nothing.Causes[0], "unknown")
	require.Contains(t, text, "no line names request r9")
}

// TestSourceBeforeTheLine guards logs of several VMs in one file.
func TestSourceBeforeTheLine(t *testing.T) {
	s, _ := explainText(t, "r1", map[string]string{"other": "  12.5 vm-cardiff-1 " + strings.ReplaceAll(strings.TrimSpace(refusedEntrance), "\n", "\n  12.6 vm-cardiff-1 ")})
	require.Equal(t, "vm-cardiff-1", s.Lines[0].Source)
	require.Zero(t, s.Unreadable)
}

// TestCallsAreFoundByTheirParents guards the way to the cause of a failure where ids do
// not tell which calls belong to a request: daemons name the request that they take a call
// to come from.
func TestCallsAreFoundByTheirParents(t *testing.T) {
	s, text := explainText(t, "r7", map[string]string{
		"entrance": `time=2026-01-02T10:00:00.000Z level=info event=received request=r7 service=orders
time=2026-01-02T10:00:00.900Z level=info event=answer request=r7 service=orders outcome=failed reason=handler-error status=500 elapsed_us=900000
`,
		"gate": `time=2026-01-02T10:00:00.100Z level=info event=received request=c1 parent=r7 service=scans
time=2026-01-02T10:00:00.800Z level=info event=answer request=c1 service=scans outcome=failed reason=handler-error status=500 elapsed_us=700000
time=2026-01-02T10:00:00.800Z level=info event=answer request=c9 service=other outcome=not-run reason=connect status=503
`,
		"other": `time=2026-01-02T10:00:00.300Z level=info event=received request=c2 parent=c1 service=workshops
time=2026-01-02T10:00:00.700Z level=info event=answer request=c2 service=workshops outcome=not-run reason=overload status=503 elapsed_us=400000
`})
	require.Len(t, s.Below, 2)
	require.Contains(t, strings.Join(s.Causes, "\n"), "it began with a call to service workshops")
	require.NotContains(t, text, "c9")
}
