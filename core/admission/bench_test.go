package admission

import (
	"testing"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// BenchmarkControllerIdle measures a request that is admitted at once.
func BenchmarkControllerIdle(b *testing.B) {
	c := NewController(Config{Slots: 35})
	now, id := simEpoch, uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now = now.Add(time.Microsecond)
		c.Submit(now, Request{ID: id, Priority: chain.Default.MinPriority(), Deadline: now.Add(time.Second), Route: "r"})
		c.Complete(now, id, ExecutionResult{Succeeded: true})
	}
}

// BenchmarkControllerFull measures a request at full load, which evicts a queued one or is
// rejected, and the completion of a request, which starts a queued one.
func BenchmarkControllerFull(b *testing.B) {
	c := NewController(Config{Slots: 35})
	now, id := simEpoch, uint64(0)
	var inFlight []uint64
	apply := func(decisions []Decision) {
		for _, d := range decisions {
			if d.Kind == Admit {
				inFlight = append(inFlight, d.ID)
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		id++
		now = now.Add(10 * time.Microsecond)
		apply(c.Submit(now, Request{ID: id, Priority: chain.Priority(id*31) % chain.NumPriorities, Deadline: now.Add(time.Second), Route: "r"}))
		if id%4 == 0 {
			next := inFlight[0]
			inFlight = inFlight[1:]
			apply(c.Complete(now, next, ExecutionResult{SelfTime: 10 * time.Millisecond, Succeeded: true}))
		}
		if id%1000 == 0 {
			apply(c.Tick(now))
		}
	}
}

// BenchmarkLevelAggregator measures the recording of a load report and the check of a call.
func BenchmarkLevelAggregator(b *testing.B) {
	var levels LevelAggregator
	b.ReportAllocs()
	for b.Loop() {
		levels.Record(simEpoch, "bookings/book", "up1", LoadReport{Level: 100})
		levels.Allow(simEpoch, "bookings/book", 200)
	}
}
