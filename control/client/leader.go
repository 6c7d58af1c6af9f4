package client

import (
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// groupFunc returns the group of a request. The claim group of a key is known only after a
// response has contained the number of claim groups.
type groupFunc func(shards int) (group uint32, known bool)

func configurationGroup(int) (uint32, bool) { return 0, true }

// claimGroup returns a groupFunc for the claim group of a key.
func (c *Client) claimGroup(key *api.ClaimKey) groupFunc {
	return func(shards int) (uint32, bool) {
		if shards < 1 {
			return 0, false
		}
		return ShardOf(key, shards), true
	}
}

// target returns the address of the last known leader, or else that of the next process in
// round robin.
func (c *Client) target(group groupFunc) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g, known := group(c.shards); known {
		if address := c.leaders[g]; address != "" {
			return address
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	c.next++
	return c.addresses[c.next%len(c.addresses)]
}

// recordLeader records the process that responded as the leader of the group.
func (c *Client) recordLeader(group groupFunc, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g, known := group(c.shards); known {
		c.leaders[g] = address
	}
}

// updateLeader removes the leader after a failed call and records the leader address that the
// error contains, if any. It reports whether the error contains an address other than tried.
func (c *Client) updateLeader(group groupFunc, tried string, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	hint := notLeader(err)
	if hint.GetClaimShards() > 0 {
		c.shards = int(hint.ClaimShards)
	}
	g, known := group(c.shards)
	if !known {
		return false
	}
	delete(c.leaders, g)
	if hint.GetLeaderAddress() == "" || hint.LeaderAddress == tried {
		return false
	}
	c.leaders[g] = hint.LeaderAddress
	c.addAddress(hint.LeaderAddress)
	return true
}

// UnavailableError reports that no leader responded before the context ended.
type UnavailableError struct {
	// Unknown is set if an attempt may have reached a leader, so that the command
	// may have been or may still be executed.
	Unknown bool
	Last    error // of the last attempt
}

func (e *UnavailableError) Error() string {
	if e.Unknown {
		return fmt.Sprintf("control did not respond in time, the outcome is unknown: %v", e.Last)
	}
	return fmt.Sprintf("control is unavailable, nothing was executed: %v", e.Last)
}

// Unwrap returns the error of the last attempt.
func (e *UnavailableError) Unwrap() error { return e.Last }

// record records the error of an attempt.
func (e *UnavailableError) record(err error) {
	e.Last = err
	rejected := status.Code(err) == codes.ResourceExhausted || notLeader(err) != nil
	e.Unknown = e.Unknown || !rejected
}

// NotRecordedError reports that a claim is not held by the claimant.
type NotRecordedError struct {
	Op  string
	Key *api.ClaimKey
}

func (e *NotRecordedError) Error() string {
	return fmt.Sprintf("%s was not recorded: the claim of key %s is not held by this claimant", e.Op, e.Key.GetKey())
}
