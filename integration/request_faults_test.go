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

// bookHeld starts a booking whose handler runs until release, and returns the
// upstream where it runs.
func (f *fleet) bookHeld(entrance, key string, deadline time.Duration) (upstream string, answer <-chan result) {
	f.t.Helper()
	answers := make(chan result, 1)
	go func() { answers <- f.ask(http.MethodPost, entrance, "/book-slow", key, deadline) }()
	until(f.t, "a running handler", func() bool { return len(f.visits.ofKey(key)) > 0 })
	return f.visits.ofKey(key)[0], answers
}

// TestKilledUpstreamDaemonRunsBookingOnce guards against a booking that runs
// a second time, or is reported as not run, after the daemon beside its
// upstream was killed while its handler ran.
func TestKilledUpstreamDaemonRunsBookingOnce(t *testing.T) {
	f := newFleet(t)
	f.serve()
	key := uuid.Must(uuid.NewV7()).String()
	upstream, first := f.bookHeld("relay-1", key, 3*time.Second)
	n := f.daemons[upstream]
	n.kill()
	require.False(t, (<-first).notRun(), "a booking that runs was reported as not run")
	f.repeatRunning(key, "in-progress", "claim-unknown", "no-upstream", "connect")
	n.restart()
	f.awaitUpstreams("relay-2", upstreamNames...)
	until(t, "the end of the claim", func() bool {
		return f.repeatRunning(key, "in-progress", "claim-unknown") == "claim-unknown"
	})
	f.release()
	f.repeatRunning(key, "claim-unknown")
	require.Len(t, f.visits.ofKey(key), 1)
}

// repeatRunning repeats a booking that was entered. An answer that says not-run
// is about the repeat only with a 409, which comes from the claim.
func (f *fleet) repeatRunning(key string, reasons ...string) string {
	f.t.Helper()
	r := f.ask(http.MethodPost, "relay-2", "/book-slow", key, 2*time.Second)
	require.Len(f.t, f.visits.ofKey(key), 1, "the booking ran again: %v", r)
	require.Contains(f.t, reasons, r.reason, "%v", r)
	require.NotEqual(f.t, http.StatusOK, r.status, "%v", r)
	require.False(f.t, r.notRun(), "a booking that runs was reported as not run: %v", r)
	return r.reason
}

// TestKilledEntranceRunsBookingOnce guards against a second run, or a lost
// answer, after the daemon that the caller used was killed.
func TestKilledEntranceRunsBookingOnce(t *testing.T) {
	f := newFleet(t)
	f.serve()
	key := uuid.Must(uuid.NewV7()).String()
	_, first := f.bookHeld("relay-1", key, 0)
	f.daemons["relay-1"].kill()
	require.Zero(t, (<-first).status)
	f.repeatRunning(key, "in-progress")
	f.release()
	var r result
	until(t, "the stored answer", func() bool {
		r = f.ask(http.MethodPost, "relay-2", "/book-slow", key, 0)
		return r.reason != "in-progress"
	})
	require.Len(t, f.visits.ofKey(key), 1)
	require.Equal(t, http.StatusOK, r.status, "%v", r)
	require.True(t, echo(http.MethodPost, f.visits.idOfKey(key)) == r.body, "not the answer of the first run: %v", r)
}

// truthful checks one answer after all handlers have ended.
func (f *fleet) truthful(r result) {
	f.t.Helper()
	if r.notRun() {
		require.Empty(f.t, f.visits.of(r.id), "refused as not run, but its handler was entered: %v", r)
	}
	if r.status == http.StatusOK {
		require.True(f.t, echo(r.method, r.id) == r.body, "not the whole answer to its request: %v", r)
	}
}

// killAndRestart kills daemons, starts them again after a pause and waits until
// they have a confirmed configuration.
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
		until(f.t, "a confirmed start of "+name, func() bool {
			_, confirmed, _ := f.daemons[name].status()
			return confirmed
		})
	}
}

// TestTruthfulUnderKills guards against refusals that say not-run for a request
// whose handler was entered, and against answers that are short or belong to
// another request, while daemons are killed and restarted.
func TestTruthfulUnderKills(t *testing.T) {
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
				r := f.ask(method, relayNames[random.IntN(3)], path, "", 2*time.Second)
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
		if random.IntN(3) == 0 { // retries then meet another dead daemon
			victims = upstreamNames
		}
		f.killAndRestart(victims, time.Duration(random.IntN(200))*time.Millisecond)
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	count := map[string]int{}
	for _, r := range results {
		f.truthful(r)
		count[fmt.Sprint(r.status, " ", r.outcome, " ", r.reason)]++
	}
	t.Log(count)
	require.NotZero(t, count["200 ok "])
	for name := range f.daemons {
		f.awaitUpstreams(name, upstreamNames...)
	}
}
