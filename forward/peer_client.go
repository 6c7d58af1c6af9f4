package forward

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/httpwire"
)

// peers holds the connections to other daemons.
type peers struct {
	place func(advertised string) string
	mu    sync.Mutex
	pools map[string]*httpwire.Pool // by peer address
}

func newPeers(place func(string) string) *peers {
	return &peers{place: place, pools: map[string]*httpwire.Pool{}}
}

func (p *peers) pool(address string) *httpwire.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.pools[address]
	if pool == nil {
		dialer := net.Dialer{Timeout: peerConnectTimeout}
		pool = &httpwire.Pool{Dial: func(ctx context.Context) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", p.place(address)) }}
		p.pools[address] = pool
	}
	return pool
}

// awaitBody is the size from which on a body is sent only once the gate has
// admitted the request: a refusal then costs no transfer. The body of a request
// that must not be repeated always waits, since a connection that breaks before
// proves that the request has not run.
const awaitBody = 8 << 10

// sendToPeer hands a call to the daemon beside the chosen upstream.
func (f *Forwarder) sendToPeer(ctx context.Context, address string, c *call) *result {
	f.metrics.peerSends.Inc()
	pool := f.peers.pool(address)
	conn, err := pool.Get(ctx, peerIdle)
	if err != nil {
		if ctx.Err() != nil {
			return &result{failure: chain.FailureFromContext(ctx, chain.NotRun, "ended before a connection to the daemon was open")}
		}
		return &result{failure: chain.WrapFailure(chain.NotRun, chain.ReasonConnect, "no connection to the daemon of the upstream", err)}
	}
	out := f.peerRequest(c)
	from, err := conn.Do(ctx, out)
	if err != nil {
		mayHaveRun := conn.Written() > 0 && !(out.AwaitContinue && !conn.BodyAsked())
		conn.Close()
		return peerBroken(ctx, mayHaveRun, err)
	}
	return takePeerAnswer(ctx, pool, conn, from)
}

// peerRequest is the call as it travels to a peer.
func (f *Forwarder) peerRequest(c *call) *httpwire.ClientRequest {
	h := c.header.Clone()
	delete(h, f.cfg.HeaderNames.Deadline)
	h[headerCall] = []string{formatCall(c, c.remaining(f.cfg.Now()))}
	out := c.out(h)
	out.AwaitContinue = c.bodyLength() < 0 || c.bodyLength() >= awaitBody || c.bodyLength() > 0 && !c.kind.IsIdempotent()
	return out
}

func peerBroken(ctx context.Context, mayHaveRun bool, err error) *result {
	outcome := chain.Unknown
	if !mayHaveRun {
		outcome = chain.NotRun
	}
	r := &result{arrived: mayHaveRun}
	if ctx.Err() != nil {
		r.failure = chain.FailureFromContext(ctx, outcome, "no answer of the daemon of the upstream in time")
		return r
	}
	r.failure = chain.WrapFailure(outcome, chain.ReasonConnect, "the connection to the daemon of the upstream broke", err)
	return r
}

// takePeerAnswer reads the answer of a peer.
func takePeerAnswer(ctx context.Context, pool *httpwire.Pool, conn *httpwire.ClientConn, from *httpwire.ClientResponse) *result {
	report := parseReport(from.Header)
	refusal := from.Header.Get(headerRefusal)
	deep := from.Header.Get(headerDeep)
	a, failure := readAnswer(ctx, from, func() { pool.Put(conn) })
	if failure != nil {
		conn.Close()
		return &result{failure: failure, arrived: true, report: report}
	}
	stripOwn(a.header)
	if refusal != "" {
		a.close()
		r := parseRefusal(refusal)
		r.report = report
		return r
	}
	r := &result{answer: a, arrived: true, report: report}
	if a.status >= http.StatusInternalServerError {
		r.failure = chain.NewFailure(chain.Failed, chain.ReasonHandlerError, "the upstream failed")
		r.failure.FromDependency, r.failure.DependencyOverloaded = deep != "", deep == deepFull
	}
	return r
}
