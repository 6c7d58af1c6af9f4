package forward

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// record writes a decision on a call to the decision log.
func (f *Forwarder) record(c *call, event string, failure *chain.Failure, now time.Time, elapsed time.Duration) {
	d := f.decision(c, event, now, elapsed)
	noteFailure(&d, failure)
	f.decisions.Record(d)
}

func noteFailure(d *logging.Decision, failure *chain.Failure) {
	if failure != nil {
		d.Outcome, d.Reason = failure.Outcome.String(), string(failure.Reason)
	}
}

func (f *Forwarder) decision(c *call, event string, now time.Time, elapsed time.Duration) logging.Decision {
	return logging.Decision{
		Event: event, RequestID: c.id, Service: c.service, Route: c.route, Upstream: c.upstream, Attempt: uint32(c.attempt),
		Priority: uint16(c.atGates()), Configuration: f.ConfigVersion(), Remaining: c.remaining(now), Elapsed: elapsed,
	}
}

// recordReceived writes that a request has come, and from which one.
func (f *Forwarder) recordReceived(r *request) {
	now := f.cfg.Now()
	d := f.decision(&r.call, "received", now, now.Sub(r.arrived))
	if q := r.from.Parent; q != nil {
		d.Parent = q.ID
	}
	f.decisions.Record(d)
}

// recordChoice writes which upstream was chosen, and what was known of its load.
func (f *Forwarder) recordChoice(c *call, choice balance.PickResult, now time.Time, elapsed time.Duration) {
	d := f.decision(c, "route", now, elapsed)
	d.Tier, d.Usable = choice.Locality.String(), choice.Candidates
	if choice.LoadReportAge >= 0 {
		d.Load = loadOf(choice.LoadReport, choice.LoadReportAge)
	}
	f.decisions.Record(d)
}

// recordGate writes what the gate decided, with its load.
func (f *Forwarder) recordGate(c *call, event string, load admission.LoadReport, failure *chain.Failure, elapsed time.Duration) {
	d := f.decision(c, event, f.cfg.Now(), elapsed)
	d.Load = loadOf(load, 0)
	noteFailure(&d, failure)
	f.decisions.Record(d)
}

func loadOf(r admission.LoadReport, age time.Duration) logging.Load {
	return logging.Load{Known: true, Level: int(r.Level), Limit: r.Limit, InFlight: r.InFlight, Queued: r.Queued, Age: age}
}

// recordAnswer writes what a client was answered.
func (f *Forwarder) recordAnswer(r *request, status int, failure *chain.Failure, now time.Time) {
	d := f.decision(&r.call, "answer", now, now.Sub(r.arrived))
	d.Status = status
	d.Outcome = chain.OK.String()
	noteFailure(&d, failure)
	f.decisions.Record(d)
}

// recordThrottle writes that a request was refused early, and which part of its
// route is.
func (f *Forwarder) recordThrottle(r *request, part float64, failure *chain.Failure, now time.Time) {
	d := f.decision(&r.call, "throttle", now, now.Sub(r.arrived))
	d.Refused = part
	noteFailure(&d, failure)
	f.decisions.Record(d)
}
