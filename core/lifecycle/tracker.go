// Package lifecycle tracks the upstream on the VM of a daemon by its heartbeats and health
// checks: which incarnation is the current one, and whether it accepts requests. Heartbeats may
// arrive late, out of order and from incarnations that are leaving or have ended.
//
// Invariant: an incarnation becomes Ready only by a heartbeat that it has sent since this daemon
// started, so that the daemon would know of a later departure, or by a health check that began after
// all departures that the daemon knows of. A daemon that was restarted does not know those that its
// predecessor acknowledged, and a heartbeat does not say when it was sent. The exception is a daemon
// that cannot check the health of its upstream yet.
package lifecycle

import "time"

// State is the state of the upstream.
type State uint8

// The states of an upstream.
const (
	Absent      State = iota // no incarnation is known, or the last one deregistered
	Ready                    // accepts requests
	Draining                 // completes its requests in flight and deregisters
	Unconfirmed              // its heartbeats may be older than its departure
)

var stateNames = [...]string{"absent", "ready", "draining", "unconfirmed"}

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

const (
	// MaxHeartbeatDelay is the time within which a heartbeat arrives, if it does, without the time for
	// which its receiver was frozen.
	MaxHeartbeatDelay = 10 * time.Second
	// maxTickInterval is the longest interval between two calls of Tick while the daemon runs. A longer
	// one means that it was frozen.
	maxTickInterval = 2 * time.Second
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

// confirmation says how it is known that an incarnation which reports to be ready has not left.
type confirmation uint8

const (
	unconfirmed confirmation = iota // not known: its heartbeats may be older than its departure
	assumed                         // not known, but no health check has been possible
	confirmed                       // by a heartbeat that is new enough, or by a health check
)

// Tracker tracks the current incarnation of the upstream. It is not safe for concurrent use.
type Tracker struct {
	service       string
	current       Incarnation // with the state that its last heartbeat reported
	confirmation  confirmation
	sequence      uint64
	lastHeartbeat time.Time
	deregistered  bool
	departures    uint64        // number of observed departures: draining heartbeats and deregistrations
	lastDeparted  string        // id that deregistered last, whether or not it was the current one
	departedAt    time.Duration // value of runningTime
	responder     string        // id that responded in place of the current incarnation, empty if none did

	lastTick time.Time
	ran      time.Duration // from the start of the daemon to lastTick, without freezes
}

// NewTracker returns a Tracker for upstreams of a service, at the start of the daemon.
func NewTracker(now time.Time, service string) *Tracker {
	return &Tracker{service: service, lastTick: now}
}

// Tick records that the daemon is running. A frozen daemon does not read the heartbeats that arrive, so
// the time of a freeze does not make them newer.
func (t *Tracker) Tick(now time.Time) { t.ran, t.lastTick = t.runningTime(now), now }

// runningTime returns for how long the daemon has been running, without freezes.
func (t *Tracker) runningTime(now time.Time) time.Duration {
	return t.ran + min(now.Sub(t.lastTick), maxTickInterval)
}

// Current returns the current incarnation. Its state is Absent after it has deregistered.
func (t *Tracker) Current() Incarnation {
	if t.deregistered {
		return Incarnation{ID: t.current.ID, StartedAtMs: t.current.StartedAtMs}
	}
	u := t.current
	if u.State == Ready && t.confirmation == unconfirmed {
		u.State = Unconfirmed
	}
	return u
}

// LastHeartbeat returns the time of the last accepted heartbeat.
func (t *Tracker) LastHeartbeat() time.Time { return t.lastHeartbeat }

// Observe processes a heartbeat. After an incarnation has deregistered, its heartbeats are
// stale. checkable is set if the upstream's health can be checked. Until it can, for example
// before the first configuration, a heartbeat that may be old is taken at its word, so that an outage
// of control does not take upstreams out of service.
func (t *Tracker) Observe(now time.Time, h Heartbeat, checkable bool) HeartbeatResult {
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
	if h.State == Draining {
		t.departures++
	}
	if sameIncarnation && t.current.State == Draining {
		h.State = Draining
	}
	if sameIncarnation {
		h.Sequence = max(h.Sequence, t.sequence)
	} else if !t.foundByHealthCheck(h.ID) {
		t.confirmation = unconfirmed
	}
	switch {
	case !t.mayPrecedeDeparture(now, h.ID):
		t.confirmation = confirmed
	case t.confirmation == unconfirmed && !checkable && h.ID != t.lastDeparted:
		t.confirmation = assumed
	}
	t.current = Incarnation{ID: h.ID, StartedAtMs: h.StartedAtMs, State: h.State, Slots: h.Slots, WarmUntil: now.Add(h.WarmUp)}
	t.sequence, t.lastHeartbeat, t.deregistered, t.responder = h.Sequence, now, false, ""
	return Accepted
}

// mayPrecedeDeparture reports whether the sender of a heartbeat that arrives now may have left after it
// sent the heartbeat: either before the daemon started, or when the daemon did not know which of its
// incarnations left.
func (t *Tracker) mayPrecedeDeparture(now time.Time, id string) bool {
	ran := t.runningTime(now)
	return ran < MaxHeartbeatDelay || id == t.lastDeparted && ran-t.departedAt < MaxHeartbeatDelay
}

// foundByHealthCheck reports whether the current incarnation has the given id, was found by a health
// check and has not left since. The heartbeat of such an id adds the start of the incarnation.
func (t *Tracker) foundByHealthCheck(id string) bool {
	return id == t.current.ID && t.current.StartedAtMs == 0 && !t.deregistered
}

// Deregister records that an incarnation has deregistered. It reports whether that was the
// current one.
func (t *Tracker) Deregister(now time.Time, id string) bool {
	t.departures++
	t.lastDeparted, t.departedAt = id, t.runningTime(now)
	if id != t.current.ID || t.current.ID == "" {
		return false
	}
	t.deregistered = true
	return true
}

// HealthCheck is a health check of the upstream that has begun. Its result holds only if there was no
// news of the upstream since then: the response may be older than the news.
type HealthCheck struct {
	departures  uint64
	id          string // of the current incarnation
	startedAtMs int64
}

// HealthCheckResult is what a health check says about the upstream that responded.
type HealthCheckResult uint8

// The results of a health check that got a response.
const (
	CheckNotReady HealthCheckResult = iota // the upstream is leaving or unhealthy
	CheckReady                             // the upstream is not leaving
	CheckUnusable                          // the upstream has no health check, so its heartbeats have to do
)

var checkResultNames = [...]string{"not-ready", "ready", "unusable"}

// String returns the name used in logs and metrics.
func (r HealthCheckResult) String() string { return checkResultNames[r] }

// NeedsHealthCheck reports whether a health check would tell something: no incarnation is known,
// for example because this daemon has just been restarted, or the current one is not confirmed.
func (t *Tracker) NeedsHealthCheck() bool {
	if t.current.ID == "" {
		return true
	}
	return !t.deregistered && t.current.State == Ready && t.confirmation != confirmed
}

// BeginHealthCheck returns a health check that is about to be sent.
func (t *Tracker) BeginHealthCheck() HealthCheck {
	return HealthCheck{departures: t.departures, id: t.current.ID, startedAtMs: t.current.StartedAtMs}
}

// IsCurrent reports whether neither a departure nor another incarnation was observed since a health
// check began.
func (t *Tracker) IsCurrent(check HealthCheck) bool { return check == t.BeginHealthCheck() }

// ObserveHealthCheck processes the result of a health check and the id of the incarnation that
// responded, empty if the response did not state it.
func (t *Tracker) ObserveHealthCheck(check HealthCheck, id string, slots int, result HealthCheckResult) {
	if !t.IsCurrent(check) || !t.NeedsHealthCheck() {
		return
	}
	other := id != "" && id != t.current.ID && result != CheckUnusable
	switch {
	case other:
		t.current, t.sequence = Incarnation{ID: id, State: Ready, Slots: slots}, 0
	case t.current.ID == "":
		return // the response does not say which upstream runs here
	}
	t.confirmation = confirmed
	if result == CheckNotReady {
		t.confirmation = unconfirmed
	}
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
