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
	// reconnectEvery is how often an upstream that accepts no connections is
	// tried again, and one that has not reported is looked for.
	reconnectEvery = 100 * time.Millisecond
	// probeTimeout bounds the health check of an upstream that has not reported.
	probeTimeout = time.Second
	// probedSlots is the concurrency assumed until it reports for an upstream that
	// the fleet does not know either.
	probedSlots = 8
)

// markDown notes that the upstream accepts no connections.
func (l *local) markDown(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return
	}
	l.down = true
	l.f.cfg.Logger.Warn().Str("upstream", l.presence.Current().ID).Str("address", l.f.cfg.UpstreamAddress).Err(err).Msg("upstream lost")
	l.update(l.presence.Current())
}

// replaced notes that another run answers at the upstream's address.
func (l *local) replaced(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.presence.Current()
	if l.presence.ObserveReplacement(id) {
		l.f.cfg.Logger.Warn().Str("upstream", before.ID).Str("found", id).Msg("upstream replaced by another run")
		l.update(before)
	}
}

// watch tries to reach an upstream that was lost, and finds one that was there
// before this daemon.
func (l *local) watch(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	ticker := time.NewTicker(reconnectEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if l.isDown() {
				l.tryConnect(ctx)
			}
			if l.unknown() {
				l.probe(ctx)
			}
			l.watchHealth()
		}
	}
}

func (l *local) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

func (l *local) current() lifecycle.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.presence.Current()
}

// unknown reports whether no run of the upstream is known at all.
func (l *local) unknown() bool {
	return l.current().ID == ""
}

func (l *local) tryConnect(ctx context.Context) {
	d := net.Dialer{Timeout: localConnectTimeout}
	nc, err := d.DialContext(ctx, "tcp", l.f.cfg.UpstreamAddress)
	if err != nil {
		return // logged when it was lost
	}
	l.pool.Put(httpwire.NewClientConn(nc))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = false
	l.f.cfg.Logger.Info().Str("upstream", l.presence.Current().ID).Msg("upstream regained")
	l.update(l.presence.Current())
}

// probe asks the upstream for its id. A daemon that was started alone would
// otherwise have to wait for the next report.
func (l *local) probe(ctx context.Context) {
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
	conn, err := l.pool.Get(ctx, peerIdle)
	if err != nil {
		return // no upstream runs yet; its first report will tell
	}
	from, err := conn.Do(ctx, &httpwire.ClientRequest{Method: http.MethodGet, Target: s.HealthPath, Host: l.f.cfg.UpstreamAddress, Header: http.Header{}})
	if err != nil {
		conn.Close()
		return
	}
	if _, failure := readAnswer(ctx, from, func() { l.pool.Put(conn) }); failure != nil {
		return
	}
	l.found(from.Header.Get(l.f.cfg.HeaderNames.ResponderID), from.Status == http.StatusOK)
}

func (l *local) found(id string, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slots := probedSlots
	if v := l.f.view.Load(); v != nil && v.slots[id] > 0 {
		slots = v.slots[id]
	}
	if l.presence.ObserveHealthCheck(id, slots, ready) {
		l.f.cfg.Logger.Info().Str("upstream", id).Bool("ready", ready).Msg("upstream found by a health check")
		l.update(lifecycle.Incarnation{})
	}
}
