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

// Publish proposes a change of the configuration.
func (s *Server) Publish(ctx context.Context, change *api.Change) (*api.ChangeResult, error) {
	if err := s.formed(); err != nil {
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

// Claim records that a claimant is about to run the work of a key.
func (s *Server) Claim(ctx context.Context, r *api.ClaimRequest) (*api.ClaimResponse, error) {
	res, err := s.executeClaim(ctx, r.GetKey(), &api.ClaimCommand{Operation: &api.ClaimCommand_Claim{Claim: r}})
	return res.GetClaim(), err
}

// FinishClaim records the first answer of the work.
func (s *Server) FinishClaim(ctx context.Context, r *api.FinishClaimRequest) (*api.FinishClaimResponse, error) {
	res, err := s.executeClaim(ctx, r.GetKey(), &api.ClaimCommand{Operation: &api.ClaimCommand_Finish{Finish: r}})
	return res.GetFinish(), err
}

// ReleaseClaim records that the work of a claim did not run.
func (s *Server) ReleaseClaim(ctx context.Context, r *api.ReleaseClaimRequest) (*api.ReleaseClaimResponse, error) {
	res, err := s.executeClaim(ctx, r.GetKey(), &api.ClaimCommand{Operation: &api.ClaimCommand_Release{Release: r}})
	return res.GetRelease(), err
}

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

// execute replicates a command and decodes its result.
func (s *Server) execute(ctx context.Context, group uint32, cmd, res proto.Message) error {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	answer, err := s.groups[group].submit(ctx, data)
	if err != nil {
		return s.grpcError(group, err)
	}
	if err := proto.Unmarshal(answer, res); err != nil {
		return status.Error(codes.Internal, err.Error())
	}
	return nil
}

// Execute replicates a command of the first group and decodes its result. The
// error has a gRPC status: FailedPrecondition with a NotLeader detail,
// Unavailable while the group is formed, Aborted if the outcome is unknown.
func (s *Server) Execute(ctx context.Context, cmd, res proto.Message) error {
	if err := s.formed(); err != nil {
		return s.grpcError(0, err)
	}
	return s.execute(ctx, 0, cmd, res)
}

// Read gives access to the machine of the first group, as this replica has
// applied it. The function must not keep the machine.
func (s *Server) Read(read func(StateMachine)) {
	g := s.configuration()
	g.machineMu.RLock()
	defer g.machineMu.RUnlock()
	read(g.machine)
}

// RaftStatus returns the raft status of group 0 at this replica.
func (s *Server) RaftStatus() raft.Status { return s.configuration().view.Load().status }

// Self is this replica.
func (s *Server) Self() *api.ReplicaRef { return s.self }

// ConfirmationAge returns an upper bound of the time since a leader confirmed
// with a quorum that nothing newer than what Read shows was committed; false if
// there was no confirmation since the start.
func (s *Server) ConfirmationAge() (time.Duration, bool) { return s.configuration().age() }

// DroppedMessages is the number of replication messages that found the queue to
// their peer full.
func (s *Server) DroppedMessages() uint64 { return s.transport.dropped.Load() }

// Status describes this replica as it sees itself.
func (s *Server) Status(context.Context, *api.StatusRequest) (*api.StatusResponse, error) {
	res := &api.StatusResponse{Replica: s.cfg.ReplicaID, Version: s.source.Version(), Daemons: s.reports.list(s.cfg.Clock())}
	for _, g := range s.groups {
		res.Groups = append(res.Groups, g.status())
	}
	return res, nil
}

func (g *group) status() *api.GroupStatus {
	st := g.view.Load().status
	out := &api.GroupStatus{
		Group: g.id, Term: st.Term, Leader: st.Leader.GetId(), CommitIndex: st.Commit, AppliedIndex: st.Applied,
		FirstIndex: st.First, ConfirmationAgeMs: g.ageMillis(),
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
		if !inList(st.ReplicaSet.Voters, r.Id) {
			add([]*api.ReplicaRef{r}, true)
		}
	}
	add(st.ReplicaSet.GetLearners(), false)
	return out
}

func withDetail(code codes.Code, err error, detail protoadapt.MessageV1) error {
	plain := status.New(code, err.Error())
	if detailed, detailErr := plain.WithDetails(detail); detailErr == nil {
		return detailed.Err()
	}
	return plain.Err() // a detail that does not encode must not hide the status
}
