package feed

import (
	"slices"
	"time"
)

// SubscriberConfig describes the start of a subscriber.
type SubscriberConfig struct {
	Start   time.Time // when the process started
	Sources []string  // sources of the configuration, preferred first
	Relays  []string  // the relays configured for the availability zone of this process
	Relay   bool      // the subscriber is itself a relay
}

// SourceStatus is what a source says of itself in an update.
type SourceStatus struct {
	Echo             uint64        // sequence of the newest request it had received on this stream
	Started          bool          // it has completed its start
	Version          uint64        // newest version it holds
	Confirmed        bool          // the ages and the confirmed version are known
	Age              time.Duration // elapsed since the confirmation, transit not counted
	Bound            time.Duration // upper bound of the age, transit counted
	ConfirmedVersion uint64        // no change accepted before the confirmation has a higher version
}

// SourceChange is a decision to follow another source.
type SourceChange struct {
	From, To string // To is empty when no source is connected
	Reason   SourceChangeReason
}

// SourceChangeReason says why a source was chosen.
type SourceChangeReason string

// The reasons of a choice.
const (
	SourceFirst     SourceChangeReason = "first"        // none was chosen before
	SourceLost      SourceChangeReason = "disconnected" // the stream to the former source broke
	SourceStale     SourceChangeReason = "stale"        // the former source is stale or silent
	SourcePreferred SourceChangeReason = "preferred"    // a source earlier in the order is fresh again
	SourceNewer     SourceChangeReason = "newer"        // no source is fresh, and this one holds a higher version
)

// Subscriber decides, for a daemon or a relay, which source it follows, when
// its start is complete and which version may be in force.
//
// The confirmation of control is tracked twice. freshAt is the receipt of an
// update minus the age it carried; it serves the staleness rule. boundAt is
// the time of the request that the update echoes, minus the bound it carried.
// The update was sent after that request, so the confirmation is not older
// than boundAt, however long the update was in transit. Only boundAt decides
// whether a confirmation was made after the start of this process.
type Subscriber struct {
	cfg     SubscriberConfig
	sources map[string]*source
	chosen  string

	boundAt          time.Time
	boundKnown       bool
	confirmedVersion uint64

	heard      map[string]uint64 // started relay -> highest version it reported since our start
	floor      uint64            // no version in force before our start is above it
	floorKnown bool
	started    bool // relay only: it holds at least floor
}

type source struct {
	connected  bool
	lastAt     time.Time // last update or connect
	heardAny   bool      // an update arrived on this stream
	freshAt    time.Time
	freshKnown bool
	freshFrom  time.Time // since when it is fresh without interruption, zero if it isn't
	version    uint64

	sequence uint64
	sent     []sentRequest
	hold     hold
}

type sentRequest struct {
	sequence uint64
	at       time.Time
}

// NewSubscriber returns a subscriber without connections.
func NewSubscriber(cfg SubscriberConfig) *Subscriber {
	s := &Subscriber{cfg: cfg, sources: map[string]*source{}, heard: map[string]uint64{}}
	for _, name := range slices.Concat(cfg.Sources, cfg.Relays) {
		s.sources[name] = &source{}
	}
	return s
}

// Connected records a new stream to a source. What was known of its holdings
// is dropped: the source may have restarted in between.
func (s *Subscriber) Connected(now time.Time, name string) {
	src := s.sources[name]
	if src == nil {
		return
	}
	*src = source{connected: true, lastAt: now, freshAt: src.freshAt, freshKnown: src.freshKnown}
}

// Disconnected records the end of a stream.
func (s *Subscriber) Disconnected(name string) {
	if src := s.sources[name]; src != nil {
		src.connected = false
		src.hold = hold{}
		src.sent = nil
		src.freshFrom = time.Time{}
	}
}

// NextRequest numbers a request that is about to be sent. The caller must call
// it before the request is handed to the transport.
func (s *Subscriber) NextRequest(now time.Time, name string) uint64 {
	src := s.sources[name]
	if src == nil {
		return 0
	}
	src.sequence++
	src.sent = append(src.sent, sentRequest{src.sequence, now})
	return src.sequence
}

// UpdateReceived records an update.
func (s *Subscriber) UpdateReceived(now time.Time, name string, r SourceStatus) {
	src := s.sources[name]
	if src == nil || !src.connected {
		return
	}
	src.lastAt, src.heardAny = now, true
	src.version = max(src.version, r.Version)
	echoAt, echoed := src.echo(r.Echo)
	if r.Confirmed {
		s.confirmation(now, src, r, echoAt, echoed)
	}
	src.updateFresh(now)
	if r.Started && slices.Contains(s.cfg.Relays, name) {
		src.hold.report(now, r.Version, echoAt, echoed)
		s.heard[name] = max(s.heard[name], r.Version)
	}
	s.findFloor()
}

// echo returns the time at which the echoed request was sent.
func (src *source) echo(sequence uint64) (time.Time, bool) {
	for len(src.sent) > 1 && src.sent[1].sequence <= sequence {
		src.sent = src.sent[1:]
	}
	if len(src.sent) == 0 || src.sent[0].sequence > sequence {
		return time.Time{}, false
	}
	return src.sent[0].at, true
}

func (s *Subscriber) confirmation(now time.Time, src *source, r SourceStatus, echoAt time.Time, echoed bool) {
	if at := now.Add(-r.Age); !src.freshKnown || at.After(src.freshAt) {
		src.freshAt, src.freshKnown = at, true
	}
	if !echoed {
		return
	}
	// Both maxima may come from different updates. The statement "no change
	// accepted before boundAt is above confirmedVersion" stays true.
	if at := echoAt.Add(-r.Bound); !s.boundKnown || at.After(s.boundAt) {
		s.boundAt, s.boundKnown = at, true
	}
	s.confirmedVersion = max(s.confirmedVersion, r.ConfirmedVersion)
}

// findFloor completes the read that a starting process does: a confirmation of
// control made after the start, or the answers of a majority of the configured
// relays that have completed their own start.
func (s *Subscriber) findFloor() {
	if s.floorKnown {
		return
	}
	if s.boundKnown && !s.boundAt.Before(s.cfg.Start) {
		s.floor, s.floorKnown = s.confirmedVersion, true
	}
	if len(s.heard) >= Majority(len(s.cfg.Relays)) {
		for _, version := range s.heard {
			s.floor = max(s.floor, version)
		}
		s.floorKnown = true
	}
}

// Started reports whether a relay that holds version held has completed its
// start. It stays true once it was.
func (s *Subscriber) Started(held uint64) bool {
	if s.floorKnown && held >= s.floor {
		s.started = true
	}
	return s.started
}

// MinVersion returns the lowest version that this process may put in force. ok is
// false while the start is unconfirmed.
func (s *Subscriber) MinVersion() (version uint64, ok bool) { return s.floor, s.floorKnown }

// ActiveVersion returns the highest of the candidates, ascending, that a daemon may
// put in force. probe is true when a majority of relays reported a higher
// candidate, but it is not yet proven that they held it at the same moment:
// the caller then sends a request to each relay that asks for an answer.
func (s *Subscriber) ActiveVersion(candidates []uint64) (version uint64, ok, probe bool) {
	if !s.floorKnown {
		return 0, false, false
	}
	for _, candidate := range slices.Backward(candidates) {
		if candidate < s.floor {
			break
		}
		reported, together := s.holders(candidate)
		if together {
			return candidate, true, probe
		}
		probe = probe || reported
	}
	return 0, false, probe
}

// holders reports whether a majority of relays reported version or a higher
// one, and whether a majority held it at one moment.
func (s *Subscriber) holders(version uint64) (reported, together bool) {
	var spans []span
	count := 0
	for _, name := range s.cfg.Relays {
		sp, seen := s.sources[name].hold.span(version)
		if !seen {
			continue
		}
		count++
		if !sp.to.Before(sp.from) {
			spans = append(spans, sp)
		}
	}
	need := Majority(len(s.cfg.Relays))
	return count >= need, overlap(spans, need)
}

// CompactHistory drops the history of versions below the one in force.
func (s *Subscriber) CompactHistory(version uint64) {
	for _, name := range s.cfg.Relays {
		s.sources[name].hold.forget(version)
	}
}

// Confirmation returns the newest confirmation known, for the updates that a
// relay sends on and for the status of a daemon.
func (s *Subscriber) Confirmation(now time.Time) (age, bound time.Duration, version uint64, ok bool) {
	var fresh time.Time
	for _, src := range s.sources {
		if src.freshKnown && src.freshAt.After(fresh) {
			fresh = src.freshAt
		}
	}
	if fresh.IsZero() || !s.boundKnown {
		return 0, 0, 0, false
	}
	return max(now.Sub(fresh), 0), max(now.Sub(s.boundAt), 0), s.confirmedVersion, true
}

// TimedOutSources lists the sources whose stream is to be opened anew because nothing
// arrived on it for StreamTimeout.
func (s *Subscriber) TimedOutSources(now time.Time) []string {
	var names []string
	for name, src := range s.sources {
		if src.connected && now.Sub(src.lastAt) > StreamTimeout {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
