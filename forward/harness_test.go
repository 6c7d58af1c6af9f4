package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/holding"
	"github.com/bilberrydeck/bilberrydeck/core/lifecycle"
	"github.com/bilberrydeck/bilberrydeck/core/routing"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// testTimeout limits every wait of a test.
const testTimeout = 20 * time.Second

// testClock is monotonic and far from the time of day, like the clock of a VM.
func testClock() time.Time { return time.Unix(1000, 0).Add(time.Since(testStart)) }

var testStart = time.Now()

var testHeaderNames = HeaderNames{RequestID: "X-Id", Deadline: "X-Wait", NotExecuted: "X-Not-Run", UpstreamID: "X-Target", ResponderID: "X-Instance", Caller: "X-Caller"}

// fakeUpstream is a scripted upstream. handle is called with each request and writes raw
// bytes; if it is nil, the upstream responds with status 200 and its id.
type fakeUpstream struct {
	id      string
	address string
	handle  func(req *http.Request, c net.Conn)
	health  atomic.Pointer[healthHandler] // nil responds with status 200 and the id

	mu       sync.Mutex
	received []*http.Request
}

// healthHandler handles a health check, which does not count as a received request.
type healthHandler func(req *http.Request, c net.Conn)

// healthPath is the path of health checks in the tables of the tests.
const healthPath = "/healthz"

func newFakeUpstream(t testing.TB, id string, handle func(*http.Request, net.Conn)) *fakeUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &fakeUpstream{id: id, address: l.Addr().String(), handle: handle}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go u.serve(c)
		}
	}()
	return u
}

func (u *fakeUpstream) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			_ = c.Close()
			return
		}
		body, _ := io.ReadAll(req.Body) // the test checks for an incomplete body
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		if req.URL.Path == healthPath {
			u.serveHealthCheck(req, c)
			continue
		}
		u.mu.Lock()
		u.received = append(u.received, req)
		u.mu.Unlock()
		if u.handle != nil {
			u.handle(req, c)
			continue
		}
		u.respond(c, req, 200, u.id)
	}
}

func (u *fakeUpstream) serveHealthCheck(req *http.Request, c net.Conn) {
	if handle := u.health.Load(); handle != nil {
		(*handle)(req, c)
		return
	}
	u.respond(c, req, http.StatusOK, "", "X-Instance: "+u.id)
}

// setHealth sets the handler of health checks.
func (u *fakeUpstream) setHealth(h healthHandler) { u.health.Store(&h) }

// respond writes a response that echoes the id of the request.
func (u *fakeUpstream) respond(c net.Conn, req *http.Request, status int, body string, headers ...string) {
	u.respondTo(c, req, status, body, headers...)
}

func (u *fakeUpstream) respondTo(c io.Writer, req *http.Request, status int, body string, headers ...string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", // the peer may have closed the connection
		status, req.Header.Get("X-Id"), len(body), strings.Join(append(headers, ""), "\r\n"), body)
}

func (u *fakeUpstream) requests() []*http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]*http.Request(nil), u.received...)
}

// testFleet runs one daemon with each upstream, all of one service in different availability
// zones of a region.
type testFleet struct {
	t       testing.TB
	daemons []*Forwarder
	stop    []context.CancelFunc
	stopped []chan struct{}
	table   *routing.Table
	logger  *logging.Logger // nil discards the lines before they are formatted
	held    holding.Limits  // of each daemon that is started

	clockDelay  atomic.Int64 // nanoseconds that each reading of the clock takes
	clockOffset atomic.Int64 // nanoseconds that the clock is ahead of testClock
}

const testSlots = 4

func newTestFleet(t testing.TB, table *routing.Table, upstreams ...*fakeUpstream) *testFleet {
	return newLimitedFleet(t, holding.Limits{}, table, upstreams...)
}

// newLimitedFleet starts a fleet whose daemons have limits of what they hold for clients.
func newLimitedFleet(t testing.TB, held holding.Limits, table *routing.Table, upstreams ...*fakeUpstream) *testFleet {
	f := &testFleet{t: t, table: table, held: held}
	for i, u := range upstreams {
		f.startDaemon(i, u)
	}
	f.publishUpstreams(upstreams)
	return f
}

func (f *testFleet) now() time.Time {
	time.Sleep(time.Duration(f.clockDelay.Load()))
	return testClock().Add(time.Duration(f.clockOffset.Load()))
}

// startDaemon starts the daemon of an upstream, which sends its first heartbeat.
func (f *testFleet) startDaemon(i int, u *fakeUpstream) {
	f.daemons, f.stop, f.stopped = append(f.daemons, nil), append(f.stop, nil), append(f.stopped, nil)
	f.launchDaemon(i, u)
	f.daemons[i].HandleHeartbeat(readyHeartbeat(u.id, 1, testSlots))
}

// restartDaemon stops a daemon and starts another one for the same upstream, which has received
// neither heartbeats nor a configuration.
func (f *testFleet) restartDaemon(i int, u *fakeUpstream) {
	f.stop[i]()
	<-f.stopped[i]
	f.launchDaemon(i, u)
}

func (f *testFleet) launchDaemon(i int, u *fakeUpstream) {
	d, err := New(context.Background(), Config{
		IngressAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", UpstreamAddress: u.address, Service: "orders",
		Region: "north", AvailabilityZone: fmt.Sprint("zone-", i), HeaderNames: testHeaderNames,
		RetryBudget: RetryBudgetConfig{Ratio: 0.2, MinRetries: 20, Window: 10 * time.Second}, ShutdownGracePeriod: 400 * time.Millisecond, Now: f.now, Logger: f.logger, Held: f.held,
	})
	require.NoError(f.t, err)
	_, d.cfg.PeerAddress = d.ListenAddresses()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		d.Run(ctx)
		close(ended)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-ended
	})
	f.daemons[i], f.stop[i], f.stopped[i] = d, cancel, ended
}

// awaitState waits until a daemon has its upstream in a state.
func (f *testFleet) awaitState(daemon int, state lifecycle.State) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return f.daemons[daemon].local.current().State == state }, testTimeout, time.Millisecond)
}

func readyHeartbeat(id string, sequence uint64, slots int) lifecycle.Heartbeat {
	return lifecycle.Heartbeat{ID: id, StartedAtMs: 1, Sequence: sequence, Service: "orders", State: lifecycle.Ready, Slots: slots}
}

// publishUpstreams passes the list of upstreams to all daemons.
func (f *testFleet) publishUpstreams(upstreams []*fakeUpstream) {
	var list []balance.Upstream
	for _, u := range upstreams {
		i := slices.IndexFunc(f.daemons, func(d *Forwarder) bool { return d.cfg.UpstreamAddress == u.address })
		list = append(list, balance.Upstream{ID: u.id, Address: f.daemons[i].cfg.PeerAddress, Region: "north", AvailabilityZone: fmt.Sprint("zone-", i), Slots: testSlots})
	}
	for _, d := range f.daemons {
		d.UpdateFleet(FleetState{Table: f.table, Upstreams: map[string][]balance.Upstream{"orders": list}, Daemons: len(f.daemons)})
	}
}

// ordersTable has one route of each kind, with the kind's name as prefix.
func ordersTable() *routing.Table {
	t := &routing.Table{Version: 1, Services: []routing.Service{{Name: "orders", HealthPath: healthPath}}}
	for _, kind := range []routing.RouteKind{routing.Idempotent, routing.NonIdempotent, routing.Upload} {
		t.Routes = append(t.Routes, routing.Route{
			Name: kind.String(), Host: "shop.example", Prefix: "/" + kind.String() + "/", Kind: kind, Timeout: 2 * time.Second,
			MaxAttempts: 2, Targets: []routing.Target{{Service: "orders", Weight: 1}},
		})
	}
	return t
}

// testRequest describes a request that a test sends to an ingress listener.
type testRequest struct {
	kind          routing.RouteKind
	method        string // empty for GET, or for POST with a body or a kind that is not idempotent
	id            string
	clientTimeout time.Duration
	body          string
	header        http.Header
}

var idCounter struct {
	sync.Mutex
	n int
}

func nextID() string {
	idCounter.Lock()
	defer idCounter.Unlock()
	idCounter.n++
	return "id-" + strconv.Itoa(idCounter.n)
}

// send sends a request to the ingress listener of a daemon, on a new connection.
func (f *testFleet) send(daemon int, q testRequest) (*http.Response, string) {
	resp, body, err := f.trySend(context.Background(), daemon, q)
	require.NoError(f.t, err)
	return resp, body
}

func (f *testFleet) trySend(ctx context.Context, daemon int, q testRequest) (*http.Response, string, error) {
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	resp, err := f.open(ctx, daemon, q)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// open sends a request and returns the response with its body unread.
func (f *testFleet) open(ctx context.Context, daemon int, q testRequest) (*http.Response, error) {
	ingress, _ := f.daemons[daemon].ListenAddresses()
	method := http.MethodGet
	if q.body != "" || !q.kind.IsIdempotent() {
		method = http.MethodPost
	}
	if q.method != "" {
		method = q.method
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+ingress+"/"+q.kind.String()+"/7?x=1", strings.NewReader(q.body))
	require.NoError(f.t, err)
	req.Host = "shop.example"
	for name, values := range q.header {
		req.Header[name] = values
	}
	if q.id == "" {
		q.id = nextID()
	}
	req.Header.Set("X-Id", q.id)
	if q.clientTimeout > 0 {
		req.Header.Set("X-Wait", strconv.FormatInt(q.clientTimeout.Milliseconds(), 10))
	}
	return (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(req)
}
