package forward

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// rejectUnhealthy rejects a call while the local upstream is unhealthy and another upstream
// can take the call. A call is admitted now and then as a probe. The result is nil if the
// call is admitted.
func (l *upstreamProxy) rejectUnhealthy(c *call) *chain.Failure {
	if l.health.Load().Allow(l.f.cfg.Now(), c.hasAlternative, c.kind.IsIdempotent()) {
		return nil
	}
	return chain.NewFailure(chain.NotRun, chain.ReasonUnhealthy, "the upstream is unhealthy: requests fail or hang")
}

// healthSample classifies the end of an execution. remaining is the time until the deadline
// at its start. An execution that ended near its deadline, or whose client cancelled it, is
// ignored.
func healthSample(f *chain.Failure, elapsed, remaining time.Duration) admission.HealthSample {
	switch {
	case f == nil:
		return admission.SampleSuccess
	case f.Reason == chain.ReasonUpstreamRefused:
		return admission.SampleFault
	case f.Outcome == chain.NotRun, f.Reason == chain.ReasonCancelled, f.Reason == chain.ReasonDeadline:
		return admission.SampleIgnored
	case elapsed >= time.Duration(lateRatio*float64(remaining)):
		return admission.SampleIgnored
	case f.FromDependency:
		return admission.SampleSuccess
	}
	return admission.SampleFault
}

// logHealthChange logs a change of the upstream's health.
func (l *upstreamProxy) logHealthChange() {
	r := l.health.Load().Status(l.f.cfg.Now())
	if r.State == l.loggedHealth {
		return
	}
	l.loggedHealth = r.State
	l.f.cfg.Logger.Warn().Str("upstream", l.current().ID).Str("health", r.State.String()).Float64("faulty_share", r.FaultRatio).
		Float64("missing_answers", r.OverdueResponses).Int("running", r.InFlight).Msg("upstream health changed")
}
