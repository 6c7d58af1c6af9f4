// Package tcpopt sets options of TCP connections so that a dead or unresponsive peer is
// detected within seconds instead of many minutes.
package tcpopt

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options of a connection. The users require that their processes stop using an
// unreachable peer within three seconds.
const (
	// UserTimeout is how long sent data may stay unacknowledged (TCP_USER_TIMEOUT).
	UserTimeout = 2 * time.Second
	// KeepAliveInterval is the idle time before the first keep-alive probe, and the
	// interval between probes.
	KeepAliveInterval = time.Second
	// KeepAliveProbes is the number of unacknowledged probes after which a connection is closed.
	KeepAliveProbes = 2
)

// Dialer returns a dialer whose connections have these options. The timeout limits the
// connection setup.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// ListenConfig returns a configuration for listeners that set these options on accepted
// connections.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// Listen opens a TCP listener that sets these options on accepted connections.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	return ListenConfig().Listen(ctx, "tcp", address)
}

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: KeepAliveInterval, Interval: KeepAliveInterval, Count: KeepAliveProbes}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
