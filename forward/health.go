package forward

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// unhealthy refuses a call that another upstream can take while the local one fails or
// hangs, but for a try now and then. It is nil if the call may go on.
func (l *local) unhealthy(c *call) *chain.Failure {
	if l.health.Load().Allow(l.f.cfg.Now(), c.spare, c.kind.IsIdempotent()) {
		return nil
	}
	return chain.NewFailure(chain.NotRun, chain.ReasonUnhealthy, "the upstream fails or hangs")
}

// runVerdict is what the end of a run says of the upstream. One that ended near its time
// limit, given to it as time left, or whose caller left, says nothing.
func runVerdict(f *chain.Failure, took, limit time.Duration) admission.HealthSample {
	switch {
	case f == nil:
		return admission.SampleSuccess
	case f.Reason == chain.ReasonUpstreamRefused:
		return admission.SampleFault
	case f.Outcome == chain.NotRun, f.Reason == chain.ReasonCancelled, f.Reason == chain.ReasonDeadline:
		return admission.SampleIgnored
	case took >= time.Duration(latePart*float64(limit)):
		return admission.SampleIgnored
	case f.FromDependency:
		return admission.SampleSuccess
	}
	return admission.SampleFault
}

// watchHealth logs a changed health of the upstream.
func (l *local) watchHealth() {
	r := l.health.Load().Status(l.f.cfg.Now())
	if r.State == l.healthLogged {
		return
	}
	l.healthLogged = r.State
	l.f.cfg.Logger.Warn().Str("upstream", l.current().ID).Str("health", r.State.String()).Float64("faulty_share", r.FaultRatio).
		Float64("missing_answers", r.OverdueResponses).Int("running", r.InFlight).Msg("upstream health changed")
}
