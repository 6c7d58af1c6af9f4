package logging

import (
	"sync"
	"sync/atomic"
	"time"
)

// Decision is one routing or placement decision.
type Decision struct {
	Event     string // route, retry, admit, refuse, claim, answer
	RequestID string
	Service   string
	Route     string
	Upstream  string
	Outcome   string
	Reason    string
	Attempt   uint32
	Priority  uint16
	Depth     int
	Status    int
	Remaining time.Duration // before the deadline
	Elapsed   time.Duration // since the request arrived at this process
}

// DefaultQueue is the number of decisions that may wait for the writer. It
// covers about a tenth of a second at the request rate of one daemon's core.
const DefaultQueue = 4096

// Decisions is the decision log: a bounded queue and one writer goroutine.
// Decisions that find the queue full are dropped and counted, because a slow
// disk or terminal must not delay requests.
type Decisions struct {
	logger  *Logger
	queue   chan Decision
	dropped atomic.Uint64
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once
}

// NewDecisions starts the writer. Close ends it.
func NewDecisions(logger *Logger, queue int) *Decisions {
	d := &Decisions{
		logger:  logger,
		queue:   make(chan Decision, queue),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go d.write()
	return d
}

// Record queues one decision and never blocks.
func (d *Decisions) Record(decision Decision) {
	select {
	case d.queue <- decision:
	default:
		d.dropped.Add(1)
	}
}

// Dropped is the number of decisions that were not written.
func (d *Decisions) Dropped() uint64 { return d.dropped.Load() }

// Close writes what is queued and ends the writer.
func (d *Decisions) Close() {
	d.once.Do(func() { close(d.stop) })
	<-d.stopped
}

func (d *Decisions) write() {
	defer close(d.stopped)
	for {
		select {
		case decision := <-d.queue:
			d.line(&decision)
		case <-d.stop:
			d.drain()
			return
		}
	}
}

func (d *Decisions) drain() {
	for {
		select {
		case decision := <-d.queue:
			d.line(&decision)
		default:
			return
		}
	}
}

func (d *Decisions) line(v *Decision) {
	e := d.logger.Info().Str("event", v.Event).Str("request", v.RequestID).Str("service", v.Service).Str("route", v.Route)
	if v.Upstream != "" {
		e = e.Str("upstream", v.Upstream)
	}
	if v.Attempt != 0 {
		e = e.Uint32("attempt", v.Attempt)
	}
	e = e.Uint16("priority", v.Priority).Int("depth", v.Depth)
	if v.Outcome != "" {
		e = e.Str("outcome", v.Outcome)
	}
	if v.Reason != "" {
		e = e.Str("reason", v.Reason)
	}
	if v.Status != 0 {
		e = e.Int("status", v.Status)
	}
	e.Int64("remaining_ms", v.Remaining.Milliseconds()).Int64("elapsed_us", v.Elapsed.Microseconds()).Msg("")
}
