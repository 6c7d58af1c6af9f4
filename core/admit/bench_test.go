package admit

import (
	"testing"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// BenchmarkGateIdle is a request that runs at once.
func BenchmarkGateIdle(b *testing.B) {
	g := New(Config{Slots: 35})
	now, id := simEpoch, uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now = now.Add(time.Microsecond)
		g.Arrive(now, Request{ID: id, Priority: chain.Default.MinPriority(), Deadline: now.Add(time.Second), Route: "r"})
		g.Finish(now, id, Result{OK: true})
	}
}

// BenchmarkGateFull is a request at a full gate: it evicts or is refused, and
// a finished one starts a queued one.
func BenchmarkGateFull(b *testing.B) {
	g := New(Config{Slots: 35})
	now, id := simEpoch, uint64(0)
	var running []uint64
	apply := func(actions []Action) {
		for _, a := range actions {
			if a.Kind == Run {
				running = append(running, a.ID)
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		id++
		now = now.Add(10 * time.Microsecond)
		apply(g.Arrive(now, Request{ID: id, Priority: chain.Priority(id*31) % chain.MaxPriority, Deadline: now.Add(time.Second), Route: "r"}))
		if id%4 == 0 {
			next := running[0]
			running = running[1:]
			apply(g.Finish(now, next, Result{Own: 10 * time.Millisecond, OK: true}))
		}
		if id%1000 == 0 {
			apply(g.Tick(now))
		}
	}
}

// BenchmarkLevels is an early check at an entrance, with a report.
func BenchmarkLevels(b *testing.B) {
	var l Levels
	b.ReportAllocs()
	for b.Loop() {
		l.Report(simEpoch, "bookings/book", "up1", Report{Level: 100})
		l.Admits(simEpoch, "bookings/book", 200)
	}
}
