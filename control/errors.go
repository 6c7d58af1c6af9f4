package control

import (
	"errors"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/raft"
)

// ConfigError reports invalid settings.
type ConfigError struct{ Reason string }

func (e *ConfigError) Error() string { return "control settings: " + e.Reason }

// BootstrapError reports that a new group must not be bootstrapped, for example because a
// configured peer already has state. This replica is then new or has lost its disk: it must be
// started with join and added by ReplaceReplica.
type BootstrapError struct {
	Peer    uint64
	Address string
	Reason  string
}

func (e *BootstrapError) Error() string {
	return fmt.Sprintf("cannot bootstrap a new group: replica %d at %s %s; start this replica with join", e.Peer, e.Address, e.Reason)
}

// OutcomeUnknownError reports that the leader of a command lost its leadership before the
// command was committed. A later leader may still commit it; the client retries it unchanged.
type OutcomeUnknownError struct{ Group uint32 }

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("group %d: the leader lost its leadership; the outcome is unknown, retry the command unchanged", e.Group)
}

// OverloadedError reports that the proposal queue was full. The command was not appended to
// the log.
type OverloadedError struct{ Group uint32 }

func (e *OverloadedError) Error() string {
	return fmt.Sprintf("group %d: the proposal queue is full; the command was not appended to the log", e.Group)
}

// BootstrapIncompleteError reports that the bootstrap of a group is not complete, so that changes
// are not accepted: it has no committed entry or, with seeds, too few voters.
type BootstrapIncompleteError struct{ Group uint32 }

func (e *BootstrapIncompleteError) Error() string {
	return fmt.Sprintf("group %d is still being bootstrapped; changes are accepted afterwards", e.Group)
}

// StateMachineError reports a failed snapshot or restore of a state machine.
type StateMachineError struct {
	Group uint32
	Op    string
	Err   error
}

func (e *StateMachineError) Error() string {
	return fmt.Sprintf("group %d: %s: %v", e.Group, e.Op, e.Err)
}

// Unwrap returns the error of the state machine.
func (e *StateMachineError) Unwrap() error { return e.Err }

// grpcError converts an error into the gRPC status and detail by which clients decide what
// to do next.
func (s *Server) grpcError(group uint32, err error) error {
	var notLeader *raft.NotLeaderError
	var unknown *OutcomeUnknownError
	var overloaded *OverloadedError
	var bootstrapIncomplete *BootstrapIncompleteError
	switch {
	case errors.As(err, &notLeader):
		detail := &api.NotLeader{Group: group, ClaimShards: uint32(s.cfg.ClaimShards), LeaderAddress: notLeader.Leader.GetAddress()}
		return withDetail(codes.FailedPrecondition, err, detail)
	case errors.As(err, &unknown):
		return withDetail(codes.Aborted, err, &api.OutcomeUnknown{})
	case errors.As(err, &overloaded):
		return status.Error(codes.ResourceExhausted, err.Error())
	case errors.As(err, &bootstrapIncomplete):
		return status.Error(codes.Unavailable, err.Error())
	case status.Code(err) != codes.Unknown:
		return err
	}
	return status.FromContextError(err).Err()
}
