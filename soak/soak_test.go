package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/platform"
)

var (
	seedFlag    = flag.Uint64("seed", 1, "seed of the first run; 0 draws one")
	seedsFlag   = flag.Int("seeds", 1, "number of runs, with successive seeds")
	lengthFlag  = flag.Duration("length", 15*time.Second, "time of faults in each run")
	daemonsFlag = flag.Int("daemons", 6, "daemons of a fleet")
	callersFlag = flag.Int("callers", 12, "callers that send requests one after the other")
)

// controls is the number of control replicas, the voters of a group that bears one
// loss and repairs.
const controls = 5

// regressions are seeds that have failed, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	// The schedule of this seed was drawn in another way when it failed; core/raft
	// TestLearnerDropsUnresponsiveLeader plays the case itself.
	{150, "the leader that added a replica was cut off before that was committed; the replica took it for its leader for ever"},
}

// TestSoak checks the promises of a fleet under faults from outside.
func TestSoak(t *testing.T) {
	first := *seedFlag
	if first == 0 {
		first = rand.Uint64N(1 << 32)
	}
	for i := range uint64(*seedsFlag) {
		t.Run(fmt.Sprint("seed-", first+i), func(t *testing.T) { soak(t, first+i) })
	}
}

// TestRegressions repeats the schedules that have found faults.
func TestRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprint("seed-", r.seed), func(t *testing.T) {
			t.Log(r.cause)
			soak(t, r.seed)
		})
	}
}

// settleTime is how long a fleet may take to serve again after the last fault.
const settleTime = 15 * time.Second

// calmStops is the number of planned stops with nothing else going on, when no
// request may break off.
const calmStops = 2

func soak(t *testing.T, seed uint64) {
	w := newWorld(t, seed, controls, *daemonsFlag)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var parts sync.WaitGroup
	w.put(ctx, 1)
	w.awaitReady()
	operating, stopOperating := context.WithCancel(ctx)
	parts.Go(func() { w.operateFrom(operating, 2) })
	parts.Go(func() { w.watchNumbers(ctx) })
	for n := range *callersFlag {
		c := w.newCaller(n)
		parts.Go(func() { c.run(ctx) })
	}
	disturbing, calm := context.WithTimeout(ctx, *lengthFlag)
	w.disturb(disturbing)
	calm()
	stopOperating()
	time.Sleep(settleTime)
	stops := w.striker(sourceStops)
	for range calmStops {
		w.restart(stops.daemon())
	}
	settled := time.Now()
	time.Sleep(3 * time.Second)
	w.checkEnd(settled)
	stop()
	parts.Wait()
	w.judge.checkBudget()
	t.Logf("seed %d: %s", seed, w.judge.report())
	require.Empty(t, w.judge.violations)
}

// awaitReady waits until all daemons are ready.
func (w *world) awaitReady() {
	for _, v := range w.daemons {
		require.Eventually(w.t, func() bool {
			return w.client.Ready(context.Background(), v.settings.ReadyAddress) == nil
		}, time.Minute, 20*time.Millisecond)
	}
}

// checkEnd checks what must hold once the last fault is over: the newest
// configuration is read back as it was sent and followed everywhere, and callers
// are served.
func (w *world) checkEnd(settled time.Time) {
	newest := w.judge.newestAccepted()
	for _, c := range w.controls {
		text, err := w.client.GetConfig(context.Background(), c.settings.ControlAddress)
		if err != nil {
			w.judge.violate("configuration: %s cannot be read after all faults: %v", c.name, err)
			continue
		}
		table, err := platform.DecodeConfig(text)
		if err != nil || table.Version < newest {
			w.judge.violate("configuration: %s has number %d (%v), %d was confirmed", c.name, table.Version, err, newest)
			continue
		}
		want, err := platform.EncodeConfig(tableOf(table.Version))
		if err != nil || string(want) != string(text) {
			w.judge.violate("configuration: number %d at %s is not what was sent", table.Version, c.name)
		}
	}
	for _, v := range w.daemons {
		found, known := w.follows(context.Background(), http.DefaultClient, v, newest)
		if !found || !known {
			w.judge.violate("configuration: %s does not follow number %d after all faults", v.name, newest)
		}
	}
	if share, n := w.judge.servedSince(settled); n == 0 || share < 0.95 {
		w.judge.violate("recovery: %.2f of %d requests served after all faults", share, n)
	}
}
