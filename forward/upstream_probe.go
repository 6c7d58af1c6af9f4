package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/bilberrydeck/bilberrydeck/core/lifecycle"
	"github.com/bilberrydeck/bilberrydeck/httpwire"
)

const (
	// reconnectInterval is the interval of attempts to reconnect to an unreachable upstream, and
	// of health checks that get no conclusive response.
	reconnectInterval = 100 * time.Millisecond
	// notReadyInterval is the interval of health checks of an upstream that is not ready. It is
	// longer, since such an upstream is usually about to end.
	notReadyInterval = 500 * time.Millisecond
	// probeTimeout limits a health check of the upstream.
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

// monitor reconnects to an unreachable upstream, discovers an upstream that was started before
// this daemon, and checks that a reported upstream is not leaving.
func (l *upstreamProxy) monitor(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	ticker := time.NewTicker(reconnectInterval)
	defer ticker.Stop()
	var nextCheck time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.checkNow:
			nextCheck = time.Time{}
		case <-ticker.C:
			l.tick()
			if l.isUnreachable() {
				l.reconnect(ctx)
			}
			l.logHealthChange()
		}
		if now := time.Now(); l.needsHealthCheck() && !now.Before(nextCheck) {
			if l.probe(ctx) {
				nextCheck = now.Add(notReadyInterval)
			}
		}
	}
}

// tick tells the tracker that the daemon is running, so that it notices freezes.
func (l *upstreamProxy) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.Tick(l.f.cfg.Now())
}

// requestHealthCheck makes monitor check the health of the upstream at once, if that is needed.
func (l *upstreamProxy) requestHealthCheck() {
	select {
	case l.checkNow <- struct{}{}:
	default: // a check is due already
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

func (l *upstreamProxy) needsHealthCheck() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.NeedsHealthCheck()
}

// healthPath returns the path of the upstream's health check, empty before the first configuration
// and if the service has none.
func (l *upstreamProxy) healthPath() string {
	v := l.f.view.Load()
	if v == nil {
		return ""
	}
	if s := v.matcher.Service(l.f.cfg.Service); s != nil {
		return s.HealthPath
	}
	return ""
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

// probe checks the health of the upstream. A daemon that was restarted alone finds its upstream so
// before the next heartbeat, and learns whether the upstream is leaving, which it may have reported
// to the daemon's predecessor. probe reports whether the upstream has responded that it is not ready.
func (l *upstreamProxy) probe(ctx context.Context) (notReady bool) {
	path := l.healthPath()
	if path == "" {
		return false
	}
	l.mu.Lock()
	check := l.tracker.BeginHealthCheck()
	l.mu.Unlock()
	from, err := l.sendHealthCheck(ctx, path)
	switch {
	case err != nil:
		l.f.metrics.recordHealthCheck("no-response")
	case from.Status == http.StatusTooManyRequests || from.Header.Get(l.f.cfg.HeaderNames.NotExecuted) != "":
		err = errHealthCheckRejected
		l.f.metrics.recordHealthCheck("rejected")
	}
	if err != nil {
		l.recordInconclusiveCheck(check, err)
		return false
	}
	result := checkResult(from.Status)
	l.f.metrics.recordHealthCheck(result.String())
	l.recordHealthCheck(check, from.Header.Get(l.f.cfg.HeaderNames.ResponderID), result)
	return result == lifecycle.CheckNotReady
}

// errHealthCheckRejected is the error of a health check that a full upstream rejected like any other
// request, which says nothing about its state.
var errHealthCheckRejected = errors.New("the upstream rejected the health check without executing it")

// checkResult returns what the status of a health check says. A status that no health check has means
// that the path is not that of one.
func checkResult(status int) lifecycle.HealthCheckResult {
	switch {
	case status == http.StatusOK:
		return lifecycle.CheckReady
	case status >= http.StatusInternalServerError:
		return lifecycle.CheckNotReady
	}
	return lifecycle.CheckUnusable
}

// sendHealthCheck sends a health check and returns the head of the response.
func (l *upstreamProxy) sendHealthCheck(ctx context.Context, path string) (*httpwire.ClientResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := l.pool.Get(ctx, httpwire.Reuse{MaxIdle: peerIdleTimeout})
	if err != nil {
		return nil, err // no upstream is running yet, or none any more
	}
	from, err := conn.Do(ctx, &httpwire.ClientRequest{
		Method: http.MethodGet, Target: path, Host: l.f.cfg.UpstreamAddress, Header: http.Header{},
		MatchResponse: l.isHealthCheckResponse,
	})
	if err != nil {
		conn.Close()
		return nil, err
	}
	resp, failure := readResponse(ctx, from, l.f.buffers, nil, func() { l.pool.Put(conn) })
	if failure != nil {
		return nil, failure
	}
	resp.close()
	return from, nil
}

// isHealthCheckResponse reports whether a response belongs to a health check. A response with a request
// id is a late or repeated one to a request that the connection has carried, and says nothing about the
// present state.
func (l *upstreamProxy) isHealthCheckResponse(h http.Header) bool {
	return h.Get(l.f.cfg.HeaderNames.RequestID) == ""
}

// recordHealthCheck applies the result of a health check.
func (l *upstreamProxy) recordHealthCheck(check lifecycle.HealthCheck, id string, result lifecycle.HealthCheckResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.tracker.IsCurrent(check) {
		return // the next check is that of the new incarnation
	}
	slots := defaultSlots
	if v := l.f.view.Load(); v != nil && v.localSlots[id] > 0 {
		slots = v.localSlots[id]
	}
	previous := l.tracker.Current()
	l.tracker.ObserveHealthCheck(check, id, slots, result)
	now := l.tracker.Current()
	switch {
	case previous.ID == "" && now.ID != "":
		l.f.cfg.Logger.Info().Str("upstream", id).Bool("ready", result == lifecycle.CheckReady).Msg("upstream found by a health check")
	case now.ID != previous.ID || now.State != previous.State || now.State == lifecycle.Unconfirmed && !l.checkFailed:
		l.logHealthCheck(now, result.String()).Str("responder", id).Msg("upstream health check")
	}
	l.applyState(previous)
	l.announceUnconfirmed()
}

// recordInconclusiveCheck records that a health check got no response that says whether the upstream
// is ready.
func (l *upstreamProxy) recordInconclusiveCheck(check lifecycle.HealthCheck, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.tracker.IsCurrent(check) {
		return // as above
	}
	now := l.tracker.Current()
	if now.State == lifecycle.Unconfirmed && !l.checkFailed {
		l.logHealthCheck(now, "inconclusive").Err(err).Msg("upstream health check")
	}
	l.announceUnconfirmed()
}

func (l *upstreamProxy) logHealthCheck(now lifecycle.Incarnation, result string) *log.Entry {
	return l.f.cfg.Logger.Info().Str("upstream", now.ID).Str("result", result).Str("upstream_state", now.State.String())
}

// announceUnconfirmed announces that the current incarnation is not ready after a health check did
// not confirm it. The caller holds the mutex.
func (l *upstreamProxy) announceUnconfirmed() {
	if now := l.tracker.Current(); now.State == lifecycle.Unconfirmed && !l.checkFailed {
		l.checkFailed = true
		l.notify(LocalUpstream{Incarnation: now, Unreachable: l.unreachable})
	}
}
