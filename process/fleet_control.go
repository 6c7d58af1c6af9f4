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
	"github.com/bilberrydeck/bilberrydeck/core/statemachine"
	"github.com/bilberrydeck/bilberrydeck/fleet"
	"github.com/bilberrydeck/bilberrydeck/internal/monotonic"
	"github.com/bilberrydeck/bilberrydeck/internal/tcpopt"
	"github.com/bilberrydeck/bilberrydeck/platform"
	"github.com/bilberrydeck/bilberrydeck/storage"
)

// The timing of replication between VMs of several regions. Traffic between
// zones is paid for by the byte, so heartbeats are no more frequent than the age
// of confirmations asks for, which is three rounds at a follower. An election
// ends within the three seconds after which the group must work again.
const (
	fleetTick           = 50 * time.Millisecond
	fleetHeartbeatTicks = 5
	fleetElectionTicks  = 18
)

// replicaDirectory is the directory of the replica below the data directory.
const replicaDirectory = "replica"

// RunFleetControl runs a control replica of a fleet until ctx ends or its disk
// fails. Settings are those of the platform.
func RunFleetControl(ctx context.Context, o FleetOptions) error {
	p, err := newFleetProcess(o)
	if err != nil {
		return err
	}
	s := &p.settings
	p.Logger.Info().Str("vm", s.VM).Str("address", s.ReplicaAddress()).Str("availability_zone", s.AvailabilityZone).
		Bool("first_start", s.FirstStart).Strs("seeds", s.Seeds).Int("losses", s.Losses).Msg("control started")
	for {
		err = p.runReplica(ctx)
		if ctx.Err() != nil || !p.recover(ctx, err) {
			break
		}
	}
	logStopped(p.Logger, "control", err)
	return err
}

// diskRetry is the pause before a replica whose disk failed is started again.
const diskRetry = 500 * time.Millisecond

// recover prepares another start after an error that does not concern the whole
// process. It reports whether there is one to make.
func (p *fleetProcess) recover(ctx context.Context, err error) bool {
	var removed *control.RemovedError
	var disk *storage.IOError
	switch {
	case errors.As(err, &removed):
		// Its data is of no use to the group any more; it joins as a new replica.
		p.Logger.Warn().Uint64("replica", removed.Replica).Msg("replaced by the group; starting anew without state")
		p.settings.FirstStart = false
		if err := os.RemoveAll(p.directory()); err != nil {
			p.Logger.Error().Err(err).Msg("data of the former replica cannot be removed")
			return false
		}
		return true
	case errors.As(err, &disk):
		// What a failed write has left is known only after the files were read
		// again, as after a crash. A full disk may have room again later.
		p.Logger.Error().Err(err).Msg("disk failed; starting again from what it holds")
		select {
		case <-time.After(diskRetry):
		case <-ctx.Done():
		}
		return true
	}
	return false
}

func (p *fleetProcess) directory() string { return filepath.Join(p.settings.DataDir, replicaDirectory) }

// handOverTime is how long a planned stop waits until a learner votes in place of this
// replica: some rounds between regions and syncs. It is a part of any usual grace.
const handOverTime = 1500 * time.Millisecond

func (p *fleetProcess) runReplica(stop context.Context) error {
	ctx, end := context.WithCancel(context.WithoutCancel(stop))
	defer end()
	service := fleet.NewSessionServer(p.Logger, monotonic.Now, p.dialControl)
	server, err := p.newReplica(ctx, func(r grpc.ServiceRegistrar) { api.RegisterFleetServer(r, service) })
	if err != nil {
		return err
	}
	service.SetControlServer(server)
	var parts sync.WaitGroup
	defer parts.Wait()
	defer end()
	if err := p.serveOperators(ctx, &parts, service); err != nil {
		return err
	}
	if err := p.serveMetrics(ctx, &parts, controlMetrics(server, service)); err != nil {
		return err
	}
	parts.Go(func() { service.Run(ctx) })
	parts.Go(func() {
		select {
		case <-ctx.Done():
			return
		case <-stop.Done():
		}
		handOver, cancel := context.WithTimeout(ctx, handOverTime)
		defer cancel()
		server.RequestReplacement(handOver)
		end()
	})
	parts.Go(func() { platform.WatchSettings(ctx, p.Settings, p.Reload, p.Logger, func(platform.Settings) {}) })
	return server.Run(ctx)
}

func (p *fleetProcess) newReplica(ctx context.Context, register func(grpc.ServiceRegistrar)) (*control.Server, error) {
	s := &p.settings
	listener, err := tcpopt.Listen(ctx, s.ReplicaAddress())
	if err != nil {
		return nil, err
	}
	return control.New(control.Config{
		Listener: listener, AdvertiseAddress: s.ReplicaAddress(), DataDirectory: p.directory(),
		Discovery: &control.DiscoveryConfig{
			Seeds: s.Seeds, FirstStart: s.FirstStart, AvailabilityZone: s.AvailabilityZone, ToleratedFailures: s.Losses,
		},
		Plaintext: true, Dialer: p.dialControl, Logger: p.Logger, Clock: monotonic.Now, Seed: newSeed(),
		TickInterval: fleetTick, HeartbeatTicks: fleetHeartbeatTicks, ElectionTicks: fleetElectionTicks,
		NewStateMachine: func(uint32) control.StateMachine { return statemachine.NewFleet() },
		Register:        register,
	})
}

func (p *fleetProcess) serveOperators(ctx context.Context, parts *sync.WaitGroup, service *fleet.SessionServer) error {
	_, port, err := net.SplitHostPort(p.settings.ControlAddress)
	if err != nil {
		return err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	return serveHTTP(ctx, parts, p.settings.ControlAddress, platform.OperatorHandler(service, number, p.Logger), p.Logger)
}
