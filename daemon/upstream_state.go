package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/bilberrydeck/bilberrydeck/admissionqueue"
	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/admission"
)

// unhealthyThreshold is the number of consecutive failed health checks after which the upstream is
// no longer serving. A single failure is not significant, because health endpoints may respond
// late.
const unhealthyThreshold = 3

// State returns the state of the upstream that this daemon announces.
func (d *Daemon) State() api.UpstreamState { return api.UpstreamState(d.state.Load()) }

func stateName(s api.UpstreamState) string {
	switch s {
	case api.UpstreamState_UPSTREAM_STATE_SERVING:
		return "serving"
	case api.UpstreamState_UPSTREAM_STATE_DRAINING:
		return "draining"
	case api.UpstreamState_UPSTREAM_STATE_GONE:
		return "gone"
	}
	return "starting"
}

// Announcement returns the message by which the feed client announces the upstream to the relays.
// ok is false for a daemon without an upstream. The sequence number increases with each change of
// the state.
func (d *Daemon) Announcement() (a *api.Announcement, ok bool) {
	if d.cfg.Service == "" {
		return nil, false
	}
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	a = &api.Announcement{
		Id: d.cfg.ID, Boot: d.cfg.Incarnation, Sequence: d.stateSequence, Service: d.cfg.Service, Region: d.cfg.Region,
		AvailabilityZone: d.cfg.AvailabilityZone, PeerAddress: d.peerAddress(), State: d.State(),
	}
	if queue := d.admissionQueue.Load(); queue != nil {
		a.Slots = uint32(queue.Slots())
	}
	if a.State == api.UpstreamState_UPSTREAM_STATE_SERVING {
		a.UpMs = d.cfg.Now().Sub(d.servingSince).Milliseconds()
	}
	return a, true
}

// updateState recomputes the state and logs a change.
func (d *Daemon) updateState() {
	d.stateMu.Lock()
	defer d.stateMu.Unlock()
	next := d.derivedState()
	if next == d.State() {
		return
	}
	if next == api.UpstreamState_UPSTREAM_STATE_SERVING {
		d.servingSince = d.cfg.Now()
	}
	d.stateSequence++
	d.state.Store(int32(next))
	d.log.Info().Str("state", stateName(next)).Str("service", d.cfg.Service).Msg("state changed")
}

// derivedState computes the state from the shutdown, the configuration and the local upstream and
// its health. The health check can only lower the state.
func (d *Daemon) derivedState() api.UpstreamState {
	if d.stopped.Load() {
		return api.UpstreamState_UPSTREAM_STATE_GONE
	}
	if d.draining.Load() {
		return api.UpstreamState_UPSTREAM_STATE_DRAINING
	}
	active := d.snapshot.Load()
	if active == nil || !active.source.Confirmed {
		return api.UpstreamState_UPSTREAM_STATE_STARTING
	}
	if d.cfg.Service == "" {
		return api.UpstreamState_UPSTREAM_STATE_SERVING
	}
	if d.admissionQueue.Load() == nil || d.local.Load() == nil || d.unhealthy.Load() {
		return api.UpstreamState_UPSTREAM_STATE_STARTING
	}
	return api.UpstreamState_UPSTREAM_STATE_SERVING
}

// updateAdmissionQueue creates the admission queue of the local upstream, or replaces it if the
// declared slots have changed. Requests in the old queue are completed there.
func (d *Daemon) updateAdmissionQueue(next *compiledSnapshot) {
	svc := next.services[d.cfg.Service]
	if svc == nil {
		return // a removed service keeps its queue for the requests in flight
	}
	d.setMaxLocalConnections(svc.declared.MaxConnections)
	if queue := d.admissionQueue.Load(); queue != nil && queue.Slots() == svc.declared.Slots {
		return
	}
	queue := admissionqueue.New(d.cfg.Now, admission.NewController(admission.Config{
		Slots: svc.declared.Slots, MaxQueue: d.cfg.QueuePerSlot * svc.declared.Slots,
	}), svc.declared.Slots)
	if d.draining.Load() {
		queue.Drain()
	}
	if old := d.admissionQueue.Swap(queue); old != nil {
		old.Close()
	}
	go queue.Run(d.killed)
}

// setLocalAddress sets the address of the local upstream.
func (d *Daemon) setLocalAddress(address string) {
	d.localMu.Lock()
	defer d.localMu.Unlock()
	old := d.local.Load()
	if old != nil && old.address == address {
		return
	}
	d.local.Store(&localUpstream{address: address, transport: holdConnections(newUpstreamTransport(d.maxLocalConnections), d.ledger)})
	if old != nil {
		old.transport.CloseIdleConnections()
	}
}

// setMaxLocalConnections replaces the connection pool of the local upstream if the maximum has
// changed.
func (d *Daemon) setMaxLocalConnections(maxConnections int) {
	d.localMu.Lock()
	defer d.localMu.Unlock()
	if d.maxLocalConnections == maxConnections {
		return
	}
	d.maxLocalConnections = maxConnections
	if old := d.local.Load(); old != nil {
		d.local.Store(&localUpstream{address: old.address, transport: holdConnections(newUpstreamTransport(maxConnections), d.ledger)})
		old.transport.CloseIdleConnections()
	}
}

// watchHealth checks the health of the upstream at regular intervals until ctx ends. Without a
// health URL it checks that the upstream accepts connections.
func (d *Daemon) watchHealth(ctx context.Context) {
	ticker := time.NewTicker(d.cfg.HealthCheckInterval)
	defer ticker.Stop()
	failures := 0
	for {
		if d.checkHealth(ctx) {
			failures = 0
		} else {
			failures++
		}
		d.unhealthy.Store(failures >= unhealthyThreshold || failures > 0 && d.unhealthy.Load())
		d.updateState()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// checkHealth reports whether the upstream passes the health check.
func (d *Daemon) checkHealth(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.HealthCheckInterval)
	defer cancel()
	if d.cfg.HealthURL == "" {
		return d.checkConnect(ctx)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, d.cfg.HealthURL, nil)
	if err != nil {
		return false
	}
	resp, err := d.healthClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status matters
	return resp.StatusCode < http.StatusMultipleChoices
}

// checkConnect reports whether the upstream accepts a connection.
func (d *Daemon) checkConnect(ctx context.Context) bool {
	local := d.local.Load()
	if local == nil {
		return true // without an address the state is starting in any case
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", local.address)
	if err != nil {
		return false
	}
	_ = conn.Close() // opened only to check that it is accepted
	return true
}
