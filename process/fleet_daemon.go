package process

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/lifecycle"
	"github.com/bilberrydeck/bilberrydeck/core/routing"
	"github.com/bilberrydeck/bilberrydeck/fleet"
	"github.com/bilberrydeck/bilberrydeck/forward"
	"github.com/bilberrydeck/bilberrydeck/internal/monotonic"
	"github.com/bilberrydeck/bilberrydeck/platform"
)

// retryBudgetFraction is the fraction of the users' retry budget that the daemons use. The
// rest covers requests that arrive at the edge of a window.
const retryBudgetFraction = 0.9

// RunFleetDaemon runs the daemon of one upstream of a fleet with the platform's settings.
// Cancelling ctx starts a graceful shutdown.
func RunFleetDaemon(ctx context.Context, o FleetOptions) error {
	p, err := newFleetProcess(o)
	if err != nil {
		return err
	}
	s := &p.settings
	p.Logger.Info().Str("vm", s.VM).Str("service", s.Service).Str("upstream", s.UpstreamAddress).Str("entrance", s.IngressAddress).
		Str("peer", s.PeerAddress).Str("availability_zone", s.AvailabilityZone).Strs("seeds", s.Seeds).Msg("daemon started")
	d := &fleetDaemon{fleetProcess: p}
	err = d.run(ctx)
	logStopped(p.Logger, "daemon", err)
	return err
}

// fleetDaemon connects the request path with the replicated state of the fleet.
type fleetDaemon struct {
	fleetProcess
	forwarder *forward.Forwarder
	agent     *fleet.Agent
	announced atomic.Bool

	// The state of the fleet, owned by the agent's goroutine.
	table         *routing.Table   // the active configuration, nil before the first one
	decodedConfig uint64           // version of the configuration that was decoded last
	oddMembers    map[string]error // errors of the member entries that are ignored, by the daemon's address
}

func (d *fleetDaemon) run(ctx context.Context) error {
	s := &d.settings
	var err error
	d.forwarder, err = forward.New(ctx, forward.Config{
		IngressAddress: s.IngressAddress, PeerAddress: s.PeerAddress, UpstreamAddress: s.UpstreamAddress, Service: s.Service,
		Region: s.Region, AvailabilityZone: s.AvailabilityZone, HeaderNames: platform.HeaderNames(),
		RetryBudget: forward.RetryBudgetConfig{Ratio: s.RetryRatio * retryBudgetFraction, MinRetries: s.MinRetries * retryBudgetFraction, Window: s.RetryWindow},
		BufferBytes: responseBufferBytes(s.MemoryBytes), Held: d.heldLimits(), ShutdownGracePeriod: s.ShutdownGracePeriod, Now: monotonic.Now, Seed: newSeed(), Logger: d.Logger, ResolvePeer: d.dialAddress,
	})
	if err != nil {
		return err
	}
	d.agent = fleet.NewAgent(fleet.AgentConfig{
		Address: s.PeerAddress, Region: s.Region, AvailabilityZone: s.AvailabilityZone, RegionOf: func(zone string) string { return s.RegionOf[zone] },
		Seeds: s.Seeds, Dialer: d.dialControl, Logger: d.Logger, Clock: monotonic.Now, Seed: newSeed(), OnChange: d.applyState,
	})
	d.forwarder.OnUpstreamChange(d.announce)
	return d.serve(ctx)
}

func (d *fleetDaemon) serve(ctx context.Context) error {
	// The agent and the HTTP listeners continue until the forwarder has shut down gracefully.
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	if err := serveHTTP(runCtx, &wg, d.settings.ReadyAddress, platform.ReadyHandler(d.forwarder.Ready), newLocalLedger(), d.Logger); err != nil {
		return err
	}
	if err := serveHTTP(runCtx, &wg, d.settings.ControlAddress, platform.UpstreamHandler(d.forwarder), newLocalLedger(), d.Logger); err != nil {
		return err
	}
	if err := d.serveMetrics(runCtx, &wg, d.forwarder.WriteMetrics); err != nil {
		return err
	}
	unknown := time.AfterFunc(unknownUpstreamTimeout, d.announceNoUpstream)
	defer unknown.Stop()
	wg.Go(func() { d.agent.Run(runCtx) })
	wg.Go(func() { watchHeld(runCtx, d.forwarder.Held, d.Logger) })
	wg.Go(func() { platform.WatchSettings(runCtx, d.Settings, d.Reload, d.Logger, d.applySettings) })
	d.forwarder.Run(ctx)
	cancel()
	wg.Wait()
	return nil
}

// applySettings applies changed seeds. Other changes take effect only after a restart; for the
// ingress address, the service and the upstream address, it logs a warning.
func (d *fleetDaemon) applySettings(s platform.Settings) {
	d.agent.SetSeeds(s.Seeds)
	if s.IngressAddress != d.settings.IngressAddress || s.Service != d.settings.Service || s.UpstreamAddress != d.settings.UpstreamAddress {
		d.Logger.Warn().Msg("changed addresses and services take effect at the next start")
	}
}

// unknownUpstreamTimeout is how long a daemon that has just started waits for a heartbeat of
// its upstream before it replaces the member entry of its previous incarnation. That entry is
// usually still correct, since the upstream continued while the daemon restarted.
const unknownUpstreamTimeout = 3 * time.Second

// announceNoUpstream announces that no upstream is known on this VM, unless there was an
// announcement before.
func (d *fleetDaemon) announceNoUpstream() {
	if !d.announced.Load() {
		d.announce(forward.LocalUpstream{})
	}
}

// announce publishes the state of the local upstream in the member entry of this daemon.
func (d *fleetDaemon) announce(u forward.LocalUpstream) {
	d.announced.Store(true)
	m := &api.FleetMember{Service: d.settings.Service, UpstreamId: u.ID, Slots: uint32(u.Slots)}
	switch {
	case u.State == lifecycle.Draining:
		m.State = api.UpstreamState_UPSTREAM_STATE_DRAINING
	case u.State == lifecycle.Ready && !u.Unreachable:
		m.State = api.UpstreamState_UPSTREAM_STATE_SERVING
		m.WarmUpMs = uint32(max(u.WarmUntil.Sub(monotonic.Now()), 0).Milliseconds())
	default:
		m.State = api.UpstreamState_UPSTREAM_STATE_STARTING
	}
	d.agent.Announce(m)
}

// applyState passes a new state of the fleet to the forwarder.
func (d *fleetDaemon) applyState(s fleet.State) { d.forwarder.UpdateFleet(d.fleetState(s)) }

// fleetState returns the state as the forwarder uses it. Odd entries and an unusable configuration
// do not keep the rest from taking effect.
func (d *fleetDaemon) fleetState(s fleet.State) forward.FleetState {
	upstreams, odd := servingUpstreams(s.Members)
	d.logOddMembers(odd)
	return forward.FleetState{Table: d.routingTable(s.Routing), Upstreams: upstreams, Daemons: len(s.Members)}
}

// logOddMembers logs each unusable member entry when it appears and when it is gone.
func (d *fleetDaemon) logOddMembers(odd map[string]error) {
	for address, err := range odd {
		if before := d.oddMembers[address]; before == nil || before.Error() != err.Error() {
			d.Logger.Warn().Str("daemon", address).Err(err).Msg("member entry ignored")
		}
	}
	for address := range d.oddMembers {
		if odd[address] == nil {
			d.Logger.Info().Str("daemon", address).Msg("member entry usable or removed")
		}
	}
	d.oddMembers = odd
}

// routingTable returns the table of a routing document, or the active table if the document cannot
// be used. It decodes a document only once.
func (d *fleetDaemon) routingTable(doc *api.RoutingDocument) *routing.Table {
	if doc == nil || doc.Number == d.decodedConfig {
		return d.table
	}
	d.decodedConfig = doc.Number
	table, err := decodeRoutingDocument(doc)
	if err != nil {
		d.Logger.Error().Uint64("number", doc.Number).Err(err).Msg("accepted configuration not activated")
		return d.table
	}
	d.table = table
	return table
}

func decodeRoutingDocument(doc *api.RoutingDocument) (*routing.Table, error) {
	text, err := fleet.InflateDocument(doc)
	if err != nil {
		return nil, err
	}
	return platform.DecodeConfig(text)
}

// servingUpstreams returns the upstreams in state serving by service, and the errors of the member
// entries that cannot be used by the address of the daemon. The other entries hold.
func servingUpstreams(members map[string]*api.FleetMember) (map[string][]balance.Upstream, map[string]error) {
	out := map[string][]balance.Upstream{}
	odd := map[string]error{}
	for address, m := range members {
		serving, err := fleet.ServingUpstream(m)
		if err != nil {
			odd[address] = err
		}
		if !serving {
			continue
		}
		out[m.Service] = append(out[m.Service], balance.Upstream{
			ID: m.UpstreamId, Address: m.PeerAddress, Region: m.Region, AvailabilityZone: m.AvailabilityZone, Slots: int(m.Slots),
		})
	}
	return out, odd
}
