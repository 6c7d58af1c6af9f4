package control

import (
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// daemonStatusRetention is the age above which the status of a daemon is evicted.
const daemonStatusRetention = 10 * time.Minute

// daemonStatuses holds the newest status of each daemon by daemon id.
type daemonStatuses struct {
	mu   sync.Mutex
	byID map[string]daemonStatus
}

// daemonStatus is the status of a daemon at a time.
type daemonStatus struct {
	status     *api.DaemonStatus
	reportedAt time.Time // by the local clock
}

// StoreDaemonStatuses stores the statuses of daemons, as relays have sent them to the feed
// server, for the RPC Status.
func (s *Server) StoreDaemonStatuses(list []*api.DaemonStatus) {
	now := s.cfg.Clock()
	s.daemonStatuses.mu.Lock()
	defer s.daemonStatuses.mu.Unlock()
	if s.daemonStatuses.byID == nil {
		s.daemonStatuses.byID = map[string]daemonStatus{}
	}
	for _, d := range list {
		at := now.Add(-time.Duration(d.AgeMs) * time.Millisecond)
		if stored, ok := s.daemonStatuses.byID[d.Id]; !ok || !at.Before(stored.reportedAt) {
			s.daemonStatuses.byID[d.Id] = daemonStatus{d, at}
		}
	}
}

// list returns the statuses with their present ages, sorted by id. It evicts those older than
// daemonStatusRetention.
func (r *daemonStatuses) list(now time.Time) []*api.DaemonStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*api.DaemonStatus
	for id, d := range r.byID {
		age := now.Sub(d.reportedAt)
		if age > daemonStatusRetention {
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
