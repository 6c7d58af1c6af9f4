package feed

import "time"

// versionHistory records the versions that one relay reported on one stream. A
// stream belongs to one incarnation of the relay, within which its version never
// decreases.
type versionHistory struct {
	steps         []versionStep // first update with each version, ascending
	echoAt        time.Time     // send time of the newest echoed request
	echoedVersion uint64        // version in the update that echoed this request
	echoed        bool          // an update has echoed a request
}

// versionStep is the arrival of the first update with a version.
type versionStep struct {
	version uint64
	at      time.Time
}

// interval is a period during which a relay certainly had a version: from the
// arrival of the first update with it to the sending of the last echoed request,
// which the relay received later.
type interval struct{ from, to time.Time }

// record adds the version of an update that arrived now. echoAt is the send time of
// the request that the update echoes, if echoed is set.
func (h *versionHistory) record(now time.Time, version uint64, echoAt time.Time, echoed bool) {
	if n := len(h.steps); n == 0 || version > h.steps[n-1].version {
		h.steps = append(h.steps, versionStep{version, now})
	}
	if echoed {
		h.echoAt, h.echoedVersion, h.echoed = echoAt, version, true
	}
}

// interval returns the interval of version or any higher one; seen is false if the
// relay has not reported any. The interval is empty (to before from) until a request
// is echoed that was sent after the first update with the version arrived.
func (h *versionHistory) interval(version uint64) (iv interval, seen bool) {
	for _, step := range h.steps {
		if step.version >= version {
			iv.from = step.at
			if h.echoed && h.echoedVersion >= version {
				iv.to = h.echoAt
			}
			return iv, true
		}
	}
	return interval{}, false
}

// compact removes the steps of versions below the given one, but not the last step.
func (h *versionHistory) compact(version uint64) {
	for len(h.steps) > 1 && h.steps[0].version < version {
		h.steps = h.steps[1:]
	}
}

// haveCommonMoment reports whether at least need intervals contain the same moment.
func haveCommonMoment(intervals []interval, need int) bool {
	for _, candidate := range intervals {
		count := 0
		for _, iv := range intervals {
			if !iv.from.After(candidate.from) && !iv.to.Before(candidate.from) {
				count++
			}
		}
		if count >= need {
			return true
		}
	}
	return false
}
