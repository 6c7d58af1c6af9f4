package feed

import "time"

// hold records what one relay reported on one stream. A stream belongs to one
// run of the relay, and a relay's version never decreases within a run.
type hold struct {
	steps  []step    // first report of each version, ascending
	echoAt time.Time // send time of the newest echoed request
	top    uint64    // version reported together with echoAt
	echoed bool
}

type step struct {
	version uint64
	at      time.Time
}

// span is a period during which a relay held a version for certain: it held it
// when the report arrived, and still when it received the echoed request.
type span struct{ from, to time.Time }

func (h *hold) report(now time.Time, version uint64, echoAt time.Time, echoed bool) {
	if n := len(h.steps); n == 0 || version > h.steps[n-1].version {
		h.steps = append(h.steps, step{version, now})
	}
	if echoed {
		h.echoAt, h.top, h.echoed = echoAt, version, true
	}
}

// span returns the period of version or any higher one; seen is false if the
// relay never reported it. The period is empty (to before from) until a
// request sent after the first report was echoed.
func (h *hold) span(version uint64) (sp span, seen bool) {
	for _, st := range h.steps {
		if st.version >= version {
			sp.from = st.at
			if h.echoed && h.top >= version {
				sp.to = h.echoAt
			}
			return sp, true
		}
	}
	return span{}, false
}

// forget drops steps that only matter for versions below the given one.
func (h *hold) forget(version uint64) {
	for len(h.steps) > 1 && h.steps[0].version < version {
		h.steps = h.steps[1:]
	}
}

// overlap reports whether at least need spans contain one common moment.
func overlap(spans []span, need int) bool {
	for _, candidate := range spans {
		count := 0
		for _, sp := range spans {
			if !sp.from.After(candidate.from) && !sp.to.Before(candidate.from) {
				count++
			}
		}
		if count >= need {
			return true
		}
	}
	return false
}
