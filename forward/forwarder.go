package forward

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/holding"
	"github.com/bilberrydeck/bilberrydeck/httpwire"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// Forwarder is the request path of one daemon.
type Forwarder struct {
	cfg        Config
	decisions  *logging.Decisions
	metrics    *metrics
	linkBudget *balance.LinkBudget
	local      *upstreamProxy
	peers      *peerPools
	buffers    *bufferBudget // of the bodies of responses
	withdrawal *withdrawal
	ledger     *holding.Ledger // of what the daemon holds for clients and other daemons

	ingress, peerServer           httpwire.Server
	ingressListener, peerListener net.Listener

	fleetMu  sync.Mutex // orders UpdateFleet; guards services
	services map[string]*service
	view     atomic.Pointer[configView]

	draining atomic.Bool
}

// New returns a Forwarder whose listeners are open. Run serves them.
func New(ctx context.Context, cfg Config) (*Forwarder, error) {
	cfg = cfg.withDefaults()
	f := &Forwarder{
		cfg: cfg, metrics: newMetrics(), services: map[string]*service{},
		linkBudget: balance.NewLinkBudget(balance.LinkBudgetConfig{BytesPerSecond: linkBytesPerSecond}),
		ledger:     holding.NewLedger(cfg.Held, cfg.Now),
		buffers:    newBufferBudget(cfg.BufferBytes),
		withdrawal: newWithdrawal(),
	}
	f.peers = newPeerPools(cfg.ResolvePeer, f.ledger)
	f.local = newUpstreamProxy(f)
	f.ledger.OnShortage(f.closeIdleConnections)
	f.ingress = httpwire.Server{Handle: f.serveIngress, Limits: f.requestLimits, OnBadRequest: f.recordBadRequest, Ledger: f.ledger}
	f.peerServer = httpwire.Server{Handle: f.servePeer, Limits: peerLimits, OnBadRequest: f.recordBadRequest, Ledger: f.ledger, Source: holding.Peers}
	var err error
	listen := net.ListenConfig{}
	if f.ingressListener, err = listen.Listen(ctx, "tcp", cfg.IngressAddress); err != nil {
		return nil, err
	}
	if f.peerListener, err = listen.Listen(ctx, "tcp", cfg.PeerAddress); err != nil {
		_ = f.ingressListener.Close() // the first error is reported
		return nil, err
	}
	f.decisions = logging.NewDecisions(cfg.Logger, logging.DefaultQueueSize)
	f.registerGauges()
	return f, nil
}

// closeIdleConnections closes the idle connections to other daemons and to the upstream.
func (f *Forwarder) closeIdleConnections() {
	f.peers.closeIdle()
	f.local.pool.CloseIdleConnections()
}

// admissionLoad returns the load of the local admission controller, zero without an
// upstream.
func (f *Forwarder) admissionLoad() admission.LoadReport {
	if q := f.local.queue.Load(); q != nil {
		return q.LoadReport()
	}
	return admission.LoadReport{}
}

// ListenAddresses returns the addresses of the ingress and the peer listener.
func (f *Forwarder) ListenAddresses() (ingress, peer string) {
	return f.ingressListener.Addr().String(), f.peerListener.Addr().String()
}

// Run serves until ctx ends, then shuts down gracefully and returns.
func (f *Forwarder) Run(ctx context.Context) {
	defer f.decisions.Close()
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	go f.local.monitor(serving)
	var accepting sync.WaitGroup
	accepting.Go(func() { _ = f.ingress.Serve(f.ingressListener) }) // returns nil once the listener is closed
	accepting.Go(func() { _ = f.peerServer.Serve(f.peerListener) }) // as above
	<-ctx.Done()
	f.shutdown()
	accepting.Wait()
}

// Ready reports whether the daemon has a configuration and is not shutting down.
func (f *Forwarder) Ready() bool { return !f.draining.Load() && f.view.Load() != nil }

// Held returns what the daemon holds for clients and other daemons.
func (f *Forwarder) Held() holding.Usage { return f.ledger.Usage() }

// WriteMetrics writes the metrics of the daemon in the Prometheus text format.
func (f *Forwarder) WriteMetrics(w io.Writer) error { return f.metrics.write(w) }

// recordBadRequest counts and logs a request that was not HTTP or exceeded a limit.
func (f *Forwarder) recordBadRequest(remote net.Addr, err *httpwire.ParseError) {
	f.metrics.badRequests.Inc()
	f.cfg.Logger.Info().Str("remote", remote.String()).Int("status", err.Status).Err(err).Msg("request head rejected")
}
