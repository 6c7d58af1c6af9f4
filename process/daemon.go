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
	// announceEvery is how often the state of the upstream is compared with
	// the announced one. It delays the announcement of a planned stop, which
	// the entrance allows 2 s for.
	announceEvery = 50 * time.Millisecond
	// leaveTime bounds the wait for relays to hear that the upstream is gone.
	// Without their answer its lease expires after 3 s.
	leaveTime = time.Second
)

// ForcedStopError reports a stop that cut off what was in flight.
type ForcedStopError struct{}

// Error implements error.
func (*ForcedStopError) Error() string { return "the stop was forced; requests in flight were cut off" }

// daemonProcess is a running daemon with its connections to control and relays.
type daemonProcess struct {
	settings settings.Daemon
	files    secure.Config
	logger   *logging.Logger
	boot     uint64 // grows with each start
	daemon   *daemon.Daemon
	feed     *relay.Subscriber
	views    *latest[*relay.FeedState]
}

// RunDaemon runs a daemon until it has stopped. The end of ctx starts a planned
// stop, which lets everything in flight finish; the end of force cuts it short,
// which is reported as a *ForcedStopError.
func RunDaemon(ctx, force context.Context, s settings.Daemon, logger *logging.Logger) error {
	p := &daemonProcess{settings: s, files: tlsFiles(s.TLS), logger: logger, boot: uint64(time.Now().UnixNano()),
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
	config, err := p.daemonConfig(&claimer{claims, logger})
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

// listeners are those that other processes may reach.
func (p *daemonProcess) listeners() []listener {
	list := []listener{{"entrance", p.settings.Listen.Entrance}, {"peer", p.settings.Listen.Peer}}
	if p.settings.Relay != nil {
		list = append(list, listener{"relay", p.settings.Relay.Listen})
	}
	return list
}

func (p *daemonProcess) daemonConfig(claims daemon.ClaimClient) (daemon.Config, error) {
	s := p.settings
	peerServer, serverErr := serverTLS(p.files, secure.RoleDaemon)
	peerClient, clientErr := clientTLS(p.files, secure.RoleDaemon)
	entrance, entranceErr := entranceTLS(s.TLS)
	return daemon.Config{
		ID: s.ID, Incarnation: p.boot, Region: s.Region, AvailabilityZone: s.AvailabilityZone, Service: s.Service,
		IngressAddress: s.Listen.Entrance, EgressAddress: s.Listen.Exit, PeerListenAddress: s.Listen.Peer, AdminAddress: s.Listen.Admin,
		Upstream: s.Upstream.URL, HealthURL: s.Upstream.HealthURL,
		ServerTLS: peerServer, ClientTLS: peerClient, IngressTLS: entrance,
		Claims:     claims,
		LinkBudget: balance.NewLinkBudget(balance.LinkBudgetConfig{PerRegion: s.LinkBudgets}),
		Logger:     p.logger,
		Seed:       newSeed(),
	}, errors.CombineErrors(serverErr, errors.CombineErrors(clientErr, entranceErr))
}

func (p *daemonProcess) newFeed() (*relay.Subscriber, error) {
	creds, err := p.files.ClientCredentials(secure.RoleDaemon)
	if err != nil {
		return nil, err
	}
	s := p.settings
	return relay.NewSubscriber(relay.SubscriberConfig{
		ID: s.ID, Region: s.Region, AvailabilityZone: s.AvailabilityZone, Incarnation: p.boot,
		Relays:      endpoints(s.Relays),
		Credentials: creds,
		Logger:      p.logger,
		OnChange:    p.views.put,
	})
}

// endpoints names feed servers by their addresses. The names are not compared
// with those that other processes use.
func endpoints(addresses []string) []relay.Endpoint {
	list := make([]relay.Endpoint, 0, len(addresses))
	for _, a := range addresses {
		list = append(list, relay.Endpoint{Name: a, Address: a})
	}
	return list
}

// run starts the relay first, since the feed client of this daemon uses it,
// and ends in the reverse order.
func (p *daemonProcess) run(ctx, force context.Context) error {
	stopRelay, err := p.startRelay()
	if err != nil {
		return err
	}
	defer stopRelay()
	running, end := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	parts.Go(func() { p.feed.Run(running) })
	parts.Go(func() { p.followViews(running) })
	parts.Go(func() { p.announce(running) })
	defer parts.Wait()
	defer end()
	defer p.leave()
	stop := context.AfterFunc(force, p.daemon.Kill)
	defer stop()
	p.logger.Info().Str("id", p.settings.ID).Str("service", p.settings.Service).
		Str("entrance", p.settings.Listen.Entrance).Msg("daemon started")
	err = p.daemon.Run(ctx)
	if err == nil && force.Err() != nil {
		err = &ForcedStopError{}
	}
	logStopped(p.logger, "daemon", err)
	return err
}

func (p *daemonProcess) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	p.feed.Deregister(ctx)
}

// startRelay serves the feed if this daemon is a relay.
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
		return nil, errors.Wrap(err, "listening for the feed")
	}
	server := grpc.NewServer(options...)
	api.RegisterFeedServer(server, r)
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	parts.Go(func() { r.Run(ctx) })
	parts.Go(func() {
		if err := server.Serve(socket); err != nil {
			p.logger.Error().Err(err).Msg("feed server failed")
		}
	})
	return func() {
		cancel()
		server.Stop()
		parts.Wait()
	}, nil
}

func (p *daemonProcess) newRelay() (*relay.Relay, error) {
	creds, err := p.files.ClientCredentials(secure.RoleDaemon, secure.RoleControl)
	if err != nil {
		return nil, err
	}
	s := p.settings
	remote := map[string][]relay.Endpoint{}
	for az, addresses := range s.Relay.Others {
		remote[az] = endpoints(addresses)
	}
	return relay.NewRelay(relay.RelayConfig{
		Name: s.ID, Region: s.Region, AvailabilityZone: s.AvailabilityZone,
		Sources: endpoints(s.Relay.Source), Relays: ownNamed(endpoints(s.Relays), s.Relay.Listen, s.ID), Remote: remote,
		Credentials: creds,
		Authorize:   authorize(p.files),
		Logger:      p.logger,
	})
}

// ownNamed gives the endpoint of this relay the id that its certificate proves,
// by which the relay leaves itself out of its sources.
func ownNamed(relays []relay.Endpoint, address, id string) []relay.Endpoint {
	for i := range relays {
		if relays[i].Address == address {
			relays[i].Name = id
		}
	}
	return relays
}

// followViews puts the newest view of the feed in force.
func (p *daemonProcess) followViews(ctx context.Context) {
	translate := newTranslator(p.logger)
	for {
		view, ok := p.views.take(ctx)
		if !ok {
			return
		}
		if err := p.daemon.SetSnapshot(translate.snapshot(view)); err != nil {
			p.logger.Error().Uint64("version", view.ActiveVersion).Err(err).Msg("configuration not put in force")
		}
	}
}

// announce tells the relays of each change of the upstream's state.
func (p *daemonProcess) announce(ctx context.Context) {
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	var sequence uint64
	for {
		a, ok := p.daemon.Announcement()
		if !ok {
			return // a daemon without an upstream
		}
		if a.Sequence != sequence && a.State != api.UpstreamState_UPSTREAM_STATE_GONE {
			sequence = a.Sequence
			p.feed.Announce(announcementOf(a, time.Now()))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func announcementOf(a *api.Announcement, now time.Time) relay.Announcement {
	out := relay.Announcement{Service: a.Service, Address: a.PeerAddress, State: feed.State(a.State), Slots: a.Slots}
	if a.State == api.UpstreamState_UPSTREAM_STATE_SERVING {
		out.ServingSince = now.Add(-time.Duration(a.UpMs) * time.Millisecond)
	}
	return out
}
