package forward

import (
	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/lifecycle"
)

// registerGauges adds gauges that are evaluated when the metrics are written.
//
//	bilberry_gate_running            requests in flight at the local upstream
//	bilberry_gate_waiting            requests queued for the local upstream
//	bilberry_gate_limit              concurrency limit of the local upstream
//	bilberry_gate_level              admission level: requests of lower priority are rejected
//	bilberry_upstream_ready          1 while the local upstream accepts requests
//	bilberry_upstream_healthy        1 unless many requests of the local upstream fail or hang
//	bilberry_configuration_number    version of the active configuration, 0 before the first
//	bilberry_response_buffer_bytes   memory left for the buffered bodies of responses
//	bilberry_decisions_dropped_total lines of the decision log that were not written
func (f *Forwarder) registerGauges() {
	s := f.metrics.set
	s.NewGauge("bilberry_gate_running", func() float64 { return float64(f.admissionLoad().InFlight) })
	s.NewGauge("bilberry_gate_waiting", func() float64 { return float64(f.admissionLoad().Queued) })
	s.NewGauge("bilberry_gate_limit", func() float64 { return float64(f.admissionLoad().Limit) })
	s.NewGauge("bilberry_gate_level", func() float64 { return float64(f.admissionLoad().Level) })
	s.NewGauge("bilberry_upstream_ready", func() float64 {
		if f.local.isUnreachable() || f.local.current().State != lifecycle.Ready {
			return 0
		}
		return 1
	})
	s.NewGauge("bilberry_upstream_healthy", func() float64 {
		if f.local.health.Load().Status(f.cfg.Now()).State != admission.Healthy {
			return 0
		}
		return 1
	})
	s.NewGauge("bilberry_configuration_number", func() float64 { return float64(f.ConfigVersion()) })
	s.NewGauge("bilberry_response_buffer_bytes", func() float64 { return float64(f.buffers.available.Load()) })
	s.NewGauge("bilberry_decisions_dropped_total", func() float64 { return float64(f.decisions.Dropped()) })
}
