package logging

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestKeyValueLines guards against values that break the key=value format or insert a second
// line.
func TestKeyValueLines(t *testing.T) {
	var buf bytes.Buffer
	New(&buf).Info().Str("path", "/a b\nlevel=error").Int("n", 3).Msg("request refused")
	line := buf.String()
	require.Equal(t, 1, strings.Count(line, "\n"))
	require.Contains(t, line, `event="request refused"`)
	require.Contains(t, line, `path="/a b\nlevel=error"`)
	require.Contains(t, line, "n=3")
}

// blockingWriter blocks each Write until release is closed.
type blockingWriter struct {
	entered chan struct{}
	release chan struct{}
	buf     bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	select {
	case w.entered <- struct{}{}:
	default:
	}
	<-w.release
	return w.buf.Write(p)
}

// TestFullQueueDropsDecisions guards against a slow output of the log that blocks requests.
func TestFullQueueDropsDecisions(t *testing.T) {
	w := &blockingWriter{entered: make(chan struct{}, 1), release: make(chan struct{})}
	d := NewDecisions(New(w), 2)
	d.Record(Decision{Event: "route", RequestID: "first"})
	<-w.entered
	for range 5 {
		d.Record(Decision{Event: "route", RequestID: "later"})
	}
	require.EqualValues(t, 3, d.Dropped())
	close(w.release)
	d.Close()
	require.Equal(t, 3, strings.Count(w.buf.String(), "event=route"))
}

// TestOrdinaryDecisionsAreDroppedFirst guards against the loss of decisions on failed requests
// under load: when the bounds are reached, ordinary decisions are dropped first and failures
// last, and the numbers of dropped decisions are logged.
func TestOrdinaryDecisionsAreDroppedFirst(t *testing.T) {
	w := &blockingWriter{entered: make(chan struct{}, 1), release: make(chan struct{})}
	d := NewDecisions(New(w), 100)
	d.Record(Decision{Event: "route"})
	<-w.entered
	for range 200 {
		d.Record(Decision{Event: "success", Outcome: "ok"})
	}
	for range 200 {
		d.Record(Decision{Event: "rejection", Outcome: "not-run"})
	}
	for range 200 {
		d.Record(Decision{Event: "failure", Outcome: "unknown"})
	}
	require.EqualValues(t, 500, d.Dropped())
	close(w.release)
	d.Close()
	out := w.buf.String()
	for event, want := range map[string]int{"success": 60, "rejection": 25, "failure": 15} {
		require.Equal(t, want, strings.Count(out, "event="+event), event)
	}
	require.Contains(t, out, `event="decisions not written" ordinary=140 refusals=175 failures=185`)
}

// TestLineRateIsLimited guards against a decision log that takes the CPU time of requests.
func TestLineRateIsLimited(t *testing.T) {
	var buf bytes.Buffer
	d := NewDecisions(New(&buf), 100_000)
	for range 50_000 {
		d.Record(Decision{Event: "success", Outcome: "ok"})
	}
	require.Eventually(t, func() bool { return len(d.queue) == 0 }, time.Minute, time.Millisecond)
	d.Close()
	written := strings.Count(buf.String(), "event=success")
	require.Positive(t, written)
	require.EqualValues(t, 50_000-written, d.Dropped())
}

// TestProcessLogNeverBlocks guards against a process that blocks because its output is not read.
func TestProcessLogNeverBlocks(t *testing.T) {
	w := &blockingWriter{entered: make(chan struct{}, 1), release: make(chan struct{})}
	l, flush := NewProcess(w)
	for range 3 * processQueueSize {
		l.Info().Msg("line")
	}
	close(w.release)
	flush()
	require.Positive(t, strings.Count(w.buf.String(), "event=line"))
}

// TestCloseDoesNotBlock guards against a process that cannot exit because its output is not read.
func TestCloseDoesNotBlock(t *testing.T) {
	w := &blockingWriter{entered: make(chan struct{}, 1), release: make(chan struct{})}
	defer close(w.release)
	d := NewDecisions(New(w), 10)
	d.Record(Decision{Event: "route"})
	<-w.entered
	d.Close()
}

// TestRemainingTimeOnlyWithDeadline guards against a remaining time in the line of a request that
// was rejected before its deadline was known.
func TestRemainingTimeOnlyWithDeadline(t *testing.T) {
	var buf bytes.Buffer
	d := NewDecisions(New(&buf), 10)
	d.Record(Decision{Event: "answer", RequestID: "without", Remaining: NoDeadline})
	d.Record(Decision{Event: "answer", RequestID: "with", Remaining: 7 * time.Millisecond})
	d.Close()
	lines := strings.Split(strings.TrimSpace(buf.String()), "\n")
	require.Len(t, lines, 2)
	require.NotContains(t, lines[0], "remaining_ms")
	require.Contains(t, lines[1], "remaining_ms=7 ")
}

// TestDecisionLineFormat guards against changes of the fields of the decision log and of their
// order, which package explain and other readers parse, and against unquoted values.
func TestDecisionLineFormat(t *testing.T) {
	now := time.Date(2026, 12, 4, 14, 0, 0, 5e6, time.UTC)
	full := Decision{
		Event: "route", RequestID: "a b=\n", Service: "orders", Route: "r1", Upstream: "i-1", Outcome: "not-run", Reason: "overload", Attempt: 2,
		Priority: 300, Depth: 1, Status: 503, Configuration: 7, Tier: "region", Usable: 3, RejectRatio: 0.25, Remaining: 1500 * time.Millisecond,
		Load: Load{Known: true, Level: 128, Limit: 11, InFlight: 7, Queued: 3, Age: 40 * time.Millisecond}, Elapsed: 3 * time.Millisecond,
		recordedAt: now,
	}
	require.Equal(t, `time=2026-12-04T14:00:00.005Z level=info event=route request="a b=\n" service=orders route=r1 configuration=7 upstream=i-1 `+
		`tier=region usable=3 attempt=2 priority=300 depth=1 load=7/11+3@128 load_age_ms=40 refused_part=0.25 outcome=not-run reason=overload `+
		"status=503 remaining_ms=1500 elapsed_us=3000\n", string(full.appendLine(nil)))
	bare := Decision{Event: "received", Remaining: NoDeadline, recordedAt: now}
	require.Equal(t, `time=2026-12-04T14:00:00.005Z level=info event=received request="" service="" route="" priority=0 depth=0 elapsed_us=0`+"\n",
		string(bare.appendLine(nil)))
}

// TestValueFormat guards against values that the conversion to key=value changes.
func TestValueFormat(t *testing.T) {
	var buf bytes.Buffer
	l := New(&buf)
	l.Warn().Str("empty", "").Str("quoted", `a "b" \c`).Str("high", "é").Strs("list", []string{"x,y", "]"}).
		Float64("part", 0.25).Bool("main", true).Err(errors.New("broke: \t")).Dur("took", 1500*time.Millisecond).Msg("all = here")
	_, line, _ := strings.Cut(buf.String(), " ")
	require.Equal(t, `level=warn event="all = here" empty="" quoted="a \"b\" \\c" high="é" list="[\"x,y\",\"]\"]" `+
		`part=0.25 main=true error="broke: \t" took=1500`+"\n", line)
}

// countingWriter counts calls of Write and lines.
type countingWriter struct {
	calls, lines int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.calls++
	w.lines += bytes.Count(p, []byte("\n"))
	return len(p), nil
}

// TestLinesCarryTimeOfDecision guards against lines with the time of the write instead of the time
// of the decision, which would be ordered wrongly among the lines of other logs.
func TestLinesCarryTimeOfDecision(t *testing.T) {
	var buf bytes.Buffer
	d := &Decisions{logger: New(&buf), output: &buf, queue: make(chan Decision, 1)}
	d.Record(Decision{Event: "route"})
	recorded := time.Now()
	time.Sleep(5 * time.Millisecond)
	d.drain(d.appendDecision)
	stamp, _, _ := strings.Cut(strings.TrimPrefix(buf.String(), "time="), " ")
	at, err := time.Parse(timeFormat, stamp)
	require.NoError(t, err)
	require.False(t, at.After(recorded))
}

// TestQueuedDecisionsAreBatched guards against one write call per line, which costs more CPU time
// than the formatting of the line.
func TestQueuedDecisionsAreBatched(t *testing.T) {
	w := &countingWriter{}
	d := &Decisions{logger: New(w), output: w, queue: make(chan Decision, 100), stop: make(chan struct{}), stopped: make(chan struct{})}
	for range 20 {
		d.Record(Decision{Event: "route"})
	}
	go d.run()
	d.Close()
	require.Equal(t, 20, w.lines)
	require.LessOrEqual(t, w.calls, 2)
}
