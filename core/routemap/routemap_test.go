package routemap

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMapIsBounded guards against unbounded memory if the routes of the configurations keep
// changing, and against evicting known routes for new ones.
func TestMapIsBounded(t *testing.T) {
	var routes Map[int]
	*routes.GetOrCreate("first") = 7
	for i := range 3 * maxRoutes {
		*routes.GetOrCreate(strconv.Itoa(i)) = i + 1
	}
	require.Equal(t, 7, *routes.GetOrCreate("first"))
	require.Equal(t, 3*maxRoutes, *routes.GetOrCreate("another"), "routes above the bound share a record")
	n := 0
	routes.Range(func(*int) { n++ })
	require.Equal(t, maxRoutes+1, n)
}
