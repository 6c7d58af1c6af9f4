package forward

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// recordDecision writes a decision on a call to the decision log.
func (f *Forwarder) recordDecision(c *call, event string, failure *chain.Failure, now time.Time, elapsed time.Duration) {
	d := f.newDecision(c, event, now, elapsed)
	setFailure(&d, failure)
	f.decisions.Record(d)
}

func setFailure(d *logging.Decision, failure *chain.Failure) {
	if failure != nil {
		d.Outcome, d.Reason = failure.Outcome.String(), string(failure.Reason)
	}
}

func (f *Forwarder) newDecision(c *call, event string, now time.Time, elapsed time.Duration) logging.Decision {
	return logging.Decision{
		Event: event, RequestID: c.id, Service: c.service, Route: c.route, Upstream: c.upstream, Attempt: uint32(c.attempt),
		Priority: uint16(c.admissionPriority()), Configuration: f.ConfigVersion(), Remaining: c.remaining(now), Elapsed: elapsed,
	}
}

// recordReceived records that a request was received, and its parent request if known.
func (f *Forwarder) recordReceived(r *request) {
	now := f.cfg.Now()
	d := f.newDecision(&r.call, "received", now, now.Sub(r.receivedAt))
	if parent := r.origin.Parent; parent != nil {
		d.Parent = parent.ID
	}
	f.decisions.Record(d)
}

// recordRoute records the selected upstream and its last known load.
func (f *Forwarder) recordRoute(c *call, choice balance.PickResult, now time.Time, elapsed time.Duration) {
	d := f.newDecision(c, "route", now, elapsed)
	d.Tier, d.Usable = choice.Locality.String(), choice.Candidates
	if choice.LoadReportAge >= 0 {
		d.Load = loadFields(choice.LoadReport, choice.LoadReportAge)
	}
	f.decisions.Record(d)
}

// recordAdmission records the decision of the admission controller and its load.
func (f *Forwarder) recordAdmission(c *call, event string, load admission.LoadReport, failure *chain.Failure, elapsed time.Duration) {
	d := f.newDecision(c, event, f.cfg.Now(), elapsed)
	d.Load = loadFields(load, 0)
	setFailure(&d, failure)
	f.decisions.Record(d)
}

func loadFields(r admission.LoadReport, age time.Duration) logging.Load {
	return logging.Load{Known: true, Level: int(r.Level), Limit: r.Limit, InFlight: r.InFlight, Queued: r.Queued, Age: age}
}

// recordResponse records the status and the outcome of the response to a client.
func (f *Forwarder) recordResponse(r *request, status int, failure *chain.Failure, now time.Time) {
	d := f.newDecision(&r.call, "answer", now, now.Sub(r.receivedAt))
	d.Status = status
	d.Outcome = chain.OK.String()
	setFailure(&d, failure)
	f.decisions.Record(d)
}

// recordThrottle records that the throttle of a route rejected a request, and the ratio of
// requests that it rejects.
func (f *Forwarder) recordThrottle(r *request, rejectRatio float64, failure *chain.Failure, now time.Time) {
	d := f.newDecision(&r.call, "throttle", now, now.Sub(r.receivedAt))
	d.RejectRatio = rejectRatio
	setFailure(&d, failure)
	f.decisions.Record(d)
}
