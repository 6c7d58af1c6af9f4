package statemachine

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// stateMachine is the common interface of the replicated state machines.
type stateMachine interface {
	Apply(index uint64, command []byte) []byte
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// reportSnapshot reports the duration of a snapshot, its size per item for n
// items, and the duration of restoring it into an empty state machine.
func reportSnapshot(b *testing.B, m, empty stateMachine, n int) {
	start := time.Now()
	data, err := m.Snapshot()
	require.NoError(b, err)
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "snapshot-ms")
	b.ReportMetric(float64(len(data))/float64(n), "snapshot-B/item")
	start = time.Now()
	require.NoError(b, empty.Restore(data))
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "restore-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkClaimsCapacity measures finished claims with response bodies of 256
// bytes, whose keys are spread over the retention. Run it with -benchtime=1x.
func BenchmarkClaimsCapacity(b *testing.B) {
	for _, n := range []int{100_000, 500_000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			for range b.N {
				claimsCapacity(b, n)
			}
		})
	}
}

func claimsCapacity(b *testing.B, n int) {
	before := heapBytes()
	m := NewClaims(0)
	var applying time.Duration
	apply := func(cmd *api.ClaimCommand) {
		data := encode(cmd)
		start := time.Now()
		m.Apply(0, data)
		applying += time.Since(start)
	}
	body, fingerprint := make([]byte, 256), make([]byte, 32)
	for i := range n {
		now := 100*hourMs + int64(i)*24*hourMs/int64(n)
		key, claimant := keyAt(now, i&0xfff), fmt.Sprintf("daemon-0-0001/1/%d", i)
		apply(&api.ClaimCommand{UnixMs: now, Operation: &api.ClaimCommand_Claim{Claim: &api.ClaimRequest{
			Key: key, Claimant: claimant, Fingerprint: fingerprint, RemainingMs: 1000,
		}}})
		apply(&api.ClaimCommand{UnixMs: now, Operation: &api.ClaimCommand_Finish{Finish: &api.FinishClaimRequest{
			Key: key, Claimant: claimant,
			Answer: &api.StoredAnswer{HttpStatus: 201, ContentType: "application/json", Body: body},
		}}})
	}
	require.Equal(b, n, m.Len())
	b.ReportMetric((heapBytes()-before)/float64(n), "heap-B/claim")
	b.ReportMetric(float64(applying.Nanoseconds())/float64(2*n), "ns/apply")
	reportSnapshot(b, m, NewClaims(0), n)
}

// BenchmarkConfigurationCapacity measures 240 service documents of 1 KiB, each
// with the stored change that published it, and 100,000 stored changes of one
// document each. Documents are not validated. Run it with -benchtime=1x.
func BenchmarkConfigurationCapacity(b *testing.B) {
	const services = 240
	publishAll := func(b *testing.B, c *Configuration, from, to int) time.Duration {
		var applying time.Duration
		for i := from; i <= to; i++ {
			ch := change(uint64(i), fmt.Sprintf("change-%029d", i))
			ch.Services = []*api.ServiceDocument{{
				Service: fmt.Sprintf("service-%03d", i%services), Json: fmt.Appendf(nil, "%08d%s", i, strings.Repeat("x", 1016)),
			}}
			data := encode(&api.ConfigCommand{UnixMs: int64(i), Change: ch})
			start := time.Now()
			c.Apply(0, data)
			applying += time.Since(start)
		}
		require.EqualValues(b, to, c.Version())
		return applying
	}
	b.Run("documents=240", func(b *testing.B) {
		for range b.N {
			before, c := heapBytes(), NewConfiguration(nil)
			applying := publishAll(b, c, 1, services)
			b.ReportMetric((heapBytes()-before)/services, "heap-B/document")
			b.ReportMetric(float64(applying.Nanoseconds())/services, "ns/apply")
			reportSnapshot(b, c, NewConfiguration(nil), services)
		}
	})
	b.Run("changes=100000", func(b *testing.B) {
		for range b.N {
			c := NewConfiguration(nil)
			publishAll(b, c, 1, services)
			before := heapBytes()
			applying := publishAll(b, c, services+1, maxAcceptedChanges)
			b.ReportMetric((heapBytes()-before)/(maxAcceptedChanges-services), "heap-B/change")
			b.ReportMetric(float64(applying.Nanoseconds())/(maxAcceptedChanges-services), "ns/apply")
			reportSnapshot(b, c, NewConfiguration(nil), maxAcceptedChanges)
		}
	})
}
