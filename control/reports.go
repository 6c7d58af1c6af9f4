package control

import (
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// reportLimit is the age above which the report of a daemon is dropped.
const reportLimit = 10 * time.Minute

// reports holds the newest report of each daemon.
type reports struct {
	mu   sync.Mutex
	byID map[string]report
}

type report struct {
	status *api.DaemonStatus
	at     time.Time
}

// StoreDaemonStatuses stores the statuses of daemons, as relays have sent them to the feed
// server, for the RPC Status.
func (s *Server) StoreDaemonStatuses(list []*api.DaemonStatus) {
	now := s.cfg.Clock()
	s.reports.mu.Lock()
	defer s.reports.mu.Unlock()
	if s.reports.byID == nil {
		s.reports.byID = map[string]report{}
	}
	for _, d := range list {
		at := now.Add(-time.Duration(d.AgeMs) * time.Millisecond)
		if held, ok := s.reports.byID[d.Id]; !ok || !at.Before(held.at) {
			s.reports.byID[d.Id] = report{d, at}
		}
	}
}

func (r *reports) list(now time.Time) []*api.DaemonStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*api.DaemonStatus
	for id, d := range r.byID {
		age := now.Sub(d.at)
		if age > reportLimit {
			delete(r.byID, id)
			continue
		}
		status := proto.CloneOf(d.status)
		status.AgeMs = age.Milliseconds()
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b *api.DaemonStatus) int { return strings.Compare(a.Id, b.Id) })
	return out
}
