package feed

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func doc(service, json string) Document { return Document{Service: service, JSON: []byte(json)} }

// TestStoreRejectsLowerVersionsAndGaps guards against applying a delta that ends at
// an older version or that does not follow the local one.
func TestStoreRejectsLowerVersionsAndGaps(t *testing.T) {
	var s DocumentStore
	require.NoError(t, s.Apply(Delta{To: 5, Changed: []Document{doc("a", "5")}}))
	var gap *VersionGapError
	require.ErrorAs(t, s.Apply(Delta{To: 4}), &gap)
	require.ErrorAs(t, s.Apply(Delta{From: 6, To: 7}), &gap)
	require.ErrorAs(t, s.Apply(Delta{From: 3, To: 4}), &gap)
	require.Equal(t, uint64(5), s.Version())
	require.NoError(t, s.Apply(Delta{From: 5, To: 6, Removed: []string{"a"}}))
	require.Equal(t, Delta{From: 5, To: 6, Removed: []string{"a"}}, s.ChangesSince(5, nil))
}

// TestStoreCompaction guards against a delta that lacks a removal whose tombstone
// was deleted: the subscriber must receive a full copy instead.
func TestStoreCompaction(t *testing.T) {
	var s DocumentStore
	require.NoError(t, s.Apply(Delta{To: 1, Changed: []Document{doc("kept", "1")}}))
	for i := range uint64(2 * (maxTombstones + 1)) {
		v := s.Version()
		name := fmt.Sprintf("s%d", i/2)
		d := Delta{From: v, To: v + 1, Changed: []Document{doc(name, "x")}}
		if i%2 == 1 {
			d.Changed, d.Removed = nil, []string{name}
		}
		require.NoError(t, s.Apply(d))
	}
	require.LessOrEqual(t, len(s.tombstones), maxTombstones)
	require.Zero(t, s.ChangesSince(2, nil).From, "an old version gets a full copy")
	require.Len(t, s.ChangesSince(2, nil).Changed, 1)
	require.NotZero(t, s.ChangesSince(s.Version()-2, nil).From)
}

// TestDeltasReproduceDocuments guards against a relay or daemon whose documents
// differ from those of its source, with random changes, skipped versions, filters,
// activations and merged deltas.
func TestDeltasReproduceDocuments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		var source, relay DocumentStore
		var daemon StagedConfig
		filter := map[string]bool{"a": true, "b": true}
		require.NoError(t, source.Apply(Delta{To: 1}))
		steps := rapid.SliceOfN(rapid.IntRange(0, 63), 1, 200).Draw(t, "steps")
		for _, n := range steps {
			v := source.Version()
			name := names[n%4]
			switch (n / 4) % 5 {
			case 0, 1:
				require.NoError(t, source.Apply(Delta{From: v, To: v + 1, Changed: []Document{doc(name, fmt.Sprint(v))}}))
			case 2:
				require.NoError(t, source.Apply(Delta{From: v, To: v + 1, Removed: []string{name}}))
			case 3:
				require.NoError(t, relay.Apply(source.ChangesSince(relay.Version(), nil)))
			case 4:
				require.NoError(t, daemon.Add(relay.ChangesSince(daemon.NewestReceived(), filter)))
				versions := daemon.Versions()
				daemon.Activate(versions[n%len(versions)])
			}
		}
		require.NoError(t, relay.Apply(source.ChangesSince(relay.Version(), nil)))
		require.Equal(t, documentsOf(source.ChangesSince(0, nil)), documentsOf(relay.ChangesSince(0, nil)))
		require.NoError(t, daemon.Add(relay.ChangesSince(daemon.NewestReceived(), filter)))
		daemon.Activate(daemon.NewestReceived())
		_, documents, _ := daemon.Active()
		want := documentsOf(source.ChangesSince(0, filter))
		require.Equal(t, want, toStrings(documents))
	})
}

// TestStagedConfigMergesDeltas guards against an unbounded number of staged deltas
// and against wrong merges, while no version can be activated.
func TestStagedConfigMergesDeltas(t *testing.T) {
	var s StagedConfig
	require.NoError(t, s.Add(Delta{To: 1, Changed: []Document{doc("a", "1"), doc("b", "1")}}))
	s.Activate(1)
	for v := uint64(1); v < 5*maxStaged; v++ {
		require.NoError(t, s.Add(Delta{From: v, To: v + 1, Changed: []Document{doc("a", fmt.Sprint(v+1))}, Removed: []string{"b"}}))
	}
	require.LessOrEqual(t, len(s.pending), maxStaged)
	s.Activate(s.NewestReceived())
	version, documents, ok := s.Active()
	require.True(t, ok)
	require.Equal(t, map[string]string{"a": fmt.Sprint(version)}, toStrings(documents))
}

func documentsOf(d Delta) map[string]string {
	m := map[string]string{}
	for _, doc := range d.Changed {
		m[doc.Service] = string(doc.JSON)
	}
	return m
}

func toStrings(documents map[string][]byte) map[string]string {
	m := map[string]string{}
	for _, name := range slices.Collect(maps.Keys(documents)) {
		m[name] = string(documents[name])
	}
	return m
}
