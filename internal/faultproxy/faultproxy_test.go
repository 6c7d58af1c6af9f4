package faultproxy

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testTimeout limits every wait of a test. An attempt to connect that gets no response takes longer.
const testTimeout = 20 * time.Second

// listenWithoutAccepting returns an address whose queue of new connections is soon full: further attempts
// to connect get no response.
func listenWithoutAccepting(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) }) // nothing was read or written
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port)
}

// TestCloseDuringDial guards against a proxy that cannot be closed while it connects to a target that does
// not respond: the test that uses it would hang.
func TestCloseDuringDial(t *testing.T) {
	p, err := New(listenWithoutAccepting(t))
	require.NoError(t, err)
	for range 8 {
		c, err := net.Dial("tcp", p.Address())
		require.NoError(t, err)
		defer func() { _ = c.Close() }() // nothing is pending
	}
	time.Sleep(100 * time.Millisecond) // lets the proxy begin to connect; the test is weaker without it, not flaky
	closed := make(chan struct{})
	go func() {
		p.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the proxy did not close")
	}
}
