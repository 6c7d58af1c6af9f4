// Package lifecycle tracks the upstream on the VM of a daemon by its heartbeats: which
// incarnation is the current one, and whether it accepts requests. Heartbeats may arrive
// late, out of order and from incarnations that have ended.
package lifecycle

import "time"

// State is the state of the upstream.
type State uint8

// The states of an upstream.
const (
	Absent   State = iota // no incarnation is known, or the last one deregistered
	Ready                 // accepts requests
	Draining              // completes its requests in flight and deregisters
)

var stateNames = [...]string{"absent", "ready", "draining"}

// String returns the name used in logs.
func (s State) String() string { return stateNames[s] }

// Limits of what a heartbeat may say. A value beyond them cannot come from an upstream, and would
// stay in effect until the next incarnation.
const (
	// MaxSlots is the maximum concurrency of an upstream. More requests in flight exceed the
	// descriptors of a VM.
	MaxSlots = 1 << 16
	// MaxWarmUp is the maximum time for which a started upstream is slow.
	MaxWarmUp = 10 * time.Minute
	// MaxSequence is the largest integer that every JSON implementation represents exactly.
	MaxSequence = 1<<53 - 1
	// MaxStartedAtMs is the start of the year 2100. A later start would make each further
	// incarnation older than the one that claims it.
	MaxStartedAtMs = 4_102_444_800_000
	// MaxIDBytes is the maximum length of the id of an upstream, which is sent with each request.
	MaxIDBytes = 256
)

// ValidID reports whether the id of an upstream can be sent in a header and in the messages between
// daemons.
func ValidID(id string) bool {
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= MaxIDBytes
}

// Heartbeat is a status message of an upstream to its daemon.
type Heartbeat struct {
	ID          string
	StartedAtMs int64  // start of this incarnation, Unix milliseconds
	Sequence    uint64 // increases with each heartbeat of an incarnation
	Service     string
	State       State // Ready or Draining
	Slots       int
	WarmUp      time.Duration // how long the upstream is slow after its start
}

// HeartbeatResult is the result of processing a heartbeat.
type HeartbeatResult uint8

// The results of a heartbeat.
const (
	Accepted     HeartbeatResult = iota // the heartbeat describes the current incarnation
	Stale                               // a newer heartbeat or a newer incarnation is known
	WrongService                        // the heartbeat names another service than that of the local upstream
)

var resultNames = [...]string{"taken", "stale", "foreign"}

// String returns the name used in logs.
func (r HeartbeatResult) String() string { return resultNames[r] }

// Incarnation is one lifetime of the upstream process.
type Incarnation struct {
	ID          string
	StartedAtMs int64
	State       State
	Slots       int
	WarmUntil   time.Time // end of the warm-up
}

// Tracker tracks the current incarnation of the upstream. It is not safe for concurrent use.
type Tracker struct {
	service       string
	current       Incarnation
	sequence      uint64
	lastHeartbeat time.Time
	deregistered  bool
	responder     string // id that responded in place of the current incarnation, empty if none did
}

// NewTracker returns a Tracker for upstreams of a service.
func NewTracker(service string) *Tracker { return &Tracker{service: service} }

// Current returns the current incarnation. Its state is Absent after it has deregistered.
func (t *Tracker) Current() Incarnation {
	if t.deregistered {
		return Incarnation{ID: t.current.ID, StartedAtMs: t.current.StartedAtMs}
	}
	return t.current
}

// LastHeartbeat returns the time of the last accepted heartbeat.
func (t *Tracker) LastHeartbeat() time.Time { return t.lastHeartbeat }

// Observe processes a heartbeat. After an incarnation has deregistered, its heartbeats are
// stale.
func (t *Tracker) Observe(now time.Time, h Heartbeat) HeartbeatResult {
	if h.Service != t.service {
		return WrongService
	}
	sameIncarnation := h.ID == t.current.ID && h.StartedAtMs == t.current.StartedAtMs
	switch {
	case sameIncarnation && t.deregistered:
		return Stale
	case sameIncarnation && h.Sequence <= t.sequence && h.State != Draining:
		return Stale // draining is final, so it holds in whatever order it arrives
	case !sameIncarnation && h.StartedAtMs < t.current.StartedAtMs && h.ID != t.responder:
		return Stale // unless this incarnation is known to run in place of the current one
	case !sameIncarnation && h.StartedAtMs == t.current.StartedAtMs && t.current.ID != "" && h.ID < t.current.ID:
		return Stale // ids order incarnations that started in the same millisecond
	}
	if sameIncarnation && t.current.State == Draining {
		h.State = Draining
	}
	if sameIncarnation {
		h.Sequence = max(h.Sequence, t.sequence)
	}
	t.current = Incarnation{ID: h.ID, StartedAtMs: h.StartedAtMs, State: h.State, Slots: h.Slots, WarmUntil: now.Add(h.WarmUp)}
	t.sequence, t.lastHeartbeat, t.deregistered, t.responder = h.Sequence, now, false, ""
	return Accepted
}

// Deregister records that an incarnation has deregistered. It reports whether that was the
// current one.
func (t *Tracker) Deregister(id string) bool {
	if id != t.current.ID || t.current.ID == "" {
		return false
	}
	t.deregistered = true
	return true
}

// ObserveHealthCheck processes the id of an incarnation that responded to a health check. It
// lets a daemon that starts while the upstream is already running serve before the first
// heartbeat. It reports whether the incarnation became the current one, which is the case only
// if none was known.
func (t *Tracker) ObserveHealthCheck(id string, slots int, ready bool) bool {
	if t.current.ID != "" || id == "" {
		return false
	}
	t.current = Incarnation{ID: id, State: Ready, Slots: slots}
	if !ready {
		t.current.State = Draining
	}
	return true
}

// ObserveReplacement records that another incarnation responded at the address of the current
// one, which has therefore ended, or never ran here. It returns false and has no effect if the id
// is empty or that of the current incarnation.
func (t *Tracker) ObserveReplacement(id string) bool {
	if id == "" || id == t.current.ID {
		return false
	}
	t.deregistered, t.responder = true, id
	return true
}
