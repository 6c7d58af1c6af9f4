package daemon

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/declaration"
)

// liveHeap returns the size of the live heap in bytes.
func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestUnfinishedHeadsStayWithinMemory guards against an upstream that begins to send heads of many short
// lines and does not end them: each line takes much more memory than its bytes.
func TestUnfinishedHeadsStayWithinMemory(t *testing.T) {
	for name, size := range map[string]int{"below the limit": maxHeaderBytes - 2<<10, "above the limit": hardMaxHeaderBytes - 8<<10} {
		t.Run(name, func(t *testing.T) {
			grown := heapOfUnfinishedHeads(t, 64, size)
			t.Logf("the live heap grew by %d KiB", grown>>10)
			require.Less(t, grown, int64(memoryLimitBytes/2))
		})
	}
}

// heapOfUnfinishedHeads returns the growth of the live heap while an upstream has begun to send heads of
// a given size as the responses to a number of requests.
func heapOfUnfinishedHeads(t *testing.T, requests, size int) int64 {
	head := &strings.Builder{}
	head.WriteString("HTTP/1.1 200 OK\r\n")
	for n := 0; head.Len() < size; n++ {
		fmt.Fprintf(head, "%x:\r\n", n)
	}
	text := []byte(head.String())
	var received atomic.Int64
	end := make(chan struct{})
	upstream := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = conn.Write(text) // the test measures what the daemon holds
		received.Add(1)
		<-end
		_ = conn.Close() // as above
	})
	back := startNode(t, nodeConfig("b-1", "b"), upstream)
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	service := testService("b", routeX)
	service.Slots, service.MaxConnections = requests, requests
	applySnapshot(t, []declaration.Service{service}, back, edge)
	waitServing(t, back, edge)
	defer close(end)
	before := liveHeap()
	for range requests {
		go func() {
			if resp, err := edge.tryRequest("GET", "/b/x", nil); err == nil {
				_ = resp.Body.Close() // the test measures what the daemon holds
			}
		}()
	}
	// The admission controller keeps some slots free.
	require.Eventually(t, func() bool { return received.Load() >= int64(requests*3/4) }, testTimeout, time.Millisecond)
	previous, current := int64(0), liveHeap()
	require.Eventually(t, func() bool {
		previous, current = current, liveHeap()
		return max(previous, current)-min(previous, current) < 1<<20
	}, testTimeout, 200*time.Millisecond)
	return current - before
}
