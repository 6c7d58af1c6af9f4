// Package loadtest runs the overload scenario of package emulator against
// daemons in one process, with a fixed configuration and claims kept in
// memory, and against baselines without daemons. It measures the policy of the
// request path; the demo and the integration tests cover the whole system.
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

// daemons is a set of daemons, one beside each upstream of a fleet.
type daemons struct {
	list   []*daemon.Daemon
	byName map[string][]*daemon.Daemon // by service
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

const (
	region = "south"
	az     = "south-a"
)

// startDaemons opens one daemon for each upstream of a fleet that has not
// started yet; their exit addresses are known at once.
func startDaemons(s emulator.Scenario) (*daemons, error) {
	d := &daemons{byName: make(map[string][]*daemon.Daemon)}
	claims := &memoryClaims{machine: statemachine.NewClaims(0)}
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
			d.byName[service] = append(d.byName[service], dm)
		}
	}
	return d, nil
}

// run serves until stop.
func (d *daemons) run(fleet *emulator.Fleet) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for _, dm := range d.list {
		d.wg.Go(func() { _ = dm.Run(ctx) }) // ends by Kill in stop
	}
	for service, list := range d.byName {
		for i, dm := range list {
			if err := emulator.Announce(dm.ListenAddresses().Admin, service, fleet.Addresses[service][i]); err != nil {
				return err
			}
		}
	}
	return d.configure()
}

func (d *daemons) configure() error {
	snap := &daemon.Snapshot{
		Version: 1, Confirmed: true,
		Services:  make(map[string]declaration.Service),
		Upstreams: make(map[string][]balance.Upstream),
	}
	for service, list := range d.byName {
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

// targets gives the entrances of the first service's daemons.
func (d *daemons) targets(c emulator.CallSpec) []string {
	var out []string
	for _, dm := range d.byName[c.Service] {
		out = append(out, "http://"+dm.ListenAddresses().Ingress+"/"+c.Service)
	}
	return out
}

// Result is a run of the scenario.
type Result struct {
	Report     *emulator.Report
	Bottleneck float64 // requests per second that the deep service serves during the overload
	Kinds      []emulator.Kind

	Amplification float64 // calls to the deep service for each request that reached the first one
}

// NewResult summarises a run of the scenario.
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
		return &emulator.ExitCaller{Base: "http://" + d.byName[service][i].ListenAddresses().Egress, Client: client}
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

// memoryClaims keeps claims in one machine without replication.
type memoryClaims struct {
	mu      sync.Mutex
	machine *statemachine.Claims
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
	return &res, proto.Unmarshal(m.machine.Apply(0, data), &res)
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
