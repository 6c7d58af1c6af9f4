package forward

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/holding"
)

// errNoConnection is returned by a dial for which the daemon has no connection left.
var errNoConnection = errors.New("the connections of this daemon are used up")

func noConnectionFailure(err error) *chain.Failure {
	return chain.WrapFailure(chain.NotRun, chain.ReasonNoMemory, "no connection is left for the request", err)
}

// heldConn is an outgoing connection that is charged to a ledger until it is closed.
type heldConn struct {
	*net.TCPConn
	giveBack func()
}

// Close implements net.Conn.
func (c *heldConn) Close() error {
	c.giveBack()
	return c.TCPConn.Close()
}

// dialHeld opens a connection if the ledger has one left.
func dialHeld(ctx context.Context, ledger *holding.Ledger, dialer net.Dialer, address string) (net.Conn, error) {
	if !ledger.Connect() {
		return nil, errNoConnection
	}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		ledger.Disconnect()
		return nil, err
	}
	return &heldConn{nc.(*net.TCPConn), sync.OnceFunc(ledger.Disconnect)}, nil // a dial of TCP returns nothing else
}
