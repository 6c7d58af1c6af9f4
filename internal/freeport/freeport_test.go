package freeport

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAddressesAreDistinct guards against two replicas of one test that get the same address, because the
// first one has not started yet: the second one to start finds the address in use.
func TestAddressesAreDistinct(t *testing.T) {
	seen := map[string]bool{}
	for range 500 {
		address := Address(t)
		require.False(t, seen[address], address)
		seen[address] = true
	}
}

// TestAddressIsFree checks that a process can listen at the address, also after it was stopped.
func TestAddressIsFree(t *testing.T) {
	address := Address(t)
	for range 3 {
		l, err := net.Listen("tcp", address)
		require.NoError(t, err)
		require.NoError(t, l.Close())
	}
}
