// Package lifecycle follows the upstream beside a daemon by the reports that it
// sends: which run of it is the present one, and whether it takes work. Reports
// may come late, out of order and from runs that have ended.
package lifecycle

import "time"

// State is the state of the upstream.
type State uint8

// The states of an upstream.
const (
	Absent   State = iota // no run is known, or the last one left
	Ready                 // takes work
	Draining              // finishes what it has and leaves
)

var stateNames = [...]string{"absent", "ready", "draining"}

// String returns the name used in logs.
func (s State) String() string { return stateNames[s] }

// Heartbeat is what an upstream says of itself.
type Heartbeat struct {
	ID          string
	StartedAtMs int64  // Unix milliseconds of the start of this run
	Sequence    uint64 // grows with each report of a run
	Service     string
	State       State // Ready or Draining
	Slots       int
	WarmUp      time.Duration // how long the upstream stays slow after its start
}

// HeartbeatResult tells what became of a report.
type HeartbeatResult uint8

// The verdicts.
const (
	Accepted     HeartbeatResult = iota // it describes the present run
	Stale                               // a newer report, or a newer run, is known
	WrongService                        // it names a service that does not run here
)

var verdictNames = [...]string{"taken", "stale", "foreign"}

// String returns the name used in logs.
func (v HeartbeatResult) String() string { return verdictNames[v] }

// Incarnation is the present run.
type Incarnation struct {
	ID          string
	StartedAtMs int64
	State       State
	Slots       int
	WarmUntil   time.Time // end of the time for which it is slow after its start
}

// Tracker is what is known of the upstream. It is not safe for concurrent use.
type Tracker struct {
	service  string
	current  Incarnation
	sequence uint64
	reported time.Time
	left     bool
}

// NewTracker returns a presence that expects runs of a service.
func NewTracker(service string) *Tracker { return &Tracker{service: service} }

// Current returns the present run.
func (p *Tracker) Current() Incarnation {
	if p.left {
		return Incarnation{ID: p.current.ID, StartedAtMs: p.current.StartedAtMs}
	}
	return p.current
}

// LastHeartbeat is the time of the last report that was taken.
func (p *Tracker) LastHeartbeat() time.Time { return p.reported }

// Observe takes a report. A run that has left does not return: its reports are
// stale from then on.
func (p *Tracker) Observe(now time.Time, r Heartbeat) HeartbeatResult {
	if r.Service != p.service {
		return WrongService
	}
	sameRun := r.ID == p.current.ID && r.StartedAtMs == p.current.StartedAtMs
	switch {
	case sameRun && (p.left || r.Sequence <= p.sequence):
		return Stale
	case !sameRun && r.StartedAtMs < p.current.StartedAtMs:
		return Stale
	case !sameRun && r.StartedAtMs == p.current.StartedAtMs && p.current.ID != "" && r.ID < p.current.ID:
		return Stale // two runs that began in the same millisecond are ordered somehow
	}
	if sameRun && p.current.State == Draining {
		r.State = Draining // a run that leaves does not change its mind
	}
	p.current = Incarnation{ID: r.ID, StartedAtMs: r.StartedAtMs, State: r.State, Slots: r.Slots, WarmUntil: now.Add(r.WarmUp)}
	p.sequence, p.reported, p.left = r.Sequence, now, false
	return Accepted
}

// Deregister records that a run has left. It reports whether that was the present
// one.
func (p *Tracker) Deregister(id string) bool {
	if id != p.current.ID || p.current.ID == "" {
		return false
	}
	p.left = true
	return true
}

// ObserveHealthCheck takes the id of a run that answered a health check, for a daemon that
// was started beside a running upstream and has got no report yet. It reports
// whether the run was unknown.
func (p *Tracker) ObserveHealthCheck(id string, slots int, ready bool) bool {
	if p.current.ID != "" || id == "" {
		return false
	}
	p.current = Incarnation{ID: id, State: Ready, Slots: slots}
	if !ready {
		p.current.State = Draining
	}
	return true
}

// ObserveReplacement records that another run answered in place of the present one, which
// has therefore ended.
func (p *Tracker) ObserveReplacement(id string) bool {
	if id == "" || id == p.current.ID {
		return false
	}
	p.left = true
	return true
}
