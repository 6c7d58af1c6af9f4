package logging

import (
	"io"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Decision is one decision on a request, with the inputs that led to it.
type Decision struct {
	Event         string // received, route, admit, refuse, ran, retry, no-repeat, claim, answer, ...
	RequestID     string
	Parent        string // id of the parent request that issued this call, empty if unknown
	Service       string
	Route         string
	Upstream      string
	Outcome       string
	Reason        string
	Attempt       uint32
	Priority      uint16
	Depth         int
	Status        int
	Configuration uint64        // version of the configuration that was applied, 0 if unknown
	Tier          string        // locality of the chosen upstream
	Usable        int           // number of candidate upstreams in that tier
	RejectRatio   float64       // ratio of the route's requests that are rejected early
	Load          Load          // of the admission controller that decided, or of the chosen upstream
	Remaining     time.Duration // time until the deadline; NoDeadline if none is known yet
	Elapsed       time.Duration // time since the request arrived at this process

	recordedAt time.Time // time of the call of Record
}

// NoDeadline is the remaining time of a request without a known deadline.
const NoDeadline time.Duration = math.MinInt64

// Load is the load of an admission controller at the time of a decision.
type Load struct {
	Known    bool
	Level    int           // admission level: requests of lower priority are rejected
	Limit    int           // concurrency limit
	InFlight int           // requests in flight
	Queued   int           // requests in the queue
	Age      time.Duration // time since the load was observed; 0 for the local admission controller
}

// dropPriority orders decisions by the order in which they are dropped; the lowest values
// are dropped first.
type dropPriority uint8

const (
	ordinary  dropPriority = iota // the request continues, or succeeded
	rejection                     // the request was certainly not executed
	failure                       // the request was executed and failed, or its execution is unknown
)

func (d *Decision) dropPriority() dropPriority {
	switch d.Outcome {
	case "", "ok":
		return ordinary
	case "not-run":
		return rejection
	}
	return failure
}

const (
	// DefaultQueueSize is the default number of decisions that the queue holds. It covers
	// about a tenth of a second at the request rate of one daemon's core, which is several
	// write intervals.
	DefaultQueueSize = 4096
	// maxLinesPerInterval is the maximum number of lines in a lineInterval: 2,000 per second,
	// several times what a daemon writes at the users' highest load. Writing them takes a
	// few percent of a core.
	maxLinesPerInterval = 200
	lineInterval        = 100 * time.Millisecond
	// writeInterval is the interval of writes. A killed process loses the decisions of one
	// interval.
	writeInterval = 20 * time.Millisecond
	// flushBytes is the size of pending lines, in bytes, from which they are written although
	// more decisions are queued.
	flushBytes = 16 << 10
)

// boundRatio is the ratio of a bound (queue size or lines per lineInterval) from which decisions
// of a drop priority are dropped: ordinary ones first, failures last.
var boundRatio = [...]float64{ordinary: 0.6, rejection: 0.85, failure: 1}

// Decisions is the decision log: a bounded queue and one writer goroutine. Decisions beyond the
// bounds are dropped and counted, so that logging neither delays requests nor takes their CPU
// time.
type Decisions struct {
	logger  *Logger   // for lines about the decision log itself
	output  io.Writer // destination of the logger; decisions bypass the logger's own queue
	queue   chan Decision
	dropped [failure + 1]atomic.Uint64
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once

	// Used only by the writer goroutine:
	pending       []byte    // lines to be written with the next flush
	intervalStart time.Time // start of the current lineInterval
	intervalLines int       // number of lines in the current lineInterval
	reported      [failure + 1]uint64
}

// NewDecisions returns a decision log with a queue of the given size and starts its writer,
// which Close stops.
func NewDecisions(logger *Logger, queue int) *Decisions {
	d := &Decisions{
		logger:  logger,
		output:  destination(logger),
		queue:   make(chan Decision, queue),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go d.run()
	return d
}

// Record queues one decision and never blocks.
func (d *Decisions) Record(decision Decision) {
	i := decision.dropPriority()
	if len(d.queue) >= int(math.Ceil(boundRatio[i]*float64(cap(d.queue)))) {
		d.dropped[i].Add(1)
		return
	}
	decision.recordedAt = time.Now()
	select {
	case d.queue <- decision:
	default:
		d.dropped[i].Add(1)
	}
}

// Dropped returns the number of decisions that were dropped.
func (d *Decisions) Dropped() uint64 {
	total := uint64(0)
	for i := range d.dropped {
		total += d.dropped[i].Load()
	}
	return total
}

// closeTimeout limits how long Close waits for the output.
const closeTimeout = time.Second

// Close writes the queued decisions and stops the writer. If the output blocks for longer than
// closeTimeout, the remaining decisions are lost.
func (d *Decisions) Close() {
	d.once.Do(func() { close(d.stop) })
	select {
	case <-d.stopped:
	case <-time.After(closeTimeout):
	}
}

// run is the writer goroutine. It writes the queued decisions at intervals and not one by one,
// since a wake-up of the goroutine costs as much as several lines.
func (d *Decisions) run() {
	defer close(d.stopped)
	writeTicker := time.NewTicker(writeInterval)
	defer writeTicker.Stop()
	reportTicker := time.NewTicker(time.Second)
	defer reportTicker.Stop()
	for {
		select {
		case <-writeTicker.C:
			d.drain(d.appendIfAllowed)
		case <-reportTicker.C:
			d.reportDropped()
		case <-d.stop:
			d.drain(d.appendDecision)
			d.reportDropped()
			return
		}
	}
}

// drain passes the queued decisions to write and flushes the lines.
func (d *Decisions) drain(write func(*Decision)) {
	defer d.flush()
	for {
		select {
		case decision := <-d.queue:
			write(&decision)
		default:
			return
		}
		if len(d.pending) >= flushBytes {
			d.flush()
		}
	}
}

// flush writes the pending lines with one call.
func (d *Decisions) flush() {
	if len(d.pending) > 0 {
		_, _ = d.output.Write(d.pending) // there is nowhere to report lines that cannot be written
		d.pending = d.pending[:0]
	}
}

// appendIfAllowed appends a decision to the pending lines, or drops it if the current
// lineInterval has reached the bound for its drop priority.
func (d *Decisions) appendIfAllowed(v *Decision) {
	if now := time.Now(); now.Sub(d.intervalStart) >= lineInterval {
		d.intervalStart, d.intervalLines = now, 0
	}
	i := v.dropPriority()
	if d.intervalLines >= int(boundRatio[i]*maxLinesPerInterval) {
		d.dropped[i].Add(1)
		return
	}
	d.intervalLines++
	d.appendDecision(v)
}

// reportDropped logs the number of decisions that were dropped since its last call.
func (d *Decisions) reportDropped() {
	var now [failure + 1]uint64
	for i := range now {
		now[i] = d.dropped[i].Load()
	}
	if now == d.reported {
		return
	}
	d.logger.Warn().Uint64("ordinary", now[ordinary]-d.reported[ordinary]).Uint64("refusals", now[rejection]-d.reported[rejection]).
		Uint64("failures", now[failure]-d.reported[failure]).Msg("decisions not written")
	d.reported = now
}

// appendDecision appends a decision to the pending lines. It does not use the logger's
// formatter, since a daemon writes hundreds of these lines per second and few others.
func (d *Decisions) appendDecision(v *Decision) {
	d.pending = v.appendLine(d.pending)
}

func (d *Decision) appendLine(buf []byte) []byte {
	buf = append(d.recordedAt.AppendFormat(appendKey(buf, "time"), timeFormat), " level=info "...)
	buf = appendPair(buf, "event", d.Event)
	buf = appendPair(buf, "request", d.RequestID)
	buf = appendPairIfSet(buf, "parent", d.Parent)
	buf = appendPair(buf, "service", d.Service)
	buf = appendPair(buf, "route", d.Route)
	if d.Configuration != 0 {
		buf = appendInt(buf, "configuration", int64(d.Configuration))
	}
	buf = appendPairIfSet(buf, "upstream", d.Upstream)
	if d.Tier != "" {
		buf = appendInt(appendPair(buf, "tier", d.Tier), "usable", int64(d.Usable))
	}
	if d.Attempt != 0 {
		buf = appendInt(buf, "attempt", int64(d.Attempt))
	}
	buf = appendInt(buf, "priority", int64(d.Priority))
	buf = appendInt(buf, "depth", int64(d.Depth))
	if d.Load.Known {
		buf = append(d.Load.append(appendKey(buf, "load")), ' ')
		buf = appendInt(buf, "load_age_ms", d.Load.Age.Milliseconds())
	}
	if d.RejectRatio > 0 {
		buf = append(strconv.AppendFloat(appendKey(buf, "refused_part"), d.RejectRatio, 'f', -1, 64), ' ')
	}
	buf = appendPairIfSet(buf, "outcome", d.Outcome)
	buf = appendPairIfSet(buf, "reason", d.Reason)
	if d.Status != 0 {
		buf = appendInt(buf, "status", int64(d.Status))
	}
	if d.Remaining != NoDeadline {
		buf = appendInt(buf, "remaining_ms", d.Remaining.Milliseconds())
	}
	buf = appendInt(buf, "elapsed_us", d.Elapsed.Microseconds())
	buf[len(buf)-1] = '\n'
	return buf
}

func appendInt(buf []byte, key string, value int64) []byte {
	return append(strconv.AppendInt(appendKey(buf, key), value, 10), ' ')
}

func appendPairIfSet(buf []byte, key, value string) []byte {
	if value == "" {
		return buf
	}
	return appendPair(buf, key, value)
}

// append appends inFlight/limit+queued@level, such as 7/11+3@128.
func (l Load) append(buf []byte) []byte {
	buf = strconv.AppendInt(buf, int64(l.InFlight), 10)
	buf = strconv.AppendInt(append(buf, '/'), int64(l.Limit), 10)
	buf = strconv.AppendInt(append(buf, '+'), int64(l.Queued), 10)
	return strconv.AppendInt(append(buf, '@'), int64(l.Level), 10)
}
