// Package httphold makes servers of net/http account for what their clients hold.
package httphold

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/holding"
)

// pastDeadline interrupts a blocked read or write when it is set as deadline.
var pastDeadline = time.Unix(1, 0)

// listener accepts the connections that a ledger allows. The others are closed without a response, so that
// their clients know that no request was read.
type listener struct {
	net.Listener
	ledger *holding.Ledger
	source holding.Source
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc}
		if c.holder = l.ledger.Accept(l.source, c.evict); c.holder == nil {
			_ = nc.Close() // nothing was read
			continue
		}
		c.holder.SetIdle(true)
		return c, nil
	}
}

// conn is an accepted connection whose progress is measured.
type conn struct {
	net.Conn
	holder *holding.Holder
	once   sync.Once
}

// evict closes the connection: its client holds it without a request, or does not end the head of one, or
// does not read its response. That is reset, since a client of HTTP/1.0 would take an orderly end for that
// of the response.
func (c *conn) evict(d holding.Direction) {
	if d == holding.Sending {
		_ = c.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close() // it is abandoned
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.holder.Wait(holding.Sending)
	n, err := c.Conn.Write(p)
	c.holder.Progress(holding.Sending, n)
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(c.holder.Close)
	return c.Conn.Close()
}

// CloseWrite closes the write side of the connection.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets how the connection is closed, like that of net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// Limit makes a server account for the connections of a listener, and returns the listener that it must
// serve. A nil ledger has no limits.
func Limit(server *http.Server, l net.Listener, ledger *holding.Ledger, source holding.Source) net.Listener {
	if ledger == nil {
		return l
	}
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		c := accepted(nc)
		if c == nil {
			return
		}
		switch state {
		case http.StateActive: // the head of a request has begun
			c.holder.SetIdle(false)
			c.holder.BeginMessage(holding.Receiving)
			c.holder.Wait(holding.Receiving)
		case http.StateIdle:
			c.holder.SetIdle(true)
		case http.StateHijacked, http.StateClosed:
			c.once.Do(c.holder.Close)
		}
	}
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, accepted(nc))
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, _ := r.Context().Value(connKey{}).(*conn); c != nil {
			c.holder.Progress(holding.Receiving, 0) // the head has ended
			c.holder.BeginMessage(holding.Sending)
		}
		next.ServeHTTP(w, r)
	})
	return &listener{l, ledger, source}
}

type connKey struct{}

// accepted returns the accepted connection below one that may be encrypted.
func accepted(nc net.Conn) *conn {
	if secured, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = secured.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}
