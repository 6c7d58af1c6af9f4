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

// fault is one kind of fault: it strikes, lasts and ends within its function.
type fault struct {
	name   string
	kind   faultKind
	strike func(w *striker, d time.Duration)
}

// striker is one strike of a fault. It draws from a source of its own, so that the
// schedule does not depend on what other parts draw meanwhile.
type striker struct {
	*world
	random *rand.Rand
}

type faultKind int

const (
	onDaemons faultKind = iota
	planned             // what operators do: no request may break off
	onControl           // one at a time, which is what the fleet bears
)

// faults are drawn by the schedule; those that are listed twice come twice as often.
var faults = []fault{
	{"daemon stopped as planned", planned, func(w *striker, _ time.Duration) { w.restart(w.daemon()) }},
	{"daemon stopped as planned", planned, func(w *striker, _ time.Duration) { w.restart(w.daemon()) }},
	{"daemon killed", onDaemons, func(w *striker, d time.Duration) { w.crash(w.daemon(), d) }},
	{"daemon frozen", onDaemons, func(w *striker, d time.Duration) { w.freeze(w.daemon(), d) }},
	{"several daemons killed", onDaemons, func(w *striker, d time.Duration) {
		var all sync.WaitGroup
		for range 2 + w.pick(2) {
			v := w.daemon()
			all.Go(func() { w.crash(v, d) })
		}
		all.Wait()
	}},
	{"settings changed", planned, func(w *striker, _ time.Duration) { w.reload(w.daemon()) }},
	{"upstream crashed", onDaemons, func(w *striker, d time.Duration) { w.replaceUpstream(w.daemon(), d, (*upstream).close) }},
	{"upstream left", onDaemons, func(w *striker, d time.Duration) { w.replaceUpstream(w.daemon(), d, (*upstream).drain) }},
	{"upstream slow", onDaemons, func(w *striker, d time.Duration) {
		u := w.daemon().upstream
		w.with(u, func() { u.work = 400 * time.Millisecond }, d, func() { u.work = usualWork })
	}},
	{"upstream failing", onDaemons, func(w *striker, d time.Duration) {
		u := w.daemon().upstream
		w.with(u, func() { u.failing = 0.5 }, d, func() { u.failing = 0 })
	}},
	{"upstream cuts answers", onDaemons, func(w *striker, d time.Duration) {
		u := w.daemon().upstream
		w.with(u, func() { u.cutting = 0.5 }, d, func() { u.cutting = 0 })
	}},
	{"service failing", onDaemons, func(w *striker, d time.Duration) {
		w.withService(func(u *upstream) { u.failing = 0.9 }, d, func(u *upstream) { u.failing = 0 })
	}},
	{"service slow", onDaemons, func(w *striker, d time.Duration) {
		w.withService(func(u *upstream) { u.work = 500 * time.Millisecond }, d, func(u *upstream) { u.work = usualWork })
	}},
	{"links delayed", onDaemons, func(w *striker, d time.Duration) { w.disturbLinks(w.anyVM(), d, linkDelay) }},
	{"links reset", onDaemons, func(w *striker, d time.Duration) { w.disturbLinks(w.anyVM(), d, linkReset) }},
	{"links silent one way", onDaemons, func(w *striker, d time.Duration) { w.disturbLinks(w.daemon(), d, linkOneWay) }},
	{"links silent", onDaemons, func(w *striker, d time.Duration) { w.disturbLinks(w.daemon(), d, linkCut) }},
	{"control cut off", onControl, func(w *striker, d time.Duration) { w.disturbLinks(w.control(), d, linkCut) }},
	{"control cut off one way", onControl, func(w *striker, d time.Duration) { w.disturbLinks(w.control(), d, linkOneWay) }},
	{"control stale", onControl, func(w *striker, d time.Duration) { w.strand(w.control(), w.daemon(), d) }},
	{"control stopped as planned", onControl, func(w *striker, _ time.Duration) { w.restart(w.control()) }},
	{"control killed", onControl, func(w *striker, d time.Duration) { w.crash(w.control(), d) }},
	{"control frozen", onControl, func(w *striker, d time.Duration) { w.freeze(w.control(), d) }},
	{"control lost its disk", onControl, func(w *striker, d time.Duration) { w.loseDisk(w.control(), d) }},
	{"all control killed", onControl, func(w *striker, d time.Duration) {
		var all sync.WaitGroup
		for _, v := range w.controls {
			all.Go(func() { w.crash(v, d/4) })
		}
		all.Wait()
	}},
}

// activity counts the faults that are going on.
type activity struct {
	control sync.Mutex // one fault of control at a time

	mu      sync.Mutex
	active  int
	planned int       // of these, planned stops
	since   time.Time // of the last begin or end of another fault
}

// calmAfter is how long the effects of a fault may last after its end.
const calmAfter = 3 * time.Second

// calm reports whether nothing but planned stops has gone on for a while.
func (a *activity) calm() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active == a.planned && time.Since(a.since) > calmAfter
}

func (a *activity) begin(harmless bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active++
	if harmless {
		a.planned++
	} else {
		a.since = time.Now()
	}
}

func (a *activity) end(harmless bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active--
	if harmless {
		a.planned--
	} else {
		a.since = time.Now()
	}
}

func (w *striker) pick(n int) int { return w.random.IntN(n) }
func (w *striker) daemon() *vm    { return w.daemons[w.pick(len(w.daemons))] }
func (w *striker) control() *vm   { return w.controls[w.pick(len(w.controls))] }
func (w *striker) anyVM() *vm     { return w.all()[w.pick(len(w.controls)+len(w.daemons))] }

// striker returns the source n of random numbers of this run.
func (w *world) striker(n uint64) *striker {
	return &striker{w, rand.New(rand.NewPCG(w.seed, n))}
}

// The sources of random numbers of a run. Strikes and callers are numbered from theirs.
const (
	sourceSchedule = 1
	sourceOperator = 2
	sourceStops    = 3
	sourceCallers  = 1000
	sourceStrikes  = 1_000_000
)

// disturb lets faults strike in series and overlapping until ctx ends, and returns
// when all have ended.
func (w *world) disturb(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	schedule := w.striker(sourceSchedule)
	for n := uint64(sourceStrikes); ctx.Err() == nil; n++ {
		f := faults[schedule.pick(len(faults))]
		d := time.Duration(300+schedule.pick(3000)) * time.Millisecond
		all.Go(func() { w.strike(ctx, f, d, w.striker(n)) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(100+schedule.pick(1500)) * time.Millisecond):
		}
	}
}

func (w *world) strike(ctx context.Context, f fault, d time.Duration, s *striker) {
	if f.kind == onControl {
		w.activity.control.Lock()
		defer w.activity.control.Unlock()
	}
	if ctx.Err() != nil {
		return
	}
	w.activity.begin(f.kind == planned)
	defer w.activity.end(f.kind == planned)
	w.t.Logf("%s %s for %s", time.Now().Format("15:04:05.000"), f.name, d)
	f.strike(s, d)
	if f.kind == onControl {
		time.Sleep(2 * time.Second) // the group is whole again before the next loss
	}
}

// busy keeps two faults from the same process.
func (v *vm) busy(f func()) {
	if !v.disturbed.TryLock() {
		return
	}
	defer v.disturbed.Unlock()
	f()
}

func (w *world) restart(v *vm) {
	v.busy(func() {
		v.signal(syscall.SIGTERM)
		v.await(grace)
		v.settings.FirstStart = false
		v.writeSettings()
		v.start()
	})
}

func (w *world) crash(v *vm, d time.Duration) {
	v.busy(func() {
		v.kill()
		time.Sleep(d / 2)
		v.settings.FirstStart = false
		v.writeSettings()
		v.start()
	})
}

func (w *world) freeze(v *vm, d time.Duration) {
	v.busy(func() {
		v.signal(syscall.SIGSTOP)
		time.Sleep(d)
		v.signal(syscall.SIGCONT)
	})
}

func (w *world) loseDisk(v *vm, d time.Duration) {
	v.busy(func() {
		v.kill()
		if err := os.RemoveAll(filepath.Join(w.dir, v.name)); err != nil {
			w.judge.violate("harness: %v", err)
		}
		time.Sleep(d / 2)
		v.settings.FirstStart = false
		v.writeSettings()
		v.start()
		time.Sleep(5 * time.Second) // until the group has replaced it
	})
}

// reload changes the seeds of a running process, with a signal or without.
func (w *striker) reload(v *vm) {
	v.busy(func() {
		v.settings.Seeds = append(v.settings.Seeds[1:], v.settings.Seeds[0])
		v.writeSettings()
		if w.pick(2) == 0 {
			v.signal(syscall.SIGHUP)
		}
	})
}

func (w *world) replaceUpstream(v *vm, d time.Duration, leave func(*upstream)) {
	v.busy(func() {
		leave(v.upstream)
		time.Sleep(d / 2)
		v.upstream.begin()
	})
}

func (w *world) with(u *upstream, begin func(), d time.Duration, end func()) {
	change := func(f func()) {
		u.mu.Lock()
		defer u.mu.Unlock()
		f()
	}
	change(begin)
	time.Sleep(d)
	change(end)
}

// withService changes all upstreams of a service for a time.
func (w *striker) withService(begin func(*upstream), d time.Duration, end func(*upstream)) {
	service := services[w.pick(len(services))]
	var all sync.WaitGroup
	for _, v := range w.daemons {
		if v.settings.Service == service {
			all.Go(func() { w.with(v.upstream, func() { begin(v.upstream) }, d, func() { end(v.upstream) }) })
		}
	}
	all.Wait()
}

// strand cuts a replica off from all others while configurations go on, and leaves a
// daemon no other replica at the end: it must not take over the older state.
func (w *world) strand(c, daemon *vm, d time.Duration) {
	cut := func(on bool, concerns func(a, b *vm) bool) {
		for ends, proxies := range w.links {
			if !concerns(ends[0], ends[1]) && !concerns(ends[1], ends[0]) {
				continue
			}
			for _, p := range proxies {
				p.SetPartition(on, on)
			}
		}
	}
	fromGroup := func(a, b *vm) bool { return a == c && b.upstream == nil }
	fromOthers := func(a, b *vm) bool { return a == daemon && b.upstream == nil && b != c }
	c.busy(func() {
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

// disturbLinks disturbs all links of one VM.
func (w *striker) disturbLinks(v *vm, d time.Duration, f linkFault) {
	each := func(do func(sender bool, proxy proxy)) {
		for ends, proxies := range w.links {
			for _, p := range proxies {
				if ends[0] == v || ends[1] == v {
					do(ends[0] == v, p)
				}
			}
		}
	}
	switch f {
	case linkDelay:
		each(func(_ bool, p proxy) { p.SetDelay(time.Duration(5+w.pick(60)) * time.Millisecond) })
	case linkReset:
		each(func(_ bool, p proxy) { p.Reset() })
	case linkOneWay:
		each(func(sender bool, p proxy) { p.SetPartition(sender, !sender) }) // what the VM sends vanishes
	case linkCut:
		each(func(_ bool, p proxy) { p.SetPartition(true, true) })
	}
	time.Sleep(d)
	each(func(_ bool, p proxy) {
		p.SetDelay(0)
		p.SetPartition(false, false)
	})
}

// proxy is what a fault does to a link.
type proxy interface {
	SetDelay(time.Duration)
	Reset()
	SetPartition(to, from bool)
}
