package feed

import (
	"slices"
	"time"
)

// SubscriberConfig holds the settings of a subscriber.
type SubscriberConfig struct {
	Start   time.Time // when the process started
	Sources []string  // sources of the configuration, preferred first
	Relays  []string  // the relays configured for the availability zone of this process
	Relay   bool      // the subscriber is itself a relay
}

// SourceStatus is the status that a source reports in an update.
type SourceStatus struct {
	Echo             uint64        // sequence of the newest request received on this stream
	Started          bool          // the source has completed its start
	Version          uint64        // newest version of the source
	Confirmed        bool          // Age, Bound and ConfirmedVersion are set
	Age              time.Duration // time since the confirmation, without transit times
	Bound            time.Duration // upper bound of the time since the confirmation, with transit times
	ConfirmedVersion uint64        // no change accepted before the confirmation has a higher version
}

// SourceChange is a decision to follow another source.
type SourceChange struct {
	From, To string // To is empty when no source is connected
	Reason   SourceChangeReason
}

// SourceChangeReason is the reason for a change of source.
type SourceChangeReason string

// The reasons for a change of source.
const (
	SourceFirst     SourceChangeReason = "first"        // no source was selected before
	SourceLost      SourceChangeReason = "disconnected" // the stream to the former source broke
	SourceStale     SourceChangeReason = "stale"        // the former source is stale or unresponsive
	SourcePreferred SourceChangeReason = "preferred"    // a preferred source is fresh again
	SourceNewer     SourceChangeReason = "newer"        // no source is fresh, and this one has a higher version
)

// Subscriber decides, for a daemon or a relay, which source it follows, when its
// start is complete and which version may be active.
//
// Two times of the newest confirmation of control are tracked. confirmedAt is the
// arrival of an update minus the age in it; it decides whether a source is stale.
// minConfirmedAt is the send time of the request that the update echoes minus the
// bound in it. The update was sent after that request, so the confirmation is not
// older than minConfirmedAt, however long the update was in transit. Only
// minConfirmedAt decides whether a confirmation was made after the start of this
// process.
type Subscriber struct {
	cfg      SubscriberConfig
	sources  map[string]*source
	selected string

	minConfirmedAt      time.Time // lower bound of the time of the newest confirmation
	minConfirmedAtKnown bool
	confirmedVersion    uint64 // no change accepted before minConfirmedAt has a higher version

	relayVersions   map[string]uint64 // by started relay: highest version it reported
	minVersion      uint64            // at least as high as any version that was active before the start
	minVersionKnown bool
	started         bool // relay only: it has had at least minVersion
}

// source is the state of one source and of the current stream from it.
type source struct {
	connected    bool
	lastActivity time.Time // last update or connect
	updated      bool      // an update arrived on this stream
	confirmedAt  time.Time // time of the newest confirmation, see Subscriber
	confirmed    bool      // confirmedAt is set
	freshSince   time.Time // time since which the source is fresh, zero if it is not
	version      uint64    // highest version reported on this stream

	sequence     uint64
	sentRequests []sentRequest
	history      versionHistory
}

// sentRequest is the send time of a request.
type sentRequest struct {
	sequence uint64
	at       time.Time
}

// NewSubscriber returns a subscriber without connections.
func NewSubscriber(cfg SubscriberConfig) *Subscriber {
	s := &Subscriber{cfg: cfg, sources: map[string]*source{}, relayVersions: map[string]uint64{}}
	for _, name := range slices.Concat(cfg.Sources, cfg.Relays) {
		s.sources[name] = &source{}
	}
	return s
}

// Connected records a new stream to a source. The versions reported on the former
// stream are dropped: the source may have restarted since.
func (s *Subscriber) Connected(now time.Time, name string) {
	src := s.sources[name]
	if src == nil {
		return
	}
	*src = source{connected: true, lastActivity: now, confirmedAt: src.confirmedAt, confirmed: src.confirmed}
}

// Disconnected records the end of a stream.
func (s *Subscriber) Disconnected(name string) {
	if src := s.sources[name]; src != nil {
		src.connected = false
		src.history = versionHistory{}
		src.sentRequests = nil
		src.freshSince = time.Time{}
	}
}

// NextRequest returns the sequence of a request and records its send time. The
// caller must call it before it passes the request to the transport.
func (s *Subscriber) NextRequest(now time.Time, name string) uint64 {
	src := s.sources[name]
	if src == nil {
		return 0
	}
	src.sequence++
	src.sentRequests = append(src.sentRequests, sentRequest{src.sequence, now})
	return src.sequence
}

// UpdateReceived records the status in an update from a source.
func (s *Subscriber) UpdateReceived(now time.Time, name string, status SourceStatus) {
	src := s.sources[name]
	if src == nil || !src.connected {
		return
	}
	src.lastActivity, src.updated = now, true
	src.version = max(src.version, status.Version)
	echoAt, echoed := src.echoedRequestTime(status.Echo)
	if status.Confirmed {
		s.recordConfirmation(now, src, status, echoAt, echoed)
	}
	src.updateFreshSince(now)
	if status.Started && slices.Contains(s.cfg.Relays, name) {
		src.history.record(now, status.Version, echoAt, echoed)
		s.relayVersions[name] = max(s.relayVersions[name], status.Version)
	}
	s.determineMinVersion()
}

// echoedRequestTime returns the time at which the echoed request was sent.
func (src *source) echoedRequestTime(sequence uint64) (time.Time, bool) {
	for len(src.sentRequests) > 1 && src.sentRequests[1].sequence <= sequence {
		src.sentRequests = src.sentRequests[1:]
	}
	if len(src.sentRequests) == 0 || src.sentRequests[0].sequence > sequence {
		return time.Time{}, false
	}
	return src.sentRequests[0].at, true
}

// recordConfirmation updates the times and the version of the newest confirmation.
func (s *Subscriber) recordConfirmation(now time.Time, src *source, status SourceStatus, echoAt time.Time, echoed bool) {
	if at := now.Add(-status.Age); !src.confirmed || at.After(src.confirmedAt) {
		src.confirmedAt, src.confirmed = at, true
	}
	if !echoed {
		return
	}
	// The two maxima may come from different updates. No change accepted before
	// minConfirmedAt has a version above confirmedVersion even then.
	if at := echoAt.Add(-status.Bound); !s.minConfirmedAtKnown || at.After(s.minConfirmedAt) {
		s.minConfirmedAt, s.minConfirmedAtKnown = at, true
	}
	s.confirmedVersion = max(s.confirmedVersion, status.ConfirmedVersion)
}

// determineMinVersion sets minVersion once it can be determined: from a
// confirmation of control made after the start, or from the versions of a majority
// of the configured relays that have completed their own start.
func (s *Subscriber) determineMinVersion() {
	if s.minVersionKnown {
		return
	}
	if s.minConfirmedAtKnown && !s.minConfirmedAt.Before(s.cfg.Start) {
		s.minVersion, s.minVersionKnown = s.confirmedVersion, true
	}
	if len(s.relayVersions) >= Majority(len(s.cfg.Relays)) {
		for _, version := range s.relayVersions {
			s.minVersion = max(s.minVersion, version)
		}
		s.minVersionKnown = true
	}
}

// Started reports whether a relay with version local has completed its start. Once
// true, it stays true.
func (s *Subscriber) Started(local uint64) bool {
	if s.minVersionKnown && local >= s.minVersion {
		s.started = true
	}
	return s.started
}

// MinVersion returns the lowest version that this process may activate. ok is false
// until it is determined.
func (s *Subscriber) MinVersion() (version uint64, ok bool) { return s.minVersion, s.minVersionKnown }

// VersionToActivate returns the highest of the candidates, ascending, that a daemon may
// activate: a majority of relays had it, or a higher version, at the same moment.
// probe is true if a majority reported a higher candidate, but not provably at the
// same moment: the caller then sends a request to each relay that asks for an
// update.
func (s *Subscriber) VersionToActivate(candidates []uint64) (version uint64, ok, probe bool) {
	if !s.minVersionKnown {
		return 0, false, false
	}
	for _, candidate := range slices.Backward(candidates) {
		if candidate < s.minVersion {
			break
		}
		reported, simultaneous := s.reportedByMajority(candidate)
		if simultaneous {
			return candidate, true, probe
		}
		probe = probe || reported
	}
	return 0, false, probe
}

// reportedByMajority reports whether a majority of relays reported version or a higher
// one, and whether a majority provably had it at the same moment.
func (s *Subscriber) reportedByMajority(version uint64) (reported, simultaneous bool) {
	var intervals []interval
	count := 0
	for _, name := range s.cfg.Relays {
		iv, seen := s.sources[name].history.interval(version)
		if !seen {
			continue
		}
		count++
		if !iv.to.Before(iv.from) {
			intervals = append(intervals, iv)
		}
	}
	need := Majority(len(s.cfg.Relays))
	return count >= need, haveCommonMoment(intervals, need)
}

// CompactHistory removes the history of versions below the active one.
func (s *Subscriber) CompactHistory(version uint64) {
	for _, name := range s.cfg.Relays {
		s.sources[name].history.compact(version)
	}
}

// Confirmation returns the newest confirmation, for the updates that a relay sends
// and for the status of a daemon. ok is false if there is none.
func (s *Subscriber) Confirmation(now time.Time) (age, bound time.Duration, version uint64, ok bool) {
	var newest time.Time
	for _, src := range s.sources {
		if src.confirmed && src.confirmedAt.After(newest) {
			newest = src.confirmedAt
		}
	}
	if newest.IsZero() || !s.minConfirmedAtKnown {
		return 0, 0, 0, false
	}
	return max(now.Sub(newest), 0), max(now.Sub(s.minConfirmedAt), 0), s.confirmedVersion, true
}

// TimedOutSources returns the sources whose stream received no update for
// StreamTimeout. The caller reopens these streams.
func (s *Subscriber) TimedOutSources(now time.Time) []string {
	var names []string
	for name, src := range s.sources {
		if src.connected && now.Sub(src.lastActivity) > StreamTimeout {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
