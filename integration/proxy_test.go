// Package integration tests the system as real processes behind a small
// fault-injecting TCP proxy.
package integration

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/internal/faultproxy"
)

// newProxy starts a proxy that ends with the test.
func newProxy(t testing.TB, target string) *faultproxy.Proxy {
	p, err := faultproxy.New(target)
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}
