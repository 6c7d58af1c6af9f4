package forward

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// record writes a decision on a call to the decision log.
func (f *Forwarder) record(c *call, event string, failure *chain.Failure, now time.Time, elapsed time.Duration) {
	d := f.decision(c, event, now, elapsed)
	if failure != nil {
		d.Outcome, d.Reason = failure.Outcome.String(), string(failure.Reason)
	}
	f.decisions.Record(d)
}

func (f *Forwarder) decision(c *call, event string, now time.Time, elapsed time.Duration) logging.Decision {
	return logging.Decision{
		Event: event, RequestID: c.id, Service: c.service, Route: c.route, Upstream: c.upstream, Attempt: uint32(c.attempt),
		Priority: uint16(c.priority), Remaining: c.remaining(now), Elapsed: elapsed,
	}
}

// recordChoice writes which upstream was chosen.
func (f *Forwarder) recordChoice(c *call, choice balance.Choice, now time.Time, elapsed time.Duration) {
	d := f.decision(c, "route", now, elapsed)
	d.Reason = choice.Tier.String()
	f.decisions.Record(d)
}

// recordAnswer writes what a client was answered.
func (f *Forwarder) recordAnswer(r *request, status int, failure *chain.Failure, now time.Time) {
	d := f.decision(&r.call, "answer", now, now.Sub(r.arrived))
	d.Status = status
	d.Outcome = chain.OK.String()
	if failure != nil {
		d.Outcome, d.Reason = failure.Outcome.String(), string(failure.Reason)
	}
	f.decisions.Record(d)
}
