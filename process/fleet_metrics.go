package process

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/bilberrydeck/bilberrydeck/control"
	"github.com/bilberrydeck/bilberrydeck/core/holding"
	"github.com/bilberrydeck/bilberrydeck/core/raft"
	"github.com/bilberrydeck/bilberrydeck/fleet"
	"github.com/bilberrydeck/bilberrydeck/platform"
)

// serveMetrics serves the metrics of a fleet process in the Prometheus text format.
func (p *fleetProcess) serveMetrics(ctx context.Context, wg *sync.WaitGroup, write func(io.Writer) error) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		if err := write(w); err != nil {
			p.Logger.Warn().Err(err).Msg("metrics could not be written")
		}
	})
	return serveHTTP(ctx, wg, p.settings.MetricsAddress(), mux, newLocalLedger(), p.Logger)
}

// controlMetrics returns a function that writes the metrics of a control replica. Gauges are
// read at that time.
//
//	bilberry_replica_term                     term of the group
//	bilberry_replica_leads                    1 on the leader
//	bilberry_replica_voters                   voters of the group
//	bilberry_replica_commit_index             commit index of this replica
//	bilberry_replica_elections_total          elections that this replica started
//	bilberry_confirmation_age_seconds         time since a quorum confirmed that nothing newer was committed; -1 if never
//	bilberry_configuration_number             version of the current configuration
//	bilberry_sessions                         daemons with a control session at this replica
//	bilberry_held_bytes                       memory that is held for operators
//	bilberry_held_bytes_limit                 its limit
//	bilberry_client_connections               connections that operators have opened
//	bilberry_clients_evicted_total            operators that were asked to go since they made too little progress
//	bilberry_clients_refused_total            connections and parts of bodies for which there was no room
//	bilberry_messages_dropped_total           replication messages dropped because a queue was full
func controlMetrics(server *control.Server, service *fleet.SessionServer, ledger *holding.Ledger) func(io.Writer) error {
	set := vm.NewSet()
	for name, value := range map[string]func() float64{
		"bilberry_replica_term":             func() float64 { return float64(server.RaftStatus().Term) },
		"bilberry_replica_leads":            func() float64 { return boolGauge(server.RaftStatus().Role == raft.Leader) },
		"bilberry_replica_voters":           func() float64 { return float64(len(server.RaftStatus().ReplicaSet.GetVoters())) },
		"bilberry_replica_commit_index":     func() float64 { return float64(server.RaftStatus().Commit) },
		"bilberry_replica_elections_total":  func() float64 { return float64(server.RaftStatus().Elections) },
		"bilberry_confirmation_age_seconds": func() float64 { return secondsOrUnknown(server.ConfirmationAge()) },
		"bilberry_configuration_number":     func() float64 { return float64(service.ConfigVersion()) },
		"bilberry_sessions":                 func() float64 { return float64(service.Sessions()) },
		"bilberry_held_bytes":               func() float64 { return float64(ledger.Usage().Bytes) },
		"bilberry_held_bytes_limit":         func() float64 { return float64(ledger.Usage().BytesLimit) },
		"bilberry_client_connections":       func() float64 { return float64(ledger.Usage().Clients) },
		"bilberry_clients_evicted_total":    func() float64 { return float64(ledger.Usage().Evicted) },
		"bilberry_clients_refused_total":    func() float64 { return float64(ledger.Usage().Refused) },
		"bilberry_messages_dropped_total":   func() float64 { return float64(server.DroppedMessages()) },
	} {
		set.NewGauge(name, value)
	}
	return func(w io.Writer) error {
		set.WritePrometheus(w)
		return nil
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// secondsOrUnknown returns d in seconds, -1 if it is unknown.
func secondsOrUnknown(d time.Duration, known bool) float64 {
	if !known {
		return -1
	}
	return d.Seconds()
}
