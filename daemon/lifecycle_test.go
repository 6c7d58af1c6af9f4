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

// TestCallerLeavesWhileRunning guards against work that goes on for a caller
// who has left: the handler two services down must see the cancellation.
func TestCallerLeavesWhileRunning(t *testing.T) {
	entered, cancelled := make(chan struct{}), make(chan struct{})
	edge, _ := startChain(t, testRoute("x", "POST", "/x", true), func(_ http.ResponseWriter, _ *http.Request, below func() (int, string)) {
		below()
	}, func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
		close(cancelled)
	})
	leave := askAndLeave(t, edge, "POST", "/front/x", "")
	waitFor(t, entered)
	leave()
	waitFor(t, cancelled)
}

// TestCallerLeavesQueue guards against queued work that runs, or keeps its
// place, after its caller has left.
func TestCallerLeavesQueue(t *testing.T) {
	var runs atomic.Int32
	entered, release := make(chan struct{}, 4), make(chan struct{})
	back := startNode(t, nodeConfig("b-1", "b"), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		entered <- struct{}{}
		<-release
	}))
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	svc := testService("b", testRoute("x", "POST", "/x", true))
	svc.Slots = 1
	connect(t, []declaration.Service{svc}, back, edge)
	stay := askAndLeave(t, edge, "POST", "/b/x", "")
	waitFor(t, entered)
	leave := askAndLeave(t, edge, "POST", "/b/x", "a small body")
	require.Eventually(t, func() bool { return back.d.Status().Queued == 1 }, generous, time.Millisecond)
	leave()
	require.Eventually(t, func() bool { return back.d.Status().Queued == 0 }, generous, time.Millisecond)
	close(release)
	require.Eventually(t, func() bool { return back.d.Status().InFlight == 0 }, generous, time.Millisecond)
	stay()
	require.EqualValues(t, 1, runs.Load())
}

// askAndLeave starts a request and returns a function that breaks it off.
func askAndLeave(t *testing.T, n *node, method, path, body string, headers ...string) (leave func()) {
	t.Helper()
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, "http://"+n.d.Addresses().Ingress+path, content)
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

// TestDrainWithSlowUpload guards P7: a planned stop of the upstream's daemon
// and of the entrance interrupts no upload, and the exit listener serves the
// handler to its end.
func TestDrainWithSlowUpload(t *testing.T) {
	started := make(chan struct{})
	upload := testRoute("upload", "POST", "/upload", false)
	upload.Body = declaration.BodyStream
	edge, photos := startChain(t, upload, func(w http.ResponseWriter, r *http.Request, below func() (int, string)) {
		close(started)
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			w.WriteHeader(500)
			return
		}
		_, stored := below()
		_, _ = io.WriteString(w, stored+strings.Repeat(".", int(n/100_000)))
	}, respond("stored"))
	body, sender := io.Pipe()
	answer := make(chan *http.Response, 1)
	go func() {
		resp, err := edge.tryAsk("POST", "/front/upload", body)
		if err == nil {
			answer <- resp
		}
	}()
	part := strings.Repeat("p", 100_000)
	_, err := io.WriteString(sender, part)
	require.NoError(t, err)
	waitFor(t, started)
	photos.stop()
	resp, err := http.Post("http://"+edge.d.Addresses().Admin+"/drain", "", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusAccepted, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
	require.Eventually(t, func() bool { return closedFor(edge.d.Addresses().Ingress) && closedFor(photos.d.Addresses().Peer) },
		generous, time.Millisecond)
	require.Equal(t, api.UpstreamState_UPSTREAM_STATE_DRAINING, photos.d.State())
	for range 4 {
		_, err = io.WriteString(sender, part)
		require.NoError(t, err)
	}
	require.NoError(t, sender.Close())
	require.Equal(t, "stored.....", readAll(t, waitFor(t, answer)))
	require.NoError(t, photos.waitEnded())
	require.NoError(t, edge.waitEnded())
	require.Equal(t, api.UpstreamState_UPSTREAM_STATE_GONE, photos.d.State())
}

// TestDrainingGateRefuses guards P6 for daemons that do not know of the drain
// yet: new work is refused as not-run and goes elsewhere.
func TestDrainingGateRefuses(t *testing.T) {
	cfg := nodeConfig("b-1", "b")
	cfg.DrainDelay = generous
	leaving, staying := startNode(t, cfg, respond("served")), startNode(t, nodeConfig("b-2", "b"), respond("served"))
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	connect(t, []declaration.Service{testService("b", routeY)}, leaving, staying, edge)
	leaving.stop()
	require.Eventually(t, func() bool { return leaving.d.State() == api.UpstreamState_UPSTREAM_STATE_DRAINING }, generous, time.Millisecond)
	for range 6 {
		require.Equal(t, "served", readAll(t, edge.ask("POST", "/b/y", nil)))
	}
	own := leaving.ask("POST", "/b/y", nil)
	require.Equal(t, "served", readAll(t, own), "the entrance of a leaving daemon routes to others")
	alone := startNode(t, nodeConfig("edge-2", ""), nil)
	connect(t, []declaration.Service{testService("b", routeY)}, leaving, alone)
	requireRefusal(t, alone.ask("POST", "/b/y", nil), 503, chain.NotRun, chain.ReasonDraining)
}

// TestRefusedBeforeBody guards against an upload that crosses two daemons only
// to be refused, and checks that the unread body can still go elsewhere.
func TestRefusedBeforeBody(t *testing.T) {
	cfg := nodeConfig("b-1", "b")
	cfg.DrainDelay = generous
	leaving := startNode(t, cfg, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	services := []declaration.Service{testService("b", routeY)}
	connect(t, services, leaving, edge)
	leaving.d.startDrain()
	content := strings.Repeat("x", 4<<20)
	body := strings.NewReader(content)
	requireRefusal(t, askExpect(t, edge, body), 503, chain.NotRun, chain.ReasonDraining)
	require.Equal(t, len(content), body.Len(), "nothing was read")

	staying := startNode(t, nodeConfig("b-2", "b"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strings.Repeat("m", int(n>>20)))
	}))
	edge = startNode(t, nodeConfig("edge-2", ""), nil)
	connect(t, services, leaving, staying, edge)
	for range 4 {
		require.Equal(t, "mmmm", readAll(t, askExpect(t, edge, strings.NewReader(content))))
	}
}

func askExpect(t *testing.T, n *node, body io.Reader) *http.Response {
	t.Helper()
	r, err := http.NewRequest("POST", "http://"+n.d.Addresses().Ingress+"/b/y", body)
	require.NoError(t, err)
	r.Header.Set("Expect", "100-continue")
	resp, err := (&http.Transport{ExpectContinueTimeout: generous, DisableKeepAlives: true}).RoundTrip(r)
	require.NoError(t, err)
	return resp
}

// TestKillEndsRun guards against a forced stop that waits for requests.
func TestKillEndsRun(t *testing.T) {
	entered := make(chan struct{})
	n := startNode(t, nodeConfig("b-1", "b"), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
	}))
	connect(t, []declaration.Service{testService("b", routeY)}, n)
	leave := askAndLeave(t, n, "POST", "/b/y", "")
	defer leave()
	waitFor(t, entered)
	n.stop()
	n.d.Kill()
	require.NoError(t, n.waitEnded())
	require.Equal(t, api.UpstreamState_UPSTREAM_STATE_GONE, n.d.State())
}

// TestStopUnderLoad guards P6 and P7: while one upstream's daemon stops and the
// others have not been told, work that must not be repeated gets whole answers
// from the other upstream.
func TestStopUnderLoad(t *testing.T) {
	cfg := nodeConfig("b-1", "b")
	cfg.DrainDelay = time.Second
	leaving, staying := startNode(t, cfg, respond("done")), startNode(t, nodeConfig("b-2", "b"), respond("done"))
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	svc := testService("b", routeY)
	svc.Slots, svc.MaxConnections = 64, 64
	connect(t, []declaration.Service{svc}, leaving, staying, edge)
	for range 200 { // fills the retry budget
		require.Equal(t, "done", readAll(t, edge.ask("POST", "/b/y", nil)))
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
				resp, err := edge.tryAsk("POST", "/b/y", nil)
				if err != nil {
					t.Error(err)
					return
				}
				if body, _ := io.ReadAll(resp.Body); string(body) != "done" {
					t.Errorf("answer %q", body)
				}
				_ = resp.Body.Close()
				calls.Add(1)
			}
		})
	}
	leaving.stop()
	require.NoError(t, leaving.waitEnded())
	close(ended)
	workers.Wait()
	require.Positive(t, calls.Load())
}

// TestCallerThatDoesNotRead guards against a caller that holds a slot of the
// upstream by never reading its answer.
func TestCallerThatDoesNotRead(t *testing.T) {
	ended := make(chan error, 1)
	edge, back := startPair(t, func(w http.ResponseWriter, _ *http.Request) {
		part := make([]byte, 1<<20)
		for range 1 << 10 { // more than all the socket buffers on the way hold
			if _, err := w.Write(part); err != nil {
				ended <- err
				return
			}
		}
		ended <- nil
	}, []declaration.Route{routeY}, func(c *Config) { c.BodyProgressTimeout = 200 * time.Millisecond })
	conn, err := net.Dial("tcp", edge.d.Addresses().Ingress)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, postHead(0))
	require.NoError(t, err)
	require.Error(t, waitFor(t, ended))
	require.Eventually(t, func() bool { return back.d.Status().InFlight == 0 }, generous, time.Millisecond)
}
