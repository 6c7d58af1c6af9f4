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

// viewPollInterval is the interval at which the state of a group is polled while waiting for
// the progress of a replacement or a quorum confirmation.
const viewPollInterval = 50 * time.Millisecond

// ReplaceReplica implements api.ControlServer: it replaces a replica by a new one in every
// group and returns when all groups have completed the replacement. The replica that receives
// the request forwards it to the leaders of the groups that it does not lead. A retried request
// continues where the first one stopped.
func (s *Server) ReplaceReplica(ctx context.Context, r *api.ReplaceReplicaRequest) (*api.ReplaceReplicaResponse, error) {
	if s.empty() {
		// No leader is known to which to forward the request. The client retries at another process.
		return nil, status.Error(codes.Unavailable, "this replica is not a member of a group yet")
	}
	ref, err := s.resolveReplacement(ctx, r)
	if err != nil {
		return nil, err
	}
	if len(r.Groups) > 0 {
		for _, id := range r.Groups {
			if int(id) >= len(s.groups) {
				return nil, status.Errorf(codes.InvalidArgument, "group %d does not exist", id)
			}
			if err := s.groups[id].replace(ctx, r.OldId, ref); err != nil {
				return nil, s.grpcError(id, err)
			}
		}
		return &api.ReplaceReplicaResponse{Message: "replaced"}, nil
	}
	ended := make(chan error, len(s.groups))
	for _, g := range s.groups {
		go func() { ended <- s.replaceInGroup(ctx, g, r, ref) }()
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

// resolveReplacement calls the new replica, checks that it may join and returns its reference with
// its disk id.
func (s *Server) resolveReplacement(ctx context.Context, r *api.ReplaceReplicaRequest) (*api.ReplicaRef, error) {
	reply, err := s.introduce(ctx, r.NewAddress)
	switch {
	case err != nil:
		return nil, status.Errorf(codes.Unavailable, "the new replica at %s cannot be reached: %v", r.NewAddress, err)
	case reply.Replica.GetId() != r.NewId:
		return nil, status.Errorf(codes.InvalidArgument, "the process at %s is replica %d, not %d", r.NewAddress, reply.Replica.GetId(), r.NewId)
	case int(reply.ClaimShards) != s.cfg.ClaimShards:
		return nil, status.Errorf(codes.InvalidArgument, "the new replica has claim_shards %d, this group has %d", reply.ClaimShards, s.cfg.ClaimShards)
	case !reply.Empty && !s.isMember(reply.Replica):
		return nil, status.Errorf(codes.FailedPrecondition, "the new replica has the state of another group")
	}
	return &api.ReplicaRef{Id: r.NewId, DiskId: reply.Replica.DiskId, Address: r.NewAddress}, nil
}

// isMember reports whether a group already contains the replica, as it does when a request is
// retried.
func (s *Server) isMember(ref *api.ReplicaRef) bool {
	return slices.ContainsFunc(s.groups, func(g *group) bool {
		return contains(g.view.Load().status.ReplicaSet, ref)
	})
}

// contains reports whether a replica set has the replica, with the same disk, as a voter or
// learner.
func contains(set *api.ReplicaSet, ref *api.ReplicaRef) bool {
	same := func(o *api.ReplicaRef) bool { return o.Id == ref.Id && o.DiskId == ref.DiskId }
	return slices.ContainsFunc(set.GetVoters(), same) || slices.ContainsFunc(set.GetLearners(), same)
}

func containsID(list []*api.ReplicaRef, id uint64) bool {
	return slices.ContainsFunc(list, func(r *api.ReplicaRef) bool { return r.Id == id })
}

// replaceInGroup replaces the replica in one group, locally or through the group's leader, and
// retries while that may succeed.
func (s *Server) replaceInGroup(ctx context.Context, g *group, r *api.ReplaceReplicaRequest, ref *api.ReplicaRef) error {
	for attempt := 0; ; attempt++ {
		err := g.replace(ctx, r.OldId, ref)
		var notLeader *raft.NotLeaderError
		if errors.As(err, &notLeader) {
			err = s.forwardReplace(ctx, g.leaderOrMemberAddress(notLeader, attempt), &api.ReplaceReplicaRequest{
				OldId: r.OldId, NewId: r.NewId, NewAddress: r.NewAddress, Groups: []uint32{g.id},
			})
		}
		if err == nil || !retryable(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		case <-time.After(viewPollInterval):
		}
	}
}

// leaderOrMemberAddress returns the address of the leader, or else that of another member, round
// robin by attempt: a replica that was removed from the group is not notified of the leader.
func (g *group) leaderOrMemberAddress(e *raft.NotLeaderError, attempt int) string {
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

// firstStatus returns the first of joined errors, so that its gRPC status is kept.
func firstStatus(err error) error {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return firstStatus(joined.Unwrap()[0])
	}
	return err
}

// retryable reports whether the replacement may succeed at another leader or later.
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

// forwardReplace sends the request to another replica.
func (s *Server) forwardReplace(ctx context.Context, address string, r *api.ReplaceReplicaRequest) error {
	if address == "" {
		return &raft.NotLeaderError{}
	}
	conn, err := dial(&s.cfg, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // the call has ended
	_, err = api.NewControlClient(conn).ReplaceReplica(ctx, r)
	return err
}

// replace proposes a replacement at the local leader and waits until it is committed.
func (g *group) replace(ctx context.Context, oldID uint64, ref *api.ReplicaRef) error {
	for {
		if g.replacementCommitted(oldID, ref) {
			return nil
		}
		if v := g.view.Load(); v.status.Role != raft.Leader {
			return &raft.NotLeaderError{Leader: v.status.Leader}
		}
		err := g.proposeReplace(ctx, oldID, ref)
		var notReady *raft.NoCommitInTermError
		if err != nil && !errors.As(err, &notReady) {
			return replaceStatusError(err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(viewPollInterval):
		}
	}
}

func (g *group) proposeReplace(ctx context.Context, oldID uint64, ref *api.ReplicaRef) error {
	return g.proposeConfChange(ctx, func(r *raft.Raft) error {
		_, _, err := r.ProposeReplace(oldID, ref)
		return err
	})
}

// proposeConfChange executes propose in the loop of the group.
func (g *group) proposeConfChange(ctx context.Context, propose func(*raft.Raft) error) error {
	c := &confChange{propose, make(chan error, 1)}
	select {
	case g.confChanges <- c:
	case <-ctx.Done():
		return ctx.Err()
	case <-g.server.stopped:
		return &raft.NotLeaderError{}
	}
	return <-c.done
}

// replacementCommitted reports whether the replacement is complete: the committed replica set
// is not a joint configuration, and has the new replica as a voter instead of the old one.
func (g *group) replacementCommitted(oldID uint64, ref *api.ReplicaRef) bool {
	st := g.view.Load().status
	set := st.ReplicaSet
	return st.ReplicaSetCommitted && len(set.GetOldVoters()) == 0 && contains(&api.ReplicaSet{Voters: set.GetVoters()}, ref) && !containsID(set.GetVoters(), oldID)
}

// replaceStatusError converts the typed errors of core/raft into a gRPC status.
func replaceStatusError(err error) error {
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
