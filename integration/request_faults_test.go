package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

// startSlowBooking starts a booking whose handler blocks until release is called, and
// returns the upstream that executes it.
func (f *fleet) startSlowBooking(ingress, key string, timeout time.Duration) (upstream string, response <-chan result) {
	f.t.Helper()
	responses := make(chan result, 1)
	go func() { responses <- f.send(http.MethodPost, ingress, "/book-slow", key, timeout) }()
	waitFor(f.t, "a running handler", func() bool { return len(f.executions.upstreamsOfKey(key)) > 0 })
	return f.executions.upstreamsOfKey(key)[0], responses
}

// TestKilledUpstreamDaemonRunsBookingOnce guards against a booking that executes a second
// time, or is reported as not-run, after the daemon co-located with its upstream was
// killed during the execution.
func TestKilledUpstreamDaemonRunsBookingOnce(t *testing.T) {
	f := newFleet(t)
	f.serve()
	key := uuid.Must(uuid.NewV7()).String()
	upstream, first := f.startSlowBooking("relay-1", key, 3*time.Second)
	n := f.daemons[upstream]
	n.kill()
	require.False(t, (<-first).notRun(), "a booking in execution was reported as not-run")
	f.retryRunningBooking(key, "in-progress", "claim-unknown", "no-upstream", "connect")
	n.restart()
	f.awaitUpstreams("relay-2", upstreamNames...)
	waitFor(t, "the end of the claim", func() bool {
		return f.retryRunningBooking(key, "in-progress", "claim-unknown") == "claim-unknown"
	})
	f.release()
	f.retryRunningBooking(key, "claim-unknown")
	require.Len(t, f.executions.upstreamsOfKey(key), 1)
}

// retryRunningBooking retries a booking that is in execution, checks that it does not
// execute again, and returns the reason of the response. The response must not say
// not-run, although a 409, which comes from the claim, could say so of the retry itself.
func (f *fleet) retryRunningBooking(key string, reasons ...string) string {
	f.t.Helper()
	r := f.send(http.MethodPost, "relay-2", "/book-slow", key, 2*time.Second)
	require.Len(f.t, f.executions.upstreamsOfKey(key), 1, "the booking was executed again: %v", r)
	require.Contains(f.t, reasons, r.reason, "%v", r)
	require.NotEqual(f.t, http.StatusOK, r.status, "%v", r)
	require.False(f.t, r.notRun(), "a booking in execution was reported as not-run: %v", r)
	return r.reason
}

// TestKilledIngressDaemonRunsBookingOnce guards against a second execution, or a lost
// response, after the daemon that received the request from the caller was killed.
func TestKilledIngressDaemonRunsBookingOnce(t *testing.T) {
	f := newFleet(t)
	f.serve()
	key := uuid.Must(uuid.NewV7()).String()
	_, response := f.startSlowBooking("relay-1", key, 0)
	f.daemons["relay-1"].kill()
	require.Zero(t, (<-response).status)
	f.retryRunningBooking(key, "in-progress")
	f.release()
	var r result
	waitFor(t, "the stored response", func() bool {
		r = f.send(http.MethodPost, "relay-2", "/book-slow", key, 0)
		return r.reason != "in-progress"
	})
	require.Len(t, f.executions.upstreamsOfKey(key), 1)
	require.Equal(t, http.StatusOK, r.status, "%v", r)
	require.True(t, responseBody(http.MethodPost, f.executions.firstIDOfKey(key)) == r.body, "not the response of the first execution: %v", r)
}

// requireConsistent checks one result against the recorded executions, after all
// handlers have returned: a request reported as not-run was not executed, and a successful
// response is complete and belongs to its request.
func (f *fleet) requireConsistent(r result) {
	f.t.Helper()
	if r.notRun() {
		require.Empty(f.t, f.executions.upstreamsOfRequest(r.id), "rejected as not-run, but executed: %v", r)
	}
	if r.status == http.StatusOK {
		require.True(f.t, responseBody(r.method, r.id) == r.body, "not the complete response to the request: %v", r)
	}
}

// killAndRestart kills daemons, starts them again after a pause and waits until each has
// a confirmed configuration.
func (f *fleet) killAndRestart(names []string, pause time.Duration) {
	f.t.Helper()
	for _, name := range names {
		f.daemons[name].kill()
	}
	time.Sleep(pause)
	for _, name := range names {
		f.daemons[name].run()
	}
	for _, name := range names {
		waitFor(f.t, "a confirmed start of "+name, func() bool {
			_, confirmed, _ := f.daemons[name].status()
			return confirmed
		})
	}
}

// TestResponsesAreConsistentUnderKills guards against rejections with outcome not-run for
// executed requests, and against responses that are truncated or belong to another
// request, while daemons are killed and restarted.
func TestResponsesAreConsistentUnderKills(t *testing.T) {
	f := newFleet(t)
	f.serve()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	var results []result
	for worker := range 8 {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(7, uint64(worker)))
			for range 2000 {
				select {
				case <-stop:
					return
				default:
				}
				method, path := http.MethodGet, "/look"
				if random.IntN(2) == 0 {
					method, path = http.MethodPost, "/book"
				}
				r := f.send(method, relayNames[random.IntN(3)], path, "", 2*time.Second)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
			}
		})
	}
	random := rand.New(rand.NewPCG(7, 100))
	names := append(append([]string(nil), upstreamNames...), relayNames...)
	for range 14 {
		victims := []string{names[random.IntN(len(names))]}
		if random.IntN(3) == 0 { // a retry then reaches another dead daemon
			victims = upstreamNames
		}
		f.killAndRestart(victims, time.Duration(random.IntN(200))*time.Millisecond)
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	count := map[string]int{}
	for _, r := range results {
		f.requireConsistent(r)
		count[fmt.Sprint(r.status, " ", r.outcome, " ", r.reason)]++
	}
	t.Log(count)
	require.NotZero(t, count["200 ok "])
	for name := range f.daemons {
		f.awaitUpstreams(name, upstreamNames...)
	}
}
