package daemon

import (
	"context"
	"crypto/tls"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrydeck/bilberrydeck/admissionqueue"
	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/holding"
	"github.com/bilberrydeck/bilberrydeck/core/retry"
	"github.com/bilberrydeck/bilberrydeck/internal/httphold"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// Daemon serves one upstream on the same VM, or is an ingress without an upstream.
type Daemon struct {
	cfg              Config
	log              *logging.Logger
	decisions        *logging.Decisions
	metrics          *metrics
	requestIDs       *requestIDGenerator
	chainHandles     *chainHandles
	admissionLevels  *admission.LevelAggregator
	rejectionLimiter *retry.RejectionLimiter
	peerScheme       string
	ledger           *holding.Ledger

	snapshotMu     sync.Mutex // serializes SetSnapshot and the start of a drain; guards serviceClients
	snapshot       atomic.Pointer[compiledSnapshot]
	serviceClients map[string]*serviceClient
	admissionQueue atomic.Pointer[admissionqueue.Queue]

	localMu             sync.Mutex
	local               atomic.Pointer[localUpstream]
	maxLocalConnections int

	stateMu       sync.Mutex
	state         atomic.Int32 // api.UpstreamState
	stateSequence uint64
	servingSince  time.Time
	unhealthy     atomic.Bool
	healthClient  *http.Client

	draining     atomic.Bool
	stopped      atomic.Bool
	drainStarted chan struct{} // closed when a graceful shutdown starts
	drainOnce    sync.Once
	killed       context.Context // ends when the daemon is killed or Run returns
	kill         context.CancelFunc

	lastClaimant     atomic.Uint64
	claimSlots       chan struct{}
	backgroundClaims sync.WaitGroup

	listeners listeners
}

// ListenAddresses are the actual addresses of the listeners, with ports.
type ListenAddresses struct {
	Ingress, Egress, Peer, Admin string
}

// server is one listener with its HTTP server.
type server struct {
	listener net.Listener
	http     *http.Server
}

type listeners struct {
	ingress, egress, peer, admin server
}

func (l *listeners) all() []*server { return []*server{&l.ingress, &l.egress, &l.peer, &l.admin} }

// New validates the configuration and opens the listeners. Run serves them.
func New(cfg Config) (*Daemon, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if cfg.Logger == nil {
		cfg.Logger = logging.New(io.Discard)
	}
	d := &Daemon{
		cfg: cfg, log: cfg.Logger, metrics: newMetrics(), requestIDs: newRequestIDGenerator(cfg.Seed, cfg.Incarnation, cfg.ID),
		chainHandles: newChainHandles(), admissionLevels: &admission.LevelAggregator{}, rejectionLimiter: retry.NewRejectionLimiter(retry.RejectionLimiterConfig{}),
		ledger: holding.NewLedger(cfg.Held, cfg.Now), peerScheme: "http", serviceClients: make(map[string]*serviceClient), drainStarted: make(chan struct{}),
		claimSlots: make(chan struct{}, maxBackgroundClaims), healthClient: &http.Client{Transport: newUpstreamTransport(1)},
		stateSequence: 1,
	}
	if cfg.ClientTLS != nil {
		d.peerScheme = "https"
	}
	d.state.Store(int32(api.UpstreamState_UPSTREAM_STATE_STARTING))
	d.ledger.OnShortage(d.closeIdleConnections)
	d.killed, d.kill = context.WithCancel(context.Background())
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.decisions = logging.NewDecisions(cfg.Logger, logging.DefaultQueueSize)
	d.registerGauges()
	d.useConfiguredUpstream()
	return d, nil
}

// useConfiguredUpstream sets the configured address of the local upstream, which counts as
// unhealthy until it has passed a health check.
func (d *Daemon) useConfiguredUpstream() {
	if d.cfg.Upstream == "" {
		return
	}
	u, err := localURL(d.cfg.Upstream)
	if err != nil {
		return // not reached: Config.check has parsed it
	}
	d.unhealthy.Store(true)
	d.setLocalAddress(u.Host)
}

// listen opens the listeners. On an error it closes those that are already open.
func (d *Daemon) listen() error {
	for _, s := range []struct {
		server  *server
		address string
		handler http.Handler
		tls     *tls.Config
		http2   bool
		ledger  *holding.Ledger // nil for the listener of operators on this VM
		source  holding.Source
	}{
		{&d.listeners.ingress, d.cfg.IngressAddress, http.HandlerFunc(d.serveIngress), d.cfg.IngressTLS, true, d.ledger, holding.Clients},
		{&d.listeners.egress, d.cfg.EgressAddress, http.HandlerFunc(d.serveEgress), nil, true, d.ledger, holding.Peers},
		{&d.listeners.peer, d.cfg.PeerListenAddress, http.HandlerFunc(d.servePeer), d.cfg.ServerTLS, false, d.ledger, holding.Peers},
		{&d.listeners.admin, d.cfg.AdminAddress, d.adminHandler(), nil, false, nil, holding.Clients},
	} {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			d.closeListeners()
			return errors.Wrapf(err, "listen on %s", s.address)
		}
		limited := newServer(s.handler, s.tls, s.http2)
		*s.server = server{httphold.Limit(limited, listener, s.ledger, s.source), limited}
	}
	return nil
}

// readHeaderTimeout is the time within which a client must send the request headers.
const readHeaderTimeout = 10 * time.Second

const (
	// maxStreams is the number of requests at the same time on a connection of HTTP/2.
	maxStreams = 100
	// maxUnreadBytes is how much of the bodies on a connection of HTTP/2 is received before it is read.
	maxUnreadBytes = 64 << 10
)

func newServer(h http.Handler, tlsConfig *tls.Config, http2 bool) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(http2 && tlsConfig != nil)
	protocols.SetUnencryptedHTTP2(http2 && tlsConfig == nil)
	return &http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    hardMaxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: maxUnreadBytes, MaxReceiveBufferPerStream: maxUnreadBytes},
		ErrorLog:          stdlog.New(io.Discard, "", 0), // discarded: a client can cause any number of lines
	}
}

func (s *server) serve() error {
	var err error
	if s.http.TLSConfig != nil {
		err = s.http.ServeTLS(s.listener, "", "")
	} else {
		err = s.http.Serve(s.listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (d *Daemon) closeListeners() {
	for _, s := range d.listeners.all() {
		if s.listener != nil {
			_ = s.listener.Close() // the caller reports the error that precedes this
		}
	}
}

// ListenAddresses returns the addresses of the listeners.
func (d *Daemon) ListenAddresses() ListenAddresses {
	l := &d.listeners
	return ListenAddresses{
		Ingress: l.ingress.listener.Addr().String(), Egress: l.egress.listener.Addr().String(),
		Peer: l.peer.listener.Addr().String(), Admin: l.admin.listener.Addr().String(),
	}
}

// peerAddress returns the address that other daemons connect to.
func (d *Daemon) peerAddress() string {
	if d.cfg.AdvertisedPeerAddress != "" {
		return d.cfg.AdvertisedPeerAddress
	}
	return d.listeners.peer.listener.Addr().String()
}

// Run serves until a graceful shutdown has completed all requests in flight, or until Kill. The end
// of ctx or POST /drain starts the shutdown. Run must be called at most once.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.decisions.Close()
	defer d.kill()
	failed := make(chan error, len(d.listeners.all()))
	for _, s := range d.listeners.all() {
		go func() { failed <- s.serve() }()
	}
	if d.cfg.Service != "" {
		go d.watchHealth(d.killed)
	}
	select {
	case err := <-failed: // nil after Kill
		if err != nil {
			d.Kill()
			return errors.Wrap(err, "listener failed")
		}
	case <-ctx.Done():
	case <-d.drainStarted:
	case <-d.killed.Done():
	}
	d.startDrain()
	return d.shutdown()
}

// Kill stops the daemon at once and aborts the requests in flight.
func (d *Daemon) Kill() {
	d.startDrain()
	d.kill()
	for _, s := range d.listeners.all() {
		_ = s.http.Close() // the daemon stops whether or not it fails
	}
	d.closeListeners() // in case Run was not called
}
