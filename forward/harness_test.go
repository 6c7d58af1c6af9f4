package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/lifecycle"
	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// patience bounds every wait; a test that needs it all has failed.
const patience = 20 * time.Second

// testClock is steady and far from the time of day, as the clock of a VM is.
func testClock() time.Time { return time.Unix(1000, 0).Add(time.Since(testStart)) }

var testStart = time.Now()

var testDialect = HeaderNames{RequestID: "X-Id", Deadline: "X-Wait", NotExecuted: "X-Not-Run", UpstreamID: "X-Target", ResponderID: "X-Instance", Caller: "X-Caller"}

// upstream is a scripted upstream. Handle gets each request that came and writes
// raw bytes; a nil Handle answers with 200 and its name.
type upstream struct {
	id      string
	address string
	handle  func(req *http.Request, c net.Conn)

	mu   sync.Mutex
	seen []*http.Request
}

func newUpstream(t testing.TB, id string, handle func(*http.Request, net.Conn)) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &upstream{id: id, address: l.Addr().String(), handle: handle}
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

func (u *upstream) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			_ = c.Close()
			return
		}
		body, _ := io.ReadAll(req.Body) // a torn body is the test's concern
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		u.mu.Lock()
		u.seen = append(u.seen, req)
		u.mu.Unlock()
		if u.handle != nil {
			u.handle(req, c)
			continue
		}
		u.reply(c, req, 200, u.id)
	}
}

// reply writes an answer that echoes the id of the request.
func (u *upstream) reply(c net.Conn, req *http.Request, status int, body string, headers ...string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", // the other end may be gone
		status, req.Header.Get("X-Id"), len(body), strings.Join(append(headers, ""), "\r\n"), body)
}

func (u *upstream) requests() []*http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]*http.Request(nil), u.seen...)
}

// fleetOf runs one daemon beside each upstream, all for one service in different
// availability zones of a region.
type fleetOf struct {
	t       testing.TB
	daemons []*Forwarder
	stop    []context.CancelFunc
	ended   []chan struct{}
	table   *routing.Table

	clockDelay atomic.Int64 // nanoseconds that each look at the clock takes
}

const testSlots = 4

func newFleet(t testing.TB, table *routing.Table, upstreams ...*upstream) *fleetOf {
	f := &fleetOf{t: t, table: table}
	for i, u := range upstreams {
		f.start(i, u)
	}
	f.connect(upstreams)
	return f
}

func (f *fleetOf) now() time.Time {
	time.Sleep(time.Duration(f.clockDelay.Load()))
	return testClock()
}

func (f *fleetOf) start(i int, u *upstream) {
	d, err := New(context.Background(), Config{
		IngressAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", UpstreamAddress: u.address, Service: "orders",
		Region: "north", AvailabilityZone: fmt.Sprint("zone-", i), HeaderNames: testDialect,
		RetryBudget: RetryBudgetConfig{Ratio: 0.2, MinRetries: 20, Window: 10 * time.Second}, ShutdownGracePeriod: 400 * time.Millisecond, Now: f.now,
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
	f.daemons, f.stop, f.ended = append(f.daemons, d), append(f.stop, cancel), append(f.ended, ended)
	d.HandleHeartbeat(lifecycle.Heartbeat{ID: u.id, StartedAtMs: 1, Sequence: 1, Service: "orders", State: lifecycle.Ready, Slots: testSlots})
}

// connect tells all daemons of all upstreams.
func (f *fleetOf) connect(upstreams []*upstream) {
	var list []balance.Upstream
	for i, u := range upstreams {
		list = append(list, balance.Upstream{ID: u.id, Address: f.daemons[i].cfg.PeerAddress, Region: "north", AvailabilityZone: fmt.Sprint("zone-", i), Slots: testSlots})
	}
	for _, d := range f.daemons {
		d.UpdateFleet(FleetState{Table: f.table, Upstreams: map[string][]balance.Upstream{"orders": list}, Daemons: len(f.daemons)})
	}
}

// ordersTable has one route of each kind, with the kind's name as prefix.
func ordersTable() *routing.Table {
	t := &routing.Table{Version: 1, Services: []routing.Service{{Name: "orders", HealthPath: "/healthz"}}}
	for _, kind := range []routing.RouteKind{routing.Idempotent, routing.NonIdempotent, routing.Upload} {
		t.Routes = append(t.Routes, routing.Route{
			Name: kind.String(), Host: "shop.example", Prefix: "/" + kind.String() + "/", Kind: kind, Timeout: 2 * time.Second,
			MaxAttempts: 2, Targets: []routing.Target{{Service: "orders", Weight: 1}},
		})
	}
	return t
}

// sent is what a test sends to an entrance.
type sent struct {
	kind   routing.RouteKind
	id     string
	wait   time.Duration
	body   string
	header http.Header
}

var ids struct {
	sync.Mutex
	n int
}

func nextID() string {
	ids.Lock()
	defer ids.Unlock()
	ids.n++
	return "id-" + strconv.Itoa(ids.n)
}

// send sends a request to the entrance of a daemon, on a connection of its own.
func (f *fleetOf) send(daemon int, q sent) (*http.Response, string) {
	resp, body, err := f.try(context.Background(), daemon, q)
	require.NoError(f.t, err)
	return resp, body
}

func (f *fleetOf) try(ctx context.Context, daemon int, q sent) (*http.Response, string, error) {
	entrance, _ := f.daemons[daemon].ListenAddresses()
	method := http.MethodGet
	if q.body != "" || !q.kind.IsIdempotent() {
		method = http.MethodPost
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entrance+"/"+q.kind.String()+"/7?x=1", strings.NewReader(q.body))
	require.NoError(f.t, err)
	req.Host = "shop.example"
	for name, values := range q.header {
		req.Header[name] = values
	}
	if q.id == "" {
		q.id = nextID()
	}
	req.Header.Set("X-Id", q.id)
	if q.wait > 0 {
		req.Header.Set("X-Wait", strconv.FormatInt(q.wait.Milliseconds(), 10))
	}
	resp, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}
