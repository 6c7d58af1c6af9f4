package daemon

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errConnAbandoned is the error of a write to a connection whose attempt has ended.
var errConnAbandoned = errors.New("the attempt on this connection has ended")

const (
	copyBufferBytes = 32 << 10

	// clientIdleTimeout is below serverIdle, so that a client drops an idle
	// connection before the server does: a request written to a connection
	// that the server is closing has an unknown outcome.
	clientIdleTimeout = 60 * time.Second
	serverIdleTimeout = 120 * time.Second
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// countingConn counts the bytes handed to the kernel. The count is the proof
// behind not-run, so it must be exact when it is read: net/http writes from a
// goroutine of its own that may still run when RoundTrip has returned.
// Abandon therefore shuts the connection for writing before it reads the count.
type countingConn struct {
	net.Conn
	mu        sync.Mutex // held during each write
	written   int64
	abandoned bool
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return 0, errConnAbandoned
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// ReadFrom copies a body with a pooled buffer. Without it net/http allocates
// one for each upload.
func (c *countingConn) ReadFrom(r io.Reader) (int64, error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	return io.CopyBuffer(writerOnly{c}, r, *buf)
}

// writerOnly hides ReadFrom from io.CopyBuffer, which would call itself.
type writerOnly struct{ io.Writer }

// Written is the number of bytes written so far.
func (c *countingConn) Written() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// Abandon closes the connection and returns the final count. Closing comes
// first because it ends a blocked write.
func (c *countingConn) Abandon() int64 {
	_ = c.Conn.Close() // the connection is of no more use, whatever Close says
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	return c.written
}

// tlsConn counts a TLS connection's bytes before encryption. A TLS record that
// was started may have reached the peer, so such bytes count when the write fails.
type tlsConn struct{ *tls.Conn }

func (c tlsConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		return len(p), err
	}
	return n, nil
}

// dialer opens counted connections.
type dialer struct {
	net net.Dialer
	tls *tls.Config // nil for plain TCP
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.net.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

func (d *dialer) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.net.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	cfg := d.tls.Clone()
	cfg.NextProtos = []string{"http/1.1"}
	if cfg.ServerName == "" {
		cfg.ServerName, _, _ = net.SplitHostPort(address) // the transport passes host and port
	}
	secured := tls.Client(conn, cfg)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close() // the handshake error says more
		return nil, err
	}
	return &countingConn{Conn: tlsConn{secured}}, nil
}

// newTransport returns an HTTP/1.1 client whose connections are counted and
// capped per host.
func newTransport(clientTLS *tls.Config, maxConnections int) *http.Transport {
	d := &dialer{net: net.Dialer{Timeout: 2 * time.Second}, tls: clientTLS}
	return &http.Transport{
		DialContext:         d.dial,
		DialTLSContext:      d.dialTLS,
		DisableCompression:  true,
		MaxIdleConnsPerHost: max(maxConnections, 1),
		MaxConnsPerHost:     max(maxConnections, 1),
		IdleConnTimeout:     clientIdleTimeout,
		// A gate answers within the deadline of the request, which ends the
		// wait for "100 Continue"; a shorter limit would send bodies that the
		// gate is about to refuse.
		ExpectContinueTimeout:  maxDeadline,
		MaxResponseHeaderBytes: hardMaxHeaderBytes,
		WriteBufferSize:        8 << 10,
		ReadBufferSize:         8 << 10,
	}
}
