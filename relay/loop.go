package relay

import (
	"context"
	"io"
	"time"

	"github.com/phuslu/log"
)

const (
	tickInterval = 200 * time.Millisecond
	// flushInterval is the minimum interval between two rounds of updates.
	// Changes that arrive within one interval are sent to a subscriber as one
	// update.
	flushInterval  = 5 * time.Millisecond
	eventQueueSize = 1024
)

// event is one item in the queue of a loop.
type event interface{ handle(now time.Time) }

// eventFunc adapts a function to an event.
type eventFunc func(now time.Time)

func (f eventFunc) handle(now time.Time) { f(now) }

// loop executes events one by one. The goroutine that executes run owns all state of a feed
// server or client.
type loop struct {
	events chan event
	done   chan struct{} // closed when run has returned
	tick   func(now time.Time)
	flush  func(now time.Time) // called after events, at most once per flushInterval
}

func newLoop() *loop {
	return &loop{events: make(chan event, eventQueueSize), done: make(chan struct{})}
}

// post queues an event. It blocks while the queue is full, which applies backpressure to the stream
// that the event comes from. It returns false once the loop has ended.
func (l *loop) post(e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.done:
		return false
	}
}

// run executes events, ticks and flushes until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	flushTimer := time.NewTimer(time.Hour)
	defer flushTimer.Stop()
	armed := false
	var lastFlush time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			e.handle(time.Now())
		case <-ticker.C:
			l.tick(time.Now())
		case <-flushTimer.C:
			armed = false
			lastFlush = time.Now()
			l.flush(lastFlush)
			continue
		}
		if !armed {
			flushTimer.Reset(max(flushInterval-time.Since(lastFlush), 0))
			armed = true
		}
	}
}

// logger returns l, or a logger that discards all lines if l is nil.
func logger(l *log.Logger) *log.Logger {
	if l != nil {
		return l
	}
	return &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}
