package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/raft"
	"github.com/bilberrydeck/bilberrydeck/core/reconfig"
)

// With discovery, a replica without state sends join requests to the seeds, and to the leader
// that they return. A replica with state that has had no leader for membershipCheckDelay checks
// whether it is still a member of the group.

const (
	// joinInterval is the interval between join requests of a replica without
	// state. It is short, since changes are accepted only after enough replicas
	// have joined.
	joinInterval = 250 * time.Millisecond
	// membershipTimeout bounds one membership request. It covers a connection
	// across regions.
	membershipTimeout = time.Second
	// membershipCheckDelay is the time without a leader after which a replica with
	// state checks whether it was replaced. It exceeds several elections.
	membershipCheckDelay = 8 * time.Second
	// reconcileInterval is the interval at which the leader checks whether the
	// replica set has to change.
	reconcileInterval = 200 * time.Millisecond
	// pauseThreshold is the time between two checks above which this process is
	// assumed to have been suspended. The time since the last contact of the other
	// replicas then includes the suspension.
	pauseThreshold = time.Second
)

// RemovedError reports that the group has replaced this replica. Its data is no longer part of the
// group; the replica may join again with an empty data directory.
type RemovedError struct{ Replica uint64 }

func (e *RemovedError) Error() string { return "the group has replaced this replica" }

// membershipRequests holds the requests of other replicas to this one to join or leave the
// group, by replica id.
type membershipRequests struct {
	mu    sync.Mutex
	joins map[uint64]reconfig.JoinRequest
	// stopping holds the time of the last request of each voter that is about to stop.
	stopping map[uint64]time.Time
}

// addJoin records a join request and reports whether it is the first one of the replica.
func (m *membershipRequests) addJoin(ref *api.ReplicaRef, now time.Time) (isNew bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.joins == nil {
		m.joins = map[uint64]reconfig.JoinRequest{}
	}
	_, known := m.joins[ref.Id]
	m.joins[ref.Id] = reconfig.JoinRequest{Ref: ref, RequestedAt: now}
	return !known
}

// addStopping records a voter that is about to stop and reports whether this is its first
// request.
func (m *membershipRequests) addStopping(id uint64, now time.Time) (isNew bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping == nil {
		m.stopping = map[uint64]time.Time{}
	}
	_, known := m.stopping[id]
	m.stopping[id] = now
	return !known
}

// listStopping returns the voters that are about to stop. It evicts those without a request
// in the last minute.
func (m *membershipRequests) listStopping(now time.Time) map[uint64]time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.stopping, func(_ uint64, at time.Time) bool { return now.Sub(at) > time.Minute })
	return maps.Clone(m.stopping)
}

// removeJoin removes the request of a replica that is being added. A replica that is removed
// from the group later must not be added again because of its old request.
func (m *membershipRequests) removeJoin(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.joins, id)
}

// removeMembers removes the requests of replicas that are members of the group: one may arrive after
// removeJoin, but before the replica is added.
func (m *membershipRequests) removeMembers(set *api.ReplicaSet) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.joins, func(_ uint64, join reconfig.JoinRequest) bool { return contains(set, join.Ref) })
}

// listJoins returns the join requests in the order of the replica ids. It evicts those not
// renewed in the last minute.
func (m *membershipRequests) listJoins(now time.Time) []reconfig.JoinRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []reconfig.JoinRequest
	for id, join := range m.joins {
		if now.Sub(join.RequestedAt) > time.Minute {
			delete(m.joins, id)
			continue
		}
		list = append(list, join)
	}
	slices.SortFunc(list, func(a, b reconfig.JoinRequest) int { return int(a.Ref.Id>>1) - int(b.Ref.Id>>1) })
	return list
}

// Join implements api.ReplicaServer: it records the join request of a replica without state
// if this replica is the leader, and returns the leader otherwise.
func (s *Server) Join(_ context.Context, r *api.JoinRequest) (*api.JoinReply, error) {
	v := s.configGroup().view.Load()
	if v.status.Role != raft.Leader {
		return &api.JoinReply{LeaderAddress: v.status.Leader.GetAddress()}, nil
	}
	// A member may have sent its request before it heard that it was added.
	if ref := r.GetReplica(); ref.GetId() != 0 && !contains(v.status.ReplicaSet, ref) && s.membershipRequests.addJoin(ref, s.cfg.Clock()) {
		s.cfg.Logger.Info().Uint64("replica", ref.Id).Str("disk_id", ref.DiskId).Str("address", ref.Address).
			Str("availability_zone", ref.AvailabilityZone).Msg("replica asks to join")
	}
	return &api.JoinReply{Leader: true, LeaderAddress: s.self.Address}, nil
}

// Leave implements api.ReplicaServer: it records a voter that is about to stop if this replica
// is the leader, and returns the leader otherwise.
func (s *Server) Leave(_ context.Context, r *api.LeaveRequest) (*api.LeaveReply, error) {
	v := s.configGroup().view.Load()
	if v.status.Role != raft.Leader {
		return &api.LeaveReply{LeaderAddress: v.status.Leader.GetAddress()}, nil
	}
	if ref := r.GetReplica(); contains(v.status.ReplicaSet, ref) && s.membershipRequests.addStopping(ref.Id, s.cfg.Clock()) {
		s.cfg.Logger.Info().Uint64("replica", ref.Id).Str("address", ref.Address).Str("availability_zone", ref.AvailabilityZone).Msg("replica requests replacement before it stops")
	}
	return &api.LeaveReply{Leader: true, LeaderAddress: s.self.Address}, nil
}

// RequestReplacement requests that the leader replaces this voter by a learner of its availability
// zone, and waits until that is done or ctx ends. It returns at once if this replica is not a
// voter or the zone has no learner. A replica calls it before it stops.
func (s *Server) RequestReplacement(ctx context.Context) {
	for s.hasReplacement() {
		leader := s.configGroup().view.Load().status.Leader.GetAddress()
		s.callReplica(ctx, leader, func(ctx context.Context, c api.ReplicaClient) error {
			_, err := c.Leave(ctx, &api.LeaveRequest{Replica: s.self})
			return err
		})
		select {
		case <-ctx.Done():
			return
		case <-time.After(viewPollInterval):
		}
	}
}

// hasReplacement reports whether this replica is a voter and a learner of its availability
// zone could replace it.
func (s *Server) hasReplacement() bool {
	set := s.configGroup().view.Load().status.ReplicaSet
	sameZone := func(r *api.ReplicaRef) bool { return r.AvailabilityZone == s.self.AvailabilityZone }
	return containsID(set.GetVoters(), s.self.Id) && slices.ContainsFunc(set.GetLearners(), sameZone)
}

// Belongs implements api.ReplicaServer: it returns whether a replica is a member of the group.
// It responds only after a quorum confirmation newer than the request, since a former leader
// may not have the newest replica set.
func (s *Server) Belongs(ctx context.Context, r *api.BelongsRequest) (*api.BelongsReply, error) {
	receivedAt := s.cfg.Clock()
	g := s.configGroup()
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	for {
		v := g.view.Load()
		if v.status.Role != raft.Leader {
			return &api.BelongsReply{LeaderAddress: v.status.Leader.GetAddress()}, nil
		}
		if v.confirmedAt.After(receivedAt) && v.status.ReplicaSetCommitted {
			return &api.BelongsReply{Leader: true, LeaderAddress: s.self.Address, Member: contains(v.status.ReplicaSet, r.GetReplica())}, nil
		}
		select {
		case <-ctx.Done():
			return &api.BelongsReply{}, nil
		case <-time.After(viewPollInterval):
		}
	}
}

// maintainMembership sends join requests while this replica has no state, and checks whether
// it was replaced while it has no leader. It returns *RemovedError if it was replaced.
func (s *Server) maintainMembership(ctx context.Context) error {
	lastLeaderAt := s.cfg.Clock()
	hint := ""
	for attempt := 0; ; attempt++ {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(joinInterval):
		}
		v := s.configGroup().view.Load()
		switch {
		case v.status.Leader != nil:
			lastLeaderAt = s.cfg.Clock()
		case s.empty() && !s.isBootstrapReplica():
			hint = s.requestJoin(ctx, s.nextAddress(hint, attempt))
		case !s.empty() && s.cfg.Clock().Sub(lastLeaderAt) > membershipCheckDelay:
			removed := false
			if hint, removed = s.checkMembership(ctx, s.nextAddress(hint, attempt)); removed {
				return &RemovedError{s.self.Id}
			}
		}
	}
}

// nextAddress returns the hint, or else a seed or voter of the group, round robin by attempt.
func (s *Server) nextAddress(hint string, attempt int) string {
	if hint != "" && hint != s.self.Address {
		return hint
	}
	known := slices.Clone(s.cfg.Discovery.Seeds)
	for _, ref := range s.configGroup().view.Load().status.ReplicaSet.GetVoters() {
		known = append(known, ref.Address)
	}
	known = slices.DeleteFunc(known, func(a string) bool { return a == s.self.Address })
	if len(known) == 0 {
		return ""
	}
	return known[attempt%len(known)]
}

// requestJoin sends a join request and returns the leader address of the reply, if any.
func (s *Server) requestJoin(ctx context.Context, address string) (leader string) {
	s.callReplica(ctx, address, func(ctx context.Context, c api.ReplicaClient) error {
		reply, err := c.Join(ctx, &api.JoinRequest{Replica: s.self})
		leader = reply.GetLeaderAddress()
		return err
	})
	return leader
}

// checkMembership reports whether the leader has removed this replica from the group, and
// returns the leader address of the reply.
func (s *Server) checkMembership(ctx context.Context, address string) (leader string, removed bool) {
	s.callReplica(ctx, address, func(ctx context.Context, c api.ReplicaClient) error {
		reply, err := c.Belongs(ctx, &api.BelongsRequest{Replica: s.self})
		leader, removed = reply.GetLeaderAddress(), err == nil && reply.Leader && !reply.Member
		return err
	})
	return leader, removed
}

// callReplica connects to another replica for one call. A failure is logged; the caller
// retries it at this or another replica.
func (s *Server) callReplica(ctx context.Context, address string, call func(context.Context, api.ReplicaClient) error) {
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	conn, err := dial(&s.cfg, address)
	if err == nil {
		err = call(ctx, api.NewReplicaClient(conn))
		_ = conn.Close() // the call has ended
	}
	if err != nil {
		s.cfg.Logger.Info().Str("address", address).Err(err).Msg("membership request failed")
	}
}

// reconcileReplicaSet changes the replica set while this replica is the leader: it adds
// joining replicas and replaces failed ones, one step at a time.
func (s *Server) reconcileReplicaSet(ctx context.Context) {
	rc := reconciler{server: s, policy: reconfig.DefaultPolicy(s.cfg.Discovery.ToleratedFailures), learnerSince: map[uint64]time.Time{}}
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			rc.reconcile(ctx)
		}
	}
}

// reconciler holds what the leader has observed of its group between two checks.
type reconciler struct {
	server       *Server
	policy       reconfig.Policy
	checkedAt    time.Time // last check
	resumedAt    time.Time // end of the last suspension of this process
	term         uint64
	leaderSince  time.Time            // first check in this term as leader
	learnerSince map[uint64]time.Time // first observation of each learner in this term
}

// reconcile makes at most one change of the replica set.
func (rc *reconciler) reconcile(ctx context.Context) {
	s := rc.server
	now := s.cfg.Clock()
	if now.Sub(rc.checkedAt) > pauseThreshold {
		rc.resumedAt = now
	}
	rc.checkedAt = now
	g := s.configGroup()
	v := g.view.Load()
	if v.status.Role != raft.Leader {
		return
	}
	rc.trackLearners(now, v)
	s.membershipRequests.removeMembers(v.status.ReplicaSet)
	step := reconfig.NextChange(rc.groupState(now, v), rc.policy)
	if step.Kind == reconfig.NoChange {
		return
	}
	err := g.proposeConfChange(ctx, func(r *raft.Raft) error { return proposeChange(r, step) })
	s.membershipRequests.removeJoin(step.Replica.Id)
	s.cfg.Logger.Info().Str("step", step.Kind.String()).Uint64("replica", step.Replica.Id).Str("address", step.Replica.Address).
		Uint64("replaces", step.Replaces).Str("reason", step.Reason).Uint64("term", v.status.Term).Err(err).Msg("replica set changes")
}

// proposeChange proposes the configuration change of a step to raft.
func proposeChange(r *raft.Raft, step reconfig.Change) error {
	switch step.Kind {
	case reconfig.AddLearner:
		return r.ProposeAddLearner(step.Replica)
	case reconfig.RemoveLearner:
		return r.ProposeRemoveLearner(step.Replica.Id)
	}
	_, _, err := r.ProposeReplace(step.Replaces, step.Replica)
	return err
}

// trackLearners records when each learner was first observed. The learners at the start of a
// term as leader joined before, at an unknown time, and get the zero time.
func (rc *reconciler) trackLearners(now time.Time, v *view) {
	if rc.term != v.status.Term {
		rc.term, rc.leaderSince, rc.learnerSince = v.status.Term, now, map[uint64]time.Time{}
		for _, l := range v.status.ReplicaSet.GetLearners() {
			rc.learnerSince[l.Id] = time.Time{}
		}
	}
	for _, l := range v.status.ReplicaSet.GetLearners() {
		if _, known := rc.learnerSince[l.Id]; !known {
			rc.learnerSince[l.Id] = now
		}
	}
}

// groupState returns the input for reconfig.NextChange. A last contact before this process
// was suspended counts from the end of the suspension.
func (rc *reconciler) groupState(now time.Time, v *view) reconfig.GroupState {
	lastContact := make(map[uint64]time.Time, len(v.status.LastContact))
	for id, at := range v.status.LastContact {
		lastContact[id] = at
		if rc.resumedAt.After(at) {
			lastContact[id] = rc.resumedAt
		}
	}
	return reconfig.GroupState{
		Now: now, LeaderSince: rc.leaderSince, Self: rc.server.self.Id, ReplicaSet: v.status.ReplicaSet, ConfigCommitted: v.status.ReplicaSetCommitted && len(v.status.ReplicaSet.GetOldVoters()) == 0,
		LastContact: lastContact, Contacted: v.status.Contacted, LearnerSince: rc.learnerSince, StoppingAt: rc.server.membershipRequests.listStopping(now), JoinRequests: rc.server.membershipRequests.listJoins(now),
	}
}
