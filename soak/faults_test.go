package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// fault is one kind of fault. Its function injects the fault, waits for its duration and
// reverts it.
type fault struct {
	name   string
	kind   faultKind
	inject func(i *injector, d time.Duration)
}

// injector injects one fault. It has its own source of random numbers, so that the
// schedule does not depend on concurrent draws elsewhere.
type injector struct {
	*cluster
	random *rand.Rand
}

type faultKind int

const (
	onDaemons faultKind = iota
	planned             // done by operators: no request may be interrupted
	onControl           // one at a time, since control tolerates one failure
)

// faults are the kinds from which the schedule draws. An entry that is listed twice is
// twice as likely.
var faults = []fault{
	{"daemon stopped as planned", planned, func(i *injector, _ time.Duration) { i.restart(i.daemon()) }},
	{"daemon stopped as planned", planned, func(i *injector, _ time.Duration) { i.restart(i.daemon()) }},
	{"daemon killed", onDaemons, func(i *injector, d time.Duration) { i.crash(i.daemon(), d) }},
	{"daemon frozen", onDaemons, func(i *injector, d time.Duration) { i.freeze(i.daemon(), d) }},
	{"several daemons killed", onDaemons, func(i *injector, d time.Duration) {
		var all sync.WaitGroup
		for range 2 + i.intN(2) {
			v := i.daemon()
			all.Go(func() { i.crash(v, d) })
		}
		all.Wait()
	}},
	{"settings changed", planned, func(i *injector, _ time.Duration) { i.reload(i.daemon()) }},
	{"upstream crashed", onDaemons, func(i *injector, d time.Duration) { i.replaceUpstream(i.daemon(), d, (*upstream).close) }},
	{"upstream left", onDaemons, func(i *injector, d time.Duration) { i.replaceUpstream(i.daemon(), d, (*upstream).drain) }},
	{"upstream left before its daemon restarts", onDaemons, func(i *injector, d time.Duration) { i.restartAfterLeaving(i.daemon(), d) }},
	{"upstream slow", onDaemons, func(i *injector, d time.Duration) {
		u := i.daemon().upstream
		i.changeUpstream(u, func() { u.serviceTime = 400 * time.Millisecond }, d, func() { u.serviceTime = defaultServiceTime })
	}},
	{"upstream failing", onDaemons, func(i *injector, d time.Duration) {
		u := i.daemon().upstream
		i.changeUpstream(u, func() { u.failureRatio = 0.5 }, d, func() { u.failureRatio = 0 })
	}},
	{"upstream cuts answers", onDaemons, func(i *injector, d time.Duration) {
		u := i.daemon().upstream
		i.changeUpstream(u, func() { u.truncationRatio = 0.5 }, d, func() { u.truncationRatio = 0 })
	}},
	{"service failing", onDaemons, func(i *injector, d time.Duration) {
		i.changeService(func(u *upstream) { u.failureRatio = 0.9 }, d, func(u *upstream) { u.failureRatio = 0 })
	}},
	{"service slow", onDaemons, func(i *injector, d time.Duration) {
		i.changeService(func(u *upstream) { u.serviceTime = 500 * time.Millisecond }, d, func(u *upstream) { u.serviceTime = defaultServiceTime })
	}},
	{"links delayed", onDaemons, func(i *injector, d time.Duration) { i.injectLinkFault(i.anyVM(), d, linkDelay) }},
	{"links reset", onDaemons, func(i *injector, d time.Duration) { i.injectLinkFault(i.anyVM(), d, linkReset) }},
	{"links silent one way", onDaemons, func(i *injector, d time.Duration) { i.injectLinkFault(i.daemon(), d, linkOneWay) }},
	{"links silent", onDaemons, func(i *injector, d time.Duration) { i.injectLinkFault(i.daemon(), d, linkCut) }},
	{"control cut off", onControl, func(i *injector, d time.Duration) { i.injectLinkFault(i.control(), d, linkCut) }},
	{"control cut off one way", onControl, func(i *injector, d time.Duration) { i.injectLinkFault(i.control(), d, linkOneWay) }},
	{"control stale", onControl, func(i *injector, d time.Duration) { i.isolateReplica(i.control(), i.daemon(), d) }},
	{"control stopped as planned", onControl, func(i *injector, _ time.Duration) { i.restart(i.control()) }},
	{"control killed", onControl, func(i *injector, d time.Duration) { i.crash(i.control(), d) }},
	{"control frozen", onControl, func(i *injector, d time.Duration) { i.freeze(i.control(), d) }},
	{"control lost its disk", onControl, func(i *injector, d time.Duration) { i.loseDisk(i.control(), d) }},
	{"all control killed", onControl, func(i *injector, d time.Duration) {
		var all sync.WaitGroup
		for _, v := range i.controls {
			all.Go(func() { i.crash(v, d/4) })
		}
		all.Wait()
	}},
}

// activity counts the faults in progress.
type activity struct {
	control sync.Mutex // held during a fault of control

	mu      sync.Mutex
	active  int
	planned int       // of these, the planned ones
	since   time.Time // last begin or end of a fault that is not planned
}

// quietPeriod is how long a fault may have effects after its end.
const quietPeriod = 3 * time.Second

// quiet reports whether there has been no fault but planned ones for quietPeriod.
func (a *activity) quiet() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active == a.planned && time.Since(a.since) > quietPeriod
}

// begin records the start of a fault.
func (a *activity) begin(isPlanned bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active++
	if isPlanned {
		a.planned++
	} else {
		a.since = time.Now()
	}
}

// end records the end of a fault.
func (a *activity) end(isPlanned bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active--
	if isPlanned {
		a.planned--
	} else {
		a.since = time.Now()
	}
}

func (i *injector) intN(n int) int { return i.random.IntN(n) }
func (i *injector) daemon() *vm    { return i.daemons[i.intN(len(i.daemons))] }
func (i *injector) control() *vm   { return i.controls[i.intN(len(i.controls))] }
func (i *injector) anyVM() *vm     { return i.all()[i.intN(len(i.controls)+len(i.daemons))] }

// newInjector returns an injector that draws from random source n of this run.
func (c *cluster) newInjector(n uint64) *injector {
	return &injector{c, rand.New(rand.NewPCG(c.seed, n))}
}

// Numbers of the random sources of a run. The last two are the first of a series: one
// source for each caller, and one for each injected fault.
const (
	sourceSchedule  = 1
	sourceOperator  = 2
	sourceShutdowns = 3
	sourceCallers   = 1000
	sourceFaults    = 1_000_000
)

// injectFaults starts faults, which may overlap, until ctx ends, and returns when all of
// them have ended.
func (c *cluster) injectFaults(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	schedule := c.newInjector(sourceSchedule)
	for n := uint64(sourceFaults); ctx.Err() == nil; n++ {
		f := faults[schedule.intN(len(faults))]
		d := time.Duration(300+schedule.intN(3000)) * time.Millisecond
		running.Go(func() { c.inject(ctx, f, d, c.newInjector(n)) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(100+schedule.intN(1500)) * time.Millisecond):
		}
	}
}

// inject runs one fault unless ctx has ended. Faults of control run one at a time.
func (c *cluster) inject(ctx context.Context, f fault, d time.Duration, injector *injector) {
	if f.kind == onControl {
		c.activity.control.Lock()
		defer c.activity.control.Unlock()
	}
	if ctx.Err() != nil {
		return
	}
	c.activity.begin(f.kind == planned)
	defer c.activity.end(f.kind == planned)
	c.t.Logf("%s %s for %s", time.Now().Format("15:04:05.000"), f.name, d)
	f.inject(injector, d)
	if f.kind == onControl {
		time.Sleep(2 * time.Second) // lets the group recover before the next fault
	}
}

// withFaultLock calls f unless another fault affects the process.
func (v *vm) withFaultLock(f func()) {
	if !v.faultLock.TryLock() {
		return
	}
	defer v.faultLock.Unlock()
	f()
}

// restart shuts the process of a VM down gracefully and starts it again.
func (c *cluster) restart(v *vm) {
	v.withFaultLock(func() {
		v.signal(syscall.SIGTERM)
		v.awaitExit(shutdownGrace)
		v.settings.FirstStart = false
		v.writeSettings()
		v.start()
	})
}

// crash kills the process of a VM and starts it again after half of d.
func (c *cluster) crash(v *vm, d time.Duration) {
	v.withFaultLock(func() {
		v.kill()
		time.Sleep(d / 2)
		v.settings.FirstStart = false
		v.writeSettings()
		v.start()
	})
}

// freeze suspends the process of a VM for the duration d.
func (c *cluster) freeze(v *vm, d time.Duration) {
	v.withFaultLock(func() {
		v.signal(syscall.SIGSTOP)
		time.Sleep(d)
		v.signal(syscall.SIGCONT)
	})
}

// loseDisk kills the process of a VM, deletes its data and starts it again.
func (c *cluster) loseDisk(v *vm, d time.Duration) {
	v.withFaultLock(func() {
		v.kill()
		if err := os.RemoveAll(filepath.Join(c.dir, v.name)); err != nil {
			c.checker.addViolation("harness: %v", err)
		}
		time.Sleep(d / 2)
		v.settings.FirstStart = false
		v.writeSettings()
		v.start()
		time.Sleep(5 * time.Second) // lets the group replace the replica
	})
}

// reload changes the seed addresses in the settings of a running process, and sends SIGHUP
// half of the time.
func (i *injector) reload(v *vm) {
	v.withFaultLock(func() {
		v.settings.Seeds = append(v.settings.Seeds[1:], v.settings.Seeds[0])
		v.writeSettings()
		if i.intN(2) == 0 {
			v.signal(syscall.SIGHUP)
		}
	})
}

// replaceUpstream stops the upstream of a VM and starts a new incarnation after half of d.
func (c *cluster) replaceUpstream(v *vm, d time.Duration, stop func(*upstream)) {
	v.withFaultLock(func() {
		stop(v.upstream)
		time.Sleep(d / 2)
		v.upstream.start()
	})
}

// restartAfterLeaving lets the upstream of a VM leave, restarts its daemon, and delivers a heartbeat
// that the upstream sent before it left. Then a new incarnation starts.
func (c *cluster) restartAfterLeaving(v *vm, d time.Duration) {
	v.withFaultLock(func() {
		u := v.upstream
		late := u.nextHeartbeat()
		u.leave()
		v.kill()
		v.start()
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if c.client.Ready(context.Background(), v.settings.ReadyAddress) == nil {
				u.sendHeartbeat(context.Background(), late)
				break
			}
		}
		time.Sleep(drainWithin + d/2)
		u.close()
		u.start()
	})
}

// changeUpstream applies a change to an upstream and reverts it after d.
func (c *cluster) changeUpstream(u *upstream, apply func(), d time.Duration, revert func()) {
	withLock := func(f func()) {
		u.mu.Lock()
		defer u.mu.Unlock()
		f()
	}
	withLock(apply)
	time.Sleep(d)
	withLock(revert)
}

// changeService changes all upstreams of a random service for the duration d.
func (i *injector) changeService(apply func(*upstream), d time.Duration, revert func(*upstream)) {
	service := services[i.intN(len(services))]
	var all sync.WaitGroup
	for _, v := range i.daemons {
		if v.settings.Service == service {
			all.Go(func() { i.changeUpstream(v.upstream, func() { apply(v.upstream) }, d, func() { revert(v.upstream) }) })
		}
	}
	all.Wait()
}

// isolateReplica cuts a replica off from the other replicas while configurations change,
// and finally leaves a daemon only this replica. The daemon must not use the older state
// of the replica.
func (c *cluster) isolateReplica(replica, daemon *vm, d time.Duration) {
	cut := func(on bool, affects func(a, b *vm) bool) {
		for ends, proxies := range c.links {
			if !affects(ends[0], ends[1]) && !affects(ends[1], ends[0]) {
				continue
			}
			for _, p := range proxies {
				p.SetPartition(on, on)
			}
		}
	}
	fromGroup := func(a, b *vm) bool { return a == replica && b.upstream == nil }
	fromOthers := func(a, b *vm) bool { return a == daemon && b.upstream == nil && b != replica }
	replica.withFaultLock(func() {
		cut(true, fromGroup)
		time.Sleep(d)
		cut(true, fromOthers)
		time.Sleep(1500 * time.Millisecond)
		cut(false, fromOthers)
		cut(false, fromGroup)
	})
}

type linkFault int

const (
	linkDelay linkFault = iota
	linkReset
	linkOneWay
	linkCut
)

// injectLinkFault injects a fault on all links of one VM for the duration d.
func (i *injector) injectLinkFault(v *vm, d time.Duration, f linkFault) {
	forEachLink := func(do func(sender bool, proxy linkProxy)) {
		for ends, proxies := range i.links {
			for _, p := range proxies {
				if ends[0] == v || ends[1] == v {
					do(ends[0] == v, p)
				}
			}
		}
	}
	switch f {
	case linkDelay:
		forEachLink(func(_ bool, p linkProxy) { p.SetDelay(time.Duration(5+i.intN(60)) * time.Millisecond) })
	case linkReset:
		forEachLink(func(_ bool, p linkProxy) { p.Reset() })
	case linkOneWay:
		forEachLink(func(sender bool, p linkProxy) { p.SetPartition(sender, !sender) }) // drops what the VM sends
	case linkCut:
		forEachLink(func(_ bool, p linkProxy) { p.SetPartition(true, true) })
	}
	time.Sleep(d)
	forEachLink(func(_ bool, p linkProxy) {
		p.SetDelay(0)
		p.SetPartition(false, false)
	})
}

// linkProxy is a proxy of a link that injects faults.
type linkProxy interface {
	SetDelay(time.Duration)
	Reset()
	SetPartition(to, from bool)
}
