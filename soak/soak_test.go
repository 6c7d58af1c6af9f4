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
	seedFlag    = flag.Uint64("seed", 1, "seed of the first run; 0 picks a random seed")
	seedsFlag   = flag.Int("seeds", 1, "number of runs, with successive seeds")
	lengthFlag  = flag.Duration("length", 15*time.Second, "time during which faults are injected in each run")
	daemonsFlag = flag.Int("daemons", 6, "number of daemons in a cluster")
	callersFlag = flag.Int("callers", 12, "number of callers, each of which sends one request at a time")
)

// controlCount is the number of control replicas. It is the number of voters of a group
// that tolerates one failure while another replica is replaced.
const controlCount = 5

// regressions are seeds whose runs failed, each with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	// The schedule was derived from the seed in another way when this seed failed.
	// TestLearnerDropsUnresponsiveLeader in core/raft reproduces the fault itself.
	{150, "the leader that added a replica was cut off before the addition was committed; the replica kept following it for ever"},
}

// TestSoak checks the guarantees of a cluster while faults are injected from outside.
func TestSoak(t *testing.T) {
	first := *seedFlag
	if first == 0 {
		first = rand.Uint64N(1 << 32)
	}
	for i := range uint64(*seedsFlag) {
		t.Run(fmt.Sprint("seed-", first+i), func(t *testing.T) { soak(t, first+i) })
	}
}

// TestRegressions runs the fault schedules that found faults before.
func TestRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprint("seed-", r.seed), func(t *testing.T) {
			t.Log(r.cause)
			soak(t, r.seed)
		})
	}
}

// recoveryTime is how long a cluster may take to serve again after the last fault.
const recoveryTime = 15 * time.Second

// quietShutdowns is the number of graceful shutdowns without any concurrent fault, during
// which no request may be interrupted.
const quietShutdowns = 2

// soak runs one cluster with the faults of a seed and checks the guarantees.
func soak(t *testing.T, seed uint64) {
	c := newCluster(t, seed, controlCount, *daemonsFlag)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var running sync.WaitGroup
	var machine machineWatch
	running.Go(func() { machine.run(ctx, c.dir) })
	c.publishFirstConfig(ctx)
	c.awaitReady()
	operatorCtx, stopOperators := context.WithCancel(ctx)
	running.Go(func() { c.publishConfigs(operatorCtx, 2) })
	running.Go(func() { c.watchConfigs(ctx) })
	for n := range *callersFlag {
		caller := c.newCaller(n)
		running.Go(func() { caller.run(ctx) })
	}
	faultCtx, cancelFaults := context.WithTimeout(ctx, *lengthFlag)
	c.injectFaults(faultCtx)
	cancelFaults()
	stopOperators()
	time.Sleep(recoveryTime)
	shutdowns := c.newInjector(sourceShutdowns)
	for range quietShutdowns {
		c.restart(shutdowns.daemon())
	}
	recovered := time.Now()
	time.Sleep(3 * time.Second)
	c.checkRecovery(recovered)
	stop()
	running.Wait()
	c.checker.checkRetryBudget()
	t.Logf("seed %d: %s", seed, c.checker.summary())
	t.Logf("machine: %s", machine.summary())
	require.Empty(t, c.checker.violations)
}

// publishFirstConfig publishes the first configuration. It fails if the replicas do not start, for example
// because a run beside this one has the same addresses.
func (c *cluster) publishFirstConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	c.putConfig(ctx, 1)
	require.Equal(c.t, uint64(1), c.checker.newestConfirmed(), "no replica confirmed the first configuration within a minute")
}

// awaitReady waits until all daemons are ready.
func (c *cluster) awaitReady() {
	for _, v := range c.daemons {
		require.Eventually(c.t, func() bool {
			return c.client.Ready(context.Background(), v.settings.ReadyAddress) == nil
		}, time.Minute, 20*time.Millisecond)
	}
}

// checkRecovery checks the state after the last fault: control returns the newest
// configuration as it was sent, every daemon uses it, and callers are served.
func (c *cluster) checkRecovery(recovered time.Time) {
	newest := c.checker.newestConfirmed()
	for _, control := range c.controls {
		text, err := c.client.GetConfig(context.Background(), control.settings.ControlAddress)
		if err != nil {
			c.checker.addViolation("configuration: reading it from %s failed after all faults: %v", control.name, err)
			continue
		}
		table, err := platform.DecodeConfig(text)
		if err != nil || table.Version < newest {
			c.checker.addViolation("configuration: %s has number %d (%v), %d was confirmed", control.name, table.Version, err, newest)
			continue
		}
		want, err := platform.EncodeConfig(configOf(table.Version))
		if err != nil || string(want) != string(text) {
			c.checker.addViolation("configuration: number %d at %s is not what was sent", table.Version, control.name)
		}
	}
	for _, v := range c.daemons {
		found, definite := c.hasConfig(context.Background(), http.DefaultClient, v, newest)
		if !found || !definite {
			c.checker.addViolation("configuration: %s does not use number %d after all faults", v.name, newest)
		}
	}
	if ratio, n := c.checker.successRatioSince(recovered); n == 0 || ratio < 0.95 {
		c.checker.addViolation("recovery: %.2f of %d requests served after all faults", ratio, n)
	}
}
