package forward

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/lifecycle"
	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// TestRequestArrivesUnchanged checks that method, path, query, body and end-to-end headers are
// forwarded unchanged over two daemons, and checks the headers that daemons set.
func TestRequestArrivesUnchanged(t *testing.T) {
	u := newFakeUpstream(t, "i-1", nil)
	empty := newFakeUpstream(t, "i-0", nil)
	f := newTestFleet(t, ordersTable(), u, empty)
	f.daemons[1].DeregisterUpstream("i-0") // daemon 1 has to use the other upstream
	for _, kind := range []routing.RouteKind{routing.Idempotent, routing.NonIdempotent, routing.Upload} {
		body := strings.Repeat(kind.String(), 3000)
		resp, got := f.send(1, testRequest{kind: kind, id: "id-of-" + kind.String(), clientTimeout: time.Second, body: body, header: http.Header{
			"X-Own": {"a"}, "X-Caller": {"forged"}, "Bilberry-Call": {"forged"}, "Connection": {"X-Hop"}, "X-Hop": {"1"},
		}})
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, "i-1", got)
		requests := u.requests()
		req := requests[len(requests)-1]
		require.Equal(t, "/"+kind.String()+"/7?x=1", req.RequestURI)
		require.Equal(t, "POST", req.Method)
		require.Equal(t, "shop.example", req.Host)
		received := make([]byte, len(body)+1)
		n, _ := req.Body.Read(received)
		require.Equal(t, body, string(received[:n]))
		require.Equal(t, "a", req.Header.Get("X-Own"))
		require.Equal(t, "orders", req.Header.Get("X-Caller"))
		require.Equal(t, "i-1", req.Header.Get("X-Target"))
		require.Equal(t, "id-of-"+kind.String(), req.Header.Get("X-Id"))
		require.Empty(t, req.Header.Get("X-Hop"))
		require.Empty(t, req.Header.Get("Bilberry-Call"))
		timeout := parseClientTimeout(req.Header.Get("X-Wait"))
		require.Positive(t, timeout)
		require.LessOrEqual(t, timeout, time.Second)
		require.Empty(t, resp.Header.Get("Bilberry-Report"), "internal headers are not sent to clients")
	}
}

// TestUnknownRouteAndMissingConfiguration checks that a daemon without a configuration responds
// with 503 and Retry-After, and one with a configuration that has no such route with 404.
func TestUnknownRouteAndMissingConfiguration(t *testing.T) {
	f := newTestFleet(t, nil, newFakeUpstream(t, "i-1", nil))
	resp, _ := f.send(0, testRequest{})
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.False(t, f.daemons[0].Ready())
	table := ordersTable()
	table.Routes = table.Routes[1:]
	f.daemons[0].UpdateFleet(FleetState{Table: table, Daemons: 1})
	require.True(t, f.daemons[0].Ready())
	resp, _ = f.send(0, testRequest{})
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
}

// TestBrokenResponseIsRetriedOnlyIfIdempotent checks that after an incomplete or mismatched
// response only idempotent requests are retried. The others may have been executed and get
// status 502.
func TestBrokenResponseIsRetriedOnlyIfIdempotent(t *testing.T) {
	for name, writeBroken := range map[string]func(u *fakeUpstream, req *http.Request, c net.Conn){
		"closed":    func(_ *fakeUpstream, _ *http.Request, c net.Conn) { _ = c.Close() },
		"truncated": func(u *fakeUpstream, req *http.Request, c net.Conn) { writeTruncatedResponse(c, req); _ = c.Close() },
		"nonsense":  func(_ *fakeUpstream, _ *http.Request, c net.Conn) { _, _ = c.Write([]byte("nonsense\r\n\r\n")) },
		"crossed": func(u *fakeUpstream, req *http.Request, c net.Conn) {
			req.Header.Set("X-Id", "another")
			u.respond(c, req, 200, "of another request")
			_ = c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			var bad *fakeUpstream
			bad = newFakeUpstream(t, "i-bad", func(req *http.Request, c net.Conn) { writeBroken(bad, req, c) })
			good := newFakeUpstream(t, "i-good", nil)
			f := newTestFleet(t, ordersTable(), bad, good)
			resp, body := f.send(0, testRequest{kind: routing.Idempotent})
			require.Equal(t, 200, resp.StatusCode)
			require.Equal(t, "i-good", body)
			for _, kind := range []routing.RouteKind{routing.NonIdempotent, routing.Upload} {
				before := len(good.requests())
				resp, _ = f.send(0, testRequest{kind: kind, body: "x"})
				require.Equal(t, http.StatusBadGateway, resp.StatusCode)
				require.Len(t, good.requests(), before, "%s must not be executed twice", kind)
			}
		})
	}
}

func writeTruncatedResponse(c net.Conn, req *http.Request) {
	_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: " + req.Header.Get("X-Id") + "\r\nContent-Length: 100\r\n\r\nhalf")) // the peer may have closed the connection
}

// TestNotExecutedResponseIsRetriedElsewhere checks that a request that an upstream reports as
// not executed is sent to another upstream, whatever the kind of its route.
func TestNotExecutedResponseIsRetriedElsewhere(t *testing.T) {
	var full *fakeUpstream
	full = newFakeUpstream(t, "i-full", func(req *http.Request, c net.Conn) { full.respond(c, req, 503, "", "X-Not-Run: 1") })
	good := newFakeUpstream(t, "i-good", nil)
	f := newTestFleet(t, ordersTable(), full, good)
	for _, kind := range []routing.RouteKind{routing.Idempotent, routing.NonIdempotent, routing.Upload} {
		resp, body := f.send(0, testRequest{kind: kind, body: "x"})
		require.Equal(t, 200, resp.StatusCode, kind)
		require.Equal(t, "i-good", body)
	}
	alone := newTestFleet(t, ordersTable(), full)
	resp, _ := alone.send(0, testRequest{kind: routing.NonIdempotent})
	require.Equal(t, 503, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Empty(t, resp.Header.Get("X-Not-Run"), "the daemon generates the response")
}

// TestErrorResponseIsForwarded checks that status, body and headers of an upstream's error
// response are forwarded unchanged.
func TestErrorResponseIsForwarded(t *testing.T) {
	var u *fakeUpstream
	u = newFakeUpstream(t, "i-1", func(req *http.Request, c net.Conn) { u.respond(c, req, 500, "broken", "X-Proof: p") })
	f := newTestFleet(t, ordersTable(), u)
	for _, kind := range []routing.RouteKind{routing.Idempotent, routing.NonIdempotent} {
		resp, body := f.send(0, testRequest{kind: kind})
		require.Equal(t, 500, resp.StatusCode)
		require.Equal(t, "broken", body)
		require.Equal(t, "p", resp.Header.Get("X-Proof"))
	}
}

// TestAttemptsAreBounded checks that a failing request is not sent to all upstreams.
func TestAttemptsAreBounded(t *testing.T) {
	var executions atomic.Int32
	var all []*fakeUpstream
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		var u *fakeUpstream
		u = newFakeUpstream(t, id, func(req *http.Request, c net.Conn) {
			executions.Add(1)
			u.respond(c, req, 500, "")
		})
		all = append(all, u)
	}
	f := newTestFleet(t, ordersTable(), all...)
	f.send(0, testRequest{kind: routing.Idempotent})
	require.EqualValues(t, 2, executions.Load())
}

// TestRetryBudgetLimitsRetries checks that all retries towards a service whose upstreams all
// fail stay within the ratio and the minimum retries of the fleet.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	var executions atomic.Int32
	fail := func(u **fakeUpstream) func(*http.Request, net.Conn) {
		return func(req *http.Request, c net.Conn) {
			executions.Add(1)
			(*u).respond(c, req, 500, "")
		}
	}
	var a, b *fakeUpstream
	a, b = newFakeUpstream(t, "i-1", fail(&a)), newFakeUpstream(t, "i-2", fail(&b))
	f := newTestFleet(t, ordersTable(), a, b)
	const requests = 100
	for i := range requests {
		f.send(i%2, testRequest{kind: routing.Idempotent})
	}
	require.LessOrEqual(t, int(executions.Load())-requests, int(0.2*requests+20))
	require.Greater(t, int(executions.Load()), requests, "some retries are allowed")
}

// TestReplacedUpstreamIsDetected checks that a response with status 421 by another upstream
// at the address counts as not executed, and that the daemon stops using the upstream.
func TestReplacedUpstreamIsDetected(t *testing.T) {
	var other *fakeUpstream
	other = newFakeUpstream(t, "i-old", func(req *http.Request, c net.Conn) { other.respond(c, req, 421, "", "X-Instance: i-new") })
	good := newFakeUpstream(t, "i-good", nil)
	f := newTestFleet(t, ordersTable(), other, good)
	resp, body := f.send(0, testRequest{kind: routing.NonIdempotent})
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "i-good", body)
	f.send(0, testRequest{kind: routing.NonIdempotent})
	require.Len(t, other.requests(), 1, "the daemon has recorded that the upstream was replaced")
}

// TestNoNewRequestsAfterAcknowledgedDraining checks that no new request reaches an upstream
// once its draining heartbeat is acknowledged, even from daemons that have not received the
// change, and that requests in flight complete.
func TestNoNewRequestsAfterAcknowledgedDraining(t *testing.T) {
	release, started := make(chan struct{}), make(chan struct{})
	var draining *fakeUpstream
	draining = newFakeUpstream(t, "i-1", func(req *http.Request, c net.Conn) {
		close(started)
		<-release
		draining.respond(c, req, 200, "i-1")
	})
	good := newFakeUpstream(t, "i-2", nil)
	f := newTestFleet(t, ordersTable(), draining, good)
	first := make(chan string)
	go func() {
		_, body := f.send(0, testRequest{kind: routing.NonIdempotent})
		first <- body
	}()
	<-started
	result := f.daemons[0].HandleHeartbeat(lifecycle.Heartbeat{ID: "i-1", StartedAtMs: 1, Sequence: 2, Service: "orders", State: lifecycle.Draining, Slots: testSlots})
	require.Equal(t, lifecycle.Accepted, result)
	for daemon := range f.daemons {
		_, body := f.send(daemon, testRequest{kind: routing.NonIdempotent})
		require.Equal(t, "i-2", body)
	}
	require.Len(t, draining.requests(), 1)
	close(release)
	require.Equal(t, "i-1", <-first)
}

// TestRouteTimeout checks that a request to an upstream that never responds ends at the timeout
// of the route, with a status that does not imply that it was not executed.
func TestRouteTimeout(t *testing.T) {
	unresponsive := newFakeUpstream(t, "i-1", func(*http.Request, net.Conn) {})
	table := ordersTable()
	for i := range table.Routes {
		table.Routes[i].Timeout = 200 * time.Millisecond
	}
	f := newTestFleet(t, table, unresponsive)
	for _, kind := range []routing.RouteKind{routing.Idempotent, routing.NonIdempotent} {
		resp, _ := f.send(0, testRequest{kind: kind, clientTimeout: time.Minute})
		require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode, kind)
	}
}

// TestClientCancellationEndsQueuedAndIdempotentRequests checks that a request is removed from
// the queue when its client disconnects, and that an idempotent request in flight is
// interrupted. A non-idempotent one in flight completes.
func TestClientCancellationEndsQueuedAndIdempotentRequests(t *testing.T) {
	for _, kind := range []routing.RouteKind{routing.Idempotent, routing.NonIdempotent} {
		t.Run(kind.String(), func(t *testing.T) {
			started, closed := make(chan struct{}, 100), make(chan struct{}, 100)
			u := newFakeUpstream(t, "i-1", func(req *http.Request, c net.Conn) {
				started <- struct{}{}
				_ = c.SetReadDeadline(time.Now().Add(time.Second)) // an open connection times out
				if _, err := c.Read(make([]byte, 1)); !isTimeout(err) {
					closed <- struct{}{}
				}
			})
			f := newTestFleet(t, ordersTable(), u)
			inFlightCtx, cancelInFlight := context.WithCancel(context.Background())
			queuedCtx, cancelQueued := context.WithCancel(context.Background())
			defer cancelInFlight()
			call := func(ctx context.Context) { _, _, _ = f.trySend(ctx, 0, testRequest{kind: kind}) } // the client disconnects
			for range testSlots {
				go call(inFlightCtx)
				<-started
			}
			for range 3 {
				go call(queuedCtx)
			}
			inFlight := func(n int) func() bool { return func() bool { return f.daemons[0].ingress.InFlight() == n } }
			require.Eventually(t, inFlight(testSlots+3), testTimeout, time.Millisecond)
			cancelQueued()
			require.Eventually(t, inFlight(testSlots), testTimeout, time.Millisecond)
			cancelInFlight()
			if kind.IsIdempotent() {
				for range testSlots {
					<-closed
				}
			}
			require.Eventually(t, inFlight(0), testTimeout, time.Millisecond)
			require.Len(t, u.requests(), testSlots, "queued requests of disconnected clients are not sent")
			if !kind.IsIdempotent() {
				require.Empty(t, closed)
			}
		})
	}
}

func isTimeout(err error) bool {
	network, ok := err.(net.Error)
	return ok && network.Timeout()
}

// TestRejectedRequestNeverReachesUpstream checks that a request that was rejected for lack of
// capacity never reaches the upstream.
func TestRejectedRequestNeverReachesUpstream(t *testing.T) {
	release := make(chan struct{})
	var u *fakeUpstream
	u = newFakeUpstream(t, "i-1", func(req *http.Request, c net.Conn) {
		<-release
		u.respond(c, req, 200, "")
	})
	f := newTestFleet(t, ordersTable(), u)
	const clients = testSlots * (queuePerSlot + 3)
	type outcome struct {
		id     string
		status int
	}
	outcomes := make(chan outcome, clients)
	for range clients {
		go func() {
			id := nextID()
			resp, _ := f.send(0, testRequest{kind: routing.NonIdempotent, id: id})
			outcomes <- outcome{id, resp.StatusCode}
		}()
	}
	rejected := map[string]bool{}
	for range clients - testSlots*(queuePerSlot+1) {
		o := <-outcomes
		require.Equal(t, http.StatusServiceUnavailable, o.status)
		rejected[o.id] = true
	}
	close(release)
	for range clients - len(rejected) {
		if o := <-outcomes; o.status == http.StatusServiceUnavailable {
			rejected[o.id] = true
		}
	}
	for _, req := range u.requests() {
		require.False(t, rejected[req.Header.Get("X-Id")], "a rejected request was sent")
	}
}

// TestNewIncarnationServesRequestsForPreviousOne checks that after a restart of all upstreams
// and daemons, while daemons still have the previous incarnations of upstreams in their fleet
// state, requests for those are sent to the current incarnations.
func TestNewIncarnationServesRequestsForPreviousOne(t *testing.T) {
	var restarted *fakeUpstream
	restarted = newFakeUpstream(t, "i-former", func(req *http.Request, c net.Conn) {
		if req.Header.Get("X-Target") != "i-new" {
			restarted.respond(c, req, http.StatusMisdirectedRequest, "", "X-Instance: i-new\r\n")
			return
		}
		restarted.respond(c, req, 200, "i-new")
	})
	gone := newFakeUpstream(t, "i-gone", nil)
	f := newTestFleet(t, ordersTable(), restarted, gone)
	f.daemons[1].DeregisterUpstream("i-gone")
	restarted.setHealth(func(req *http.Request, c net.Conn) { restarted.respond(c, req, 200, "", "X-Instance: i-new") })
	f.daemons[0].HandleHeartbeat(lifecycle.Heartbeat{ID: "i-new", StartedAtMs: 2, Sequence: 1, Service: "orders", State: lifecycle.Ready, Slots: testSlots})
	f.awaitState(0, lifecycle.Ready)
	for daemon := range 2 {
		resp, body := f.send(daemon, testRequest{kind: routing.NonIdempotent})
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, "i-new", body)
	}
}

// TestGracefulShutdownCompletesRequests checks that a daemon that shuts down completes requests
// in flight, from its own clients and from peers, and accepts new ones until clients have
// noticed that it is not ready, if they end before the daemon does.
func TestGracefulShutdownCompletesRequests(t *testing.T) {
	release, started := make(chan struct{}), make(chan struct{}, 10)
	var slow *fakeUpstream
	slow = newFakeUpstream(t, "i-1", func(req *http.Request, c net.Conn) {
		started <- struct{}{}
		<-release
		slow.respond(c, req, 200, "i-1")
	})
	other := newFakeUpstream(t, "i-2", nil)
	f := newTestFleet(t, ordersTable(), slow, other)
	f.daemons[0].cfg.ShutdownGracePeriod = testTimeout
	f.daemons[1].DeregisterUpstream("i-2")
	responses := make(chan string, 4)
	sendBoth := func() {
		for daemon := range 2 {
			go func() {
				_, body := f.send(daemon, testRequest{kind: routing.NonIdempotent})
				responses <- body
			}()
			<-started
		}
	}
	sendBoth()
	f.stop[0]()
	require.Eventually(t, func() bool { return !f.daemons[0].Ready() }, testTimeout, time.Millisecond)
	sendBoth()
	f.daemons[0].stopAccepting() // as shutdown does once clients have noticed the shutdown
	resp, _ := f.send(0, testRequest{kind: routing.Idempotent})
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "no upstream accepts requests; the client may retry")
	require.True(t, resp.Close)
	close(release)
	for range 4 {
		require.Equal(t, "i-1", <-responses)
	}
	select {
	case <-f.stopped[0]:
	case <-time.After(testTimeout):
		t.Fatal("the graceful shutdown does not end")
	}
}

// TestStoppingDaemonRejectsLongCalls checks that a call that may outlive a daemon that shuts
// down is sent to another upstream at once.
func TestStoppingDaemonRejectsLongCalls(t *testing.T) {
	f := newTestFleet(t, ordersTable(), newFakeUpstream(t, "i-1", nil), newFakeUpstream(t, "i-2", nil))
	f.daemons[0].cfg.ShutdownGracePeriod = 2 * time.Second // as long as the timeout of the route
	f.stop[0]()
	require.Eventually(t, func() bool { return f.daemons[0].local.shutdownDeadline.Load() != nil }, testTimeout, time.Millisecond)
	_, body := f.send(0, testRequest{kind: routing.NonIdempotent})
	require.Equal(t, "i-2", body)
	_, body = f.send(0, testRequest{kind: routing.NonIdempotent, clientTimeout: 100 * time.Millisecond})
	require.Equal(t, "i-1", body, "a short call is still executed there")
}

// TestStoppingDaemonRejectsLongLateRequests checks requests that arrive after clients should
// have noticed the shutdown. One that may outlive the daemon would be interrupted, so it is
// rejected as not executed and may be sent to another daemon at once; a shorter one is served.
func TestStoppingDaemonRejectsLongLateRequests(t *testing.T) {
	release, started := make(chan struct{}), make(chan struct{})
	var slow *fakeUpstream
	slow = newFakeUpstream(t, "i-1", func(req *http.Request, c net.Conn) {
		close(started)
		<-release
		slow.respond(c, req, 200, "i-1")
	})
	table := ordersTable()
	for i := range table.Routes {
		table.Routes[i].Timeout = 2 * testTimeout
	}
	f := newTestFleet(t, table, slow, newFakeUpstream(t, "i-2", nil))
	f.daemons[0].cfg.ShutdownGracePeriod = testTimeout
	inFlight := make(chan string)
	go func() {
		_, body := f.send(0, testRequest{kind: routing.NonIdempotent})
		inFlight <- body
	}()
	<-started
	f.stop[0]()
	require.Eventually(t, func() bool { return f.daemons[0].local.shutdownDeadline.Load() != nil }, testTimeout, time.Millisecond)
	_, body := f.send(0, testRequest{kind: routing.NonIdempotent})
	require.Equal(t, "i-2", body, "clients cannot have noticed the shutdown yet")
	f.daemons[0].stopAccepting() // as shutdown does once clients have noticed the shutdown
	resp, body := f.send(0, testRequest{kind: routing.NonIdempotent})
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Contains(t, body, "not-run (stopping)")
	require.True(t, resp.Close)
	require.Equal(t, "0.050", resp.Header.Get("Retry-After"))
	_, body = f.send(0, testRequest{kind: routing.NonIdempotent, clientTimeout: time.Second})
	require.Equal(t, "i-2", body)
	close(release)
	require.Equal(t, "i-1", <-inFlight)
}

// TestDependencyFailureIsNotRetried checks that retries do not multiply along a call chain: a
// request that failed because of a downstream call is not retried, since the call was.
func TestDependencyFailureIsNotRetried(t *testing.T) {
	var executions atomic.Int32
	var f *testFleet
	handle := func(u **fakeUpstream) func(*http.Request, net.Conn) {
		return func(req *http.Request, c net.Conn) {
			executions.Add(1)
			for _, d := range f.daemons {
				d.local.recordFailure(testClock(), "internal", chain.NewFailure(chain.Failed, chain.ReasonHandlerError, ""), false)
			}
			(*u).respond(c, req, 500, "")
		}
	}
	var a, b *fakeUpstream
	a, b = newFakeUpstream(t, "i-1", handle(&a)), newFakeUpstream(t, "i-2", handle(&b))
	f = newTestFleet(t, ordersTable(), a, b)
	resp, _ := f.send(0, testRequest{kind: routing.Idempotent})
	require.Equal(t, 500, resp.StatusCode)
	require.EqualValues(t, 1, executions.Load())
}

// TestDownstreamOverloadThrottlesIngress checks that clients are rejected at the ingress
// listener while a downstream dependency is overloaded, instead of failing half way, that calls
// of the upstream are still admitted, and that clients are served again after the overload.
func TestDownstreamOverloadThrottlesIngress(t *testing.T) {
	var failing atomic.Bool
	var f *testFleet
	var a *fakeUpstream
	// Each request of the upstream needs a call on the upload route, which fails.
	a = newFakeUpstream(t, "i-1", func(req *http.Request, c net.Conn) {
		if failing.Load() {
			f.daemons[0].local.recordFailure(testClock(), routing.Upload.String(), chain.NewFailure(chain.NotRun, chain.ReasonOverload, "no room"), false)
			a.respond(c, req, 500, "")
			return
		}
		a.respond(c, req, 200, "i-1")
	})
	f = newTestFleet(t, ordersTable(), a)
	failing.Store(true)
	require.Eventually(t, func() bool {
		resp, body := f.send(0, testRequest{kind: routing.Idempotent})
		time.Sleep(30 * time.Millisecond) // no failure follows the response soon, so the route is classified as client-only
		return resp.StatusCode == http.StatusServiceUnavailable && strings.Contains(body, string(chain.ReasonDownstream)) && resp.Header.Get("Retry-After") != ""
	}, testTimeout, time.Millisecond)
	for range 10 {
		resp, _ := f.send(0, testRequest{kind: routing.Upload})
		require.Equal(t, http.StatusInternalServerError, resp.StatusCode, "a call of the upstream is not throttled")
	}
	failing.Store(false)
	require.Eventually(t, func() bool {
		for range 10 {
			if resp, _ := f.send(0, testRequest{kind: routing.Idempotent}); resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	}, testTimeout, time.Millisecond)
}

// TestPeerConnectionLostBeforeContinue checks non-idempotent requests and uploads whose
// connection to a peer fails. Before the 100 Continue they have not been executed and are sent
// to another upstream; after it the outcome is unknown.
func TestPeerConnectionLostBeforeContinue(t *testing.T) {
	for _, sendsContinue := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 4096)) // the head
				if sendsContinue {
					_, _ = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
					_, _ = c.Read(make([]byte, 4096)) // some of the body
				}
				_ = c.Close()
			}
		}()
		good := newFakeUpstream(t, "i-good", nil)
		f := newTestFleet(t, ordersTable(), good)
		f.daemons[0].UpdateFleet(FleetState{Table: f.table, Daemons: 1, Upstreams: map[string][]balance.Upstream{"orders": {
			{ID: "i-broken", Address: l.Addr().String(), Region: "north", AvailabilityZone: "zone-0", Slots: testSlots},
			{ID: "i-good", Address: f.daemons[0].cfg.PeerAddress, Region: "north", AvailabilityZone: "zone-9", Slots: testSlots},
		}}})
		for _, kind := range []routing.RouteKind{routing.NonIdempotent, routing.Upload} {
			resp, _ := f.send(0, testRequest{kind: kind, body: "x"})
			want := http.StatusOK
			if sendsContinue {
				want = http.StatusBadGateway
			}
			require.Equal(t, want, resp.StatusCode, kind)
		}
	}
}
