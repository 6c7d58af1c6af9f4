package forward

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/lifecycle"
	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// leavingUpstream returns an upstream whose health checks say that it is leaving, and the number of
// health checks that it has received.
func leavingUpstream(t *testing.T) (*fakeUpstream, *atomic.Int32) {
	checks := &atomic.Int32{}
	u := newFakeUpstream(t, "i-1", nil)
	u.setHealth(func(req *http.Request, c net.Conn) {
		u.respond(c, req, http.StatusServiceUnavailable, "", "X-Instance: i-1")
		checks.Add(1)
	})
	return u, checks
}

// TestLateHeartbeatAfterRestart guards against a heartbeat that an upstream sent before it left, and
// that reaches a daemon which was restarted in between: requests were sent to the upstream again, and
// were lost when it ended.
func TestLateHeartbeatAfterRestart(t *testing.T) {
	for name, order := range map[string]struct{ configured, checked bool }{
		"before the configuration": {},
		"before a health check":    {configured: true},
		"after a health check":     {configured: true, checked: true},
	} {
		t.Run(name, func(t *testing.T) {
			leaving, checks := leavingUpstream(t)
			upstreams := []*fakeUpstream{leaving, newFakeUpstream(t, "i-2", nil)}
			f := newTestFleet(t, ordersTable(), upstreams...)
			f.daemons[0].DeregisterUpstream(leaving.id)
			f.restartDaemon(0, leaving)
			before := checks.Load()
			awaitCheck := func() {
				require.Eventually(t, func() bool { return checks.Load() > before }, testTimeout, time.Millisecond)
				require.Eventually(t, func() bool { return f.daemons[0].local.current().State != lifecycle.Ready }, testTimeout, time.Millisecond)
			}
			if order.configured {
				f.publishUpstreams(upstreams)
			}
			if order.checked {
				awaitCheck()
			}
			require.Equal(t, lifecycle.Accepted, f.daemons[0].HandleHeartbeat(readyHeartbeat(leaving.id, 7, testSlots)))
			if !order.configured {
				f.publishUpstreams(upstreams)
				awaitCheck() // until then, the daemon cannot know better
			}
			for range 10 {
				for daemon := range f.daemons {
					resp, body := f.send(daemon, testRequest{kind: routing.NonIdempotent})
					require.Equal(t, http.StatusOK, resp.StatusCode)
					require.Equal(t, "i-2", body)
				}
			}
			require.Empty(t, leaving.requests())
		})
	}
}

// TestUpstreamServesAfterRestart checks that a restarted daemon uses its upstream as soon as a health
// check shows that it is not leaving, and that the upstream is not withdrawn in between.
func TestUpstreamServesAfterRestart(t *testing.T) {
	for name, health := range map[string]struct {
		first     func(u *fakeUpstream, req *http.Request, c net.Conn)
		withdrawn bool // the first response does not show that the upstream is ready
	}{
		"ready": {func(u *fakeUpstream, req *http.Request, c net.Conn) {
			u.respond(c, req, http.StatusOK, "", "X-Instance: i-1")
		}, false},
		"id not stated": {func(u *fakeUpstream, req *http.Request, c net.Conn) { u.respond(c, req, http.StatusOK, "") }, false},
		"no such path":  {func(u *fakeUpstream, req *http.Request, c net.Conn) { u.respond(c, req, http.StatusNotFound, "") }, false},
		"full": {func(u *fakeUpstream, req *http.Request, c net.Conn) {
			u.respond(c, req, http.StatusServiceUnavailable, "", "X-Not-Run: 1", "X-Instance: i-1")
		}, true},
		"too many requests": {func(u *fakeUpstream, req *http.Request, c net.Conn) {
			u.respond(c, req, http.StatusTooManyRequests, "", "X-Instance: i-1")
		}, true},
		"broken": {func(_ *fakeUpstream, _ *http.Request, c net.Conn) { _ = c.Close() }, true},
		"unhealthy for a time": {func(u *fakeUpstream, req *http.Request, c net.Conn) {
			u.respond(c, req, http.StatusServiceUnavailable, "", "X-Instance: i-1")
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			u := newFakeUpstream(t, "i-1", nil)
			f := newTestFleet(t, ordersTable(), u)
			f.stop[0]()
			<-f.stopped[0]
			var checks atomic.Int32
			began, reported := make(chan struct{}), make(chan struct{})
			u.setHealth(func(req *http.Request, c net.Conn) {
				switch checks.Add(1) {
				case 1: // began before the heartbeat, so it says nothing about its sender
					close(began)
					<-reported
					_ = c.Close()
				case 2:
					health.first(u, req, c)
				default:
					u.respond(c, req, http.StatusOK, "", "X-Instance: i-1")
				}
			})
			var mu sync.Mutex
			var announced []lifecycle.State
			f.launchDaemon(0, u)
			l := f.daemons[0].local
			l.mu.Lock()
			l.onChange = func(u LocalUpstream) {
				mu.Lock()
				defer mu.Unlock()
				announced = append(announced, u.State)
			}
			l.mu.Unlock()
			f.publishUpstreams([]*fakeUpstream{u})
			<-began
			f.daemons[0].HandleHeartbeat(readyHeartbeat(u.id, 7, testSlots))
			close(reported)
			f.awaitState(0, lifecycle.Ready)
			_, body := f.send(0, testRequest{kind: routing.NonIdempotent})
			require.Equal(t, u.id, body)
			mu.Lock()
			defer mu.Unlock()
			want := []lifecycle.State{lifecycle.Ready}
			if health.withdrawn {
				want = []lifecycle.State{lifecycle.Unconfirmed, lifecycle.Ready}
			}
			require.Equal(t, want, announced)
		})
	}
}

// TestHealthCheckIgnoresResponsesToRequests guards against a response to an earlier request, which an
// upstream sends once more on a kept connection, that is taken for the response to a health check: an
// upstream that is leaving would be used.
func TestHealthCheckIgnoresResponsesToRequests(t *testing.T) {
	u := newFakeUpstream(t, "i-1", nil)
	f := newTestFleet(t, ordersTable(), u)
	f.awaitState(0, lifecycle.Ready)
	_, body := f.send(0, testRequest{kind: routing.NonIdempotent})
	require.Equal(t, "i-1", body)
	answered := u.requests()[0]
	var checks atomic.Int32
	u.setHealth(func(req *http.Request, c net.Conn) {
		u.respond(c, answered, http.StatusOK, "", "X-Instance: i-2") // for the request that was answered before
		u.respond(c, req, http.StatusServiceUnavailable, "", "X-Instance: i-2")
		checks.Add(1)
	})
	next := readyHeartbeat("i-2", 1, testSlots)
	next.StartedAtMs++
	require.Equal(t, lifecycle.Accepted, f.daemons[0].HandleHeartbeat(next))
	require.Eventually(t, func() bool { return checks.Load() >= 2 }, testTimeout, time.Millisecond)
	require.Equal(t, lifecycle.Unconfirmed, f.daemons[0].local.current().State)
	require.Len(t, u.requests(), 1)
}

// TestLateHeartbeatAfterFreeze guards against a late heartbeat that arrives while a restarted daemon is
// frozen and is taken for a new one after that. A daemon that runs for as long uses the upstream.
func TestLateHeartbeatAfterFreeze(t *testing.T) {
	leaving, _ := leavingUpstream(t)
	f := newTestFleet(t, ordersTable(), leaving)
	f.daemons[0].DeregisterUpstream(leaving.id)
	f.restartDaemon(0, leaving)
	f.publishUpstreams([]*fakeUpstream{leaving})
	f.clockOffset.Add(int64(10 * lifecycle.MaxHeartbeatDelay))
	require.Equal(t, lifecycle.Accepted, f.daemons[0].HandleHeartbeat(readyHeartbeat(leaving.id, 1, testSlots)))
	require.Equal(t, lifecycle.Unconfirmed, f.daemons[0].local.current().State)
	sequence := uint64(1)
	require.Eventually(t, func() bool {
		f.clockOffset.Add(int64(time.Second))
		sequence++
		f.daemons[0].HandleHeartbeat(readyHeartbeat(leaving.id, sequence, testSlots))
		return f.daemons[0].local.current().State == lifecycle.Ready
	}, testTimeout, 2*reconnectInterval)
}
