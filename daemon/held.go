package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/holding"
	"github.com/bilberrydeck/bilberrydeck/internal/httphold"
)

const (
	// requestBytes is the memory of a request beside its head and bodies: goroutines, and its connection to
	// another daemon or to the upstream.
	requestBytes = 16 << 10
	// headerLineBytes is the memory of a header line beside its bytes.
	headerLineBytes = 128
)

// heldBytes returns the memory of a request with its head.
func heldBytes(r *http.Request) int64 {
	n := requestBytes + len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerLineBytes
		}
	}
	return int64(n)
}

// bodyBytes returns the memory of the body of a request: the whole body if it is buffered, otherwise the
// buffer through which it is copied.
func bodyBytes(length int64) int64 {
	if length < 0 {
		return copyBufferBytes
	}
	return min(length, copyBufferBytes)
}

// holdResponse charges the body of a response, or the buffer through which it is copied. It cannot be
// refused, since the request has been executed.
func holdResponse(held *httphold.Request, r *response) {
	if r.stream != nil {
		held.Force(copyBufferBytes)
		return
	}
	held.Force(int64(cap(r.buffered)))
}

// noMemoryFailure returns the failure of a request for which there is no room.
func noMemoryFailure() *chain.Failure {
	return chain.NewFailure(chain.NotRun, chain.ReasonNoMemory, "the memory for requests is used up")
}

// errNoConnection is returned by a dial for which the daemon has no connection left.
var errNoConnection = errors.New("the connections of this daemon are used up")

// holdConnections charges the connections of a transport to a ledger.
func holdConnections(t *http.Transport, ledger *holding.Ledger) *http.Transport {
	hold := func(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			if !ledger.Connect() {
				return nil, errNoConnection
			}
			nc, err := dial(ctx, network, address)
			if err != nil {
				ledger.Disconnect()
				return nil, err
			}
			if c, ok := nc.(*countingConn); ok {
				c.giveBack = sync.OnceFunc(ledger.Disconnect)
			}
			return nc, nil
		}
	}
	t.DialContext, t.DialTLSContext = hold(t.DialContext), hold(t.DialTLSContext)
	return t
}

// Held returns what the daemon holds for clients and other daemons.
func (d *Daemon) Held() holding.Usage { return d.ledger.Usage() }

// closeIdleConnections closes the idle connections to other daemons and to the upstream.
func (d *Daemon) closeIdleConnections() {
	if local := d.local.Load(); local != nil {
		local.transport.CloseIdleConnections()
	}
	active := d.snapshot.Load()
	if active == nil {
		return
	}
	for _, svc := range active.services {
		if t := svc.client.currentTransport(); t != nil {
			t.CloseIdleConnections()
		}
	}
}
