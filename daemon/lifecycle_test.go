package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/declaration"
)

// TestClientCancelsDuringExecution checks that the cancellation by a client reaches the handler of
// the second service in the call chain, so that it does not continue to execute.
func TestClientCancelsDuringExecution(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	edge, _ := startChain(t, testRoute("x", "POST", "/x", true), func(_ http.ResponseWriter, _ *http.Request, callDependency func() (int, string)) {
		callDependency()
	}, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	})
	cancel := startCancellableRequest(t, edge, "POST", "/front/x", "")
	receive(t, started)
	cancel()
	receive(t, cancelled)
}

// TestClientCancelsInQueue guards against a queued request that is executed, or stays in the queue,
// after its client has cancelled.
func TestClientCancelsInQueue(t *testing.T) {
	var executions atomic.Int32
	started, release := make(chan struct{}, 4), make(chan struct{})
	back := startNode(t, nodeConfig("b-1", "b"), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		executions.Add(1)
		started <- struct{}{}
		<-release
	}))
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	svc := testService("b", testRoute("x", "POST", "/x", true))
	svc.Slots = 1
	applySnapshot(t, []declaration.Service{svc}, back, edge)
	cancelExecuting := startCancellableRequest(t, edge, "POST", "/b/x", "")
	receive(t, started)
	cancelQueued := startCancellableRequest(t, edge, "POST", "/b/x", "a small body")
	require.Eventually(t, func() bool { return back.d.Status().Queued == 1 }, testTimeout, time.Millisecond)
	cancelQueued()
	require.Eventually(t, func() bool { return back.d.Status().Queued == 0 }, testTimeout, time.Millisecond)
	close(release)
	require.Eventually(t, func() bool { return back.d.Status().InFlight == 0 }, testTimeout, time.Millisecond)
	cancelExecuting()
	require.EqualValues(t, 1, executions.Load())
}

// startCancellableRequest starts a request and returns a function that cancels it.
func startCancellableRequest(t *testing.T, n *testNode, method, path, body string, headers ...string) (cancelRequest func()) {
	t.Helper()
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, "http://"+n.d.ListenAddresses().Ingress+path, content)
	require.NoError(t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r.WithContext(ctx))
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	return cancel
}

// TestDrainWithSlowUpload checks that a graceful shutdown of both daemons aborts no upload, and
// that the egress listener accepts calls of the handler until the handler has returned.
func TestDrainWithSlowUpload(t *testing.T) {
	started := make(chan struct{})
	upload := testRoute("upload", "POST", "/upload", false)
	upload.Body = declaration.BodyStream
	edge, front := startChain(t, upload, func(w http.ResponseWriter, r *http.Request, callDependency func() (int, string)) {
		close(started)
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			w.WriteHeader(500)
			return
		}
		_, stored := callDependency()
		_, _ = io.WriteString(w, stored+strings.Repeat(".", int(n/100_000)))
	}, respondWith("stored"))
	body, sender := io.Pipe()
	response := make(chan *http.Response, 1)
	go func() {
		resp, err := edge.tryRequest("POST", "/front/upload", body)
		if err == nil {
			response <- resp
		}
	}()
	part := strings.Repeat("p", 100_000)
	_, err := io.WriteString(sender, part)
	require.NoError(t, err)
	receive(t, started)
	front.stop()
	resp, err := http.Post("http://"+edge.d.ListenAddresses().Admin+"/drain", "", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusAccepted, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
	require.Eventually(t, func() bool {
		return isClosed(edge.d.ListenAddresses().Ingress) && isClosed(front.d.ListenAddresses().Peer)
	}, testTimeout, time.Millisecond)
	require.Equal(t, api.UpstreamState_UPSTREAM_STATE_DRAINING, front.d.State())
	for range 4 {
		_, err = io.WriteString(sender, part)
		require.NoError(t, err)
	}
	require.NoError(t, sender.Close())
	require.Equal(t, "stored.....", readAll(t, receive(t, response)))
	require.NoError(t, front.waitStopped())
	require.NoError(t, edge.waitStopped())
	require.Equal(t, api.UpstreamState_UPSTREAM_STATE_GONE, front.d.State())
}

// TestDrainingDaemonRejects checks that a draining daemon rejects requests as not-run, and that
// daemons that have not received the draining state retry them at another upstream.
func TestDrainingDaemonRejects(t *testing.T) {
	cfg := nodeConfig("b-1", "b")
	cfg.DrainDelay = testTimeout
	draining, serving := startNode(t, cfg, respondWith("served")), startNode(t, nodeConfig("b-2", "b"), respondWith("served"))
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	applySnapshot(t, []declaration.Service{testService("b", routeY)}, draining, serving, edge)
	draining.stop()
	require.Eventually(t, func() bool { return draining.d.State() == api.UpstreamState_UPSTREAM_STATE_DRAINING }, testTimeout, time.Millisecond)
	for range 6 {
		require.Equal(t, "served", readAll(t, edge.request("POST", "/b/y", nil)))
	}
	resp := draining.request("POST", "/b/y", nil)
	require.Equal(t, "served", readAll(t, resp), "the ingress of a draining daemon must use other upstreams")
	edgeWithoutAlternative := startNode(t, nodeConfig("edge-2", ""), nil)
	applySnapshot(t, []declaration.Service{testService("b", routeY)}, draining, edgeWithoutAlternative)
	requireErrorResponse(t, edgeWithoutAlternative.request("POST", "/b/y", nil), 503, chain.NotRun, chain.ReasonDraining)
}

// TestRejectionBeforeBodyIsRead guards against reading an upload that is then rejected, and checks
// that the unread body can be sent to another upstream.
func TestRejectionBeforeBodyIsRead(t *testing.T) {
	cfg := nodeConfig("b-1", "b")
	cfg.DrainDelay = testTimeout
	draining := startNode(t, cfg, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	services := []declaration.Service{testService("b", routeY)}
	applySnapshot(t, services, draining, edge)
	draining.d.startDrain()
	content := strings.Repeat("x", 4<<20)
	body := strings.NewReader(content)
	requireErrorResponse(t, postExpectContinue(t, edge, body), 503, chain.NotRun, chain.ReasonDraining)
	require.Equal(t, len(content), body.Len(), "the body must not be read")

	serving := startNode(t, nodeConfig("b-2", "b"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strings.Repeat("m", int(n>>20)))
	}))
	edge = startNode(t, nodeConfig("edge-2", ""), nil)
	applySnapshot(t, services, draining, serving, edge)
	for range 4 {
		require.Equal(t, "mmmm", readAll(t, postExpectContinue(t, edge, strings.NewReader(content))))
	}
}

// postExpectContinue sends a request with "Expect: 100-continue".
func postExpectContinue(t *testing.T, n *testNode, body io.Reader) *http.Response {
	t.Helper()
	r, err := http.NewRequest("POST", "http://"+n.d.ListenAddresses().Ingress+"/b/y", body)
	require.NoError(t, err)
	r.Header.Set("Expect", "100-continue")
	resp, err := (&http.Transport{ExpectContinueTimeout: testTimeout, DisableKeepAlives: true}).RoundTrip(r)
	require.NoError(t, err)
	return resp
}

// TestKillAbortsRequests checks that Kill does not wait for requests in flight.
func TestKillAbortsRequests(t *testing.T) {
	started := make(chan struct{})
	n := startNode(t, nodeConfig("b-1", "b"), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
	}))
	applySnapshot(t, []declaration.Service{testService("b", routeY)}, n)
	cancel := startCancellableRequest(t, n, "POST", "/b/y", "")
	defer cancel()
	receive(t, started)
	n.stop()
	n.d.Kill()
	require.NoError(t, n.waitStopped())
	require.Equal(t, api.UpstreamState_UPSTREAM_STATE_GONE, n.d.State())
}

// TestShutdownUnderLoad checks that requests that are not idempotent all get complete responses,
// while the daemon of one upstream shuts down and the other daemons have not been notified.
func TestShutdownUnderLoad(t *testing.T) {
	cfg := nodeConfig("b-1", "b")
	cfg.DrainDelay = time.Second
	draining, serving := startNode(t, cfg, respondWith("done")), startNode(t, nodeConfig("b-2", "b"), respondWith("done"))
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	svc := testService("b", routeY)
	svc.Slots, svc.MaxConnections = 64, 64
	applySnapshot(t, []declaration.Service{svc}, draining, serving, edge)
	for range 200 { // fills the retry budget
		require.Equal(t, "done", readAll(t, edge.request("POST", "/b/y", nil)))
	}
	var workers sync.WaitGroup
	var calls atomic.Int32
	ended := make(chan struct{})
	for range 8 {
		workers.Go(func() {
			for stopping := false; !stopping; {
				select {
				case <-ended:
					stopping = true
				default:
				}
				resp, err := edge.tryRequest("POST", "/b/y", nil)
				if err != nil {
					t.Error(err)
					return
				}
				if body, _ := io.ReadAll(resp.Body); string(body) != "done" {
					t.Errorf("response %q", body)
				}
				_ = resp.Body.Close()
				calls.Add(1)
			}
		})
	}
	draining.stop()
	require.NoError(t, draining.waitStopped())
	close(ended)
	workers.Wait()
	require.Positive(t, calls.Load())
}

// TestClientThatDoesNotRead guards against a client that occupies a slot of the upstream because it
// does not read its response.
func TestClientThatDoesNotRead(t *testing.T) {
	ended := make(chan error, 1)
	edge, back := startPair(t, func(w http.ResponseWriter, _ *http.Request) {
		part := make([]byte, 1<<20)
		for range 1 << 10 { // more than the capacity of all socket buffers on the path
			if _, err := w.Write(part); err != nil {
				ended <- err
				return
			}
		}
		ended <- nil
	}, []declaration.Route{routeY}, func(c *Config) { c.BodyProgressTimeout = 200 * time.Millisecond })
	conn, err := net.Dial("tcp", edge.d.ListenAddresses().Ingress)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, postHeader(0))
	require.NoError(t, err)
	require.Error(t, receive(t, ended))
	require.Eventually(t, func() bool { return back.d.Status().InFlight == 0 }, testTimeout, time.Millisecond)
}
