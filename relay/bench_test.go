package relay

import (
	"cmp"
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/feed"
)

// Scale of the performance targets: 5,700 upstreams in 240 services and 6 availability zones.
const (
	benchServices = 240
	benchAZs      = 6
	benchPerAZ    = 950
	restTime      = 10 * time.Second
)

// BenchmarkFeed measures traffic and CPU time of the feed in one availability zone with three
// relays, for several numbers of subscribers without a filter. The other upstreams are injected
// into the relays. CPU time is that of the whole process: daemons, relays and control together.
// For the idle phase it is also reported by role: the three relays of the zone, its daemons, and
// everything else, which includes garbage collection. Run it with -benchtime=1x.
func BenchmarkFeed(b *testing.B) {
	for _, n := range []int{0, 100, 200, 400, 950} {
		b.Run(fmt.Sprintf("subscribers=%d", n), func(b *testing.B) {
			for range b.N {
				benchmarkFeed(b, n)
			}
		})
	}
}

func benchmarkFeed(b *testing.B, n int) {
	source := newFakeSource()
	all := map[string]string{}
	for i := range benchServices {
		all[fmt.Sprintf("service-%03d", i)] = strings.Repeat("x", 1000)
	}
	source.accept(b, all)
	control, _ := startControl(b, "control-1", source)
	local := newAZ(b, "az-0", 3, control)
	local.traffic = &traffic{}
	local.remote = map[string][]Endpoint{}
	zones := []*az{local}
	for i := 1; i < benchAZs; i++ {
		z := newAZ(b, fmt.Sprint("az-", i), 1, control)
		local.remote[z.name] = z.endpoints
		zones = append(zones, z)
	}
	stop := make(chan struct{})
	defer close(stop)
	for i, z := range zones {
		if z == local {
			withRole("relay", func() { z.startRelays(b) })
		} else {
			z.startRelays(b)
		}
		for _, r := range z.runningRelays {
			go injectMembers(r, i, n, stop)
		}
	}
	var daemons []*testDaemon
	withRole("daemon", func() { daemons = startAll(b, local, n, source.Version()) })
	time.Sleep(feed.LeaseCollectionTime + 3*time.Second) // measure the idle phase, not the start
	m := measure(local)
	cpu := cpuByRole(b, func() { time.Sleep(restTime) })
	m.report(b, "rest", n)
	for role, d := range cpu {
		b.ReportMetric(float64(d.Microseconds())/restTime.Seconds(), "rest-"+cmp.Or(role, "other")+"-cpu-us/s")
	}

	m = measure(local)
	publishBurst(b, source, daemons)
	m.report(b, "burst", n)
	if n == 0 {
		return
	}
	for _, d := range daemons {
		d.stop()
	}
	m = measure(local)
	startAll(b, local, n, source.Version())
	m.report(b, "restart", n)
	b.ReportMetric(float64(m.elapsed.Milliseconds()), "restart-ms")
	b.ReportMetric(float64(heapBytes())/1e6, "heap-MB")

	m = measure(local)
	local.relays[0].stop()
	local.startRelay(b, 0)
	go injectMembers(local.runningRelays[0], 0, n, stop)
	time.Sleep(restTime)
	m.report(b, "relay-restart", n)
	b.ReportMetric(0, "ns/op")
}

// injectMembers renews the leases of the upstreams that have no daemon in the benchmark.
func injectMembers(r *Relay, zone, skip int, stop chan struct{}) {
	if zone > 0 {
		skip = 0
	}
	for {
		r.loop.post(eventFunc(func(now time.Time) {
			for i := skip; i < benchPerAZ; i++ {
				m := benchMember(zone, i)
				if change, changed := r.leases.Announce(now, m); changed {
					r.leaseChanged(now, change)
				}
			}
		}))
		select {
		case <-stop:
			return
		case <-time.After(feed.RenewInterval):
		}
	}
}

func benchMember(zone, i int) *feed.Member {
	return memberFromProto(time.Now(), &api.Announcement{
		Id: fmt.Sprintf("daemon-%d-%04d", zone, i), Boot: 1, Sequence: 1, Service: fmt.Sprintf("service-%03d", i%benchServices),
		Region: "south", AvailabilityZone: fmt.Sprint("az-", zone), PeerAddress: fmt.Sprintf("10.0.%d.%d:9000", zone, i),
		State: api.UpstreamState_UPSTREAM_STATE_SERVING, Slots: 35, UpMs: 1000,
	})
}

// startAll starts n daemons concurrently and returns when the version is active at each of them
// and each has received all upstreams.
func startAll(b *testing.B, z *az, n int, version uint64) []*testDaemon {
	daemons := make([]*testDaemon, n)
	for i := range daemons {
		daemons[i] = z.startDaemon(b, fmt.Sprintf("daemon-0-%04d", i), fmt.Sprintf("service-%03d", i%benchServices))
	}
	for _, d := range daemons {
		d.waitVersion(b, version)
		d.waitFor(b, "all members", func(v *FeedState) bool {
			count := 0
			for _, list := range v.Members {
				count += len(list)
			}
			return count == benchAZs*benchPerAZ
		})
	}
	return daemons
}

// publishBurst publishes 50 changes and waits until the last one is active at all daemons.
func publishBurst(b *testing.B, source *fakeSource, daemons []*testDaemon) {
	var version uint64
	var worst time.Duration
	for i := range 50 {
		version = source.accept(b, map[string]string{fmt.Sprintf("service-%03d", i): strings.Repeat("y", 1000)})
		if i%10 == 0 {
			start := time.Now()
			for _, d := range daemons {
				d.waitVersion(b, version)
			}
			worst = max(worst, time.Since(start))
		}
	}
	start := time.Now()
	for _, d := range daemons {
		d.waitVersion(b, version)
	}
	b.ReportMetric(float64(max(worst, time.Since(start)).Milliseconds()), "in-force-ms")
}

// measurement holds the counters at the start of a phase.
type measurement struct {
	az              *az
	start           time.Time
	elapsed         time.Duration
	cpu             time.Duration
	bytes, messages int64
}

// measure starts a phase.
func measure(z *az) *measurement {
	return &measurement{az: z, start: time.Now(), cpu: cpuTime(), bytes: z.traffic.bytes.Load(), messages: z.traffic.messages.Load()}
}

// report reports the metrics of a phase, per second for the idle phase, and per subscriber.
func (m *measurement) report(b *testing.B, phase string, n int) {
	m.elapsed = time.Since(m.start)
	seconds, per := m.elapsed.Seconds(), float64(max(n, 1))
	if phase != "rest" {
		seconds = 1 // totals of the phase
	}
	b.ReportMetric(float64(m.az.traffic.bytes.Load()-m.bytes)/seconds/per, phase+"-B/sub")
	b.ReportMetric(float64(m.az.traffic.messages.Load()-m.messages)/seconds/per, phase+"-msg/sub")
	b.ReportMetric(float64((cpuTime()-m.cpu).Microseconds())/seconds/per, phase+"-cpu-us/sub")
}

func cpuTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapInuse + s.StackInuse
}

// TestMemberTraffic guards against idle traffic that grows with the size of the membership
// table: an update without a change must contain no members.
func TestMemberTraffic(t *testing.T) {
	r, err := NewRelay(RelayConfig{Name: "r", AvailabilityZone: "az-0", Relays: []Endpoint{{Name: "r"}}})
	require.NoError(t, err)
	now := time.Now()
	for i := range benchPerAZ {
		change, _ := r.leases.Announce(now, benchMember(0, i))
		r.leaseChanged(now, change)
	}
	s := &subscription{scope: api.MemberScope_MEMBER_SCOPE_ALL, tables: map[string]feed.SyncState{}}
	require.Len(t, r.buildUpdate(now, s).GetMembers()[0].GetChanged(), benchPerAZ)
	require.Empty(t, r.buildUpdate(now, s).GetMembers())
	change, _ := r.leases.Announce(now, &feed.Member{ID: "daemon-0-0000", Incarnation: 2, AvailabilityZone: "az-0"})
	r.leaseChanged(now, change)
	require.Len(t, r.buildUpdate(now, s).GetMembers()[0].GetChanged(), 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r.Run(ctx)
}
