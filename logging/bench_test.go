package logging

import (
	"io"
	"testing"
	"time"
)

// BenchmarkDecision measures one line of the decision log: queueing it, which is in the
// request path, and formatting and writing it, which the writer goroutine does.
func BenchmarkDecision(b *testing.B) {
	v := Decision{
		Event: "answer", RequestID: "0123456789abcdef", Service: "orders", Route: "r-abcdefg", Upstream: "i-0123456789",
		Outcome: "ok", Attempt: 1, Priority: 300, Status: 200, Configuration: 7, Tier: "availability-zone", Usable: 3,
		Load: Load{Known: true, Limit: 72, InFlight: 14, Age: 40 * time.Millisecond}, Remaining: time.Second, Elapsed: 3 * time.Millisecond,
	}
	logger := New(io.Discard)
	b.Run("queue", func(b *testing.B) {
		d := &Decisions{logger: logger, queue: make(chan Decision, b.N)}
		for b.Loop() {
			d.Record(v)
			select {
			case <-d.queue:
			default:
			}
		}
	})
	b.Run("write", func(b *testing.B) {
		d := &Decisions{output: io.Discard}
		for b.Loop() {
			d.appendDecision(&v)
			d.flush()
		}
	})
}
