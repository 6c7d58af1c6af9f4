package feed

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var t0 = time.Unix(5000, 0)

func member(id string, incarnation, sequence uint64, state State) *Member {
	return &Member{ID: id, Incarnation: incarnation, Sequence: sequence, Service: "s", State: state}
}

// TestLeaseExpiry guards against members that stay listed without renewal, and
// against a relay that expires all leases because its own process was paused.
func TestLeaseExpiry(t *testing.T) {
	l := NewLeases(t0)
	now := t0
	l.Announce(now, member("a", 1, 1, StateServing))
	l.Announce(now, member("b", 1, 1, StateServing))
	for range 31 { // only a renews its lease
		now = now.Add(100 * time.Millisecond)
		l.Announce(now, member("a", 1, 1, StateServing))
		if changes := l.Tick(now); len(changes) > 0 {
			require.Equal(t, []LeaseChange{{ID: "b", Expired: true}}, changes)
		}
	}
	require.Equal(t, 1, l.Len())
	now = now.Add(time.Minute)
	require.Empty(t, l.Tick(now), "the relay itself was paused")
	now = now.Add(PauseThreshold)
	require.Empty(t, l.Tick(now))
}

// TestAnnouncementOrder guards against a late announcement that replaces a newer
// one: a draining or deregistered upstream would receive requests again.
func TestAnnouncementOrder(t *testing.T) {
	l := NewLeases(t0)
	_, changed := l.Announce(t0, member("a", 2, 2, StateDraining))
	require.True(t, changed)
	for _, old := range []*Member{member("a", 2, 1, StateServing), member("a", 1, 9, StateServing)} {
		_, changed = l.Announce(t0, old)
		require.False(t, changed)
	}
	_, changed = l.Announce(t0, member("a", 2, 3, StateDeregistered))
	require.True(t, changed)
	_, changed = l.Announce(t0, member("a", 2, 2, StateDraining))
	require.False(t, changed)
	_, changed = l.Announce(t0, member("a", 3, 1, StateStarting))
	require.True(t, changed)
}

func states(m *MergedTable) map[string]State {
	s := map[string]State{}
	for id, e := range m.Table.Members() {
		s[id] = e.State
	}
	return s
}

func fullDelta(epoch uint64, members ...*Member) TableDelta {
	return TableDelta{Epoch: epoch, Revision: 1, Full: true, Changed: members}
}

// TestMergedTableUnion guards against removing a member that another relay still
// lists, and against an older state that replaces draining.
func TestMergedTableUnion(t *testing.T) {
	m := NewMergedTable(1)
	m.Apply(t0, "r1", fullDelta(10, member("a", 1, 1, StateServing), member("b", 1, 1, StateServing)), false, false)
	m.Apply(t0, "r2", fullDelta(20, member("a", 1, 2, StateDraining)), false, false)
	require.Equal(t, map[string]State{"a": StateDraining, "b": StateServing}, states(m))
	m.Apply(t0, "r1", TableDelta{Epoch: 10, Revision: 2, Removed: []string{"b"}}, false, false)
	m.Apply(t0, "r2", TableDelta{Epoch: 20, Revision: 2, Removed: []string{"a"}}, false, false)
	require.Empty(t, states(m), "r1 lists a as serving, but with an older announcement")
	_, ok := m.Apply(t0, "r1", TableDelta{Epoch: 11, Revision: 9}, false, false)
	require.False(t, ok, "a delta of another epoch")
	m.RemoveSource(t0, "r2")
	m.RemoveSource(t0, "r1")
	require.True(t, m.HasListings(), "the last table is kept")
}

// TestRestartedRelayRemovesNothing guards against removing members because a relay
// that has just restarted sends an empty table, and against retaining removed
// members after its table is complete.
func TestRestartedRelayRemovesNothing(t *testing.T) {
	for _, exclusive := range []bool{true, false} {
		m := NewMergedTable(1)
		m.Apply(t0, "r1", fullDelta(10, member("a", 1, 1, StateServing), member("b", 1, 1, StateServing)), false, exclusive)
		m.Apply(t0, "r1", fullDelta(11), true, exclusive)
		require.Len(t, states(m), 2)
		m.Apply(t0, "r1", TableDelta{Epoch: 11, Revision: 2, Changed: []*Member{member("a", 1, 2, StateDraining)}}, true, exclusive)
		m.Apply(t0, "r1", TableDelta{Epoch: 11, Revision: 3, Removed: []string{"a"}}, true, exclusive)
		require.Equal(t, map[string]State{"b": StateServing}, states(m))
		m.Apply(t0, "r1", TableDelta{Epoch: 11, Revision: 4, Changed: []*Member{member("c", 1, 1, StateServing)}}, false, exclusive)
		require.Equal(t, map[string]State{"c": StateServing}, states(m))
	}
}

// TestRelayRestartsTwice guards against losing, at the second restart of a relay, the
// members that joined between two restarts.
func TestRelayRestartsTwice(t *testing.T) {
	m := NewMergedTable(1)
	m.Apply(t0, "r1", fullDelta(10, member("a", 1, 1, StateServing)), true, false)
	m.Apply(t0, "r1", fullDelta(11, member("b", 1, 1, StateServing)), true, false)
	m.Apply(t0, "r1", fullDelta(12), true, false)
	require.Len(t, states(m), 2)
}

// TestTableCopyEqualsSource guards against a copy of a table that differs from its
// source, with random changes, differing relays and changes of relay.
func TestTableCopyEqualsSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sources := []*MergedTable{NewMergedTable(101), NewMergedTable(102)}
		copied := NewMergedTable(1)
		resumeStates := map[string]SyncState{}
		follow := func(i int) {
			name := fmt.Sprint("relay", i)
			d, ok := sources[i].Table.ChangesSince(resumeStates[name])
			if !ok {
				return
			}
			_, ok = copied.Apply(t0, name, d, false, true)
			require.True(t, ok)
			other := fmt.Sprint("relay", 1-i)
			resumeStates[other] = copied.ResumeState(other)
			resumeStates[name] = copied.ResumeState(name)
		}
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 1, 150).Draw(t, "steps")
		for n, s := range steps {
			id := fmt.Sprint("m", s%5)
			var e *Member
			if s%3 > 0 {
				e = member(id, 1, uint64(n+1), StateServing)
			}
			for i, src := range sources {
				if s < 80 || i == 0 {
					src.Set(t0, "self", id, e)
				}
			}
			if s%7 == 0 {
				follow(s % 2)
			}
		}
		follow(0)
		require.Equal(t, sources[0].Table.digest, copied.Table.digest)
		require.Equal(t, slices.Sorted(maps.Keys(sources[0].Table.entries)), slices.Sorted(maps.Keys(copied.Table.entries)))
	})
}

// TestTableLogIsBounded guards against a log that grows without limit, and against a
// delta from a revision that the log no longer covers.
func TestTableLogIsBounded(t *testing.T) {
	table := NewTable(7)
	first := table.SyncState()
	for i := range uint64(3 * maxTableLog) {
		table.Set("a", member("a", 1, i, StateServing))
	}
	require.LessOrEqual(t, len(table.log), maxTableLog)
	d, ok := table.ChangesSince(first)
	require.True(t, ok)
	require.True(t, d.Full)
	d, _ = table.ChangesSince(SyncState{Epoch: 99, Digest: table.digest})
	require.True(t, d.Same)
}
