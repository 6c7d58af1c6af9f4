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

// Replicas of a seeded group find each other: one without state asks the seeds,
// and whom they name, to be added. One with state that hears no leader for long
// asks whether it is still a member.

const (
	// joinEvery is the interval of requests of a replica without state. It is
	// short, since changes are accepted only after enough replicas have joined.
	joinEvery = 250 * time.Millisecond
	// joinTimeout bounds one request. It covers a connection across regions.
	joinTimeout = time.Second
	// belongsAfter is the silence of all leaders after which a replica with
	// state asks whether it was replaced. It exceeds several elections.
	belongsAfter = 8 * time.Second
	// rosterEvery is the interval at which the leader looks for a change of the
	// replica set.
	rosterEvery = 200 * time.Millisecond
	// rosterPause is a gap between two looks that shows that this process did
	// not run, so that the silence of the others says nothing.
	rosterPause = time.Second
)

// RemovedError reports that the group has replaced this replica. Its data is of
// no use to the group any more; it may join again with an empty directory.
type RemovedError struct{ Replica uint64 }

func (e *RemovedError) Error() string { return "the group has replaced this replica" }

// joiners are the replicas that asked this one to be added.
type joiners struct {
	mu   sync.Mutex
	byID map[uint64]reconfig.JoinRequest
	// leaving are the voters that are about to stop, by their last request.
	leaving map[uint64]time.Time
}

func (j *joiners) note(ref *api.ReplicaRef, now time.Time) (isNew bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.byID == nil {
		j.byID = map[uint64]reconfig.JoinRequest{}
	}
	_, known := j.byID[ref.Id]
	j.byID[ref.Id] = reconfig.JoinRequest{Ref: ref, RequestedAt: now}
	return !known
}

func (j *joiners) noteLeaving(id uint64, now time.Time) (isNew bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.leaving == nil {
		j.leaving = map[uint64]time.Time{}
	}
	_, known := j.leaving[id]
	j.leaving[id] = now
	return !known
}

// listLeaving returns the voters that are about to stop, without those that no longer ask.
func (j *joiners) listLeaving(now time.Time) map[uint64]time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	maps.DeleteFunc(j.leaving, func(_ uint64, at time.Time) bool { return now.Sub(at) > time.Minute })
	return maps.Clone(j.leaving)
}

// forget drops a joiner that is being added. A replica that is removed later must not be
// added again for its old request.
func (j *joiners) forget(id uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.byID, id)
}

// list returns the joiners in the order of their ids, without those that no
// longer ask.
func (j *joiners) list(now time.Time) []reconfig.JoinRequest {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []reconfig.JoinRequest
	for id, c := range j.byID {
		if now.Sub(c.RequestedAt) > time.Minute {
			delete(j.byID, id)
			continue
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b reconfig.JoinRequest) int { return int(a.Ref.Id>>1) - int(b.Ref.Id>>1) })
	return out
}

// Join notes a replica without state, if this one leads.
func (s *Server) Join(_ context.Context, r *api.JoinRequest) (*api.JoinReply, error) {
	v := s.configuration().view.Load()
	if v.status.Role != raft.Leader {
		return &api.JoinReply{LeaderAddress: v.status.Leader.GetAddress()}, nil
	}
	if ref := r.GetReplica(); ref.GetId() != 0 && s.joiners.note(ref, s.cfg.Clock()) {
		s.cfg.Logger.Info().Uint64("replica", ref.Id).Str("disk_id", ref.DiskId).Str("address", ref.Address).
			Str("availability_zone", ref.AvailabilityZone).Msg("replica asks to join")
	}
	return &api.JoinReply{Leader: true, LeaderAddress: s.self.Address}, nil
}

// Leave notes a voter that is about to stop, if this replica leads.
func (s *Server) Leave(_ context.Context, r *api.LeaveRequest) (*api.LeaveReply, error) {
	v := s.configuration().view.Load()
	if v.status.Role != raft.Leader {
		return &api.LeaveReply{LeaderAddress: v.status.Leader.GetAddress()}, nil
	}
	if ref := r.GetReplica(); contains(v.status.ReplicaSet, ref) && s.joiners.noteLeaving(ref.Id, s.cfg.Clock()) {
		s.cfg.Logger.Info().Uint64("replica", ref.Id).Str("address", ref.Address).Str("availability_zone", ref.AvailabilityZone).Msg("replica is about to stop")
	}
	return &api.LeaveReply{Leader: true, LeaderAddress: s.self.Address}, nil
}

// RequestReplacement asks the leader to replace this voter by a learner of its availability
// zone and waits until that is done or ctx ends. It returns at once if this replica is not a
// voter or the zone has no learner. A replica calls it before it stops.
func (s *Server) RequestReplacement(ctx context.Context) {
	for s.hasSuccessor() {
		leader := s.configuration().view.Load().status.Leader.GetAddress()
		s.callReplica(ctx, leader, func(ctx context.Context, c api.ReplicaClient) error {
			_, err := c.Leave(ctx, &api.LeaveRequest{Replica: s.self})
			return err
		})
		select {
		case <-ctx.Done():
			return
		case <-time.After(replacePoll):
		}
	}
}

// hasSuccessor reports whether this replica votes and a learner could take its place.
func (s *Server) hasSuccessor() bool {
	set := s.configuration().view.Load().status.ReplicaSet
	successor := func(r *api.ReplicaRef) bool { return r.AvailabilityZone == s.self.AvailabilityZone }
	return inList(set.GetVoters(), s.self.Id) && slices.ContainsFunc(set.GetLearners(), successor)
}

// Belongs answers whether a replica is a member. The answer is given only after
// a quorum has confirmed, after the request came, that this replica leads: a
// former leader may not know the newest set.
func (s *Server) Belongs(ctx context.Context, r *api.BelongsRequest) (*api.BelongsReply, error) {
	arrived := s.cfg.Clock()
	g := s.configuration()
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for {
		v := g.view.Load()
		if v.status.Role != raft.Leader {
			return &api.BelongsReply{LeaderAddress: v.status.Leader.GetAddress()}, nil
		}
		if v.confirmedAt.After(arrived) && v.status.ReplicaSetCommitted {
			return &api.BelongsReply{Leader: true, LeaderAddress: s.self.Address, Member: contains(v.status.ReplicaSet, r.GetReplica())}, nil
		}
		select {
		case <-ctx.Done():
			return &api.BelongsReply{}, nil
		case <-time.After(replacePoll):
		}
	}
}

// keepMembership asks to be added while this replica has no state, and whether
// it was replaced while it hears no leader. It returns *RemovedError if so.
func (s *Server) keepMembership(ctx context.Context) error {
	heard := s.cfg.Clock()
	hint := ""
	for attempt := 0; ; attempt++ {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(joinEvery):
		}
		v := s.configuration().view.Load()
		switch {
		case v.status.Leader != nil:
			heard = s.cfg.Clock()
		case s.empty() && !s.founder():
			hint = s.askToJoin(ctx, s.nextAddress(hint, attempt))
		case !s.empty() && s.cfg.Clock().Sub(heard) > belongsAfter:
			removed := false
			if hint, removed = s.askMembership(ctx, s.nextAddress(hint, attempt)); removed {
				return &RemovedError{s.self.Id}
			}
		}
	}
}

// nextAddress is the hint, or in turn a seed or a member of the group.
func (s *Server) nextAddress(hint string, attempt int) string {
	if hint != "" && hint != s.self.Address {
		return hint
	}
	known := slices.Clone(s.cfg.Seeded.Seeds)
	for _, ref := range s.configuration().view.Load().status.ReplicaSet.GetVoters() {
		known = append(known, ref.Address)
	}
	known = slices.DeleteFunc(known, func(a string) bool { return a == s.self.Address })
	if len(known) == 0 {
		return ""
	}
	return known[attempt%len(known)]
}

// askToJoin returns the address of the leader if it is told.
func (s *Server) askToJoin(ctx context.Context, address string) (leader string) {
	s.callReplica(ctx, address, func(ctx context.Context, c api.ReplicaClient) error {
		reply, err := c.Join(ctx, &api.JoinRequest{Replica: s.self})
		leader = reply.GetLeaderAddress()
		return err
	})
	return leader
}

// askMembership reports whether the leader says that this replica was removed.
func (s *Server) askMembership(ctx context.Context, address string) (leader string, removed bool) {
	s.callReplica(ctx, address, func(ctx context.Context, c api.ReplicaClient) error {
		reply, err := c.Belongs(ctx, &api.BelongsRequest{Replica: s.self})
		leader, removed = reply.GetLeaderAddress(), err == nil && reply.Leader && !reply.Member
		return err
	})
	return leader, removed
}

// callReplica connects to another replica for one call. A failure is logged;
// the caller asks again, or another replica.
func (s *Server) callReplica(ctx context.Context, address string, call func(context.Context, api.ReplicaClient) error) {
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	conn, err := dial(&s.cfg, address)
	if err == nil {
		err = call(ctx, api.NewReplicaClient(conn))
		_ = conn.Close() // the reply is in or lost
	}
	if err != nil {
		s.cfg.Logger.Info().Str("address", address).Err(err).Msg("replica does not answer a request for membership")
	}
}

// keepRoster lets the leader change the replica set: it adds newcomers and
// replaces lost replicas, one step at a time.
func (s *Server) keepRoster(ctx context.Context) {
	k := rosterKeeper{server: s, policy: reconfig.DefaultPolicy(s.cfg.Seeded.ToleratedFailures), joined: map[uint64]time.Time{}}
	ticker := time.NewTicker(rosterEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.look(ctx)
		}
	}
}

// rosterKeeper remembers what a leader sees between two looks at its group.
type rosterKeeper struct {
	server  *Server
	policy  reconfig.Policy
	looked  time.Time
	resumed time.Time // end of the last pause of this process
	term    uint64
	since   time.Time            // start of this leadership
	joined  map[uint64]time.Time // of learners, in this term of leadership
}

func (k *rosterKeeper) look(ctx context.Context) {
	s := k.server
	now := s.cfg.Clock()
	if now.Sub(k.looked) > rosterPause {
		k.resumed = now
	}
	k.looked = now
	g := s.configuration()
	v := g.view.Load()
	if v.status.Role != raft.Leader {
		return
	}
	k.noteLearners(now, v)
	step := reconfig.NextChange(k.view(now, v), k.policy)
	if step.Kind == reconfig.NoChange {
		return
	}
	err := g.changeSet(ctx, func(r *raft.Raft) error { return propose(r, step) })
	s.joiners.forget(step.Replica.Id)
	s.cfg.Logger.Info().Str("step", step.Kind.String()).Uint64("replica", step.Replica.Id).Str("address", step.Replica.Address).
		Uint64("replaces", step.Replaces).Str("reason", step.Reason).Uint64("term", v.status.Term).Err(err).Msg("replica set changes")
}

func propose(r *raft.Raft, step reconfig.Change) error {
	switch step.Kind {
	case reconfig.AddLearner:
		return r.ProposeAddLearner(step.Replica)
	case reconfig.RemoveLearner:
		return r.ProposeRemoveLearner(step.Replica.Id)
	}
	_, _, err := r.ProposeReplace(step.Replaces, step.Replica)
	return err
}

// noteLearners remembers when learners appeared; those of the start of a term
// of leadership were there before.
func (k *rosterKeeper) noteLearners(now time.Time, v *view) {
	if k.term != v.status.Term {
		k.term, k.since, k.joined = v.status.Term, now, map[uint64]time.Time{}
		for _, l := range v.status.ReplicaSet.GetLearners() {
			k.joined[l.Id] = time.Time{}
		}
	}
	for _, l := range v.status.ReplicaSet.GetLearners() {
		if _, known := k.joined[l.Id]; !known {
			k.joined[l.Id] = now
		}
	}
}

func (k *rosterKeeper) view(now time.Time, v *view) reconfig.GroupState {
	heard := make(map[uint64]time.Time, len(v.status.LastContact))
	for id, at := range v.status.LastContact {
		heard[id] = at
		if k.resumed.After(at) {
			heard[id] = k.resumed
		}
	}
	return reconfig.GroupState{
		Now: now, LeaderSince: k.since, Self: k.server.self.Id, ReplicaSet: v.status.ReplicaSet, ConfigCommitted: v.status.ReplicaSetCommitted && len(v.status.ReplicaSet.GetOldVoters()) == 0,
		LastContact: heard, Contacted: v.status.Contacted, LearnerSince: k.joined, StoppingAt: k.server.joiners.listLeaving(now), JoinRequests: k.server.joiners.list(now),
	}
}
