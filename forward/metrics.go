package forward

import (
	"fmt"
	"io"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// metrics are the counters and histograms of one daemon, in the text form of
// Prometheus.
//
//	bilberry_requests_total{from}             requests taken in, from clients and peers
//	bilberry_answers_total{outcome,reason}    requests answered at the entrance
//	bilberry_request_seconds                  histogram, from arrival to answer at the entrance
//	bilberry_attempts_total{to}               attempts sent to the local gate and to peers
//	bilberry_repeats_total                    attempts after one that reached an upstream
//	bilberry_repeats_denied_total             repeats that the retry budget did not allow
//	bilberry_gate_refusals_total{reason}      requests that the gate did not admit
//	bilberry_gate_wait_seconds                histogram, wait of admitted requests
//	bilberry_upstream_seconds                 histogram, run time at the local upstream
//	bilberry_upstream_results_total{result}   what became of requests at the local upstream
//	bilberry_upstream_connections_total       connections opened to the local upstream
//	bilberry_bad_requests_total               requests that could not be read
type metrics struct {
	set         *vm.Set
	requestTime *vm.PrometheusHistogram
	gateWait    *vm.PrometheusHistogram
	runTime     *vm.PrometheusHistogram
	clients     *vm.Counter
	peers       *vm.Counter
	localSends  *vm.Counter
	peerSends   *vm.Counter
	repeats     *vm.Counter
	denied      *vm.Counter
	connections *vm.Counter
	badRequests *vm.Counter
}

// latencyBuckets are upper bounds in seconds. They cover what a gate adds and
// the longest time that callers wait.
var latencyBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30}

func newMetrics() *metrics {
	s := vm.NewSet()
	return &metrics{
		set:         s,
		requestTime: s.NewPrometheusHistogramExt("bilberry_request_seconds", latencyBuckets),
		gateWait:    s.NewPrometheusHistogramExt("bilberry_gate_wait_seconds", latencyBuckets),
		runTime:     s.NewPrometheusHistogramExt("bilberry_upstream_seconds", latencyBuckets),
		clients:     s.NewCounter(`bilberry_requests_total{from="client"}`),
		peers:       s.NewCounter(`bilberry_requests_total{from="peer"}`),
		localSends:  s.NewCounter(`bilberry_attempts_total{to="local"}`),
		peerSends:   s.NewCounter(`bilberry_attempts_total{to="peer"}`),
		repeats:     s.NewCounter("bilberry_repeats_total"),
		denied:      s.NewCounter("bilberry_repeats_denied_total"),
		connections: s.NewCounter("bilberry_upstream_connections_total"),
		badRequests: s.NewCounter("bilberry_bad_requests_total"),
	}
}

func (m *metrics) write(w io.Writer) error {
	m.set.WritePrometheus(w)
	return nil
}

// answered counts an answer at the entrance.
func (m *metrics) answered(f *chain.Failure, took time.Duration) {
	outcome, reason := chain.OK, chain.ReasonNone
	if f != nil {
		outcome, reason = f.Outcome, f.Reason
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`bilberry_answers_total{outcome=%q,reason=%q}`, outcome, reason)).Inc()
	m.requestTime.Update(took.Seconds())
}

func (m *metrics) refused(f *chain.Failure) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bilberry_gate_refusals_total{reason=%q}`, f.Reason)).Inc()
}

func (m *metrics) ran(result string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bilberry_upstream_results_total{result=%q}`, result)).Inc()
	m.runTime.Update(took.Seconds())
}
