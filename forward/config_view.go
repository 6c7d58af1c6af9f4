package forward

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/retry"
	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// FleetState is what a daemon knows of the fleet.
type FleetState struct {
	Table     *routing.Table // nil before the first configuration
	Upstreams map[string][]balance.Upstream
	Daemons   int // daemons that share the slack of the retry budget
}

// view is the configuration in force. It does not change; the services are
// shared by successive views.
type view struct {
	table   *routing.Table
	matcher *routing.Matcher
	splits  map[*routing.Route]*routing.WeightedSelector
	// throttles outlast changes of the configuration, as routes do.
	throttles map[string]*admission.AdaptiveThrottle // by name of the route
	services  map[string]*service
	slots     map[string]int // of the upstreams of the local service, by id
}

// service is what this daemon knows of one service.
type service struct {
	name     string
	balancer *balance.Balancer
	budget   *retry.WindowBudget
}

// UpdateFleet puts a configuration and a list of upstreams in force.
func (f *Forwarder) UpdateFleet(fleet FleetState) {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	now := f.cfg.Now()
	for name := range fleet.Upstreams {
		f.service(name)
	}
	for name, s := range f.services {
		s.balancer.SetUpstreams(now, fleet.Upstreams[name])
		s.budget.SetMinRetries(f.cfg.RetryBudget.MinRetries / float64(max(fleet.Daemons, 1)))
	}
	if fleet.Table == nil {
		return
	}
	before := f.view.Load()
	if before != nil && before.table == fleet.Table {
		f.publish(fleet, before.matcher, before.splits, before.throttles)
		return
	}
	f.publish(fleet, routing.NewMatcher(fleet.Table), f.newSplits(fleet.Table), newThrottles(before, fleet.Table))
	f.cfg.Logger.Info().Uint64("configuration", fleet.Table.Version).Int("routes", len(fleet.Table.Routes)).
		Int("services", len(fleet.Table.Services)).Msg("configuration in force")
}

// service returns the record of a service, which lasts as long as the process.
// The caller holds fleetMu.
func (f *Forwarder) service(name string) *service {
	s := f.services[name]
	if s == nil {
		s = &service{
			name: name,
			balancer: balance.New(balance.Config{
				Region: f.cfg.Region, AvailabilityZone: f.cfg.AvailabilityZone, LinkBudget: f.links,
				Seed: f.cfg.Seed + uint64(len(f.services)), SlowStart: slowStart,
			}),
			budget: retry.NewWindowBudget(f.cfg.RetryBudget.Window, f.cfg.RetryBudget.Ratio),
		}
		f.services[name] = s
	}
	return s
}

func (f *Forwarder) newSplits(table *routing.Table) map[*routing.Route]*routing.WeightedSelector {
	splits := make(map[*routing.Route]*routing.WeightedSelector, len(table.Routes))
	for i := range table.Routes {
		r := &table.Routes[i]
		splits[r] = routing.NewWeightedSelector(r.Targets, f.skip())
		for _, target := range r.Targets {
			f.service(target.Service)
		}
	}
	return splits
}

// skip is a random number of requests, so that the daemons do not all begin
// with the same target of a split.
func (f *Forwarder) skip() int { return int(f.cfg.Seed % 1000) }

// newThrottles keeps the throttles of the routes that stay.
func newThrottles(before *view, table *routing.Table) map[string]*admission.AdaptiveThrottle {
	throttles := make(map[string]*admission.AdaptiveThrottle, len(table.Routes))
	for _, r := range table.Routes {
		if before != nil && before.throttles[r.Name] != nil {
			throttles[r.Name] = before.throttles[r.Name]
			continue
		}
		throttles[r.Name] = &admission.AdaptiveThrottle{}
	}
	return throttles
}

func (f *Forwarder) publish(fleet FleetState, m *routing.Matcher, splits map[*routing.Route]*routing.WeightedSelector, throttles map[string]*admission.AdaptiveThrottle) {
	services := make(map[string]*service, len(f.services))
	for name, s := range f.services {
		services[name] = s
	}
	slots := map[string]int{}
	for _, u := range fleet.Upstreams[f.cfg.Service] {
		slots[u.ID] = u.Slots
	}
	f.view.Store(&view{table: fleet.Table, matcher: m, splits: splits, throttles: throttles, services: services, slots: slots})
}

// limits are those of the configuration in force.
func (f *Forwarder) limits() routing.RequestLimits {
	if v := f.view.Load(); v != nil {
		return v.table.Limits
	}
	return routing.RequestLimits{}
}

// ConfigVersion is the number of the configuration in force, 0 if there is none.
func (f *Forwarder) ConfigVersion() uint64 {
	if v := f.view.Load(); v != nil {
		return v.table.Version
	}
	return 0
}

// waitFor is the time that a request may take: the smaller of what its client
// and its route allow.
func waitFor(route *routing.Route, client time.Duration) time.Duration {
	wait := defaultWait
	if route.Timeout > 0 {
		wait = route.Timeout
	}
	if client > 0 {
		wait = min(wait, client)
	}
	return wait
}
