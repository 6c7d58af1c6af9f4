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

// retryShare is the part of the repeats that the users allow which the daemons
// use. The rest covers requests that arrive at the edge of a window.
const retryShare = 0.9

// RunFleetDaemon runs the daemon beside one upstream of a fleet until ctx ends.
// Settings are those of the platform.
func RunFleetDaemon(ctx context.Context, o FleetOptions) error {
	p, err := newFleetProcess(o)
	if err != nil {
		return err
	}
	s := &p.settings
	p.Logger.Info().Str("vm", s.VM).Str("service", s.Service).Str("upstream", s.UpstreamAddress).Str("entrance", s.EntranceAddress).
		Str("peer", s.PeerAddress).Str("availability_zone", s.AvailabilityZone).Strs("seeds", s.Seeds).Msg("daemon started")
	d := &fleetDaemon{fleetProcess: p}
	err = d.run(ctx)
	logStopped(p.Logger, "daemon", err)
	return err
}

// fleetDaemon connects the request path with the fleet.
type fleetDaemon struct {
	fleetProcess
	forwarder *forward.Forwarder
	agent     *fleet.Agent
	table     atomic.Pointer[routing.Table]
	announced atomic.Bool
}

func (d *fleetDaemon) run(ctx context.Context) error {
	s := &d.settings
	var err error
	d.forwarder, err = forward.New(ctx, forward.Config{
		IngressAddress: s.EntranceAddress, PeerAddress: s.PeerAddress, UpstreamAddress: s.UpstreamAddress, Service: s.Service,
		Region: s.Region, AvailabilityZone: s.AvailabilityZone, HeaderNames: platform.Dialect(),
		RetryBudget:         forward.RetryBudgetConfig{Ratio: s.RetryRatio * retryShare, MinRetries: s.RetrySlack * retryShare, Window: s.RetryWindow},
		ShutdownGracePeriod: s.Grace, Now: monotonic.Now, Seed: newSeed(), Logger: d.Logger, ResolvePeer: d.place,
	})
	if err != nil {
		return err
	}
	d.agent = fleet.NewAgent(fleet.AgentConfig{
		Address: s.PeerAddress, Region: s.Region, AvailabilityZone: s.AvailabilityZone, RegionOf: func(zone string) string { return s.RegionOf[zone] },
		Seeds: s.Seeds, Dialer: d.dialControl, Logger: d.Logger, Clock: monotonic.Now, Seed: newSeed(), OnChange: d.changed,
	})
	d.forwarder.OnUpstreamChange(d.announce)
	return d.serve(ctx)
}

func (d *fleetDaemon) serve(ctx context.Context) error {
	// The agent and the small listeners outlast the planned stop of the forwarder.
	running, end := context.WithCancel(context.Background())
	defer end()
	var parts sync.WaitGroup
	if err := serveHTTP(running, &parts, d.settings.ReadyAddress, platform.ReadyHandler(d.forwarder.Ready), d.Logger); err != nil {
		return err
	}
	if err := serveHTTP(running, &parts, d.settings.ControlAddress, platform.UpstreamHandler(d.forwarder), d.Logger); err != nil {
		return err
	}
	if err := d.serveMetrics(running, &parts, d.forwarder.WriteMetrics); err != nil {
		return err
	}
	unknown := time.AfterFunc(unknownAfter, d.announceUnknown)
	defer unknown.Stop()
	parts.Go(func() { d.agent.Run(running) })
	parts.Go(func() { platform.WatchSettings(running, d.Settings, d.Reload, d.Logger, d.reloaded) })
	d.forwarder.Run(ctx)
	end()
	parts.Wait()
	return nil
}

// reloaded takes over what may change while the process runs.
func (d *fleetDaemon) reloaded(s platform.Settings) {
	d.agent.SetSeeds(s.Seeds)
	if s.EntranceAddress != d.settings.EntranceAddress || s.Service != d.settings.Service || s.UpstreamAddress != d.settings.UpstreamAddress {
		d.Logger.Warn().Msg("changed addresses and services take effect at the next start")
	}
}

// unknownAfter is how long a daemon that has just started waits for news of its
// upstream before it replaces the entry of its former run. That entry is right as
// a rule: the daemon was restarted and the upstream was not.
const unknownAfter = 3 * time.Second

// announceUnknown tells the fleet that no upstream is known here.
func (d *fleetDaemon) announceUnknown() {
	if !d.announced.Load() {
		d.announce(forward.LocalUpstream{})
	}
}

// announce tells the fleet of a change of the local upstream.
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

// changed puts a new state of the fleet in force.
func (d *fleetDaemon) changed(s fleet.State) {
	table, err := d.tableOf(s.Routing)
	if err != nil {
		d.Logger.Error().Uint64("number", s.Routing.GetNumber()).Err(err).Msg("accepted configuration cannot be used")
		return
	}
	d.forwarder.UpdateFleet(forward.FleetState{Table: table, Upstreams: upstreamsOf(s.Members), Daemons: len(s.Members)})
}

// tableOf decodes a routing document, unless it is the one in force.
func (d *fleetDaemon) tableOf(doc *api.RoutingDocument) (*routing.Table, error) {
	if doc == nil {
		return nil, nil
	}
	if held := d.table.Load(); held != nil && held.Version == doc.Number {
		return held, nil
	}
	text, err := fleet.InflateDocument(doc)
	if err != nil {
		return nil, err
	}
	table, err := platform.DecodeConfig(text)
	if err != nil {
		return nil, err
	}
	d.table.Store(table)
	return table, nil
}

func upstreamsOf(members map[string]*api.FleetMember) map[string][]balance.Upstream {
	out := map[string][]balance.Upstream{}
	for _, m := range members {
		if m.UpstreamId == "" || m.State != api.UpstreamState_UPSTREAM_STATE_SERVING {
			continue
		}
		out[m.Service] = append(out[m.Service], balance.Upstream{
			ID: m.UpstreamId, Address: m.PeerAddress, Region: m.Region, AvailabilityZone: m.AvailabilityZone, Slots: int(m.Slots),
		})
	}
	return out
}
