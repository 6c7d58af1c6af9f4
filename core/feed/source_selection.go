package feed

import "time"

// Source returns the source that is selected now, empty if none.
func (s *Subscriber) Source() string { return s.selected }

// fresh reports whether the stream of src has received an update and the
// confirmation of src is not older than MaxConfirmationAge.
func (src *source) fresh(now time.Time) bool {
	return src.connected && src.updated && src.confirmed && now.Sub(src.confirmedAt) <= MaxConfirmationAge
}

// awaitingFirstUpdate reports whether src was connected at most MaxConfirmationAge
// ago and its new stream has not received an update. A change to another source
// that responds earlier would transfer everything twice.
func (src *source) awaitingFirstUpdate(now time.Time) bool {
	return src.connected && !src.updated && now.Sub(src.lastActivity) <= MaxConfirmationAge
}

// updateFreshSince sets or clears the time since which src is fresh.
func (src *source) updateFreshSince(now time.Time) {
	switch {
	case !src.fresh(now):
		src.freshSince = time.Time{}
	case src.freshSince.IsZero():
		src.freshSince = now
	}
}

// SelectSource selects the source to follow. changed is false if it stays the same.
// local is the newest version that this process has received.
func (s *Subscriber) SelectSource(now time.Time, local uint64) (change SourceChange, changed bool) {
	for _, src := range s.sources {
		src.updateFreshSince(now)
	}
	to, reason := s.chooseSource(now, local)
	if to == s.selected {
		return SourceChange{}, false
	}
	change = SourceChange{From: s.selected, To: to, Reason: reason}
	s.selected = to
	return change, true
}

// chooseSource returns the source to follow and the reason for a change: a source
// that is preferred over the fresh current one and fresh for FailbackDelay, else the
// current one if it is fresh, else the first fresh one.
func (s *Subscriber) chooseSource(now time.Time, local uint64) (string, SourceChangeReason) {
	current := s.sources[s.selected]
	if current != nil && current.awaitingFirstUpdate(now) {
		return s.selected, ""
	}
	if current != nil && current.fresh(now) {
		for _, name := range s.cfg.Sources {
			if name == s.selected {
				break
			}
			src := s.sources[name]
			if src.fresh(now) && now.Sub(src.freshSince) >= FailbackDelay {
				return name, SourcePreferred
			}
		}
		return s.selected, ""
	}
	reason := SourceFirst
	switch {
	case current != nil && current.connected:
		reason = SourceStale
	case current != nil:
		reason = SourceLost
	}
	for _, name := range s.cfg.Sources {
		if s.sources[name].fresh(now) {
			return name, reason
		}
	}
	return s.chooseStaleSource(local, current, reason)
}

// chooseStaleSource chooses when no source is fresh: a connected one whose version
// is higher than the local one and that of the current source, otherwise the
// current one, otherwise the first connected one.
func (s *Subscriber) chooseStaleSource(local uint64, current *source, reason SourceChangeReason) (string, SourceChangeReason) {
	best, highest := "", local
	if current != nil && current.connected {
		best = s.selected
		highest = max(local, current.version)
	}
	for _, name := range s.cfg.Sources {
		src := s.sources[name]
		if !src.connected {
			continue
		}
		if best == "" {
			best = name
		}
		if src.version > highest {
			best, highest, reason = name, src.version, SourceNewer
		}
	}
	return best, reason
}
