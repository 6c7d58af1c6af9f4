package forward

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// liveHeap returns the size of the live heap in bytes.
func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestUnfinishedResponsesStayWithinMemory guards against upstreams that send, or only announce, more
// than a daemon has memory for, to many requests at the same time whose clients read slowly. The
// daemon of the upstream and the one that received the requests run in this process.
func TestUnfinishedResponsesStayWithinMemory(t *testing.T) {
	const requests = 256
	manyHeaders := &strings.Builder{}
	for n := 0; manyHeaders.Len() < 60<<10; n++ {
		fmt.Fprintf(manyHeaders, "%x:\r\n", n)
	}
	table := ordersTable()
	for i := range table.Routes {
		table.Routes[i].Timeout = 2 * testTimeout
	}
	block := bytes.Repeat([]byte("a"), 1_000_000) // shared, so that the upstream takes no memory
	for name, sent := range map[string]struct {
		head   string
		blocks int // sent after the head
	}{
		"endless body":       {"HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\n", math.MaxInt},
		"endless chunk":      {"HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", math.MaxInt},
		"announced length":   {"HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 1000000\r\n\r\na", 0},
		"many short headers": {"HTTP/1.1 200 OK\r\nX-Id: %s\r\n" + manyHeaders.String(), 0},
		"complete":           {"HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 1000000\r\n\r\n", 1},
	} {
		t.Run(name, func(t *testing.T) {
			u := newFakeUpstream(t, "i-2", func(req *http.Request, c net.Conn) {
				_, err := fmt.Fprintf(c, sent.head, req.Header.Get("X-Id"))
				for n := 0; err == nil && n < sent.blocks; n++ {
					_, err = c.Write(block)
				}
			})
			f := newTestFleet(t, table, newFakeUpstream(t, "i-1", nil), u)
			f.publishUpstreams([]*fakeUpstream{u})
			f.daemons[1].HandleHeartbeat(readyHeartbeat(u.id, 2, 2*requests))
			before := liveHeap()
			var mu sync.Mutex
			var unread []*http.Response
			for range requests {
				go func() {
					resp, err := f.openUntilExecuted(t.Context(), 0, testRequest{kind: routing.NonIdempotent})
					mu.Lock()
					defer mu.Unlock()
					if err == nil {
						unread = append(unread, resp)
					}
				}()
			}
			t.Cleanup(func() {
				mu.Lock()
				defer mu.Unlock()
				for _, resp := range unread {
					_ = resp.Body.Close() // the response is not read
				}
			})
			require.Eventually(t, func() bool { return len(u.requests()) == requests }, testTimeout, time.Millisecond)
			grown := f.settledHeapGrowth(before)
			t.Logf("the live heap grew by %d KiB", grown>>10)
			require.Less(t, grown, int64(2*DefaultBufferBytes+requests*maxUnbufferedBytes))
		})
	}
}

// openUntilExecuted sends a request again while it is rejected as not executed: on a busy machine, not
// all connections are open within their time limit. It returns the response with its body unread.
func (f *testFleet) openUntilExecuted(ctx context.Context, daemon int, q testRequest) (*http.Response, error) {
	for {
		resp, err := f.open(ctx, daemon, q)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			return resp, err
		}
		_ = resp.Body.Close() // nothing of the rejection is needed
		time.Sleep(10 * time.Millisecond)
	}
}

// settledHeapGrowth returns the growth of the live heap once it changes no more, because all responses
// have stalled.
func (f *testFleet) settledHeapGrowth(before uint64) int64 {
	previous, current := uint64(0), liveHeap()
	require.Eventually(f.t, func() bool {
		previous, current = current, liveHeap()
		return max(previous, current)-min(previous, current) < 1<<20
	}, testTimeout, 200*time.Millisecond)
	return int64(current) - int64(before)
}

// maxUnbufferedBytes is an upper bound of what the test and both daemons hold for a request besides the
// buffered bodies: goroutines, connections and their buffers, heads.
const maxUnbufferedBytes = 256 << 10
