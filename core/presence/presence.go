// Package presence follows the upstream beside a daemon by the reports that it
// sends: which run of it is the present one, and whether it takes work. Reports
// may come late, out of order and from runs that have ended.
package presence

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

// Report is what an upstream says of itself.
type Report struct {
	ID       string
	Born     int64  // Unix milliseconds of the start of this run
	Sequence uint64 // grows with each report of a run
	Service  string
	State    State // Ready or Draining
	Slots    int
	WarmUp   time.Duration // how long the upstream stays slow after its start
}

// Verdict tells what became of a report.
type Verdict uint8

// The verdicts.
const (
	Taken   Verdict = iota // it describes the present run
	Stale                  // a newer report, or a newer run, is known
	Foreign                // it names a service that does not run here
)

var verdictNames = [...]string{"taken", "stale", "foreign"}

// String returns the name used in logs.
func (v Verdict) String() string { return verdictNames[v] }

// Upstream is the present run.
type Upstream struct {
	ID       string
	Born     int64
	State    State
	Slots    int
	WarmUpTo time.Time // end of the time for which it is slow after its start
}

// Presence is what is known of the upstream. It is not safe for concurrent use.
type Presence struct {
	service  string
	current  Upstream
	sequence uint64
	reported time.Time
	left     bool
}

// New returns a presence that expects runs of a service.
func New(service string) *Presence { return &Presence{service: service} }

// Current returns the present run.
func (p *Presence) Current() Upstream {
	if p.left {
		return Upstream{ID: p.current.ID, Born: p.current.Born}
	}
	return p.current
}

// ReportedAt is the time of the last report that was taken.
func (p *Presence) ReportedAt() time.Time { return p.reported }

// Take takes a report. A run that has left does not return: its reports are
// stale from then on.
func (p *Presence) Take(now time.Time, r Report) Verdict {
	if r.Service != p.service {
		return Foreign
	}
	sameRun := r.ID == p.current.ID && r.Born == p.current.Born
	switch {
	case sameRun && (p.left || r.Sequence <= p.sequence):
		return Stale
	case !sameRun && r.Born < p.current.Born:
		return Stale
	case !sameRun && r.Born == p.current.Born && p.current.ID != "" && r.ID < p.current.ID:
		return Stale // two runs that began in the same millisecond are ordered somehow
	}
	if sameRun && p.current.State == Draining {
		r.State = Draining // a run that leaves does not change its mind
	}
	p.current = Upstream{ID: r.ID, Born: r.Born, State: r.State, Slots: r.Slots, WarmUpTo: now.Add(r.WarmUp)}
	p.sequence, p.reported, p.left = r.Sequence, now, false
	return Taken
}

// Leave records that a run has left. It reports whether that was the present
// one.
func (p *Presence) Leave(id string) bool {
	if id != p.current.ID || p.current.ID == "" {
		return false
	}
	p.left = true
	return true
}

// Probed takes the id of a run that answered a health check, for a daemon that
// was started beside a running upstream and has got no report yet. It reports
// whether the run was unknown.
func (p *Presence) Probed(id string, slots int, ready bool) bool {
	if p.current.ID != "" || id == "" {
		return false
	}
	p.current = Upstream{ID: id, State: Ready, Slots: slots}
	if !ready {
		p.current.State = Draining
	}
	return true
}

// Replaced records that another run answered in place of the present one, which
// has therefore ended.
func (p *Presence) Replaced(id string) bool {
	if id == "" || id == p.current.ID {
		return false
	}
	p.left = true
	return true
}
