package relay

import (
	"slices"
	"strings"
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// refreshRounds is the number of requests to control over which a relay spreads the statuses
// that have not changed, so that they are not sent in bursts.
const refreshRounds = 10

// daemonStatuses holds the last status of each daemon, with the time at which it was reported.
type daemonStatuses struct {
	byID  map[string]*statusEntry
	round uint32
}

// statusEntry is the last status of one daemon.
type statusEntry struct {
	status      *api.DaemonStatus
	reportedAt  time.Time // by the local clock
	confirmedAt time.Time // time of the newest quorum confirmation at the daemon, zero if none
	changed     bool      // since it was last sent
	slot        uint32    // round in which an unchanged status is sent
}

func newDaemonStatuses() *daemonStatuses { return &daemonStatuses{byID: map[string]*statusEntry{}} }

// record stores a status whose ages count back from now. A status that is older than the stored
// one, because it was forwarded over a slower path, has no effect.
func (r *daemonStatuses) record(now time.Time, s *api.DaemonStatus) {
	at := now.Add(-fromMillis(s.GetAgeMs()))
	e := r.byID[s.GetId()]
	if e == nil {
		e = &statusEntry{changed: true, slot: uint32(len(r.byID)) % refreshRounds}
		r.byID[s.GetId()] = e
	} else if at.Before(e.reportedAt) {
		return
	} else if e.status.GetVersion() != s.GetVersion() || e.status.GetState() != s.GetState() {
		e.changed = true
	}
	e.status, e.reportedAt, e.confirmedAt = s, at, time.Time{}
	if s.GetConfirmationAgeMs() >= 0 {
		e.confirmedAt = now.Add(-fromMillis(s.GetConfirmationAgeMs()))
	}
}

// expire evicts the statuses older than daemonStatusRetention.
func (r *daemonStatuses) expire(now time.Time) {
	for id, e := range r.byID {
		if now.Sub(e.reportedAt) > daemonStatusRetention {
			delete(r.byID, id)
		}
	}
}

// withAges returns a copy of the status with its ages at now.
func (e *statusEntry) withAges(now time.Time) *api.DaemonStatus {
	s := &api.DaemonStatus{
		Id:                e.status.GetId(),
		Service:           e.status.GetService(),
		AvailabilityZone:  e.status.GetAvailabilityZone(),
		Version:           e.status.GetVersion(),
		State:             e.status.GetState(),
		AgeMs:             max(millis(now.Sub(e.reportedAt)), 0),
		ConfirmationAgeMs: -1,
	}
	if !e.confirmedAt.IsZero() {
		s.ConfirmationAgeMs = max(millis(now.Sub(e.confirmedAt)), 0)
	}
	return s
}

// nextBatch returns the statuses for one request: those that have changed, and one of
// refreshRounds parts of the others.
func (r *daemonStatuses) nextBatch(now time.Time) []*api.DaemonStatus {
	r.round = (r.round + 1) % refreshRounds
	var list []*api.DaemonStatus
	for _, e := range r.byID {
		if e.changed || e.slot == r.round {
			e.changed = false
			list = append(list, e.withAges(now))
		}
	}
	return list
}

// list returns all statuses, sorted by id.
func (r *daemonStatuses) list(now time.Time) []*api.DaemonStatus {
	list := make([]*api.DaemonStatus, 0, len(r.byID))
	for _, e := range r.byID {
		list = append(list, e.withAges(now))
	}
	slices.SortFunc(list, func(a, b *api.DaemonStatus) int { return strings.Compare(a.GetId(), b.GetId()) })
	return list
}
