package process

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/control/client"
	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/feed"
	"github.com/bilberrydeck/bilberrydeck/daemon"
	"github.com/bilberrydeck/bilberrydeck/logging"
	"github.com/bilberrydeck/bilberrydeck/relay"
	"github.com/bilberrydeck/bilberrydeck/secure"
	"github.com/bilberrydeck/bilberrydeck/settings"
)

const (
	// announceInterval is the interval at which the state of the upstream is compared with
	// the announced one. It delays the announcement of a graceful shutdown, for which the
	// ingress allows 2 s.
	announceInterval = 50 * time.Millisecond
	// deregisterTimeout bounds the wait for the relays to acknowledge that the upstream has
	// deregistered. Without an acknowledgement, its lease expires after 3 s.
	deregisterTimeout = time.Second
)

// ForcedShutdownError reports a shutdown that aborted requests in flight.
type ForcedShutdownError struct{}

// Error implements error.
func (*ForcedShutdownError) Error() string { return "the stop was forced; requests were aborted" }

// daemonProcess is a daemon with its clients of the control replicas and relays.
type daemonProcess struct {
	settings    settings.Daemon
	files       secure.Config
	logger      *logging.Logger
	incarnation uint64 // increases with each start
	daemon      *daemon.Daemon
	feed        *relay.Subscriber
	views       *latest[*relay.FeedState]
}

// RunDaemon runs a daemon until it has stopped. Cancelling ctx starts a graceful shutdown, in
// which requests in flight complete. Cancelling force aborts them, and RunDaemon returns a
// *ForcedShutdownError.
func RunDaemon(ctx, force context.Context, s settings.Daemon, logger *logging.Logger) error {
	p := &daemonProcess{settings: s, files: tlsFiles(s.TLS), logger: logger, incarnation: uint64(time.Now().UnixNano()),
		views: newLatest[*relay.FeedState]()}
	if err := checkListeners(p.files, logger, p.listeners()...); err != nil {
		return err
	}
	controlTLS, err := clientTLS(p.files, secure.RoleControl)
	if err != nil {
		return err
	}
	claims := client.New(client.Config{Addresses: s.Controls, TLS: controlTLS})
	defer claims.Close()
	config, err := p.daemonConfig(&claimClient{claims, logger})
	if err != nil {
		return err
	}
	if p.daemon, err = daemon.New(config); err != nil {
		return err
	}
	if p.feed, err = p.newFeed(); err != nil {
		return err
	}
	return p.run(ctx, force)
}

// listeners returns the listeners that other processes connect to.
func (p *daemonProcess) listeners() []listener {
	list := []listener{{"entrance", p.settings.Listen.Ingress}, {"peer", p.settings.Listen.Peer}}
	if p.settings.Relay != nil {
		list = append(list, listener{"relay", p.settings.Relay.Listen})
	}
	return list
}

func (p *daemonProcess) daemonConfig(claims daemon.ClaimClient) (daemon.Config, error) {
	s := p.settings
	peerServer, serverErr := serverTLS(p.files, secure.RoleDaemon)
	peerClient, clientErr := clientTLS(p.files, secure.RoleDaemon)
	ingress, ingressErr := ingressTLS(s.TLS)
	return daemon.Config{
		ID: s.ID, Incarnation: p.incarnation, Region: s.Region, AvailabilityZone: s.AvailabilityZone, Service: s.Service,
		IngressAddress: s.Listen.Ingress, EgressAddress: s.Listen.Egress, PeerListenAddress: s.Listen.Peer, AdminAddress: s.Listen.Admin,
		Upstream: s.Upstream.URL, HealthURL: s.Upstream.HealthURL,
		ServerTLS: peerServer, ClientTLS: peerClient, IngressTLS: ingress,
		Claims:     claims,
		LinkBudget: balance.NewLinkBudget(balance.LinkBudgetConfig{PerRegion: s.LinkBudgets}),
		Logger:     p.logger,
		Seed:       newSeed(),
		Held:       heldLimits(heldSettings(s.Limits), daemon.VMMemoryBytes, 0),
	}, errors.CombineErrors(serverErr, errors.CombineErrors(clientErr, ingressErr))
}

func (p *daemonProcess) newFeed() (*relay.Subscriber, error) {
	creds, err := p.files.ClientCredentials(secure.RoleDaemon)
	if err != nil {
		return nil, err
	}
	s := p.settings
	return relay.NewSubscriber(relay.SubscriberConfig{
		ID: s.ID, Region: s.Region, AvailabilityZone: s.AvailabilityZone, Incarnation: p.incarnation,
		Relays:      endpoints(s.Relays),
		Credentials: creds,
		Logger:      p.logger,
		OnChange:    p.views.put,
	})
}

// endpoints returns feed servers that are named by their addresses. These names are used only
// within this process.
func endpoints(addresses []string) []relay.Endpoint {
	list := make([]relay.Endpoint, 0, len(addresses))
	for _, a := range addresses {
		list = append(list, relay.Endpoint{Name: a, Address: a})
	}
	return list
}

// run starts the relay first, since the feed client of this daemon uses it, and shuts down in
// the reverse order.
func (p *daemonProcess) run(ctx, force context.Context) error {
	stopRelay, err := p.startRelay()
	if err != nil {
		return err
	}
	defer stopRelay()
	runCtx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { p.feed.Run(runCtx) })
	wg.Go(func() { p.applyViews(runCtx) })
	wg.Go(func() { p.announce(runCtx) })
	wg.Go(func() { watchHeld(runCtx, p.daemon.Held, p.logger) })
	defer wg.Wait()
	defer cancel()
	defer p.deregister()
	stop := context.AfterFunc(force, p.daemon.Kill)
	defer stop()
	p.logger.Info().Str("id", p.settings.ID).Str("service", p.settings.Service).
		Str("entrance", p.settings.Listen.Ingress).Msg("daemon started")
	err = p.daemon.Run(ctx)
	if err == nil && force.Err() != nil {
		err = &ForcedShutdownError{}
	}
	logStopped(p.logger, "daemon", err)
	return err
}

func (p *daemonProcess) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	p.feed.Deregister(ctx)
}

// startRelay starts the feed server if this daemon is a relay. Stop shuts it down.
func (p *daemonProcess) startRelay() (stop func(), err error) {
	s := p.settings.Relay
	if s == nil {
		return func() {}, nil
	}
	r, err := p.newRelay()
	if err != nil {
		return nil, err
	}
	options, err := feedServerOptions(p.files)
	if err != nil {
		return nil, err
	}
	socket, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "opening the listener of the feed server")
	}
	server := grpc.NewServer(options...)
	api.RegisterFeedServer(server, r)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	wg.Go(func() {
		if err := server.Serve(socket); err != nil {
			p.logger.Error().Err(err).Msg("feed server failed")
		}
	})
	return func() {
		cancel()
		server.Stop()
		wg.Wait()
	}, nil
}

func (p *daemonProcess) newRelay() (*relay.Relay, error) {
	creds, err := p.files.ClientCredentials(secure.RoleDaemon, secure.RoleControl)
	if err != nil {
		return nil, err
	}
	s := p.settings
	remote := map[string][]relay.Endpoint{}
	for az, addresses := range s.Relay.RemoteRelays {
		remote[az] = endpoints(addresses)
	}
	return relay.NewRelay(relay.RelayConfig{
		Name: s.ID, Region: s.Region, AvailabilityZone: s.AvailabilityZone,
		Sources: endpoints(s.Relay.Sources), Relays: setOwnName(endpoints(s.Relays), s.Relay.Listen, s.ID), Remote: remote,
		Credentials: creds,
		Authorize:   authorize(p.files),
		Logger:      p.logger,
	})
}

// setOwnName names the endpoint at address by the id in the certificate of this relay. By
// that name, the relay excludes itself from its sources.
func setOwnName(relays []relay.Endpoint, address, id string) []relay.Endpoint {
	for i := range relays {
		if relays[i].Address == address {
			relays[i].Name = id
		}
	}
	return relays
}

// applyViews passes each newest view of the feed to the daemon until ctx is cancelled.
func (p *daemonProcess) applyViews(ctx context.Context) {
	translate := newTranslator(p.logger)
	for {
		view, ok := p.views.take(ctx)
		if !ok {
			return
		}
		if err := p.daemon.SetSnapshot(translate.snapshot(view)); err != nil {
			p.logger.Error().Uint64("version", view.ActiveVersion).Err(err).Msg("configuration not activated")
		}
	}
}

// announce sends each change of the upstream's state to the relays until ctx is cancelled.
func (p *daemonProcess) announce(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	var sequence uint64
	for {
		a, ok := p.daemon.Announcement()
		if !ok {
			return // a daemon without an upstream
		}
		if a.Sequence != sequence && a.State != api.UpstreamState_UPSTREAM_STATE_GONE {
			sequence = a.Sequence
			p.feed.Announce(toAnnouncement(a, time.Now()))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func toAnnouncement(a *api.Announcement, now time.Time) relay.Announcement {
	out := relay.Announcement{Service: a.Service, Address: a.PeerAddress, State: feed.State(a.State), Slots: a.Slots}
	if a.State == api.UpstreamState_UPSTREAM_STATE_SERVING {
		out.ServingSince = now.Add(-time.Duration(a.UpMs) * time.Millisecond)
	}
	return out
}
