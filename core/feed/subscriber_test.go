package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSourceChoice guards against following a stale or silent source, and
// against a change of source on each recovery of a flapping one.
func TestSourceChoice(t *testing.T) {
	s := NewSubscriber(SubscriberConfig{Start: t0, Sources: []string{"a", "b"}, Relays: []string{"r"}})
	now := t0
	hear := func(name string, age time.Duration, version uint64) {
		s.UpdateReceived(now, name, SourceStatus{Version: version, Confirmed: true, Age: age, Bound: age})
	}
	expect := func(to string, reason SourceChangeReason) {
		t.Helper()
		choice, changed := s.SelectSource(now, 5)
		require.True(t, changed)
		require.Equal(t, to, choice.To)
		require.Equal(t, reason, choice.Reason)
	}
	keep := func() {
		t.Helper()
		_, changed := s.SelectSource(now, 5)
		require.False(t, changed)
	}
	keep()
	s.Connected(now, "a")
	s.Connected(now, "b")
	hear("a", 0, 5)
	hear("b", 0, 5)
	expect("a", SourceFirst)
	now = now.Add(MaxConfirmationAge + time.Millisecond)
	hear("b", 0, 5)
	expect("b", SourceStale) // a is silent
	hear("a", 0, 5)
	keep()
	for range 6 {
		now = now.Add(time.Second)
		hear("a", 0, 5)
		hear("b", 0, 5)
	}
	expect("a", SourcePreferred)
	s.Disconnected("a")
	expect("b", SourceLost)
	now = now.Add(time.Minute)
	s.Connected(now, "a")
	hear("b", time.Minute, 5)
	hear("a", time.Minute, 5)
	keep()
	hear("a", time.Minute, 6)
	expect("a", SourceNewer) // all are stale
	now = now.Add(StreamTimeout + time.Millisecond)
	require.Equal(t, []string{"a", "b"}, s.TimedOutSources(now))
}

// TestConfirmationFromBeforeTheStart guards against a start that is completed
// by a confirmation which was made before it, or was long in transit.
func TestConfirmationFromBeforeTheStart(t *testing.T) {
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
