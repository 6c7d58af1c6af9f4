package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSourceSelection guards against following a stale or unresponsive source, and
// against a change of source each time a flapping source recovers.
func TestSourceSelection(t *testing.T) {
	s := NewSubscriber(SubscriberConfig{Start: t0, Sources: []string{"a", "b"}, Relays: []string{"r"}})
	now := t0
	receive := func(name string, age time.Duration, version uint64) {
		s.UpdateReceived(now, name, SourceStatus{Version: version, Confirmed: true, Age: age, Bound: age})
	}
	expect := func(to string, reason SourceChangeReason) {
		t.Helper()
		change, changed := s.SelectSource(now, 5)
		require.True(t, changed)
		require.Equal(t, to, change.To)
		require.Equal(t, reason, change.Reason)
	}
	keep := func() {
		t.Helper()
		_, changed := s.SelectSource(now, 5)
		require.False(t, changed)
	}
	keep()
	s.Connected(now, "a")
	s.Connected(now, "b")
	receive("a", 0, 5)
	receive("b", 0, 5)
	expect("a", SourceFirst)
	now = now.Add(MaxConfirmationAge + time.Millisecond)
	receive("b", 0, 5)
	expect("b", SourceStale) // a sends no updates
	receive("a", 0, 5)
	keep()
	for range 6 {
		now = now.Add(time.Second)
		receive("a", 0, 5)
		receive("b", 0, 5)
	}
	expect("a", SourcePreferred)
	s.Disconnected("a")
	expect("b", SourceLost)
	now = now.Add(time.Minute)
	s.Connected(now, "a")
	receive("b", time.Minute, 5)
	receive("a", time.Minute, 5)
	keep()
	receive("a", time.Minute, 6)
	expect("a", SourceNewer) // all are stale
	now = now.Add(StreamTimeout + time.Millisecond)
	require.Equal(t, []string{"a", "b"}, s.TimedOutSources(now))
}

// TestConfirmationBeforeStartIsIgnored guards against completing a start with a
// confirmation that was made before it, even if that arrives late.
func TestConfirmationBeforeStartIsIgnored(t *testing.T) {
	s := NewSubscriber(SubscriberConfig{Start: t0, Sources: []string{"control"}, Relays: []string{"r"}, Relay: true})
	s.Connected(t0, "control")
	first := s.NextRequest(t0, "control")
	s.UpdateReceived(t0, "control", SourceStatus{Version: 3, Confirmed: true, ConfirmedVersion: 3})
	require.False(t, s.Started(3), "the update echoes no request")
	late := t0.Add(10 * time.Second)
	second := s.NextRequest(late, "control")
	s.UpdateReceived(late, "control", SourceStatus{Echo: first, Version: 3, Confirmed: true, ConfirmedVersion: 3, Bound: time.Millisecond})
	require.False(t, s.Started(3), "made before the start, however late it arrives")
	s.UpdateReceived(late, "control", SourceStatus{Echo: second, Version: 3, Confirmed: true, ConfirmedVersion: 4, Bound: time.Second})
	require.False(t, s.Started(3), "the confirmation covers a higher version")
	require.True(t, s.Started(4))
}
