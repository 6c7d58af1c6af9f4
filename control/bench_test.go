package control

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// BenchmarkClaim measures the rate and latency of claims through the client, gRPC and synced
// logs, with all replicas in one process, for several numbers of concurrent callers.
func BenchmarkClaim(b *testing.B) {
	for _, replicas := range []int{3, 5} {
		for _, callers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("replicas=%d/callers=%d", replicas, callers), func(b *testing.B) {
				c := newCluster(b, replicas, 4)
				for id := range c.peers {
					c.start(id)
				}
				c.benchmarkClaims(b, callers)
			})
		}
	}
}

func (c *cluster) benchmarkClaims(b *testing.B, callers int) {
	cl := c.client()
	var warm sync.WaitGroup
	for range 32 { // finds the leaders of all shards
		warm.Go(func() { c.claim(b, cl.Claim) })
	}
	warm.Wait()
	latencies := make([]time.Duration, b.N)
	var next atomic.Int64
	var all sync.WaitGroup
	b.ResetTimer()
	for range callers {
		all.Go(func() {
			for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
				start := time.Now()
				c.claim(b, cl.Claim)
				latencies[i] = time.Since(start)
			}
		})
	}
	all.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(latencies[b.N/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(latencies[b.N*99/100].Microseconds())/1000, "p99-ms")
}

func (c *cluster) claim(b *testing.B, do func(context.Context, *api.ClaimRequest) (*api.ClaimResponse, error)) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	res, err := do(ctx, claimRequest(uuid.Must(uuid.NewV7()).String(), "bench"))
	if err != nil || res.Status != api.ClaimStatus_CLAIM_STATUS_GRANTED {
		b.Errorf("%v %v", res, err)
	}
}

// BenchmarkRestart measures the time from the start of all replicas to the response to the
// first change, for several numbers of changes in the log after the last snapshot.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("entries=%d", changes), func(b *testing.B) {
			c := newCluster(b, 3, 1)
			c.adjust = func(cfg *Config) { cfg.SnapshotThreshold = 1 << 40 }
			c.start(1, 2, 3)
			cl := c.client()
			for n := 1; n <= changes; n++ {
				c.publish(cl, uint64(n))
			}
			number := uint64(changes)
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				for id := range c.peers {
					c.stop(id)
				}
				b.StartTimer()
				c.start(1, 2, 3)
				number++
				c.publish(cl, number)
			}
			b.StopTimer()
			b.StartTimer()
		})
	}
}

// BenchmarkReadLog measures the time to read and apply a log.
func BenchmarkReadLog(b *testing.B) {
	for _, changes := range []int{1_000, 10_000} {
		b.Run(fmt.Sprintf("entries=%d", changes), func(b *testing.B) {
			c := newCluster(b, 1, 1)
			c.adjust = func(cfg *Config) { cfg.SnapshotThreshold = 1 << 40 }
			c.start(1)
			cl := c.client()
			for n := 1; n <= changes; n++ {
				c.publish(cl, uint64(n))
			}
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				c.stop(1)
				b.StartTimer()
				s, err := New(c.config(1, c.peers[1]))
				require.NoError(b, err)
				b.StopTimer()
				s.transport.close()
				s.releaseResources()
				c.start(1)
				b.StartTimer()
			}
		})
	}
}

// BenchmarkIdleTraffic measures the bytes that one replica receives per second without any
// proposals, summed over all groups.
func BenchmarkIdleTraffic(b *testing.B) {
	for _, shards := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("replicas=3/groups=%d", shards+1), func(b *testing.B) {
			var received atomic.Int64
			c := newCluster(b, 3, shards)
			c.adjust = func(cfg *Config) {
				l, err := net.Listen("tcp", cfg.ListenAddress)
				require.NoError(b, err)
				cfg.Listener = &countingListener{l, &received}
			}
			c.start(1, 2, 3)
			for g := range shards + 1 {
				c.leader(g)
			}
			time.Sleep(2 * time.Second)
			before := received.Load()
			var used runtime.MemStats
			start := time.Now()
			b.ResetTimer()
			time.Sleep(5 * time.Second)
			b.StopTimer()
			runtime.ReadMemStats(&used)
			b.ReportMetric(float64(received.Load()-before)/time.Since(start).Seconds()/3, "B/s/replica")
			b.ReportMetric(float64(used.HeapInuse)/1e6, "heap-MB")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// countingListener counts the bytes that its connections receive.
type countingListener struct {
	net.Listener
	received *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, l.received}, err
}

type countingConn struct {
	net.Conn
	received *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}
