package routing

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testTable() *Table {
	return &Table{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "shop.example", Prefix: "/", Targets: []Target{{"tarifs", 1}}},
			{Name: "orders", Host: "shop.example", Prefix: "/orders/", Kind: NonIdempotent, Targets: []Target{{"commandes", 90}, {"tarifs", 10}}},
			{Name: "old", Host: "shop.example", Prefix: "/orders/old/", Targets: []Target{{"tarifs", 1}}},
		},
		Services: []Service{{Name: "tarifs"}, {Name: "commandes"}},
	}
}

func TestLongestPrefixMatches(t *testing.T) {
	m := NewMatcher(testTable())
	for path, want := range map[string]string{
		"/": "all", "/orders": "all", "/orders/": "orders", "/orders/7?x=/orders/old/": "orders", "/orders/old/7": "old", "/orders/oldest": "orders",
	} {
		require.Equal(t, want, m.Match("Shop.Example:8300", path).Name, path)
	}
	require.Nil(t, m.Match("other.example", "/orders/"))
}

// TestValidate guards against accepting an unusable table.
func TestValidate(t *testing.T) {
	require.Empty(t, testTable().Validate())
	for want, invalidate := range map[string]func(*Table){
		"is not listed":       func(t *Table) { t.Routes[0].Targets[0].Service = "photos" },
		"share host":          func(t *Table) { t.Routes[2].Prefix = "/" },
		"must be at most":     func(t *Table) { t.Routes[1].Timeout = 11 * time.Minute },
		"the host is empty":   func(t *Table) { t.Routes[1].Host = "" },
		"with a slash":        func(t *Table) { t.Routes[1].Prefix = "/orders" },
		"weight above 0":      func(t *Table) { t.Routes[0].Targets = nil },
		"is negative":         func(t *Table) { t.Routes[1].Targets[0].Weight = -1 },
		"is listed twice":     func(t *Table) { t.Services[1].Name = "tarifs" },
		"service has no name": func(t *Table) { t.Services[1].Name = "" },
	} {
		invalid := testTable()
		invalidate(invalid)
		require.NotEmpty(t, invalid.Validate(), want)
		require.Contains(t, invalid.Validate()[0]+invalid.Validate()[len(invalid.Validate())-1], want)
	}
}

// TestWeightedSelectorFollowsWeights guards the fractions of requests to weighted targets,
// also for each 100 requests.
func TestWeightedSelectorFollowsWeights(t *testing.T) {
	s := NewWeightedSelector([]Target{{"a", 90}, {"b", 10}, {"c", 0}}, 37)
	for range 5 {
		count := map[string]int{}
		for range 100 {
			count[s.Next()]++
		}
		require.Equal(t, map[string]int{"a": 90, "b": 10}, count)
	}
}

// TestLargeWeights guards against weights whose sum overflows or takes a daemon seconds to process:
// the requests are distributed in the same proportions.
func TestLargeWeights(t *testing.T) {
	for _, weights := range [][3]int{{math.MaxInt, math.MaxInt / 9, 1}, {900_000_000, 100_000_000, 0}} {
		targets := []Target{{"a", weights[0]}, {"b", weights[1]}, {"c", weights[2]}}
		table := &Table{Version: 1, Services: []Service{{Name: "a"}, {Name: "b"}, {Name: "c"}}, Routes: []Route{{Name: "r", Host: "h", Prefix: "/", Targets: targets}}}
		require.Empty(t, table.Validate())
		s := NewWeightedSelector(targets, math.MaxInt)
		counts := map[string]int{}
		for range 1000 {
			counts[s.Next()]++
		}
		require.InDelta(t, 900, counts["a"], 2)
		require.InDelta(t, 100, counts["b"], 2)
	}
}
