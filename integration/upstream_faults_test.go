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

// holdLookups starts slow lookups until one runs at an upstream, and returns the
// answers of all of them.
func (f *fleet) holdLookups(entrance, upstream string) <-chan result {
	f.t.Helper()
	answers := make(chan result, 200)
	before := f.visits.at(upstream)
	var senders sync.WaitGroup
	until(f.t, "a slow request at "+upstream, func() bool {
		senders.Go(func() { answers <- f.ask(http.MethodGet, entrance, "/slow", "", 0) })
		time.Sleep(50 * time.Millisecond)
		return f.visits.at(upstream) > before
	})
	go func() {
		senders.Wait()
		close(answers)
	}()
	return answers
}

// at counts the requests that entered the handler of an upstream.
func (v *visits) at(upstream string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, names := range v.byID {
		for _, name := range names {
			if name == upstream {
				n++
			}
		}
	}
	return n
}

// TestDrainingUpstreamGetsNoNewWork guards against an upstream that is leaving
// and still gets new work, and against a planned stop that cuts off a slow
// request.
func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	for _, c := range []struct {
		name     string
		control  bool     // control is stopped
		relays   []string // stopped relays: the table of the entrance stays as it is
		entrance string
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
			slow := f.holdLookups(c.entrance, "up-1")
			leaving := f.daemons["up-1"]
			answer, err := noReuse.Post("http://"+leaving.admin+"/drain", "", nil)
			require.NoError(t, err)
			require.NoError(t, answer.Body.Close())
			require.Equal(t, http.StatusAccepted, answer.StatusCode)
			before := f.visits.at("up-1")
			served := 0
			for range 20 {
				for _, r := range f.looks(c.entrance, 12) {
					f.truthful(r)
					if r.status == http.StatusOK {
						served++
					}
				}
			}
			require.Equal(t, before, f.visits.at("up-1"), "a draining upstream got new work")
			require.NotZero(t, served, "the remaining upstream served nothing")
			f.release()
			for r := range slow {
				require.Equal(t, http.StatusOK, r.status, "%v", r)
				f.truthful(r)
			}
			if c.relays != nil {
				f.signalAll(syscall.SIGCONT, c.relays...)
			}
			require.Equal(t, 0, leaving.wait())
		})
	}
}

// TestFrozenUpstreamDaemon guards against an upstream that died silently and
// keeps its place in the tables of the callers, against false refusals
// meanwhile, and against an upstream that does not return after a pause.
func TestFrozenUpstreamDaemon(t *testing.T) {
	f := newFleet(t)
	f.serve()
	f.signalAll(syscall.SIGSTOP, "up-1")
	var results []result
	for _, entrance := range relayNames {
		round := 0
		until(t, "lookups that all succeed at "+entrance, func() bool {
			for range 3 {
				var sent sync.WaitGroup
				answers := make([]result, 12)
				for i := range answers {
					sent.Go(func() { answers[i] = f.ask(http.MethodGet, entrance, "/look", "", time.Second) })
				}
				sent.Wait()
				results = append(results, answers...)
				for _, r := range answers {
					if r.status != http.StatusOK {
						round = 0
						return false
					}
				}
				round++
			}
			return round >= 30
		})
	}
	f.signalAll(syscall.SIGCONT, "up-1")
	for _, entrance := range relayNames {
		f.awaitUpstreams(entrance, upstreamNames...)
	}
	for _, r := range results { // the frozen daemon may have run them since
		require.NotZero(t, r.status, "no answer: %v %s", r, r.body)
		f.truthful(r)
	}
}

// TestClaimsWithoutQuorum guards against a keyed booking that runs without a
// claim, a false refusal, lookups that wait for control, and a key that cannot
// be used, or runs twice, after the quorum has returned.
func TestClaimsWithoutQuorum(t *testing.T) {
	f := newFleet(t)
	f.serve()
	for _, address := range f.founders[1:] {
		f.controls[address].signal(syscall.SIGSTOP)
	}
	key := uuid.Must(uuid.NewV7()).String()
	book := func(deadline time.Duration) result { return f.ask(http.MethodPost, "relay-1", "/book", key, deadline) }
	for range 2 {
		r := book(2 * time.Second)
		require.Empty(t, f.visits.ofKey(key), "a keyed booking ran without a claim: %v", r)
		require.Equal(t, "claims-unavailable", r.reason, "%v", r)
		require.True(t, r.notRun(), "%v", r)
		require.Equal(t, http.StatusServiceUnavailable, r.status, "%v", r)
		for _, r := range f.looks("relay-2", 12) {
			require.Equal(t, http.StatusOK, r.status, "%v", r)
			f.truthful(r)
		}
	}
	for _, address := range f.founders[1:] {
		f.controls[address].signal(syscall.SIGCONT)
	}
	until(t, "the booking to run", func() bool { return book(10*time.Second).status == http.StatusOK })
	r := book(10 * time.Second)
	require.Equal(t, http.StatusOK, r.status, "%v", r)
	require.Len(t, f.visits.ofKey(key), 1)
	require.True(t, echo(http.MethodPost, f.visits.idOfKey(key)) == r.body, "not the answer of the only run: %v", r)
}
