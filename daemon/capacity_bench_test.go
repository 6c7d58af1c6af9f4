package daemon

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/declaration"
)

// BenchmarkSteadyCalls reports the CPU time and the allocated bytes per call with 1 KiB bodies at a
// constant rate, sent directly to a handler and through two daemons: the ingress of one and the
// admission queue of the other. Everything is in one process, so the difference is the cost of the
// two daemons. Run it with -benchtime=1x.
func BenchmarkSteadyCalls(b *testing.B) {
	TuneMemory()
	upstream := httptest.NewServer(http.HandlerFunc(echoHandler))
	defer upstream.Close()
	back := startNode(b, nodeConfig("back-1", "back"), http.HandlerFunc(echoHandler))
	edge := startNode(b, nodeConfig("edge-1", ""), nil)
	applySnapshot(b, []declaration.Service{testService("back", testRoute("x", "POST", "/x", true))}, back, edge)
	waitServing(b, back, edge)
	for _, rate := range []int{500, 2000} {
		for _, c := range []struct{ name, url string }{
			{"direct", upstream.URL + "/x"}, {"daemons", "http://" + edge.d.ListenAddresses().Ingress + "/back/x"},
		} {
			b.Run(fmt.Sprintf("%s/rate=%d", c.name, rate), func(b *testing.B) {
				for range b.N {
					measureSteadyCalls(b, c.url, rate)
				}
			})
		}
	}
}

// measureSteadyCalls makes calls at a constant rate for 5 s. The calls of the 8 workers are evenly
// distributed in time.
func measureSteadyCalls(b *testing.B, url string, rate int) {
	const workers, seconds = 8, 5
	transport := newTransport(nil, workers)
	defer transport.CloseIdleConnections()
	calls := func(perWorker int) {
		var wg sync.WaitGroup
		start, every := time.Now(), time.Second*workers/time.Duration(rate)
		for w := range workers {
			wg.Go(func() {
				for i := range perWorker {
					time.Sleep(time.Until(start.Add(time.Duration(w)*every/workers + time.Duration(i)*every)))
					r, err := http.NewRequest("POST", url, strings.NewReader(benchBody))
					if err == nil {
						err = roundTripOnce(b, transport, r)
					}
					if err != nil {
						b.Error(err)
						return
					}
				}
			})
		}
		wg.Wait()
	}
	calls(50) // opens the connections
	perWorker := rate * seconds / workers
	n := float64(perWorker * workers)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	userBefore, systemBefore := processorTime(b)
	start := time.Now()
	calls(perWorker)
	elapsed := time.Since(start)
	user, system := processorTime(b)
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64((user-userBefore).Microseconds())/n, "user-us/call")
	b.ReportMetric(float64((system-systemBefore).Microseconds())/n, "system-us/call")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/n, "alloc-B/call")
	b.ReportMetric(n/elapsed.Seconds(), "calls/s")
	b.ReportMetric(0, "ns/op")
}

func processorTime(b *testing.B) (user, system time.Duration) {
	var u unix.Rusage
	require.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano()), time.Duration(u.Stime.Nano())
}

// BenchmarkSnapshotHeap reports the heap size of a daemon, including its snapshot, and the duration
// of SetSnapshot: for the first snapshot, and for a second one with the same services and new
// slices of upstreams. Each service has 10 routes. Run it with -benchtime=1x.
func BenchmarkSnapshotHeap(b *testing.B) {
	for _, c := range []struct{ services, upstreams int }{{0, 0}, {10, 240}, {240, 5700}} {
		b.Run(fmt.Sprintf("services=%d/upstreams=%d", c.services, c.upstreams), func(b *testing.B) {
			for range b.N {
				measureSnapshotHeap(b, c.services, c.upstreams)
			}
		})
	}
}

func measureSnapshotHeap(b *testing.B, services, upstreams int) {
	before := liveHeapBytes()
	d, err := New(nodeConfig("daemon-1", ""))
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(b.Context())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	start := time.Now()
	require.NoError(b, d.SetSnapshot(largeSnapshot(1, services, upstreams)))
	b.ReportMetric(float64(time.Since(start).Microseconds()), "first-us")
	b.ReportMetric((liveHeapBytes()-before)/1024, "heap-KiB")
	next := largeSnapshot(2, services, upstreams)
	start = time.Now()
	require.NoError(b, d.SetSnapshot(next))
	b.ReportMetric(float64(time.Since(start).Microseconds()), "next-us")
	b.ReportMetric(0, "ns/op")
	cancel()
	require.NoError(b, receive(b, ended))
}

func largeSnapshot(version uint64, services, upstreams int) *Snapshot {
	s := &Snapshot{
		Version: version, Confirmed: true,
		Services: make(map[string]declaration.Service), Upstreams: make(map[string][]balance.Upstream),
	}
	for i := range services {
		var routes []declaration.Route
		for r := range 10 {
			routes = append(routes, testRoute(fmt.Sprint("route-", r), "GET", fmt.Sprintf("/resource-%d/{id}", r), true))
		}
		svc := testService(fmt.Sprintf("service-%03d", i), routes...)
		s.Services[svc.Name] = svc
	}
	for i := range upstreams {
		service := fmt.Sprintf("service-%03d", i%services)
		s.Upstreams[service] = append(s.Upstreams[service], balance.Upstream{
			ID: fmt.Sprintf("daemon-%d-%04d", i%6, i), Address: fmt.Sprintf("10.%d.%d.%d:9000", i%6, i/250, i%250),
			Region: fmt.Sprint("region-", i%6/2), AvailabilityZone: fmt.Sprint("zone-", i%6), Slots: 35,
		})
	}
	return s
}

func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
