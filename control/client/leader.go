package client

import (
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// groupOf names the group of a request. The claim group of a key is known only
// after an answer has told the number of claim groups.
type groupOf func(shards int) (group uint32, known bool)

func configurationGroup(int) (uint32, bool) { return 0, true }

func (c *Client) claimGroup(key *api.ClaimKey) groupOf {
	return func(shards int) (uint32, bool) {
		if shards < 1 {
			return 0, false
		}
		return ShardOf(key, shards), true
	}
}

// target returns the address of the last known leader, or another process in
// turn.
func (c *Client) target(group groupOf) string {
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

func (c *Client) answered(group groupOf, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g, known := group(c.shards); known {
		c.leaders[g] = address
	}
}

// redirect forgets a leader that did not answer and takes the hint of a
// process that knows a better one. It reports whether there was a new hint.
func (c *Client) redirect(group groupOf, tried string, err error) bool {
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
	c.learnAddress(hint.LeaderAddress)
	return true
}

// UnavailableError reports that no leader answered before the context ended.
type UnavailableError struct {
	// Unknown is true if an attempt may have reached a leader, so that the
	// command may still be executed.
	Unknown bool
	Last    error // of the last attempt
}

func (e *UnavailableError) Error() string {
	if e.Unknown {
		return fmt.Sprintf("control did not answer in time, the outcome is unknown: %v", e.Last)
	}
	return fmt.Sprintf("control is unavailable, nothing was executed: %v", e.Last)
}

// Unwrap returns the error of the last attempt.
func (e *UnavailableError) Unwrap() error { return e.Last }

func (e *UnavailableError) add(err error) {
	e.Last = err
	refused := status.Code(err) == codes.ResourceExhausted || notLeader(err) != nil
	e.Unknown = e.Unknown || !refused
}

// NotRecordedError reports that a claim is not held by the claimant.
type NotRecordedError struct {
	Op  string
	Key *api.ClaimKey
}

func (e *NotRecordedError) Error() string {
	return fmt.Sprintf("%s was not recorded: the claim of key %s is not held by this claimant", e.Op, e.Key.GetKey())
}
