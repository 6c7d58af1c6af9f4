package statemachine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bilberrydeck/bilberrydeck/api"
)

func change(number uint64, id string, services ...string) *api.Change {
	ch := &api.Change{Set: "default", Number: number, ChangeId: id, Author: "author of " + id}
	for _, s := range services {
		ch.Services = append(ch.Services, &api.ServiceDocument{Service: s, Json: []byte(id)})
	}
	return ch
}

func applyChange(t interface{ Fatal(...any) }, c *Configuration, ch *api.Change, unixMs int64) *api.ChangeResult {
	var res api.ChangeResult
	if err := proto.Unmarshal(c.Apply(0, encode(&api.ConfigCommand{UnixMs: unixMs, Change: ch})), &res); err != nil {
		t.Fatal(err)
	}
	return &res
}

// TestChangeNumberConflict guards against accepting two changes with one number, and
// against a result that does not describe the accepted one.
func TestChangeNumberConflict(t *testing.T) {
	c := NewConfiguration(nil)
	first := applyChange(t, c, change(1, "a", "bookings"), 100)
	require.Equal(t, api.ChangeStatus_CHANGE_STATUS_ACCEPTED, first.Status)

	second := applyChange(t, c, change(1, "b", "bookings"), 200)
	require.Equal(t, api.ChangeStatus_CHANGE_STATUS_NUMBER_TAKEN, second.Status)
	require.Equal(t, "a", second.StandingChangeId)
	require.Equal(t, "author of a", second.StandingAuthor)
	require.Equal(t, int64(100), second.StandingUnixMs)
	require.False(t, second.SameContent)
	require.Equal(t, uint64(1), c.Version())
}

// TestRetryReturnsFirstResult guards against applying or evaluating a retried change
// again, even after a restore from a snapshot.
func TestRetryReturnsFirstResult(t *testing.T) {
	c := NewConfiguration(nil)
	first := applyChange(t, c, change(1, "a", "bookings"), 100)
	gap := applyChange(t, c, change(4, "d", "rounds"), 101)
	require.Equal(t, api.ChangeStatus_CHANGE_STATUS_NUMBER_GAP, gap.Status)
	for n := uint64(2); n <= 4; n++ {
		applyChange(t, c, change(n, fmt.Sprint(n), "bookings"), 102)
	}
	restored := NewConfiguration(nil)
	data, err := c.Snapshot()
	require.NoError(t, err)
	require.NoError(t, restored.Restore(data))
	for _, m := range []*Configuration{c, restored} {
		require.True(t, proto.Equal(first, applyChange(t, m, change(1, "a", "bookings"), 300)))
		require.True(t, proto.Equal(gap, applyChange(t, m, change(4, "d", "rounds"), 301)),
			"a delayed duplicate of a rejected change must stay rejected")
		require.Equal(t, uint64(4), m.Version())
	}
}

// TestRejectedChangeHasNoEffect guards against applying part of a change when the
// resulting documents are invalid.
func TestRejectedChangeHasNoEffect(t *testing.T) {
	validate := func(docs []*api.ServiceDocument) []string {
		for _, d := range docs {
			if d.Service == "bad" {
				return []string{"service bad is invalid"}
			}
		}
		return nil
	}
	c := NewConfiguration(validate)
	res := applyChange(t, c, change(1, "a", "good", "bad"), 1)
	require.Equal(t, api.ChangeStatus_CHANGE_STATUS_INVALID, res.Status)
	require.Equal(t, []string{"service bad is invalid"}, res.Problems)
	docs, removed := c.ChangesSince(0)
	require.Empty(t, docs)
	require.Empty(t, removed)
	require.Zero(t, c.LastChangeNumber("default"))
	again := applyChange(t, c, change(1, "b", "good"), 2)
	require.Equal(t, api.ChangeStatus_CHANGE_STATUS_ACCEPTED, again.Status, "a rejected change must not use up its number")
}

// TestServiceOfAnotherSet guards against one team replacing the declaration of
// another team's service.
func TestServiceOfAnotherSet(t *testing.T) {
	c := NewConfiguration(nil)
	applyChange(t, c, change(1, "a", "bookings"), 1)
	other := change(1, "b", "bookings")
	other.Set = "other"
	require.Equal(t, api.ChangeStatus_CHANGE_STATUS_INVALID, applyChange(t, c, other, 2).Status)
}

// TestChangesSinceListsOnlyChanges guards against deltas that lack a change or a
// removal, and against deltas that include documents published again unchanged.
func TestChangesSinceListsOnlyChanges(t *testing.T) {
	c := NewConfiguration(nil)
	applyChange(t, c, change(1, "a", "bookings", "rounds"), 1)
	again := change(2, "b", "bookings")
	again.Services = append(again.Services, &api.ServiceDocument{Service: "rounds", Json: []byte("a")})
	applyChange(t, c, again, 2)
	docs, _ := c.ChangesSince(1)
	require.Len(t, docs, 1)
	require.Equal(t, "bookings", docs[0].Service)

	removal := &api.Change{Set: "default", Number: 3, ChangeId: "c", RemovedServices: []string{"rounds"}}
	applyChange(t, c, removal, 3)
	docs, removed := c.ChangesSince(2)
	require.Empty(t, docs)
	require.Equal(t, []string{"rounds"}, removed)
	_, removed = c.ChangesSince(0)
	require.Empty(t, removed)
}

// TestConfigurationProperties guards against two accepted changes with one number, a
// second result for the same change, and a version that decreases, with random
// changes, retries and snapshots.
func TestConfigurationProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewConfiguration(nil)
		acceptedID := make(map[uint64]string)
		results := make(map[string]*api.ChangeResult)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				data, _ := c.Snapshot()
				c = NewConfiguration(nil)
				if err := c.Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			number := rapid.Uint64Range(1, 8).Draw(t, "number")
			id := rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "id")
			before := c.Version()
			res := applyChange(t, c, change(number, id, "bookings"), int64(i))
			if c.Version() < before {
				t.Fatal("the version decreased")
			}
			key := fmt.Sprint(number, id)
			decided := res.Status == api.ChangeStatus_CHANGE_STATUS_ACCEPTED || res.Status == api.ChangeStatus_CHANGE_STATUS_NUMBER_GAP
			if first, ok := results[key]; ok && !proto.Equal(first, res) {
				t.Fatalf("change %s: first %v, then %v", key, first, res)
			} else if decided {
				results[key] = res
			}
			if res.Status == api.ChangeStatus_CHANGE_STATUS_ACCEPTED {
				if other, ok := acceptedID[number]; ok && other != id {
					t.Fatalf("number %d accepted for %s and %s", number, other, id)
				}
				acceptedID[number] = id
			}
		}
	})
}
