package control

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/protoadapt"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/control/client"
	"github.com/bilberrydeck/bilberrydeck/core/raft"
)

// Publish implements api.ControlServer: it proposes a change of the configuration.
func (s *Server) Publish(ctx context.Context, change *api.Change) (*api.ChangeResult, error) {
	if err := s.requireBootstrapped(); err != nil {
		return nil, s.grpcError(0, err)
	}
	cmd := &api.ConfigCommand{UnixMs: s.cfg.Clock().UnixMilli(), Change: change}
	res := &api.ChangeResult{}
	if err := s.execute(ctx, 0, cmd, res); err != nil {
		return nil, err
	}
	s.cfg.Logger.Info().Str("set", change.Set).Uint64("number", change.Number).Str("change_id", change.ChangeId).
		Str("author", change.Author).Str("status", res.Status.String()).Uint64("version", res.Version).Msg("change decided")
	return res, nil
}

// Claim implements api.ControlServer: it records that a claimant is about to execute the work
// of a key.
func (s *Server) Claim(ctx context.Context, r *api.ClaimRequest) (*api.ClaimResponse, error) {
	res, err := s.executeClaim(ctx, r.GetKey(), &api.ClaimCommand{Operation: &api.ClaimCommand_Claim{Claim: r}})
	return res.GetClaim(), err
}

// FinishClaim implements api.ControlServer: it records the first response of the work.
func (s *Server) FinishClaim(ctx context.Context, r *api.FinishClaimRequest) (*api.FinishClaimResponse, error) {
	res, err := s.executeClaim(ctx, r.GetKey(), &api.ClaimCommand{Operation: &api.ClaimCommand_Finish{Finish: r}})
	return res.GetFinish(), err
}

// ReleaseClaim implements api.ControlServer: it records that the work of a claim was not
// executed.
func (s *Server) ReleaseClaim(ctx context.Context, r *api.ReleaseClaimRequest) (*api.ReleaseClaimResponse, error) {
	res, err := s.executeClaim(ctx, r.GetKey(), &api.ClaimCommand{Operation: &api.ClaimCommand_Release{Release: r}})
	return res.GetRelease(), err
}

// executeClaim replicates a command in the claim group of a key and returns its result.
func (s *Server) executeClaim(ctx context.Context, key *api.ClaimKey, cmd *api.ClaimCommand) (*api.ClaimCommandResult, error) {
	if key == nil {
		return nil, status.Error(codes.InvalidArgument, "the claim key is missing")
	}
	cmd.UnixMs = s.cfg.Clock().UnixMilli()
	res := &api.ClaimCommandResult{}
	if err := s.execute(ctx, client.ShardOf(key, s.cfg.ClaimShards), cmd, res); err != nil {
		return nil, err
	}
	return res, nil
}

// execute replicates a command in a group and decodes its result into res.
func (s *Server) execute(ctx context.Context, group uint32, cmd, res proto.Message) error {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	reply, err := s.groups[group].submit(ctx, data)
	if err != nil {
		return s.grpcError(group, err)
	}
	if err := proto.Unmarshal(reply, res); err != nil {
		return status.Error(codes.Internal, err.Error())
	}
	return nil
}

// Execute replicates a command in group 0 and decodes its result into res. The error has a
// gRPC status: FailedPrecondition with a NotLeader detail at a replica that is not the leader,
// Unavailable during the bootstrap of the group, Aborted if the outcome is unknown,
// ResourceExhausted if the proposal queue is full.
func (s *Server) Execute(ctx context.Context, cmd, res proto.Message) error {
	if err := s.requireBootstrapped(); err != nil {
		return s.grpcError(0, err)
	}
	return s.execute(ctx, 0, cmd, res)
}

// Read calls read with the local state machine of group 0, which may be behind that of the
// leader. The function must not retain the state machine.
func (s *Server) Read(read func(StateMachine)) {
	g := s.configGroup()
	g.stateMachineMu.RLock()
	defer g.stateMachineMu.RUnlock()
	read(g.stateMachine)
}

// RaftStatus returns the raft status of group 0 at this replica.
func (s *Server) RaftStatus() raft.Status { return s.configGroup().view.Load().status }

// Self returns the reference of this replica.
func (s *Server) Self() *api.ReplicaRef { return s.self }

// ConfirmationAge returns an upper bound of the time since a quorum confirmed to a leader that
// nothing newer than the state that Read returns was committed; false if there was no
// confirmation since the start.
func (s *Server) ConfirmationAge() (time.Duration, bool) { return s.configGroup().confirmationAge() }

// DroppedMessages returns the number of replication messages dropped because a queue was full
// or the address of the peer is unknown.
func (s *Server) DroppedMessages() uint64 { return s.transport.dropped.Load() }

// Status implements api.ControlServer: it returns the local state of this replica and of its
// groups.
func (s *Server) Status(context.Context, *api.StatusRequest) (*api.StatusResponse, error) {
	res := &api.StatusResponse{Replica: s.cfg.ReplicaID, Version: s.source.Version(), Daemons: s.daemonStatuses.list(s.cfg.Clock())}
	for _, g := range s.groups {
		res.Groups = append(res.Groups, g.status())
	}
	return res, nil
}

// status returns the state of the group for the RPC Status.
func (g *group) status() *api.GroupStatus {
	st := g.view.Load().status
	out := &api.GroupStatus{
		Group: g.id, Term: st.Term, Leader: st.Leader.GetId(), CommitIndex: st.Commit, AppliedIndex: st.Applied,
		FirstIndex: st.First, ConfirmationAgeMs: g.confirmationAgeMs(),
	}
	add := func(list []*api.ReplicaRef, voter bool) {
		for _, r := range list {
			out.Replicas = append(out.Replicas, &api.ReplicaStatus{
				Id: r.Id, DiskId: r.DiskId, Address: r.Address, Voter: voter, MatchIndex: st.Match[r.Id],
			})
		}
	}
	add(st.ReplicaSet.GetVoters(), true)
	for _, r := range st.ReplicaSet.GetOldVoters() {
		if !containsID(st.ReplicaSet.Voters, r.Id) {
			add([]*api.ReplicaRef{r}, true)
		}
	}
	add(st.ReplicaSet.GetLearners(), false)
	return out
}

// withDetail returns a gRPC status error with a detail message.
func withDetail(code codes.Code, err error, detail protoadapt.MessageV1) error {
	plain := status.New(code, err.Error())
	if detailed, detailErr := plain.WithDetails(detail); detailErr == nil {
		return detailed.Err()
	}
	return plain.Err() // a detail that cannot be encoded must not hide the status
}
