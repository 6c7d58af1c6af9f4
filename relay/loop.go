package relay

import (
	"context"
	"io"
	"time"

	"github.com/phuslu/log"
)

const (
	tickEvery = 200 * time.Millisecond
	// flushEvery bounds how often updates are built. Changes that arrive
	// within one period reach a subscriber as one update.
	flushEvery = 5 * time.Millisecond
	queueSize  = 1024
)

// event is one message of the loop's queue.
type event interface{ handle(now time.Time) }

// eventFunc adapts a function to an event.
type eventFunc func(now time.Time)

func (f eventFunc) handle(now time.Time) { f(now) }

// loop runs events one by one. All feed state of a process part is owned by
// the goroutine that runs it.
type loop struct {
	events chan event
	done   chan struct{} // closed when the loop has ended
	tick   func(now time.Time)
	flush  func(now time.Time) // called after events, at most each flushEvery
}

func newLoop() *loop {
	return &loop{events: make(chan event, queueSize), done: make(chan struct{})}
}

// post queues an event. It waits while the queue is full, which slows down the
// stream that the event came from, and returns false once the loop has ended.
func (l *loop) post(e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.done:
		return false
	}
}

func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(tickEvery)
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
			flushTimer.Reset(max(flushEvery-time.Since(lastFlush), 0))
			armed = true
		}
	}
}

// logger replaces a nil logger by one that writes nothing.
func logger(l *log.Logger) *log.Logger {
	if l != nil {
		return l
	}
	return &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}
