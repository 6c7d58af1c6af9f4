package feed

import "time"

// Source is the source that is followed now, empty if none.
func (s *Subscriber) Source() string { return s.chosen }

func (src *source) fresh(now time.Time) bool {
	return src.connected && src.heardAny && src.freshKnown && now.Sub(src.freshAt) <= MaxConfirmationAge
}

// awaited reports whether the first update of a new stream is still to come.
// Moving to another source that answers first would fetch everything twice.
func (src *source) awaited(now time.Time) bool {
	return src.connected && !src.heardAny && now.Sub(src.lastAt) <= MaxConfirmationAge
}

func (src *source) updateFresh(now time.Time) {
	switch {
	case !src.fresh(now):
		src.freshFrom = time.Time{}
	case src.freshFrom.IsZero():
		src.freshFrom = now
	}
}

// SelectSource decides which source to follow. changed is false if it stays the
// same. held is the newest version received by this process.
func (s *Subscriber) SelectSource(now time.Time, held uint64) (choice SourceChange, changed bool) {
	for _, src := range s.sources {
		src.updateFresh(now)
	}
	to, reason := s.pick(now, held)
	if to == s.chosen {
		return SourceChange{}, false
	}
	choice = SourceChange{From: s.chosen, To: to, Reason: reason}
	s.chosen = to
	return choice, true
}

func (s *Subscriber) pick(now time.Time, held uint64) (string, SourceChangeReason) {
	current := s.sources[s.chosen]
	if current != nil && current.awaited(now) {
		return s.chosen, ""
	}
	if current != nil && current.fresh(now) {
		for _, name := range s.cfg.Sources {
			if name == s.chosen {
				break
			}
			src := s.sources[name]
			if src.fresh(now) && now.Sub(src.freshFrom) >= FailbackDelay {
				return name, SourcePreferred
			}
		}
		return s.chosen, ""
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
	return s.pickStale(held, current, reason)
}

// pickStale chooses when no source is fresh: a connected one that holds a
// higher version than we do, otherwise the current one, otherwise the first
// that is connected.
func (s *Subscriber) pickStale(held uint64, current *source, reason SourceChangeReason) (string, SourceChangeReason) {
	best, highest := "", held
	if current != nil && current.connected {
		best = s.chosen
		highest = max(held, current.version)
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
