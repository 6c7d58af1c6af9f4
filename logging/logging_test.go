package logging

import (
	"bytes"
	"strings"
	"testing"

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
