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

	"github.com/bilberrydeck/bilberrydeck/httpwire"
)

// errConnAbandoned is returned by writes to a connection whose attempt has ended.
var errConnAbandoned = errors.New("the attempt on this connection has ended")

const (
	copyBufferBytes = 32 << 10

	// clientIdleTimeout is less than serverIdleTimeout, so that the client closes an idle
	// connection first. A request written to a connection that the server is closing has an unknown
	// outcome.
	clientIdleTimeout = 60 * time.Second
	serverIdleTimeout = 120 * time.Second
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// countingConn counts the bytes that were passed to the kernel. A count of zero proves the outcome
// not-run, so the count must not change after it has been read. net/http writes from a separate goroutine, which may
// still be active after RoundTrip has returned. Abandon therefore prevents further writes before it
// reads the count.
type countingConn struct {
	net.Conn
	guard     httpwire.EndGuard
	head      headCheck
	mu        sync.Mutex // held during each write
	written   int64
	abandoned bool
	giveBack  func() // called once when the connection is closed; nil for none
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	if c.giveBack != nil {
		c.giveBack()
	}
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return 0, errConnAbandoned
	}
	n, err := c.guard.Write(c.Conn, p)
	c.written += int64(n)
	return n, err
}

// Read implements net.Conn. It fails if the head of the response is malformed. The end of the input after a
// reset is an error as well, so that a response without a length does not seem complete.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.guard.Read(c.Conn, p)
	if headErr := c.head.scan(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// headCheck checks the head of the response of each attempt on a connection.
type headCheck struct {
	mu      sync.Mutex
	scanner *httpwire.HeadScanner // nil before the first attempt
}

// begin begins the next response.
func (c *headCheck) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner = &httpwire.HeadScanner{}
}

// scan checks bytes that have been read, and returns the error of the head.
func (c *headCheck) scan(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.scanner == nil {
		return nil
	}
	c.scanner.Scan(p)
	return c.scanner.Err()
}

// ReadFrom copies a body with a pooled buffer. Without it net/http allocates a buffer for each
// upload.
func (c *countingConn) ReadFrom(r io.Reader) (int64, error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	return io.CopyBuffer(writerOnly{c}, r, *buf)
}

// writerOnly hides ReadFrom from io.CopyBuffer, which would otherwise call it recursively.
type writerOnly struct{ io.Writer }

// Written returns the number of bytes written so far.
func (c *countingConn) Written() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// Abandon closes the connection and returns the final count. It closes before it locks the mutex,
// because closing ends a blocked write.
func (c *countingConn) Abandon() int64 {
	_ = c.Close() // the connection is not used again, so an error does not matter
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	return c.written
}

// tlsConn is a TLS connection whose bytes are counted before encryption. A TLS record of a failed
// write may have reached the peer, so all its bytes count as written.
type tlsConn struct{ *tls.Conn }

// Write implements net.Conn.
func (c tlsConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		return len(p), err
	}
	return n, nil
}

// dialer opens connections that count written bytes.
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
		cfg.ServerName, _, _ = net.SplitHostPort(address) // address is host:port
	}
	secured := tls.Client(conn, cfg)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close() // the handshake error is returned
		return nil, err
	}
	return &countingConn{Conn: tlsConn{secured}}, nil
}

// newUpstreamTransport returns a transport to the local upstream. Its response heads have the limit of
// request heads: a head of short lines takes some 20 times its size in memory.
func newUpstreamTransport(maxConnections int) *http.Transport {
	t := newTransport(nil, maxConnections)
	t.MaxResponseHeaderBytes = maxHeaderBytes
	return t
}

// newTransport returns an HTTP/1.1 client transport that counts the bytes written to its
// connections and limits their number per host.
func newTransport(clientTLS *tls.Config, maxConnections int) *http.Transport {
	d := &dialer{net: net.Dialer{Timeout: 2 * time.Second}, tls: clientTLS}
	return &http.Transport{
		DialContext:         d.dial,
		DialTLSContext:      d.dialTLS,
		DisableCompression:  true,
		MaxIdleConnsPerHost: max(maxConnections, 1),
		MaxConnsPerHost:     max(maxConnections, 1),
		IdleConnTimeout:     clientIdleTimeout,
		// The daemon of the upstream responds within the deadline of the request, which ends the
		// wait for "100 Continue". A shorter timeout would send bodies of requests that are still
		// queued and may be rejected.
		ExpectContinueTimeout:  maxRequestTimeout,
		MaxResponseHeaderBytes: hardMaxHeaderBytes,
		WriteBufferSize:        8 << 10,
		ReadBufferSize:         8 << 10,
	}
}
