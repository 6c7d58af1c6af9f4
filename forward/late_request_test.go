package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// TestLateRequestEndsBeforeDaemon guards against a request that a stopping daemon takes although its
// deadline leaves no time for the response to it: the daemon ends and the client gets none.
func TestLateRequestEndsBeforeDaemon(t *testing.T) {
	hanging := newFakeUpstream(t, "i-1", func(*http.Request, net.Conn) {})
	f := newTestFleet(t, ordersTable(), newFakeUpstream(t, "i-2", nil), hanging)
	f.publishUpstreams([]*fakeUpstream{hanging})
	d := f.daemons[0]
	d.stopAccepting()
	d.local.setShutdownDeadline(testClock().Add(ordersTable().Routes[0].Timeout + responseGraceTime/2))
	resp, body := f.send(0, testRequest{kind: routing.NonIdempotent})
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Contains(t, body, "not-run (stopping)")
	require.Empty(t, hanging.requests())
}

// TestLateRequestsDuringShutdown guards against requests that a stopping daemon takes late in the grace
// period, passes on and cuts off at its end. Clients send on open connections until the daemon is gone;
// each request that they send once they should have noticed the shutdown gets a response, or has not
// been passed on.
func TestLateRequestsDuringShutdown(t *testing.T) {
	const (
		grace   = 4 * time.Second
		clients = 24
		work    = 700 * time.Millisecond
	)
	table := ordersTable()
	for i := range table.Routes {
		table.Routes[i].Timeout = 3 * time.Second
	}
	var slow *fakeUpstream
	slow = newFakeUpstream(t, "i-2", func(req *http.Request, c net.Conn) {
		if strings.HasPrefix(req.URL.Path, "/upload") {
			return // hangs until the deadline
		}
		time.Sleep(work)
		slow.respond(c, req, 200, "i-2")
	})
	local := newFakeUpstream(t, "i-1", nil)
	f := newTestFleet(t, table, local, slow)
	f.daemons[0].cfg.ShutdownGracePeriod = grace
	for _, d := range f.daemons {
		d.HandleHeartbeat(readyHeartbeat(map[bool]string{true: "i-1", false: "i-2"}[d == f.daemons[0]], 2, 2*clients))
	}
	ingress, _ := f.daemons[0].ListenAddresses()
	f.stop[0]()
	stoppedAt := time.Now()
	var mu sync.Mutex
	unanswered := map[string]time.Duration{} // time after the start of the shutdown, by request id
	answered := map[int]int{}                // number of responses after that time, by status
	var running sync.WaitGroup
	for n := range clients {
		running.Go(func() {
			kind := []routing.RouteKind{routing.Idempotent, routing.NonIdempotent, routing.Upload}[n%3]
			random := rand.New(rand.NewPCG(26, uint64(n)))
			for {
				dialer := net.Dialer{Timeout: time.Second}
				c, err := dialer.DialContext(context.Background(), "tcp", ingress)
				if err != nil {
					return // the daemon is gone
				}
				r := bufio.NewReader(c)
				for open := true; open; {
					id, sentAt := nextID(), time.Since(stoppedAt)
					_, err := fmt.Fprintf(c, "POST /%s/7 HTTP/1.1\r\nHost: shop.example\r\nX-Id: %s\r\nX-Wait: %d\r\nContent-Length: 1\r\n\r\nx", kind, id, 100+random.IntN(3400))
					if err != nil {
						break
					}
					resp, err := http.ReadResponse(r, nil)
					if err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
					}
					open = err == nil && !resp.Close
					mu.Lock()
					switch {
					case sentAt < grace/2:
					case err == nil:
						answered[resp.StatusCode]++
					default:
						unanswered[id] = sentAt
					}
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
				_ = c.Close() // as above
			}
		})
	}
	running.Wait()
	<-f.stopped[0]
	require.NotEmpty(t, answered)
	for _, u := range []*fakeUpstream{local, slow} {
		for _, req := range u.requests() {
			at, found := unanswered[req.Header.Get("X-Id")]
			require.False(t, found, "a request sent %s after the start of the shutdown was passed on and got no response", at)
		}
	}
	t.Logf("responses to late requests: %v; not read: %d", answered, len(unanswered))
}
