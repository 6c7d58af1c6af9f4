package forward

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/httpwire"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// Forwarder is the request path of one daemon.
type Forwarder struct {
	cfg       Config
	decisions *logging.Decisions
	metrics   *metrics
	links     *balance.LinkBudget
	local     *local
	peers     *peers

	entrance, inbound           httpwire.Server
	entranceSocket, inboundSock net.Listener

	fleetMu  sync.Mutex // orders UpdateFleet; guards services
	services map[string]*service
	view     atomic.Pointer[view]

	draining atomic.Bool
}

// New opens the listeners. Run serves them.
func New(ctx context.Context, cfg Config) (*Forwarder, error) {
	cfg = cfg.withDefaults()
	f := &Forwarder{
		cfg: cfg, metrics: newMetrics(), services: map[string]*service{},
		links: balance.NewLinkBudget(balance.LinkBudgetConfig{BytesPerSecond: linkBytesPerSecond}),
		peers: newPeers(cfg.ResolvePeer),
	}
	f.local = newLocal(f)
	f.entrance = httpwire.Server{Handle: f.serveEntrance, Limits: f.limits, OnBadRequest: f.noteBadRequest}
	f.inbound = httpwire.Server{Handle: f.servePeer, Limits: peerLimits, OnBadRequest: f.noteBadRequest}
	var err error
	listen := net.ListenConfig{}
	if f.entranceSocket, err = listen.Listen(ctx, "tcp", cfg.IngressAddress); err != nil {
		return nil, err
	}
	if f.inboundSock, err = listen.Listen(ctx, "tcp", cfg.PeerAddress); err != nil {
		_ = f.entranceSocket.Close() // the first error is reported
		return nil, err
	}
	f.decisions = logging.NewDecisions(cfg.Logger, logging.DefaultQueue)
	f.gauges()
	return f, nil
}

// gateLoad is the load of the local gate, zero without an upstream.
func (f *Forwarder) gateLoad() admission.LoadReport {
	if g := f.local.gate.Load(); g != nil {
		return g.LoadReport()
	}
	return admission.LoadReport{}
}

// ListenAddresses returns the addresses listened on.
func (f *Forwarder) ListenAddresses() (entrance, peer string) {
	return f.entranceSocket.Addr().String(), f.inboundSock.Addr().String()
}

// Run serves until ctx ends, which starts a planned stop, and returns when that
// has ended.
func (f *Forwarder) Run(ctx context.Context) {
	defer f.decisions.Close()
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	go f.local.watch(serving)
	var accepting sync.WaitGroup
	accepting.Go(func() { _ = f.entrance.Serve(f.entranceSocket) }) // returns nil once the listener is closed
	accepting.Go(func() { _ = f.inbound.Serve(f.inboundSock) })     // as above
	<-ctx.Done()
	f.stop()
	accepting.Wait()
}

// Ready reports whether the daemon has a configuration and takes requests.
func (f *Forwarder) Ready() bool { return !f.draining.Load() && f.view.Load() != nil }

// WriteMetrics writes the metrics of the daemon as text.
func (f *Forwarder) WriteMetrics(w io.Writer) error { return f.metrics.write(w) }

// noteBadRequest records a request that was not HTTP or exceeded a limit.
func (f *Forwarder) noteBadRequest(remote net.Addr, err *httpwire.ParseError) {
	f.metrics.badRequests.Inc()
	f.cfg.Logger.Info().Str("remote", remote.String()).Int("status", err.Status).Err(err).Msg("request cannot be read")
}

// The stages of a planned stop, as parts of the grace.
const (
	// unreadyTime is how long callers may take to notice that the daemon is no
	// longer ready: two health checks, one a second, and the way of the last
	// request.
	unreadyTime = 2500 * time.Millisecond
	// finalMargin is left between the last cut and the end of the grace.
	finalMargin = 300 * time.Millisecond
	// defaultGrace applies if none is configured.
	defaultGrace = 30 * time.Second
)

// stop ends the daemon without cutting a request. While callers learn that it is not
// ready, the local upstream is used as before, but for calls that may outlast the
// grace: it goes on running, and its room may be needed. Then new work goes elsewhere
// and what is in flight ends.
func (f *Forwarder) stop() {
	begun := time.Now()
	grace := f.cfg.ShutdownGracePeriod
	if grace <= 0 {
		grace = defaultGrace
	}
	f.draining.Store(true)
	f.entrance.Drain()
	f.local.endAt(f.cfg.Now().Add(grace - finalMargin))
	f.cfg.Logger.Info().Int("in_flight", f.entrance.InFlight()+f.inbound.InFlight()).Dur("grace", grace).Msg("planned stop begins")
	time.Sleep(time.Until(begun.Add(min(unreadyTime, grace/2))))
	f.endIntake()
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(grace-finalMargin))
	defer cancel()
	f.awaitQuiet(ctx)
	_ = f.entranceSocket.Close() // no error is of use at the end
	_ = f.inboundSock.Close()    // as above
	var both sync.WaitGroup
	both.Go(func() { f.entrance.Finish(ctx) })
	both.Go(func() { f.inbound.Finish(ctx) })
	both.Wait()
	f.cfg.Logger.Info().Dur("took", time.Since(begun)).Msg("planned stop ends")
}

// endIntake ends the taking of new work, once callers have had time to notice the stop:
// none for the local upstream, and none at the entrance that may outlast the daemon.
func (f *Forwarder) endIntake() {
	f.inbound.Drain()
	f.local.drain()
}

// awaitQuiet waits until nothing is in flight.
func (f *Forwarder) awaitQuiet(ctx context.Context) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for f.entrance.InFlight()+f.inbound.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
