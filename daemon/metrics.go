package daemon

import (
	"expvar"
	"fmt"
	"io"
	"net/http"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// metrics are the counters of one daemon, published under "bilberrydeck" at
// GET /debug/vars of the admin listener. Counters count since the start.
//
//	name                   unit      meaning
//	entrance_requests      requests  received from callers
//	exit_requests          requests  received from the local service
//	exit_without_chain     requests  of these, without a chain handle
//	peer_attempts          attempts  received from daemons
//	attempts_sent          attempts  sent to daemons, retries included
//	retries_sent           attempts  sent after a failed one of the same call
//	calls_ok               calls     from entrance and exit that ended with outcome ok
//	calls_failed           calls     that did not, by outcome/reason
//	gate_refusals          attempts  refused by the peer listener, by reason
//	answers_crossed        answers   that belonged to another request or attempt
//	answers_truncated      answers   that ended early, as received from daemons
//	answers_cut            answers   that the gate broke off after their first byte
//	answers_replayed       answers   repeated from a finished claim
//	claims                 claims    asked for
//	claim_errors           calls     to the claim group that failed, repeats included
//	chain_handles_refused  requests  with a forged or malformed chain handle
//	classes_raised         requests  that asked for a class above the declared one
//	calls_undeclared       calls     that the declaration of the calling route does not list
//	decisions_dropped      lines     of the decision log that found its queue full
//	configuration_version  version   in force, 0 before the first
//	state                  name      starting, serving, draining or gone
//	gate                   object    level (priority), limit, in_flight and queued (requests)
type metrics struct {
	all *expvar.Map

	ingressRequests, egressRequests, peerAttempts *expvar.Int // requests received by listener
	egressWithoutChain                            *expvar.Int // calls of the local service without a chain handle
	attemptsSent, retriesSent                     *expvar.Int // attempts sent to other daemons; those that were retries
	mismatchedResponses                           *expvar.Int // answers that belonged to another request
	truncatedResponses                            *expvar.Int // answers that ended early, as received
	abortedResponses                              *expvar.Int // answers of the gate that were cut off on purpose
	rejectedHandles                               *expvar.Int // refused chain handles
	raisedClasses                                 *expvar.Int // callers that asked for a class above the declared one
	undeclaredCalls                               *expvar.Int // calls that the declaration of the calling route does not list
	claims, claimErrors                           *expvar.Int // claims asked for; failed calls to the claim group
	replayedResponses                             *expvar.Int // stored answers given to repeats
	callsOK                                       *expvar.Int // calls answered with outcome ok
	callsFailed                                   *expvar.Map // calls that failed, by outcome/reason
	peerErrorResponses                            *expvar.Map // attempts refused by this daemon's peer listener, by reason
}

func newMetrics() *metrics {
	m := &metrics{all: new(expvar.Map).Init(), callsFailed: new(expvar.Map).Init(), peerErrorResponses: new(expvar.Map).Init()}
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
	m.all.Set("gate_refusals", m.peerErrorResponses)
	return m
}

// recordResult counts the result that a caller or the local service saw.
func (m *metrics) recordResult(f *chain.Failure) {
	if f == nil {
		m.callsOK.Add(1)
		return
	}
	m.callsFailed.Add(f.Outcome.String()+"/"+string(f.Reason), 1)
}

func (m *metrics) recordErrorResponse(f *chain.Failure) {
	m.peerErrorResponses.Add(string(f.Reason), 1)
}

// registerGauges adds values that are computed when they are read.
func (d *Daemon) registerGauges() {
	add := func(name string, f func() any) { d.metrics.all.Set(name, expvar.Func(f)) }
	add("decisions_dropped", func() any { return d.decisions.Dropped() })
	add("configuration_version", func() any {
		if c := d.snapshot.Load(); c != nil {
			return c.source.Version
		}
		return 0
	})
	add("state", func() any { return stateName(d.State()) })
	add("gate", func() any {
		g := d.admissionQueue.Load()
		if g == nil {
			return nil
		}
		r := g.LoadReport()
		return map[string]int{"level": int(r.Level), "limit": r.Limit, "in_flight": r.InFlight, "queued": r.Queued}
	})
}

// serveVars writes the process-wide variables and those of this daemon, which
// are not published globally because a process may run several daemons.
func (d *Daemon) serveVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = io.WriteString(w, "{\n") // the reader has left if this fails
	expvar.Do(func(kv expvar.KeyValue) { _, _ = fmt.Fprintf(w, "%q: %s,\n", kv.Key, kv.Value) })
	_, _ = fmt.Fprintf(w, "\"bilberrydeck\": %s\n}\n", d.metrics.all.String())
}
