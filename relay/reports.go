package relay

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// forgetReportAfter is the age above which the report of a daemon is dropped.
const forgetReportAfter = time.Minute

// refreshRounds spreads the unchanged reports of a relay over this many
// requests to control, so that traffic at rest does not depend on a burst.
const refreshRounds = 10

// reports holds the last status of each daemon, with the time it was heard.
type reports struct {
	entries map[string]*reportEntry
	round   uint32
}

type reportEntry struct {
	status  *api.DaemonStatus
	at      time.Time // of the report, by the local clock
	confirm time.Time // of the confirmation, zero if never
	changed bool
	slot    uint32 // the round in which an unchanged report is sent
}

func newReports() *reports { return &reports{entries: map[string]*reportEntry{}} }

// record takes a status over whose ages count from now. An older report than
// the one held, which came by another way, has no effect.
func (r *reports) record(now time.Time, s *api.DaemonStatus) {
	at := now.Add(-duration(s.GetAgeMs()))
	e := r.entries[s.GetId()]
	if e == nil {
		e = &reportEntry{changed: true, slot: uint32(len(r.entries)) % refreshRounds}
		r.entries[s.GetId()] = e
	} else if at.Before(e.at) {
		return
	} else if e.status.GetVersion() != s.GetVersion() || e.status.GetState() != s.GetState() {
		e.changed = true
	}
	e.status, e.at, e.confirm = s, at, time.Time{}
	if s.GetConfirmationAgeMs() >= 0 {
		e.confirm = now.Add(-duration(s.GetConfirmationAgeMs()))
	}
}

func (r *reports) expire(now time.Time) {
	for id, e := range r.entries {
		if now.Sub(e.at) > forgetReportAfter {
			delete(r.entries, id)
		}
	}
}

func (e *reportEntry) aged(now time.Time) *api.DaemonStatus {
	s := &api.DaemonStatus{
		Id:                e.status.GetId(),
		Service:           e.status.GetService(),
		AvailabilityZone:  e.status.GetAvailabilityZone(),
		Version:           e.status.GetVersion(),
		State:             e.status.GetState(),
		AgeMs:             max(millis(now.Sub(e.at)), 0),
		ConfirmationAgeMs: -1,
	}
	if !e.confirm.IsZero() {
		s.ConfirmationAgeMs = max(millis(now.Sub(e.confirm)), 0)
	}
	return s
}

// next returns the reports of one request: what changed, and a part of the rest.
func (r *reports) next(now time.Time) []*api.DaemonStatus {
	r.round = (r.round + 1) % refreshRounds
	var list []*api.DaemonStatus
	for _, e := range r.entries {
		if e.changed || e.slot == r.round {
			e.changed = false
			list = append(list, e.aged(now))
		}
	}
	return list
}
