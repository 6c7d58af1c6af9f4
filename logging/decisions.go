package logging

import (
	"io"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Decision is one decision on a request: what was decided, from which inputs.
type Decision struct {
	Event         string // received, route, admit, refuse, ran, retry, no-repeat, claim, answer, ...
	RequestID     string
	Parent        string // request that made this one, as far as that is known
	Service       string
	Route         string
	Upstream      string
	Outcome       string
	Reason        string
	Attempt       uint32
	Priority      uint16
	Depth         int
	Status        int
	Configuration uint64        // number of the configuration that was followed, 0 if not told
	Tier          string        // locality of the chosen upstream
	Usable        int           // upstreams that were candidates in that tier
	RejectRatio   float64       // part of the requests of the route that is refused early
	Load          Load          // of the gate that decided, or that was chosen
	Remaining     time.Duration // before the deadline; NoDeadline if none is known yet
	Elapsed       time.Duration // since the request arrived at this process

	at time.Time // when it was recorded
}

// NoDeadline stands for the time left of a request without a deadline.
const NoDeadline time.Duration = math.MinInt64

// Load is what a decision knew of the load of a gate.
type Load struct {
	Known    bool
	Level    int           // priority below which the gate refuses
	Limit    int           // requests that may run at once
	InFlight int           // requests that run
	Queued   int           // requests that wait
	Age      time.Duration // of this knowledge; 0 at the gate itself
}

// importance orders decisions by what is dropped first.
type importance uint8

const (
	ordinary importance = iota // the request goes on, or ended well
	refusal                    // proved not to have run
	failure                    // ran and failed, or may have run
)

func (d *Decision) importance() importance {
	switch d.Outcome {
	case "", "ok":
		return ordinary
	case "not-run":
		return refusal
	}
	return failure
}

const (
	// DefaultQueue is the number of decisions that may wait for the writer. It
	// covers about a tenth of a second at the request rate of one daemon's core,
	// several intervals of the writer.
	DefaultQueue = 4096
	// linesPerInterval bounds the lines of one interval: 2,000 a second, several
	// times what a daemon writes at the users' heaviest load, and a few percent of
	// a core.
	linesPerInterval = 200
	lineInterval     = 100 * time.Millisecond
	// writeEvery is the interval of writes. A killed process loses the decisions of one.
	writeEvery = 20 * time.Millisecond
	// flushBytes is the size from which on lines are written although more are queued.
	flushBytes = 16 << 10
)

// share is the part of a bound up to which decisions of an importance are
// written: ordinary ones are dropped first, failures last.
var share = [...]float64{ordinary: 0.6, refusal: 0.85, failure: 1}

// Decisions is the decision log: a bounded queue and one writer goroutine.
// Decisions above the bounds are dropped and counted, because logging must not
// delay requests or take their processor time.
type Decisions struct {
	logger  *Logger   // of lines on the log itself
	output  io.Writer // where the lines of the logger go; the queue before it is this one's
	queue   chan Decision
	dropped [failure + 1]atomic.Uint64
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once

	// Owned by the writer:
	pending []byte    // lines that are written together
	began   time.Time // start of the present interval
	count   int       // lines in it
	told    [failure + 1]uint64
}

// NewDecisions starts the writer. Close ends it.
func NewDecisions(logger *Logger, queue int) *Decisions {
	d := &Decisions{
		logger:  logger,
		output:  outputOf(logger),
		queue:   make(chan Decision, queue),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go d.write()
	return d
}

// Record queues one decision and never blocks.
func (d *Decisions) Record(decision Decision) {
	i := decision.importance()
	if len(d.queue) >= int(math.Ceil(share[i]*float64(cap(d.queue)))) {
		d.dropped[i].Add(1)
		return
	}
	decision.at = time.Now()
	select {
	case d.queue <- decision:
	default:
		d.dropped[i].Add(1)
	}
}

// Dropped is the number of decisions that were not written.
func (d *Decisions) Dropped() uint64 {
	total := uint64(0)
	for i := range d.dropped {
		total += d.dropped[i].Load()
	}
	return total
}

// closeTime bounds the wait for the output of a process that ends.
const closeTime = time.Second

// Close writes what is queued and ends the writer. What a blocked output does not take
// in closeTime is lost.
func (d *Decisions) Close() {
	d.once.Do(func() { close(d.stop) })
	select {
	case <-d.stopped:
	case <-time.After(closeTime):
	}
}

// write takes what is queued at intervals and not one by one, since each wake-up of the
// writer would cost as much as several lines.
func (d *Decisions) write() {
	defer close(d.stopped)
	turn := time.NewTicker(writeEvery)
	defer turn.Stop()
	report := time.NewTicker(time.Second)
	defer report.Stop()
	for {
		select {
		case <-turn.C:
			d.drain(d.limited)
		case <-report.C:
			d.reportDropped()
		case <-d.stop:
			d.drain(d.line)
			d.reportDropped()
			return
		}
	}
}

// drain writes the queued decisions.
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
		_, _ = d.output.Write(d.pending) // nothing can be done about lines that cannot be written
		d.pending = d.pending[:0]
	}
}

// limited writes a decision unless the interval has had its lines.
func (d *Decisions) limited(v *Decision) {
	if now := time.Now(); now.Sub(d.began) >= lineInterval {
		d.began, d.count = now, 0
	}
	i := v.importance()
	if d.count >= int(share[i]*linesPerInterval) {
		d.dropped[i].Add(1)
		return
	}
	d.count++
	d.line(v)
}

// reportDropped tells how many decisions are missing since the last report.
func (d *Decisions) reportDropped() {
	var now [failure + 1]uint64
	for i := range now {
		now[i] = d.dropped[i].Load()
	}
	if now == d.told {
		return
	}
	d.logger.Warn().Uint64("ordinary", now[ordinary]-d.told[ordinary]).Uint64("refusals", now[refusal]-d.told[refusal]).
		Uint64("failures", now[failure]-d.told[failure]).Msg("decisions not written")
	d.told = now
}

// line appends a decision to the pending lines. It formats by itself, since a daemon
// writes hundreds of these lines a second and few others.
func (d *Decisions) line(v *Decision) {
	d.pending = v.appendLine(d.pending)
}

func (d *Decision) appendLine(buf []byte) []byte {
	buf = append(d.at.AppendFormat(appendKey(buf, "time"), timeFormat), " level=info "...)
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

// append writes running/limit+waiting@level, as in 7/11+3@128.
func (l Load) append(buf []byte) []byte {
	buf = strconv.AppendInt(buf, int64(l.InFlight), 10)
	buf = strconv.AppendInt(append(buf, '/'), int64(l.Limit), 10)
	buf = strconv.AppendInt(append(buf, '+'), int64(l.Queued), 10)
	return strconv.AppendInt(append(buf, '@'), int64(l.Level), 10)
}
