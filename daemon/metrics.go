package daemon

import (
	"expvar"
	"fmt"
	"io"
	"net/http"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// metrics are the counters of one daemon since its start, published under "bilberrydeck" at
// GET /debug/vars of the admin listener.
//
//	name                   unit      meaning
//	entrance_requests      requests  received from clients
//	exit_requests          requests  received from the local upstream
//	exit_without_chain     requests  of exit_requests, without a chain handle
//	peer_attempts          attempts  received from daemons
//	attempts_sent          attempts  sent to daemons, including retries
//	retries_sent           attempts  sent after a failed attempt of the same call
//	calls_ok               calls     received at ingress and egress that ended with outcome ok
//	calls_failed           calls     that ended with another outcome, by outcome/reason
//	gate_refusals          attempts  for which this daemon generated the response, by reason
//	answers_crossed        responses that belonged to another request or attempt
//	answers_truncated      responses received from daemons that ended early
//	answers_cut            responses to daemons that were aborted after their headers
//	answers_replayed       responses that were stored with a finished claim
//	claims                 claims    requested from the claim group
//	claim_errors           calls     to the claim group that failed, including retries
//	chain_handles_refused  requests  with a forged or malformed chain handle
//	classes_raised         requests  that requested a higher class than the declared one
//	calls_undeclared       calls     that the declaration of the parent request's route does not list
//	decisions_dropped      lines     of the decision log that were dropped because its queue was full
//	configuration_version  version   of the active configuration, 0 before the first
//	state                  name      starting, serving, draining or gone
//	gate                   object    admission queue: level (priority), limit, in_flight, queued (requests)
type metrics struct {
	all *expvar.Map

	ingressRequests, egressRequests, peerAttempts *expvar.Int // requests received, by listener
	egressWithoutChain                            *expvar.Int // without a chain handle
	attemptsSent, retriesSent                     *expvar.Int // attemptsSent includes the retries
	mismatchedResponses                           *expvar.Int // of another request or attempt
	truncatedResponses                            *expvar.Int // received from daemons
	abortedResponses                              *expvar.Int // sent to daemons
	rejectedHandles                               *expvar.Int // chain handles
	raisedClasses                                 *expvar.Int // requested above the declared class
	undeclaredCalls                               *expvar.Int // not declared by the parent's route
	claims, claimErrors                           *expvar.Int // requested; failed calls
	replayedResponses                             *expvar.Int // sent for finished claims
	callsOK                                       *expvar.Int // outcome ok
	callsFailed                                   *expvar.Map // by outcome/reason
	peerErrors                                    *expvar.Map // responses generated for peers, by reason
}

func newMetrics() *metrics {
	m := &metrics{all: new(expvar.Map).Init(), callsFailed: new(expvar.Map).Init(), peerErrors: new(expvar.Map).Init()}
	for name, target := range map[string]**expvar.Int{
		"entrance_requests": &m.ingressRequests, "exit_requests": &m.egressRequests, "peer_attempts": &m.peerAttempts,
		"exit_without_chain": &m.egressWithoutChain, "attempts_sent": &m.attemptsSent, "retries_sent": &m.retriesSent,
		"answers_crossed": &m.mismatchedResponses, "answers_truncated": &m.truncatedResponses, "answers_cut": &m.abortedResponses,
		"chain_handles_refused": &m.rejectedHandles, "classes_raised": &m.raisedClasses, "calls_undeclared": &m.undeclaredCalls,
		"claims": &m.claims, "claim_errors": &m.claimErrors, "answers_replayed": &m.replayedResponses, "calls_ok": &m.callsOK,
	} {
		*target = new(expvar.Int)
		m.all.Set(name, *target)
	}
	m.all.Set("calls_failed", m.callsFailed)
	m.all.Set("gate_refusals", m.peerErrors)
	return m
}

// recordResult counts the result of a call; f is nil if it succeeded.
func (m *metrics) recordResult(f *chain.Failure) {
	if f == nil {
		m.callsOK.Add(1)
		return
	}
	m.callsFailed.Add(f.Outcome.String()+"/"+string(f.Reason), 1)
}

func (m *metrics) recordPeerError(f *chain.Failure) { m.peerErrors.Add(string(f.Reason), 1) }

// registerGauges adds the variables that are computed when they are read.
func (d *Daemon) registerGauges() {
	add := func(name string, f func() any) { d.metrics.all.Set(name, expvar.Func(f)) }
	add("decisions_dropped", func() any { return d.decisions.Dropped() })
	add("configuration_version", func() any {
		if active := d.snapshot.Load(); active != nil {
			return active.source.Version
		}
		return 0
	})
	add("held", func() any {
		u := d.ledger.Usage()
		return map[string]int64{
			"bytes": u.Bytes, "bytes_limit": u.BytesLimit, "client_connections": u.Clients, "peer_connections": u.Peers,
			"outgoing_connections": u.Outgoing, "connections_limit": u.Connections, "clients_evicted": u.Evicted, "clients_refused": u.Refused,
		}
	})
	add("state", func() any { return stateName(d.State()) })
	add("gate", func() any {
		queue := d.admissionQueue.Load()
		if queue == nil {
			return nil
		}
		r := queue.LoadReport()
		return map[string]int{"level": int(r.Level), "limit": r.Limit, "in_flight": r.InFlight, "queued": r.Queued}
	})
}

// serveVars writes the variables of the process and of this daemon. The latter are not published
// globally because one process may contain several daemons.
func (d *Daemon) serveVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = io.WriteString(w, "{\n") // an error means that the client has disconnected
	expvar.Do(func(kv expvar.KeyValue) { _, _ = fmt.Fprintf(w, "%q: %s,\n", kv.Key, kv.Value) })
	_, _ = fmt.Fprintf(w, "\"bilberrydeck\": %s\n}\n", d.metrics.all.String())
}
