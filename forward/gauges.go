package forward

import (
	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/lifecycle"
)

// gauges adds values that are read when they are asked for.
//
//	bilberry_gate_running            requests that the local upstream runs
//	bilberry_gate_waiting            requests that wait for it
//	bilberry_gate_limit              requests that may run at once
//	bilberry_gate_level              priority below which the gate refuses
//	bilberry_upstream_ready          1 while the local upstream takes work
//	bilberry_upstream_healthy        1 unless much of what the local upstream gets fails or hangs
//	bilberry_configuration_number    configuration in force, 0 before the first
//	bilberry_decisions_dropped_total lines of the decision log that were not written
func (f *Forwarder) gauges() {
	s := f.metrics.set
	s.NewGauge("bilberry_gate_running", func() float64 { return float64(f.gateLoad().InFlight) })
	s.NewGauge("bilberry_gate_waiting", func() float64 { return float64(f.gateLoad().Queued) })
	s.NewGauge("bilberry_gate_limit", func() float64 { return float64(f.gateLoad().Limit) })
	s.NewGauge("bilberry_gate_level", func() float64 { return float64(f.gateLoad().Level) })
	s.NewGauge("bilberry_upstream_ready", func() float64 {
		if f.local.isDown() || f.local.current().State != lifecycle.Ready {
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
	s.NewGauge("bilberry_decisions_dropped_total", func() float64 { return float64(f.decisions.Dropped()) })
}
