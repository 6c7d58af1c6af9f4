package raft

import (
	"fmt"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// NotLeaderError is returned for a proposal to a replica that is not the
// leader. The proposal was not appended to any log.
type NotLeaderError struct {
	Leader *api.ReplicaRef // nil if unknown
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == nil {
		return "not the leader; no leader is known"
	}
	return fmt.Sprintf("not the leader; the leader is replica %d at %s", e.Leader.Id, e.Leader.Address)
}

// ReplacementInProgressError is returned for a change of the replica set while
// another replacement is incomplete.
type ReplacementInProgressError struct {
	OldID, NewID uint64
}

// Error implements error.
func (e *ReplacementInProgressError) Error() string {
	return fmt.Sprintf("the replacement of replica %d by replica %d is in progress", e.OldID, e.NewID)
}

// NoCommitInTermError is returned for a change of the replica set before the
// leader has committed an entry of its own term. The caller retries.
type NoCommitInTermError struct{}

// Error implements error.
func (e *NoCommitInTermError) Error() string {
	return "the leader has not committed an entry of its term yet"
}

// ReplicaIDError is returned for a change of the replica set that names an
// unknown replica, or a new replica whose id is in use.
type ReplicaIDError struct {
	ID     uint64
	Reason string
}

// Error implements error.
func (e *ReplicaIDError) Error() string { return fmt.Sprintf("replica %d: %s", e.ID, e.Reason) }
