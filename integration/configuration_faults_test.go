package integration

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// signalAll sends a signal to the named daemons, or to all control replicas if none are
// named.
func (f *fleet) signalAll(s syscall.Signal, daemons ...string) {
	f.t.Helper()
	for _, name := range daemons {
		f.daemons[name].signal(s)
	}
	if len(daemons) == 0 {
		for _, p := range f.controls {
			p.signal(s)
		}
	}
}

// awaitVersion waits until the last published version is active at all daemons.
func (f *fleet) awaitVersion() {
	f.t.Helper()
	for name, n := range f.daemons {
		waitFor(f.t, fmt.Sprintf("version %d at %s", f.version, name), func() bool {
			version, confirmed, _ := n.status()
			return confirmed && version == f.version
		})
	}
}

// watchVersions polls the active version of every daemon until stop is called. stop
// returns each decrease of the version of a daemon. A daemon with an unconfirmed
// configuration has no active version.
func (f *fleet) watchVersions() (stop func() (decreases []string)) {
	ended := make(chan struct{})
	var watchers sync.WaitGroup
	var mu sync.Mutex
	var decreases []string
	for name, n := range f.daemons {
		watchers.Go(func() {
			for last := uint64(0); ; time.Sleep(2 * time.Millisecond) {
				select {
				case <-ended:
					return
				default:
				}
				version, confirmed, ok := n.status()
				if !ok || !confirmed {
					continue
				}
				if version < last {
					mu.Lock()
					decreases = append(decreases, fmt.Sprintf("%s: %d after %d", name, version, last))
					mu.Unlock()
				}
				last = version
			}
		})
	}
	return func() []string {
		close(ended)
		watchers.Wait()
		return decreases
	}
}

// TestVersionsNeverDecrease guards against a daemon that activates an older
// configuration, or misses the last one, while control replicas and relays are killed
// and restarted.
func TestVersionsNeverDecrease(t *testing.T) {
	f := newFleet(t)
	f.serve()
	stopWatching := f.watchVersions()
	random := rand.New(rand.NewPCG(11, 1))
	for range 8 {
		control := f.controls[f.initialControls[random.IntN(3)]]
		relay := relayNames[random.IntN(3)]
		control.kill()
		f.publishNext()
		f.publishNext()
		control.run() // the replica lacks two versions when the relay connects to it
		f.killAndRestart([]string{relay}, 0)
	}
	f.awaitVersion()
	require.Empty(t, stopWatching())
}

// TestRestartWithoutControl guards against a daemon that activates an older or
// unconfirmed configuration after a restart while control is unreachable.
func TestRestartWithoutControl(t *testing.T) {
	f := newFleet(t)
	f.serve()
	for range 3 {
		f.publishNext()
	}
	f.awaitVersion()
	up := f.daemons["up-1"]
	f.signalAll(syscall.SIGSTOP)
	f.killAndRestart([]string{"up-1"}, 0)
	version, _, _ := up.status()
	require.Equal(t, f.version, version)
	f.awaitUpstreams("up-1", "up-2")

	// One of three relays is not a majority.
	f.signalAll(syscall.SIGSTOP, "relay-1", "relay-2")
	up.restart()
	f.requireRejectsUnconfirmed("up-1")
	f.signalAll(syscall.SIGSTOP, "relay-3")
	up.restart()
	f.requireRejectsUnconfirmed("up-1")
	f.signalAll(syscall.SIGCONT, relayNames...)
	f.signalAll(syscall.SIGCONT)
	f.awaitUpstreams("up-1", upstreamNames...)
	f.awaitVersion()
}

// requireRejectsUnconfirmed sends requests to a daemon that has just started without a
// confirmed configuration. The daemon must reject all of them.
func (f *fleet) requireRejectsUnconfirmed(ingress string) {
	f.t.Helper()
	waitFor(f.t, "a response of "+ingress, func() bool { return f.lookups(ingress, 1)[0].status != 0 })
	for range 60 {
		r := f.lookups(ingress, 1)[0]
		require.Equal(f.t, "configuration-unconfirmed", r.reason, "%v", r)
		require.Equal(f.t, 503, r.status, "%v", r)
		f.requireConsistent(r)
		require.True(f.t, r.notRun(), "%v", r)
		time.Sleep(20 * time.Millisecond)
	}
}
