package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLimits checks the limits of what is held for clients, and that values are reported with which a
// process could not serve single requests.
func TestLimits(t *testing.T) {
	for text, expected := range map[string]Limits{
		`{}`:                                     {},
		`{"limits": {}}`:                         {},
		`{"limits": {"client_memory": "64MiB"}}`: {ClientMemory: 64 << 20},
		`{"limits": {"client_memory": "4MiB", "connections": 20}}`: {ClientMemory: 4 << 20, Connections: 20},
	} {
		f, problems := ParseFleet("own.json", []byte(text))
		require.Empty(t, problems, text)
		require.Equal(t, expected, f.Limits)
	}
	for text, field := range map[string]string{
		`{"limits": {"client_memory": "1MiB"}}`: "client_memory",
		`{"limits": {"client_memory": 5}}`:      "client_memory",
		`{"limits": {"connections": 0}}`:        "connections",
		`{"limits": {"connections": 2000000}}`:  "connections",
		`{"limits": {"memory": "64MiB"}}`:       "memory",
	} {
		_, problems := ParseFleet("own.json", []byte(text))
		require.Len(t, problems, 1, text)
		require.Contains(t, problems[0].Field, field)
	}
}
