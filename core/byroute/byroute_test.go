package byroute

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTableIsBounded guards memory against configurations whose routes change all the
// time, and known routes against new ones.
func TestTableIsBounded(t *testing.T) {
	var table Table[int]
	*table.Get("first") = 7
	for i := range 3 * maxRoutes {
		*table.Get(strconv.Itoa(i)) = i + 1
	}
	require.Equal(t, 7, *table.Get("first"))
	require.Equal(t, 3*maxRoutes, *table.Get("another"), "routes above the bound share a record")
	n := 0
	table.Each(func(*int) { n++ })
	require.Equal(t, maxRoutes+1, n)
}
