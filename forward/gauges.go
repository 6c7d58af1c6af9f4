package forward

import (
	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/holding"
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
//	bilberry_held_bytes              memory that is held for clients and other daemons
//	bilberry_held_bytes_limit        its limit
//	bilberry_client_connections      connections that clients have opened
//	bilberry_peer_connections        connections that other daemons have opened
//	bilberry_outgoing_connections    connections to other daemons and to the upstream
//	bilberry_connections_limit       limit of all these connections
//	bilberry_clients_evicted_total   clients that were asked to go since they made too little progress
//	bilberry_clients_refused_total   connections, heads and parts of bodies for which there was no room
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
	for name, value := range map[string]func(holding.Usage) int64{
		"bilberry_held_bytes":            func(u holding.Usage) int64 { return u.Bytes },
		"bilberry_held_bytes_limit":      func(u holding.Usage) int64 { return u.BytesLimit },
		"bilberry_client_connections":    func(u holding.Usage) int64 { return u.Clients },
		"bilberry_peer_connections":      func(u holding.Usage) int64 { return u.Peers },
		"bilberry_outgoing_connections":  func(u holding.Usage) int64 { return u.Outgoing },
		"bilberry_connections_limit":     func(u holding.Usage) int64 { return u.Connections },
		"bilberry_clients_evicted_total": func(u holding.Usage) int64 { return u.Evicted },
		"bilberry_clients_refused_total": func(u holding.Usage) int64 { return u.Refused },
	} {
		s.NewGauge(name, func() float64 { return float64(value(f.ledger.Usage())) })
	}
	s.NewGauge("bilberry_decisions_dropped_total", func() float64 { return float64(f.decisions.Dropped()) })
}
