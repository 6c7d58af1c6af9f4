package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/raft"
)

// replacePoll is the interval at which the progress of a replacement is
// looked at.
const replacePoll = 50 * time.Millisecond

// ReplaceReplica swaps a replica for a new one in every group and returns when
// all groups have completed it. The replica that is asked forwards the request
// to the leaders of the groups that it does not lead. A repeated request
// continues where the first one stopped.
func (s *Server) ReplaceReplica(ctx context.Context, r *api.ReplaceReplicaRequest) (*api.ReplaceReplicaResponse, error) {
	if s.empty() {
		// It knows no leader to forward to. The client asks another process.
		return nil, status.Error(codes.Unavailable, "this replica does not belong to a group yet")
	}
	ref, err := s.identify(ctx, r)
	if err != nil {
		return nil, err
	}
	if len(r.Groups) > 0 {
		for _, id := range r.Groups {
			if int(id) >= len(s.groups) {
				return nil, status.Errorf(codes.InvalidArgument, "there is no group %d", id)
			}
			if err := s.groups[id].replace(ctx, r.OldId, ref); err != nil {
				return nil, s.grpcError(id, err)
			}
		}
		return &api.ReplaceReplicaResponse{Message: "replaced"}, nil
	}
	ended := make(chan error, len(s.groups))
	for _, g := range s.groups {
		go func() { ended <- s.replaceAnywhere(ctx, g, r, ref) }()
	}
	for range s.groups {
		err = errors.Join(err, <-ended)
	}
	if err != nil {
		return nil, firstStatus(err)
	}
	s.cfg.Logger.Info().Uint64("old", r.OldId).Uint64("new", ref.Id).Str("disk_id", ref.DiskId).Msg("replica replaced in all groups")
	return &api.ReplaceReplicaResponse{Message: "replaced in all groups"}, nil
}

// identify asks the new replica for its disk id.
func (s *Server) identify(ctx context.Context, r *api.ReplaceReplicaRequest) (*api.ReplicaRef, error) {
	reply, err := s.introduce(ctx, r.NewAddress)
	switch {
	case err != nil:
		return nil, status.Errorf(codes.Unavailable, "the new replica at %s does not answer: %v", r.NewAddress, err)
	case reply.Replica.GetId() != r.NewId:
		return nil, status.Errorf(codes.InvalidArgument, "the process at %s is replica %d, not %d", r.NewAddress, reply.Replica.GetId(), r.NewId)
	case int(reply.ClaimShards) != s.cfg.ClaimShards:
		return nil, status.Errorf(codes.InvalidArgument, "the new replica has claim_shards %d, this group has %d", reply.ClaimShards, s.cfg.ClaimShards)
	case !reply.Empty && !s.knows(reply.Replica):
		return nil, status.Errorf(codes.FailedPrecondition, "the new replica holds the state of another group")
	}
	return &api.ReplicaRef{Id: r.NewId, DiskId: reply.Replica.DiskId, Address: r.NewAddress}, nil
}

// knows reports whether a group already contains the replica, as in a repeated
// request.
func (s *Server) knows(ref *api.ReplicaRef) bool {
	return slices.ContainsFunc(s.groups, func(g *group) bool {
		return contains(g.view.Load().status.ReplicaSet, ref)
	})
}

func contains(set *api.ReplicaSet, ref *api.ReplicaRef) bool {
	same := func(o *api.ReplicaRef) bool { return o.Id == ref.Id && o.DiskId == ref.DiskId }
	return slices.ContainsFunc(set.GetVoters(), same) || slices.ContainsFunc(set.GetLearners(), same)
}

func inList(list []*api.ReplicaRef, id uint64) bool {
	return slices.ContainsFunc(list, func(r *api.ReplicaRef) bool { return r.Id == id })
}

// replaceAnywhere replaces the replica in one group, here or at its leader.
func (s *Server) replaceAnywhere(ctx context.Context, g *group, r *api.ReplaceReplicaRequest, ref *api.ReplicaRef) error {
	for attempt := 0; ; attempt++ {
		err := g.replace(ctx, r.OldId, ref)
		var notLeader *raft.NotLeaderError
		if errors.As(err, &notLeader) {
			err = s.forward(ctx, g.leaderAddress(notLeader, attempt), &api.ReplaceReplicaRequest{
				OldId: r.OldId, NewId: r.NewId, NewAddress: r.NewAddress, Groups: []uint32{g.id},
			})
		}
		if err == nil || !retryable(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		case <-time.After(replacePoll):
		}
	}
}

// leaderAddress is where the leader is, or may be. A replica that was removed
// from the group does not learn of leaders, so it asks the members in turn.
func (g *group) leaderAddress(e *raft.NotLeaderError, attempt int) string {
	if e.Leader != nil {
		return e.Leader.Address
	}
	set := g.view.Load().status.ReplicaSet
	var others []string
	for _, r := range append(slices.Clone(set.GetVoters()), set.GetLearners()...) {
		if r.Id != g.server.self.Id {
			others = append(others, r.Address)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[attempt%len(others)]
}

// firstStatus returns one of joined errors, so that its gRPC status is kept.
func firstStatus(err error) error {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return firstStatus(joined.Unwrap()[0])
	}
	return err
}

// retryable reports whether the replacement may succeed at another leader or a
// moment later.
func retryable(err error) bool {
	var notLeader *raft.NotLeaderError
	var notReady *raft.NoCommitInTermError
	if errors.As(err, &notLeader) || errors.As(err, &notReady) {
		return true
	}
	if code := status.Code(err); code == codes.Unavailable || code == codes.Aborted {
		return true
	}
	for _, d := range status.Convert(err).Details() {
		if _, ok := d.(*api.NotLeader); ok {
			return true
		}
	}
	return false
}

func (s *Server) forward(ctx context.Context, address string, r *api.ReplaceReplicaRequest) error {
	if address == "" {
		return &raft.NotLeaderError{}
	}
	conn, err := dial(&s.cfg, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // the answer is in
	_, err = api.NewControlClient(conn).ReplaceReplica(ctx, r)
	return err
}

// replace starts a replacement at the local leader and waits for its end.
func (g *group) replace(ctx context.Context, oldID uint64, ref *api.ReplicaRef) error {
	for {
		if g.replaced(oldID, ref) {
			return nil
		}
		if v := g.view.Load(); v.status.Role != raft.Leader {
			return &raft.NotLeaderError{Leader: v.status.Leader}
		}
		err := g.startReplacement(ctx, oldID, ref)
		var notReady *raft.NoCommitInTermError
		if err != nil && !errors.As(err, &notReady) {
			return replaceError(err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(replacePoll):
		}
	}
}

func (g *group) startReplacement(ctx context.Context, oldID uint64, ref *api.ReplicaRef) error {
	return g.changeSet(ctx, func(r *raft.Raft) error {
		_, _, err := r.ProposeReplace(oldID, ref)
		return err
	})
}

// changeSet executes a proposal of a new replica set in the loop.
func (g *group) changeSet(ctx context.Context, propose func(*raft.Raft) error) error {
	c := &setChange{propose, make(chan error, 1)}
	select {
	case g.changes <- c:
	case <-ctx.Done():
		return ctx.Err()
	case <-g.server.stopped:
		return &raft.NotLeaderError{}
	}
	return <-c.done
}

// replaced reports whether the replacement is complete and committed.
func (g *group) replaced(oldID uint64, ref *api.ReplicaRef) bool {
	st := g.view.Load().status
	set := st.ReplicaSet
	return st.ReplicaSetCommitted && len(set.GetOldVoters()) == 0 && contains(&api.ReplicaSet{Voters: set.GetVoters()}, ref) && !inList(set.GetVoters(), oldID)
}

// replaceError gives the typed errors of the core a gRPC status.
func replaceError(err error) error {
	var inProgress *raft.ReplacementInProgressError
	var id *raft.ReplicaIDError
	switch {
	case errors.As(err, &inProgress):
		return status.Error(codes.AlreadyExists, err.Error())
	case errors.As(err, &id):
		return status.Error(codes.InvalidArgument, err.Error())
	}
	return err
}
