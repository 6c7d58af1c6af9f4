package integration

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

// startSlowLookups starts slow lookups until the given upstream executes one, and returns
// the results of all of them.
func (f *fleet) startSlowLookups(ingress, upstream string) <-chan result {
	f.t.Helper()
	results := make(chan result, 200)
	before := f.executions.countAt(upstream)
	var senders sync.WaitGroup
	waitFor(f.t, "a slow request at "+upstream, func() bool {
		senders.Go(func() { results <- f.send(http.MethodGet, ingress, "/slow", "", 0) })
		time.Sleep(50 * time.Millisecond)
		return f.executions.countAt(upstream) > before
	})
	go func() {
		senders.Wait()
		close(results)
	}()
	return results
}

// countAt returns the number of requests that an upstream executed.
func (l *executionLog) countAt(upstream string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, names := range l.byID {
		for _, name := range names {
			if name == upstream {
				n++
			}
		}
	}
	return n
}

// TestDrainingUpstreamReceivesNoRequests guards against a draining upstream that still
// gets new requests, and against a graceful shutdown that interrupts a slow request.
func TestDrainingUpstreamReceivesNoRequests(t *testing.T) {
	for _, c := range []struct {
		name    string
		control bool     // control is suspended
		relays  []string // suspended relays: the ingress daemon gets no updates
		ingress string
	}{
		{"with control", false, nil, "relay-1"},
		{"without control", true, nil, "relay-1"},
		{"without control and relays", true, relayNames, "up-2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			f.serve()
			if c.control {
				f.signalAll(syscall.SIGSTOP)
			}
			if c.relays != nil {
				f.signalAll(syscall.SIGSTOP, c.relays...)
			}
			slow := f.startSlowLookups(c.ingress, "up-1")
			draining := f.daemons["up-1"]
			response, err := noKeepAliveClient.Post("http://"+draining.admin+"/drain", "", nil)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusAccepted, response.StatusCode)
			before := f.executions.countAt("up-1")
			served := 0
			for range 20 {
				for _, r := range f.lookups(c.ingress, 12) {
					f.requireConsistent(r)
					if r.status == http.StatusOK {
						served++
					}
				}
			}
			require.Equal(t, before, f.executions.countAt("up-1"), "a draining upstream got new requests")
			require.NotZero(t, served, "the remaining upstream served nothing")
			f.release()
			for r := range slow {
				require.Equal(t, http.StatusOK, r.status, "%v", r)
				f.requireConsistent(r)
			}
			if c.relays != nil {
				f.signalAll(syscall.SIGCONT, c.relays...)
			}
			require.Equal(t, 0, draining.wait())
		})
	}
}

// TestFrozenUpstreamDaemon suspends the daemon of an upstream. It guards against callers
// that keep sending requests to the unresponsive upstream, against requests that are
// reported as not-run but executed, and against an upstream that is not used again after
// its daemon resumes.
func TestFrozenUpstreamDaemon(t *testing.T) {
	f := newFleet(t)
	f.serve()
	f.signalAll(syscall.SIGSTOP, "up-1")
	var results []result
	for _, ingress := range relayNames {
		successfulRounds := 0
		waitFor(t, "lookups that all succeed at "+ingress, func() bool {
			for range 3 {
				var sent sync.WaitGroup
				round := make([]result, 12)
				for i := range round {
					sent.Go(func() { round[i] = f.send(http.MethodGet, ingress, "/look", "", time.Second) })
				}
				sent.Wait()
				results = append(results, round...)
				for _, r := range round {
					if r.status != http.StatusOK {
						successfulRounds = 0
						return false
					}
				}
				successfulRounds++
			}
			return successfulRounds >= 30
		})
	}
	f.signalAll(syscall.SIGCONT, "up-1")
	for _, ingress := range relayNames {
		f.awaitUpstreams(ingress, upstreamNames...)
	}
	for _, r := range results { // the suspended daemon may have forwarded requests after it resumed
		require.NotZero(t, r.status, "no response: %v %s", r, r.body)
		f.requireConsistent(r)
	}
}

// TestClaimsWithoutQuorum guards against a booking with an idempotency key that executes
// without a claim, a wrong rejection, lookups that wait for control, and a key that cannot
// be used, or executes twice, after the quorum is restored.
func TestClaimsWithoutQuorum(t *testing.T) {
	f := newFleet(t)
	f.serve()
	for _, address := range f.initialControls[1:] {
		f.controls[address].signal(syscall.SIGSTOP)
	}
	key := uuid.Must(uuid.NewV7()).String()
	book := func(timeout time.Duration) result { return f.send(http.MethodPost, "relay-1", "/book", key, timeout) }
	for range 2 {
		r := book(2 * time.Second)
		require.Empty(t, f.executions.upstreamsOfKey(key), "a booking with an idempotency key was executed without a claim: %v", r)
		require.Equal(t, "claims-unavailable", r.reason, "%v", r)
		require.True(t, r.notRun(), "%v", r)
		require.Equal(t, http.StatusServiceUnavailable, r.status, "%v", r)
		for _, r := range f.lookups("relay-2", 12) {
			require.Equal(t, http.StatusOK, r.status, "%v", r)
			f.requireConsistent(r)
		}
	}
	for _, address := range f.initialControls[1:] {
		f.controls[address].signal(syscall.SIGCONT)
	}
	waitFor(t, "the execution of the booking", func() bool { return book(10*time.Second).status == http.StatusOK })
	r := book(10 * time.Second)
	require.Equal(t, http.StatusOK, r.status, "%v", r)
	require.Len(t, f.executions.upstreamsOfKey(key), 1)
	require.True(t, responseBody(http.MethodPost, f.executions.firstIDOfKey(key)) == r.body, "not the response of the only execution: %v", r)
}
