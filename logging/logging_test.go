package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLinesAreKeyValue guards against values that break the key=value form or
// forge a second line.
func TestLinesAreKeyValue(t *testing.T) {
	var buf bytes.Buffer
	New(&buf).Info().Str("path", "/a b\nlevel=error").Int("n", 3).Msg("request refused")
	line := buf.String()
	require.Equal(t, 1, strings.Count(line, "\n"))
	require.Contains(t, line, `event="request refused"`)
	require.Contains(t, line, `path="/a b\nlevel=error"`)
	require.Contains(t, line, "n=3")
}

// blockingWriter holds the writer goroutine until it is released.
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

// TestDecisionsDropWhenFull guards against a slow log that blocks requests.
func TestDecisionsDropWhenFull(t *testing.T) {
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

// TestFailuresOutlastSuccesses guards explanations of failures under load: when
// the bounds are reached, successes are dropped first and failures last, and the
// numbers that are missing are told.
func TestFailuresOutlastSuccesses(t *testing.T) {
	w := &blockingWriter{entered: make(chan struct{}, 1), release: make(chan struct{})}
	d := NewDecisions(New(w), 100)
	d.Record(Decision{Event: "route"})
	<-w.entered
	for range 200 {
		d.Record(Decision{Event: "success", Outcome: "ok"})
	}
	for range 200 {
		d.Record(Decision{Event: "refusal", Outcome: "not-run"})
	}
	for range 200 {
		d.Record(Decision{Event: "failure", Outcome: "unknown"})
	}
	require.EqualValues(t, 500, d.Dropped())
	close(w.release)
	d.Close()
	out := w.buf.String()
	for event, want := range map[string]int{"success": 60, "refusal": 25, "failure": 15} {
		require.Equal(t, want, strings.Count(out, "event="+event), event)
	}
	require.Contains(t, out, `event="decisions not written" ordinary=140 refusals=175 failures=185`)
}

// TestLinesAreLimited guards the processor time of requests against their log.
func TestLinesAreLimited(t *testing.T) {
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

// TestProcessLogNeverBlocks guards a process whose output nobody reads.
func TestProcessLogNeverBlocks(t *testing.T) {
	w := &blockingWriter{entered: make(chan struct{}, 1), release: make(chan struct{})}
	l, flush := NewProcess(w)
	for range 3 * processQueue {
		l.Info().Msg("line")
	}
	close(w.release)
	flush()
	require.Positive(t, strings.Count(w.buf.String(), "event=line"))
}

// TestTimeLeftIsToldOnlyIfKnown guards readers of a request that was refused before
// its deadline was known.
func TestTimeLeftIsToldOnlyIfKnown(t *testing.T) {
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
