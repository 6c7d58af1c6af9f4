// Package integration tests the system with real processes on loopback, some of them
// connected through a fault-injecting TCP proxy.
package integration

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/internal/faultproxy"
)

// newProxy starts a proxy to target and closes it when the test ends.
func newProxy(t testing.TB, target string) *faultproxy.Proxy {
	p, err := faultproxy.New(target)
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}
