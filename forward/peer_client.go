package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/holding"
	"github.com/bilberrydeck/bilberrydeck/httpwire"
)

// peerPools holds the connection pools to other daemons.
type peerPools struct {
	ledger  *holding.Ledger
	resolve func(advertised string) string
	mu      sync.Mutex
	pools   map[string]*httpwire.Pool // by peer address
}

func newPeerPools(resolve func(string) string, ledger *holding.Ledger) *peerPools {
	return &peerPools{ledger: ledger, resolve: resolve, pools: map[string]*httpwire.Pool{}}
}

func (p *peerPools) pool(address string) *httpwire.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.pools[address]
	if pool == nil {
		dialer := net.Dialer{Timeout: peerConnectTimeout}
		pool = &httpwire.Pool{Dial: func(ctx context.Context) (net.Conn, error) {
			return dialHeld(ctx, p.ledger, dialer, p.resolve(address))
		}}
		p.pools[address] = pool
	}
	return pool
}

// closeIdle closes the idle connections to all daemons.
func (p *peerPools) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		pool.CloseIdleConnections()
	}
}

// continueThreshold is the minimum size in bytes of a body that is sent only after the admission
// controller has admitted the request, so that a rejection costs no transfer. The body of a
// non-idempotent request is sent only then at any size: if the connection fails before, the
// request has not been executed.
const continueThreshold = 8 << 10

// sendToPeer forwards a call to the daemon on the VM of the selected upstream.
func (f *Forwarder) sendToPeer(ctx context.Context, address string, c *call) *result {
	f.metrics.peerAttempts.Inc()
	pool := f.peers.pool(address)
	conn, err := pool.Get(ctx, c.connectionReuse(peerIdleTimeout))
	if err != nil {
		if ctx.Err() != nil {
			return &result{failure: chain.FailureFromContext(ctx, chain.NotRun, "cancelled or expired before a connection to the upstream's daemon was open")}
		}
		if errors.Is(err, errNoConnection) {
			return &result{failure: noConnectionFailure(err)}
		}
		return &result{failure: chain.WrapFailure(chain.NotRun, chain.ReasonConnect, "no connection to the upstream's daemon", err)}
	}
	req := f.peerRequest(c)
	from, err := conn.Do(ctx, req)
	if err != nil {
		mayHaveExecuted := conn.Written() > 0 && !(req.AwaitContinue && !conn.ContinueReceived())
		conn.Close()
		return peerExchangeFailure(ctx, mayHaveExecuted, err)
	}
	return asWithdrawn(req.Withdraw, readPeerResponse(ctx, pool, conn, from, f.buffers, c.holder))
}

// peerRequest returns the call as it is sent to a peer.
func (f *Forwarder) peerRequest(c *call) *httpwire.ClientRequest {
	req := c.clientRequest(httpwire.HeaderField{Name: headerCall, Value: formatCall(c, c.remaining(f.cfg.Now()))})
	req.AwaitContinue = c.bodyLength() < 0 || c.bodyLength() >= continueThreshold || c.bodyLength() > 0 && !c.kind.IsIdempotent()
	// The peer completes the execution of a non-idempotent call, but ends that of an idempotent one.
	req.Withdraw = f.withdrawalOf(c, c.kind.IsIdempotent() && !req.AwaitContinue)
	return req
}

func peerExchangeFailure(ctx context.Context, mayHaveExecuted bool, err error) *result {
	outcome := chain.Unknown
	if !mayHaveExecuted {
		outcome = chain.NotRun
	}
	r := &result{delivered: mayHaveExecuted}
	if errors.Is(err, httpwire.ErrWithdrawn) {
		return rejectedByShutdown()
	}
	if ctx.Err() != nil {
		r.failure = chain.FailureFromContext(ctx, outcome, "cancelled or expired before the upstream's daemon responded")
		return r
	}
	r.failure = chain.WrapFailure(outcome, chain.ReasonConnect, "the connection to the upstream's daemon failed", err)
	return r
}

// readPeerResponse reads the response of a peer and its internal headers.
func readPeerResponse(ctx context.Context, pool *httpwire.Pool, conn *httpwire.ClientConn, from *httpwire.ClientResponse, budget *bufferBudget, holder *holding.Holder) *result {
	loadReport := parseLoadReport(from.Header)
	rejection := from.Header.Get(headerRejection)
	dependency := from.Header.Get(headerDependency)
	resp, failure := readResponse(ctx, from, budget, holder, func() { pool.Put(conn) })
	if failure != nil {
		return &result{failure: failure, delivered: true, loadReport: loadReport}
	}
	removeInternalHeaders(resp.header)
	if rejection != "" {
		resp.close()
		r := parseRejection(rejection)
		r.loadReport = loadReport
		return r
	}
	r := &result{response: resp, delivered: true, loadReport: loadReport}
	if resp.status >= http.StatusInternalServerError {
		r.failure = chain.NewFailure(chain.Failed, chain.ReasonHandlerError, "the upstream responded with a server error")
		r.failure.FromDependency, r.failure.DependencyOverloaded = dependency != "", dependency == dependencyOverloaded
	}
	return r
}
