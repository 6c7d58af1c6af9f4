// Package loadtest runs the overload scenario of package emulator against daemons in one
// process, with a static configuration and claims in memory, and against baselines without
// daemons. It measures the policies of the request path; the demo and the integration
// tests cover the complete system.
package loadtest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/statemachine"
	"github.com/bilberrydeck/bilberrydeck/daemon"
	"github.com/bilberrydeck/bilberrydeck/declaration"
	"github.com/bilberrydeck/bilberrydeck/emulator"
)

// daemons is a set of daemons, one for each upstream of a fleet.
type daemons struct {
	list      []*daemon.Daemon
	byService map[string][]*daemon.Daemon // by service
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

const (
	region = "south"
	az     = "south-a"
)

// startDaemons creates one daemon for each upstream of a fleet, before the fleet is
// started: the upstreams need the egress addresses of their daemons.
func startDaemons(s emulator.Scenario) (*daemons, error) {
	d := &daemons{byService: make(map[string][]*daemon.Daemon)}
	claims := &memoryClaims{stateMachine: statemachine.NewClaims(0)}
	for _, service := range emulator.Services() {
		for i := range s.UpstreamsPerService {
			dm, err := daemon.New(daemon.Config{
				ID: fmt.Sprintf("%s-%d", service, i), Incarnation: 1, Region: region, AvailabilityZone: az, Service: service,
				IngressAddress: "127.0.0.1:0", EgressAddress: "127.0.0.1:0", PeerListenAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0",
				Claims: claims, LinkBudget: balance.NewLinkBudget(balance.LinkBudgetConfig{}), Seed: s.Seed + uint64(i),
			})
			if err != nil {
				return nil, err
			}
			d.list = append(d.list, dm)
			d.byService[service] = append(d.byService[service], dm)
		}
	}
	return d, nil
}

// run starts the daemons, announces their upstreams and sets the configuration. The daemons
// run until stop.
func (d *daemons) run(fleet *emulator.Fleet) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for _, dm := range d.list {
		d.wg.Go(func() { _ = dm.Run(ctx) }) // returns after Kill in stop
	}
	for service, list := range d.byService {
		for i, dm := range list {
			if err := emulator.Announce(dm.ListenAddresses().Admin, service, fleet.Addresses[service][i]); err != nil {
				return err
			}
		}
	}
	return d.configure()
}

// configure sets the same configuration at all daemons.
func (d *daemons) configure() error {
	snap := &daemon.Snapshot{
		Version: 1, Confirmed: true,
		Services:  make(map[string]declaration.Service),
		Upstreams: make(map[string][]balance.Upstream),
	}
	for service, list := range d.byService {
		snap.Services[service] = emulator.Declaration(service)
		for i, dm := range list {
			snap.Upstreams[service] = append(snap.Upstreams[service], balance.Upstream{
				ID: fmt.Sprintf("%s-%d", service, i), Address: dm.ListenAddresses().Peer,
				Region: region, AvailabilityZone: az, Slots: emulator.Slots(service),
			})
		}
	}
	for _, dm := range d.list {
		if err := dm.SetSnapshot(snap); err != nil {
			return err
		}
	}
	return nil
}

func (d *daemons) stop() {
	for _, dm := range d.list {
		dm.Kill()
	}
	d.cancel()
	d.wg.Wait()
}

// targets returns the ingress URLs of the daemons of the called service.
func (d *daemons) targets(c emulator.CallSpec) []string {
	var addresses []string
	for _, dm := range d.byService[c.Service] {
		addresses = append(addresses, "http://"+dm.ListenAddresses().Ingress+"/"+c.Service)
	}
	return addresses
}

// Result is the result of a run of the scenario.
type Result struct {
	Report     *emulator.Report
	Bottleneck float64 // capacity of the deep service during the overload, in requests per second
	Kinds      []emulator.RequestKind

	Amplification float64 // calls to the deep service for each request that reached the first service
}

// NewResult returns the result of a run of the scenario.
func NewResult(s emulator.Scenario, rep *emulator.Report, fleet *emulator.Fleet) *Result {
	return &Result{Report: rep, Bottleneck: s.Bottleneck(), Kinds: s.Kinds(), Amplification: fleet.Amplification()}
}

// Run runs the scenario with daemons.
func Run(ctx context.Context, s emulator.Scenario, progress func(string)) (*Result, error) {
	d, err := startDaemons(s)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	fleet, err := s.StartFleet(0, func(_ *emulator.Fleet, service string, i int) emulator.Caller {
		return &emulator.EgressCaller{Base: "http://" + d.byService[service][i].ListenAddresses().Egress, Client: client}
	})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	defer d.stop()
	if err := d.run(fleet); err != nil {
		return nil, err
	}
	rep := s.Run(ctx, fleet, d.targets, progress)
	return NewResult(s, rep, fleet), nil
}

// RunDirect runs the scenario without daemons; see emulator.Scenario.RunDirect.
func RunDirect(ctx context.Context, s emulator.Scenario, maxQueue int, progress func(string)) (*Result, error) {
	rep, fleet, err := s.RunDirect(ctx, maxQueue, progress)
	if err != nil {
		return nil, err
	}
	return NewResult(s, rep, fleet), nil
}

// memoryClaims is a daemon.ClaimClient with one unreplicated state machine.
type memoryClaims struct {
	mu           sync.Mutex
	stateMachine *statemachine.Claims
}

func (m *memoryClaims) apply(cmd *api.ClaimCommand) (*api.ClaimCommandResult, error) {
	cmd.UnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var res api.ClaimCommandResult
	return &res, proto.Unmarshal(m.stateMachine.Apply(0, data), &res)
}

// Claim implements daemon.ClaimClient.
func (m *memoryClaims) Claim(_ context.Context, r *api.ClaimRequest) (*api.ClaimResponse, error) {
	res, err := m.apply(&api.ClaimCommand{Operation: &api.ClaimCommand_Claim{Claim: r}})
	if err != nil {
		return nil, err
	}
	return res.Claim, nil
}

// Finish implements daemon.ClaimClient.
func (m *memoryClaims) Finish(_ context.Context, r *api.FinishClaimRequest) error {
	_, err := m.apply(&api.ClaimCommand{Operation: &api.ClaimCommand_Finish{Finish: r}})
	return err
}

// Release implements daemon.ClaimClient.
func (m *memoryClaims) Release(_ context.Context, r *api.ReleaseClaimRequest) error {
	_, err := m.apply(&api.ClaimCommand{Operation: &api.ClaimCommand_Release{Release: r}})
	return err
}
