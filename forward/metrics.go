package forward

import (
	"fmt"
	"io"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// metrics are the counters and histograms of one daemon, written in the Prometheus text
// format.
//
//	bilberry_requests_total{from}             requests received from clients and peers
//	bilberry_answers_total{outcome,reason}    responses sent at the ingress listener
//	bilberry_request_seconds                  histogram, from receipt to response at the ingress listener
//	bilberry_attempts_total{to}               attempts sent to the local upstream and to peers
//	bilberry_repeats_total                    attempts after one that reached an upstream
//	bilberry_repeats_denied_total             retries that the retry budget did not allow
//	bilberry_gate_refusals_total{reason}      requests that the admission controller rejected
//	bilberry_gate_wait_seconds                histogram, queue time of admitted requests
//	bilberry_upstream_seconds                 histogram, execution time at the local upstream
//	bilberry_upstream_results_total{result}   outcomes of requests at the local upstream
//	bilberry_upstream_connections_total       connections opened to the local upstream
//	bilberry_upstream_checks_total{result}    health checks of the local upstream
//	bilberry_bad_requests_total               requests that could not be parsed or exceeded a limit
type metrics struct {
	set            *vm.Set
	requestTime    *vm.PrometheusHistogram
	queueWait      *vm.PrometheusHistogram
	executionTime  *vm.PrometheusHistogram
	clientRequests *vm.Counter
	peerRequests   *vm.Counter
	localAttempts  *vm.Counter
	peerAttempts   *vm.Counter
	retries        *vm.Counter
	retriesDenied  *vm.Counter
	connections    *vm.Counter
	badRequests    *vm.Counter
}

// latencyBuckets are upper bounds in seconds. They range from the latency that an admission
// controller adds to the longest common client timeout.
var latencyBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30}

func newMetrics() *metrics {
	s := vm.NewSet()
	return &metrics{
		set:            s,
		requestTime:    s.NewPrometheusHistogramExt("bilberry_request_seconds", latencyBuckets),
		queueWait:      s.NewPrometheusHistogramExt("bilberry_gate_wait_seconds", latencyBuckets),
		executionTime:  s.NewPrometheusHistogramExt("bilberry_upstream_seconds", latencyBuckets),
		clientRequests: s.NewCounter(`bilberry_requests_total{from="client"}`),
		peerRequests:   s.NewCounter(`bilberry_requests_total{from="peer"}`),
		localAttempts:  s.NewCounter(`bilberry_attempts_total{to="local"}`),
		peerAttempts:   s.NewCounter(`bilberry_attempts_total{to="peer"}`),
		retries:        s.NewCounter("bilberry_repeats_total"),
		retriesDenied:  s.NewCounter("bilberry_repeats_denied_total"),
		connections:    s.NewCounter("bilberry_upstream_connections_total"),
		badRequests:    s.NewCounter("bilberry_bad_requests_total"),
	}
}

func (m *metrics) write(w io.Writer) error {
	m.set.WritePrometheus(w)
	return nil
}

// recordResponse counts a response at the ingress listener.
func (m *metrics) recordResponse(f *chain.Failure, elapsed time.Duration) {
	outcome, reason := chain.OK, chain.ReasonNone
	if f != nil {
		outcome, reason = f.Outcome, f.Reason
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`bilberry_answers_total{outcome=%q,reason=%q}`, outcome, reason)).Inc()
	m.requestTime.Update(elapsed.Seconds())
}

func (m *metrics) recordRejection(f *chain.Failure) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bilberry_gate_refusals_total{reason=%q}`, f.Reason)).Inc()
}

func (m *metrics) recordHealthCheck(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bilberry_upstream_checks_total{result=%q}`, result)).Inc()
}

func (m *metrics) recordExecution(result string, elapsed time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`bilberry_upstream_results_total{result=%q}`, result)).Inc()
	m.executionTime.Update(elapsed.Seconds())
}
