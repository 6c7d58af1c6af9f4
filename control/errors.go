package control

import (
	"errors"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/raft"
)

// ConfigError reports settings that do not permit a start.
type ConfigError struct{ Reason string }

func (e *ConfigError) Error() string { return "control settings: " + e.Reason }

// BootstrapError reports that a group must not be formed because a configured
// peer already holds state. This replica lost its disk, or never had one: it
// has to start with join and be added by ReplaceReplica.
type BootstrapError struct {
	Peer    uint64
	Address string
	Reason  string
}

func (e *BootstrapError) Error() string {
	return fmt.Sprintf("cannot form a new group: replica %d at %s %s; start this replica with join", e.Peer, e.Address, e.Reason)
}

// OutcomeUnknownError reports a command whose leader lost its term before the
// command was committed. A later leader may still commit it; the client
// resends it unchanged.
type OutcomeUnknownError struct{ Group uint32 }

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("group %d: the leader lost its term; the outcome is unknown, resend the command unchanged", e.Group)
}

// OverloadedError reports that the queue of proposals was full. The command
// was not appended.
type OverloadedError struct{ Group uint32 }

func (e *OverloadedError) Error() string {
	return fmt.Sprintf("group %d: the queue of proposals is full; the command was not appended", e.Group)
}

// GroupFormingError reports that a group has no committed entry yet, so changes are
// not accepted.
type GroupFormingError struct{ Group uint32 }

func (e *GroupFormingError) Error() string {
	return fmt.Sprintf("group %d is still being formed; changes are accepted afterwards", e.Group)
}

// StateMachineError reports a machine that cannot make or restore a snapshot.
type StateMachineError struct {
	Group uint32
	Op    string
	Err   error
}

func (e *StateMachineError) Error() string {
	return fmt.Sprintf("group %d: %s: %v", e.Group, e.Op, e.Err)
}

// Unwrap returns the machine's error.
func (e *StateMachineError) Unwrap() error { return e.Err }

// grpcError gives an error the gRPC status and detail that clients act on.
func (s *Server) grpcError(group uint32, err error) error {
	var notLeader *raft.NotLeaderError
	var unknown *OutcomeUnknownError
	var overloaded *OverloadedError
	var forming *GroupFormingError
	switch {
	case errors.As(err, &notLeader):
		detail := &api.NotLeader{Group: group, ClaimShards: uint32(s.cfg.ClaimShards), LeaderAddress: notLeader.Leader.GetAddress()}
		return withDetail(codes.FailedPrecondition, err, detail)
	case errors.As(err, &unknown):
		return withDetail(codes.Aborted, err, &api.OutcomeUnknown{})
	case errors.As(err, &overloaded):
		return status.Error(codes.ResourceExhausted, err.Error())
	case errors.As(err, &forming):
		return status.Error(codes.Unavailable, err.Error())
	case status.Code(err) != codes.Unknown:
		return err
	}
	return status.FromContextError(err).Err()
}
