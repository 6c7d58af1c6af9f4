package forward

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/lifecycle"
	"github.com/bilberrydeck/bilberrydeck/httpwire"
)

const (
	// reconnectInterval is the interval of attempts to reconnect to an unreachable upstream, and
	// of health checks before the first heartbeat.
	reconnectInterval = 100 * time.Millisecond
	// probeTimeout limits the health check of an upstream that has sent no heartbeat.
	probeTimeout = time.Second
	// defaultSlots is the concurrency assumed before the first heartbeat of an upstream that is
	// not in the fleet state.
	defaultSlots = 8
)

// markUnreachable records that the upstream accepts no connections.
func (l *upstreamProxy) markUnreachable(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return
	}
	l.unreachable = true
	l.f.cfg.Logger.Warn().Str("upstream", l.tracker.Current().ID).Str("address", l.f.cfg.UpstreamAddress).Err(err).Msg("upstream lost")
	l.applyState(l.tracker.Current())
}

// markReplaced records that another incarnation responds at the upstream's address.
func (l *upstreamProxy) markReplaced(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.tracker.Current()
	if l.tracker.ObserveReplacement(id) {
		l.f.cfg.Logger.Warn().Str("upstream", previous.ID).Str("found", id).Msg("upstream replaced by another run")
		l.applyState(previous)
	}
}

// monitor reconnects to an unreachable upstream, and discovers an upstream that was started
// before this daemon.
func (l *upstreamProxy) monitor(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	ticker := time.NewTicker(reconnectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if l.isUnreachable() {
				l.reconnect(ctx)
			}
			if l.isUnknown() {
				l.probe(ctx)
			}
			l.logHealthChange()
		}
	}
}

func (l *upstreamProxy) isUnreachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unreachable
}

func (l *upstreamProxy) current() lifecycle.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.Current()
}

// isUnknown reports whether no incarnation of the upstream has been observed yet.
func (l *upstreamProxy) isUnknown() bool {
	return l.current().ID == ""
}

func (l *upstreamProxy) reconnect(ctx context.Context) {
	dialer := net.Dialer{Timeout: localConnectTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", l.f.cfg.UpstreamAddress)
	if err != nil {
		return // logged by markUnreachable
	}
	l.pool.Put(httpwire.NewClientConn(nc))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable = false
	l.f.cfg.Logger.Info().Str("upstream", l.tracker.Current().ID).Msg("upstream regained")
	l.applyState(l.tracker.Current())
}

// probe requests the upstream's id by a health check. A daemon that was restarted alone would
// otherwise have to wait for the next heartbeat.
func (l *upstreamProxy) probe(ctx context.Context) {
	v := l.f.view.Load()
	if v == nil {
		return
	}
	s := v.matcher.Service(l.f.cfg.Service)
	if s == nil || s.HealthPath == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := l.pool.Get(ctx, httpwire.Reuse{MaxIdle: peerIdleTimeout})
	if err != nil {
		return // no upstream is running yet; its first heartbeat registers it
	}
	from, err := conn.Do(ctx, &httpwire.ClientRequest{Method: http.MethodGet, Target: s.HealthPath, Host: l.f.cfg.UpstreamAddress, Header: http.Header{}})
	if err != nil {
		conn.Close()
		return
	}
	resp, failure := readResponse(ctx, from, func() { l.pool.Put(conn) })
	if failure != nil {
		return
	}
	resp.close()
	l.recordProbe(from.Header.Get(l.f.cfg.HeaderNames.ResponderID), from.Status == http.StatusOK)
}

func (l *upstreamProxy) recordProbe(id string, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slots := defaultSlots
	if v := l.f.view.Load(); v != nil && v.localSlots[id] > 0 {
		slots = v.localSlots[id]
	}
	if l.tracker.ObserveHealthCheck(id, slots, ready) {
		l.f.cfg.Logger.Info().Str("upstream", id).Bool("ready", ready).Msg("upstream found by a health check")
		l.applyState(lifecycle.Incarnation{})
	}
}
