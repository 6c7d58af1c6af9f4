package forward

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/retry"
	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// FleetState is the state of the fleet as a daemon has received it: configuration and upstreams.
type FleetState struct {
	Table     *routing.Table                // nil before the first configuration
	Upstreams map[string][]balance.Upstream // by service
	Daemons   int                           // number of daemons, among which the minimum retries of the retry budget are divided
}

// configView is the active configuration. It is immutable; the services are shared by
// successive views.
type configView struct {
	table           *routing.Table
	matcher         *routing.Matcher
	targetSelectors map[*routing.Route]*routing.WeightedSelector
	// throttles are kept across configuration changes for routes that remain.
	throttles  map[string]*admission.AdaptiveThrottle // by route name
	services   map[string]*service
	localSlots map[string]int // slots of the upstreams of the local service, by id
}

// service is this daemon's balancer and retry budget for one service.
type service struct {
	name        string
	balancer    *balance.Balancer
	retryBudget *retry.WindowBudget
}

// UpdateFleet activates a configuration and a list of upstreams.
func (f *Forwarder) UpdateFleet(fleet FleetState) {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	now := f.cfg.Now()
	for name := range fleet.Upstreams {
		f.service(name)
	}
	for name, s := range f.services {
		s.balancer.SetUpstreams(now, fleet.Upstreams[name])
		s.retryBudget.SetMinRetries(f.cfg.RetryBudget.MinRetries / float64(max(fleet.Daemons, 1)))
	}
	if fleet.Table == nil {
		return
	}
	previous := f.view.Load()
	if previous != nil && previous.table == fleet.Table {
		f.storeView(fleet, previous.matcher, previous.targetSelectors, previous.throttles)
		return
	}
	f.storeView(fleet, routing.NewMatcher(fleet.Table), f.newTargetSelectors(fleet.Table), newThrottles(previous, fleet.Table))
	f.local.requestHealthCheck() // the health path may have been unknown before
	f.cfg.Logger.Info().Uint64("configuration", fleet.Table.Version).Int("routes", len(fleet.Table.Routes)).
		Int("services", len(fleet.Table.Services)).Msg("configuration in force")
}

// service returns the record of a service and creates it if necessary. Records are never
// removed. The caller holds fleetMu.
func (f *Forwarder) service(name string) *service {
	s := f.services[name]
	if s == nil {
		s = &service{
			name: name,
			balancer: balance.New(balance.Config{
				Region: f.cfg.Region, AvailabilityZone: f.cfg.AvailabilityZone, LinkBudget: f.linkBudget,
				Seed: f.cfg.Seed + uint64(len(f.services)), SlowStart: slowStart,
			}),
			retryBudget: retry.NewWindowBudget(f.cfg.RetryBudget.Window, f.cfg.RetryBudget.Ratio),
		}
		f.services[name] = s
	}
	return s
}

func (f *Forwarder) newTargetSelectors(table *routing.Table) map[*routing.Route]*routing.WeightedSelector {
	selectors := make(map[*routing.Route]*routing.WeightedSelector, len(table.Routes))
	for i := range table.Routes {
		r := &table.Routes[i]
		selectors[r] = routing.NewWeightedSelector(r.Targets, f.selectorOffset())
		for _, target := range r.Targets {
			f.service(target.Service)
		}
	}
	return selectors
}

// selectorOffset returns a random number of requests to skip, so that the daemons do not
// all begin with the same target of a traffic split.
func (f *Forwarder) selectorOffset() int { return int(f.cfg.Seed % 1000) }

// newThrottles returns a throttle for each route and reuses those of the previous view.
func newThrottles(previous *configView, table *routing.Table) map[string]*admission.AdaptiveThrottle {
	throttles := make(map[string]*admission.AdaptiveThrottle, len(table.Routes))
	for _, r := range table.Routes {
		if previous != nil && previous.throttles[r.Name] != nil {
			throttles[r.Name] = previous.throttles[r.Name]
			continue
		}
		throttles[r.Name] = &admission.AdaptiveThrottle{}
	}
	return throttles
}

func (f *Forwarder) storeView(fleet FleetState, m *routing.Matcher, selectors map[*routing.Route]*routing.WeightedSelector, throttles map[string]*admission.AdaptiveThrottle) {
	services := make(map[string]*service, len(f.services))
	for name, s := range f.services {
		services[name] = s
	}
	slots := map[string]int{}
	for _, u := range fleet.Upstreams[f.cfg.Service] {
		slots[u.ID] = u.Slots
	}
	f.view.Store(&configView{table: fleet.Table, matcher: m, targetSelectors: selectors, throttles: throttles, services: services, localSlots: slots})
}

// requestLimits returns the request limits of the active configuration.
func (f *Forwarder) requestLimits() routing.RequestLimits {
	if v := f.view.Load(); v != nil {
		return v.table.Limits
	}
	return routing.RequestLimits{}
}

// ConfigVersion returns the version of the active configuration, 0 if there is none.
func (f *Forwarder) ConfigVersion() uint64 {
	if v := f.view.Load(); v != nil {
		return v.table.Version
	}
	return 0
}

// requestTimeout returns the smaller of the route's timeout and the client timeout. A
// client timeout of 0 means that the client states none.
func requestTimeout(route *routing.Route, clientTimeout time.Duration) time.Duration {
	timeout := defaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if clientTimeout > 0 {
		timeout = min(timeout, clientTimeout)
	}
	return timeout
}
