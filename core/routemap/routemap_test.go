package routemap

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMapIsBounded guards memory against configurations whose routes change all the
// time, and known routes against new ones.
func TestMapIsBounded(t *testing.T) {
	var table Map[int]
	*table.GetOrCreate("first") = 7
	for i := range 3 * maxRoutes {
		*table.GetOrCreate(strconv.Itoa(i)) = i + 1
	}
	require.Equal(t, 7, *table.GetOrCreate("first"))
	require.Equal(t, 3*maxRoutes, *table.GetOrCreate("another"), "routes above the bound share a record")
	n := 0
	table.Range(func(*int) { n++ })
	require.Equal(t, maxRoutes+1, n)
}
