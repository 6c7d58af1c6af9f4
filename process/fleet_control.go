package process

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/control"
	"github.com/bilberrydeck/bilberrydeck/core/holding"
	"github.com/bilberrydeck/bilberrydeck/core/statemachine"
	"github.com/bilberrydeck/bilberrydeck/fleet"
	"github.com/bilberrydeck/bilberrydeck/internal/monotonic"
	"github.com/bilberrydeck/bilberrydeck/internal/tcpopt"
	"github.com/bilberrydeck/bilberrydeck/platform"
	"github.com/bilberrydeck/bilberrydeck/storage"
)

// The timing of replication between VMs of several regions. Traffic between availability
// zones is paid for by the byte, so heartbeats are only as frequent as the maximum age of
// quorum confirmations requires; a follower's confirmation is up to three rounds old. An
// election ends within the three seconds after which the group must be available again.
const (
	fleetTickInterval   = 50 * time.Millisecond
	fleetHeartbeatTicks = 5
	fleetElectionTicks  = 18
)

// replicaSubdir is the name of the replica's directory in the data directory.
const replicaSubdir = "replica"

// RunFleetControl runs a control replica of a fleet with the platform's settings until ctx is
// cancelled. It restarts the replica after a disk failure or a removal from the group, and
// returns any other error.
func RunFleetControl(ctx context.Context, o FleetOptions) error {
	p, err := newFleetProcess(o)
	if err != nil {
		return err
	}
	s := &p.settings
	p.Logger.Info().Str("vm", s.VM).Str("address", s.ReplicaAddress()).Str("availability_zone", s.AvailabilityZone).
		Bool("first_start", s.FirstStart).Strs("seeds", s.Seeds).Int("losses", s.ToleratedFailures).Msg("control started")
	p.ledger = holding.NewLedger(p.heldLimits(), monotonic.Now)
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go watchHeld(watchCtx, p.ledger.Usage, p.Logger)
	for {
		err = p.runReplica(ctx)
		if ctx.Err() != nil || !p.prepareRestart(ctx, err) {
			break
		}
	}
	logStopped(p.Logger, "control", err)
	return err
}

// diskRetryDelay is the delay before a replica is restarted after a disk failure.
const diskRetryDelay = 500 * time.Millisecond

// prepareRestart prepares a restart of the replica after an error from which it can recover.
// It reports whether the replica is to be restarted.
func (p *fleetProcess) prepareRestart(ctx context.Context, err error) bool {
	var removed *control.RemovedError
	var disk *storage.IOError
	switch {
	case errors.As(err, &removed):
		// The group no longer accepts the removed replica, so the process joins as a new one.
		p.Logger.Warn().Uint64("replica", removed.Replica).Msg("replica removed from the group; restarting without state")
		p.settings.FirstStart = false
		if err := os.RemoveAll(p.replicaDir()); err != nil {
			p.Logger.Error().Err(err).Msg("data of the former replica cannot be removed")
			return false
		}
		return true
	case errors.As(err, &disk):
		// The result of a failed write is known only after the files were read again, as
		// after a crash. A full disk may have free space again later.
		p.Logger.Error().Err(err).Msg("disk failed; restarting the replica from its data")
		select {
		case <-time.After(diskRetryDelay):
		case <-ctx.Done():
		}
		return true
	}
	return false
}

func (p *fleetProcess) replicaDir() string { return filepath.Join(p.settings.DataDir, replicaSubdir) }

// replacementTimeout limits how long a graceful shutdown waits until a learner has replaced this
// replica as a voter. It covers several round trips between regions and disk syncs, and is
// shorter than usual shutdown grace periods.
const replacementTimeout = 1500 * time.Millisecond

// runReplica runs one control replica with its listeners until it fails or stop is cancelled.
// After stop is cancelled, it requests a replacement by a learner before it returns.
func (p *fleetProcess) runReplica(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	service := fleet.NewSessionServer(p.Logger, monotonic.Now, p.dialControl)
	server, err := p.newReplica(ctx, func(r grpc.ServiceRegistrar) { api.RegisterFleetServer(r, service) })
	if err != nil {
		return err
	}
	service.SetControlServer(server)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	if err := p.serveOperators(ctx, &wg, service); err != nil {
		return err
	}
	if err := p.serveMetrics(ctx, &wg, controlMetrics(server, service, p.ledger)); err != nil {
		return err
	}
	wg.Go(func() { service.Run(ctx) })
	wg.Go(func() {
		select {
		case <-ctx.Done():
			return
		case <-stop.Done():
		}
		replaceCtx, cancelReplace := context.WithTimeout(ctx, replacementTimeout)
		defer cancelReplace()
		server.RequestReplacement(replaceCtx)
		cancel()
	})
	wg.Go(func() { platform.WatchSettings(ctx, p.Settings, p.Reload, p.Logger, func(platform.Settings) {}) })
	return server.Run(ctx)
}

func (p *fleetProcess) newReplica(ctx context.Context, register func(grpc.ServiceRegistrar)) (*control.Server, error) {
	s := &p.settings
	listener, err := tcpopt.Listen(ctx, s.ReplicaAddress())
	if err != nil {
		return nil, err
	}
	return control.New(control.Config{
		Listener: listener, AdvertiseAddress: s.ReplicaAddress(), DataDirectory: p.replicaDir(),
		Discovery: &control.DiscoveryConfig{
			Seeds: s.Seeds, FirstStart: s.FirstStart, AvailabilityZone: s.AvailabilityZone, ToleratedFailures: s.ToleratedFailures,
		},
		Plaintext: true, Dialer: p.dialControl, Logger: p.Logger, Clock: monotonic.Now, Seed: newSeed(),
		TickInterval: fleetTickInterval, HeartbeatTicks: fleetHeartbeatTicks, ElectionTicks: fleetElectionTicks,
		NewStateMachine: func(uint32) control.StateMachine { return statemachine.NewFleet() },
		Register:        register,
	})
}

func (p *fleetProcess) serveOperators(ctx context.Context, wg *sync.WaitGroup, service *fleet.SessionServer) error {
	_, port, err := net.SplitHostPort(p.settings.ControlAddress)
	if err != nil {
		return err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	return serveHTTP(ctx, wg, p.settings.ControlAddress, platform.OperatorHandler(service, number, p.ledger, p.Logger), p.ledger, p.Logger)
}
