// Package freeport hands out addresses on which a test starts, stops and restarts processes.
package freeport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Ports lie below the range of ephemeral ports, so that no outgoing connection occupies the port of a
// process that is about to restart.
const (
	firstPort = 15_000
	portCount = 15_000
)

// ip is a loopback address of this process alone, because packages are tested at the same time. Process
// ids have at most 22 bits.
var ip = func() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>16&63, pid>>8&255, pid&255)
}()

var handedOut atomic.Int32

// Address returns a loopback address on which nothing listens. No address is returned twice: one whose
// process has not started yet, or has stopped, still belongs to the caller that got it.
func Address(t testing.TB) string {
	t.Helper()
	for n := handedOut.Add(1); n <= portCount; n = handedOut.Add(1) {
		address := fmt.Sprintf("%s:%d", ip, firstPort+n-1)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close() // nothing was accepted
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}
