package admission

import (
	"testing"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// BenchmarkControllerIdle is a request that runs at once.
func BenchmarkControllerIdle(b *testing.B) {
	g := NewController(Config{Slots: 35})
	now, id := simEpoch, uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now = now.Add(time.Microsecond)
		g.Submit(now, Request{ID: id, Priority: chain.Default.MinPriority(), Deadline: now.Add(time.Second), Route: "r"})
		g.Complete(now, id, ExecutionResult{Succeeded: true})
	}
}

// BenchmarkControllerFull is a request at a full gate: it evicts or is refused, and
// a finished one starts a queued one.
func BenchmarkControllerFull(b *testing.B) {
	g := NewController(Config{Slots: 35})
	now, id := simEpoch, uint64(0)
	var running []uint64
	apply := func(actions []Decision) {
		for _, a := range actions {
			if a.Kind == Admit {
				running = append(running, a.ID)
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		id++
		now = now.Add(10 * time.Microsecond)
		apply(g.Submit(now, Request{ID: id, Priority: chain.Priority(id*31) % chain.MaxPriority, Deadline: now.Add(time.Second), Route: "r"}))
		if id%4 == 0 {
			next := running[0]
			running = running[1:]
			apply(g.Complete(now, next, ExecutionResult{SelfTime: 10 * time.Millisecond, Succeeded: true}))
		}
		if id%1000 == 0 {
			apply(g.Tick(now))
		}
	}
}

// BenchmarkLevelAggregator is an early check at an entrance, with a report.
func BenchmarkLevelAggregator(b *testing.B) {
	var l LevelAggregator
	b.ReportAllocs()
	for b.Loop() {
		l.Record(simEpoch, "bookings/book", "up1", LoadReport{Level: 100})
		l.Allow(simEpoch, "bookings/book", 200)
	}
}
