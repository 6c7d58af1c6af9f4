package logging

import (
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
	Refused       float64       // part of the requests of the route that is refused early
	Load          Load          // of the gate that decided, or that was chosen
	Remaining     time.Duration // before the deadline; NoDeadline if none is known yet
	Elapsed       time.Duration // since the request arrived at this process
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
	// covers about a tenth of a second at the request rate of one daemon's core.
	DefaultQueue = 4096
	// linesPerInterval bounds the lines of one interval: 2,000 a second, several
	// times what a daemon writes at the users' heaviest load, and a few percent of
	// a core.
	linesPerInterval = 200
	lineInterval     = 100 * time.Millisecond
)

// share is the part of a bound up to which decisions of an importance are
// written: ordinary ones are dropped first, failures last.
var share = [...]float64{ordinary: 0.6, refusal: 0.85, failure: 1}

// Decisions is the decision log: a bounded queue and one writer goroutine.
// Decisions above the bounds are dropped and counted, because logging must not
// delay requests or take their processor time.
type Decisions struct {
	logger  *Logger
	queue   chan Decision
	dropped [failure + 1]atomic.Uint64
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once

	began time.Time // of the present interval, owned by the writer
	lines int       // in it
	told  [failure + 1]uint64
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
	i := decision.importance()
	if len(d.queue) >= int(math.Ceil(share[i]*float64(cap(d.queue)))) {
		d.dropped[i].Add(1)
		return
	}
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

// Close writes what is queued and ends the writer.
func (d *Decisions) Close() {
	d.once.Do(func() { close(d.stop) })
	<-d.stopped
}

func (d *Decisions) write() {
	defer close(d.stopped)
	report := time.NewTicker(time.Second)
	defer report.Stop()
	for {
		select {
		case decision := <-d.queue:
			d.limited(&decision)
		case <-report.C:
			d.reportDropped()
		case <-d.stop:
			d.drain()
			d.reportDropped()
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

// limited writes a decision unless the interval has had its lines.
func (d *Decisions) limited(v *Decision) {
	if now := time.Now(); now.Sub(d.began) >= lineInterval {
		d.began, d.lines = now, 0
	}
	i := v.importance()
	if d.lines >= int(share[i]*linesPerInterval) {
		d.dropped[i].Add(1)
		return
	}
	d.lines++
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

func (d *Decisions) line(v *Decision) {
	e := d.logger.Info().Str("event", v.Event).Str("request", v.RequestID).Str("service", v.Service).Str("route", v.Route)
	if v.Configuration != 0 {
		e = e.Uint64("configuration", v.Configuration)
	}
	if v.Upstream != "" {
		e = e.Str("upstream", v.Upstream)
	}
	if v.Tier != "" {
		e = e.Str("tier", v.Tier).Int("usable", v.Usable)
	}
	if v.Attempt != 0 {
		e = e.Uint32("attempt", v.Attempt)
	}
	e = e.Uint16("priority", v.Priority).Int("depth", v.Depth)
	if v.Load.Known {
		e = e.Str("load", v.Load.String()).Int64("load_age_ms", v.Load.Age.Milliseconds())
	}
	if v.Refused > 0 {
		e = e.Float64("refused_part", v.Refused)
	}
	if v.Outcome != "" {
		e = e.Str("outcome", v.Outcome)
	}
	if v.Reason != "" {
		e = e.Str("reason", v.Reason)
	}
	if v.Status != 0 {
		e = e.Int("status", v.Status)
	}
	if v.Remaining != NoDeadline {
		e = e.Int64("remaining_ms", v.Remaining.Milliseconds())
	}
	e.Int64("elapsed_us", v.Elapsed.Microseconds()).Msg("")
}

// String writes running/limit+waiting@level, as in 7/11+3@128.
func (l Load) String() string {
	buf := strconv.AppendInt(make([]byte, 0, 24), int64(l.InFlight), 10)
	buf = strconv.AppendInt(append(buf, '/'), int64(l.Limit), 10)
	buf = strconv.AppendInt(append(buf, '+'), int64(l.Queued), 10)
	return string(strconv.AppendInt(append(buf, '@'), int64(l.Level), 10))
}
