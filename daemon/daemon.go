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
	"github.com/bilberrydeck/bilberrydeck/core/retry"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// Daemon is one daemon process.
type Daemon struct {
	cfg        Config
	log        *logging.Logger
	decisions  *logging.Decisions
	metrics    *metrics
	ids        *idSource
	handles    *handles
	levels     *admission.LevelAggregator
	holdOff    *retry.RejectionLimiter
	peerScheme string

	snapshotMu sync.Mutex // orders SetSnapshot and drain; guards targets
	snapshot   atomic.Pointer[compiled]
	targets    map[string]*target
	gate       atomic.Pointer[admissionqueue.Queue]

	localMu  sync.Mutex
	local    atomic.Pointer[localService]
	localCap int

	stateMu       sync.Mutex
	state         atomic.Int32 // api.UpstreamState
	stateSequence uint64
	servingSince  time.Time
	unhealthy     atomic.Bool
	healthClient  *http.Client

	draining  atomic.Bool
	gone      atomic.Bool
	drain     chan struct{} // closed when a planned stop starts
	drainOnce sync.Once
	killed    context.Context // ends when the stop is forced, or when Run has returned
	kill      context.CancelFunc

	claimants  atomic.Uint64
	claimSlots chan struct{}
	background sync.WaitGroup

	listeners listeners
}

// Addresses are the addresses that the listeners really have.
type Addresses struct {
	Ingress, Egress, Peer, Admin string
}

// server is one listener with its HTTP server.
type server struct {
	listener net.Listener
	http     *http.Server
}

type listeners struct {
	entrance, exit, peer, admin server
}

func (l *listeners) all() []*server { return []*server{&l.entrance, &l.exit, &l.peer, &l.admin} }

// New checks the configuration and opens the listeners. Run serves them.
func New(cfg Config) (*Daemon, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if cfg.Logger == nil {
		cfg.Logger = logging.New(io.Discard)
	}
	d := &Daemon{
		cfg: cfg, log: cfg.Logger, metrics: newMetrics(), ids: newIDSource(cfg.Seed, cfg.Incarnation, cfg.ID),
		handles: newHandles(), levels: &admission.LevelAggregator{}, holdOff: retry.NewRejectionLimiter(retry.RejectionLimiterConfig{}),
		peerScheme: "http", targets: make(map[string]*target), drain: make(chan struct{}),
		claimSlots: make(chan struct{}, maxBackgroundClaims), healthClient: &http.Client{Transport: newTransport(nil, 1)},
		stateSequence: 1,
	}
	if cfg.ClientTLS != nil {
		d.peerScheme = "https"
	}
	d.state.Store(int32(api.UpstreamState_UPSTREAM_STATE_STARTING))
	d.killed, d.kill = context.WithCancel(context.Background())
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.decisions = logging.NewDecisions(cfg.Logger, logging.DefaultQueue)
	d.gauges()
	d.startUpstream()
	return d, nil
}

// startUpstream takes the configured address of the local service, which must
// accept a connection before it counts as serving.
func (d *Daemon) startUpstream() {
	if d.cfg.Upstream == "" {
		return
	}
	u, err := localURL(d.cfg.Upstream)
	if err != nil {
		return // checked by Config.check
	}
	d.unhealthy.Store(true)
	d.setLocal(u.Host)
}

func (d *Daemon) listen() error {
	for _, s := range []struct {
		server  *server
		address string
		handler http.Handler
		tls     *tls.Config
		http2   bool
	}{
		{&d.listeners.entrance, d.cfg.IngressAddress, http.HandlerFunc(d.serveEntrance), d.cfg.IngressTLS, true},
		{&d.listeners.exit, d.cfg.EgressAddress, http.HandlerFunc(d.serveExit), nil, true},
		{&d.listeners.peer, d.cfg.PeerListenAddress, http.HandlerFunc(d.servePeer), d.cfg.ServerTLS, false},
		{&d.listeners.admin, d.cfg.AdminAddress, d.adminHandler(), nil, false},
	} {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			d.closeListeners()
			return errors.Wrapf(err, "listen on %s", s.address)
		}
		*s.server = server{listener, newServer(s.handler, s.tls, s.http2)}
	}
	return nil
}

// headerTime is the time within which a caller must send its headers.
const headerTime = 10 * time.Second

func newServer(h http.Handler, tlsConfig *tls.Config, http2 bool) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(http2 && tlsConfig != nil)
	protocols.SetUnencryptedHTTP2(http2 && tlsConfig == nil)
	return &http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       serverIdle,
		MaxHeaderBytes:    hardHeaderBytes,
		ErrorLog:          stdlog.New(io.Discard, "", 0), // callers cause these lines at will
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
			_ = s.listener.Close() // the error that led here is reported
		}
	}
}

// Addresses returns the addresses listened on.
func (d *Daemon) Addresses() Addresses {
	l := &d.listeners
	return Addresses{
		Ingress: l.entrance.listener.Addr().String(), Egress: l.exit.listener.Addr().String(),
		Peer: l.peer.listener.Addr().String(), Admin: l.admin.listener.Addr().String(),
	}
}

func (d *Daemon) peerAddress() string {
	if d.cfg.AdvertisedPeerAddress != "" {
		return d.cfg.AdvertisedPeerAddress
	}
	return d.listeners.peer.listener.Addr().String()
}

// Run serves until a planned stop, which the end of ctx or POST /drain starts,
// has finished everything in flight, or until Kill. It may be called once.
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
	case <-d.drain:
	case <-d.killed.Done():
	}
	d.startDrain()
	return d.stop()
}

// Kill forces the end: requests in flight are cut off.
func (d *Daemon) Kill() {
	d.startDrain()
	d.kill()
	for _, s := range d.listeners.all() {
		_ = s.http.Close() // forced
	}
	d.closeListeners() // of a daemon that was not run
}
