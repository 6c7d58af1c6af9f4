// Package tcpopt sets the options of TCP connections by which a dead or silent
// peer is noticed within seconds rather than after many minutes.
package tcpopt

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options of a connection. They come from the time within which the users'
// processes must have left a peer that was cut off, three seconds.
const (
	// UserTimeout is how long written data may stay unacknowledged.
	UserTimeout = 2 * time.Second
	// KeepAliveInterval is the idle time before the first keep-alive probe, and the
	// interval between probes.
	KeepAliveInterval = time.Second
	// KeepAliveProbes is the number of unanswered probes that end a connection.
	KeepAliveProbes = 2
)

// Dialer returns a dialer whose connections notice a dead peer. The timeout
// bounds the connection setup.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// ListenConfig accepts connections that notice a dead peer.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// Listen opens a listener with these options.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	return ListenConfig().Listen(ctx, "tcp", address)
}

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: KeepAliveInterval, Interval: KeepAliveInterval, Count: KeepAliveProbes}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
