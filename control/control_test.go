package control

import (
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
)

func claimRequest(key, claimant string) *api.ClaimRequest {
	k := &api.ClaimKey{Service: "bookings", Route: "POST /", Key: key}
	return &api.ClaimRequest{Key: k, Claimant: claimant, Fingerprint: []byte("f"), RemainingMs: 30_000}
}

// TestCommitAndRestart guards against the loss of accepted changes or granted claims when all
// replicas restart.
func TestCommitAndRestart(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.start(1, 2, 3)
	cl := c.client()
	for n := uint64(1); n <= 20; n++ {
		c.publish(cl, n)
	}
	key := uuid.Must(uuid.NewV7()).String()
	granted, err := cl.Claim(c.context(), claimRequest(key, "a"))
	require.NoError(t, err)
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_GRANTED, granted.Status)
	c.awaitVersion(20)

	for id := uint64(1); id <= 3; id++ {
		c.stop(id)
	}
	c.start(1, 2, 3)
	c.publish(cl, 21)
	c.awaitVersion(21)
	again, err := cl.Claim(c.context(), claimRequest(key, "b"))
	require.NoError(t, err)
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_IN_PROGRESS, again.Status)
}

// TestLeaderLoss guards against a group that does not continue with a majority of its voters
// after its leader has stopped.
func TestLeaderLoss(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.start(1, 2, 3)
	cl := c.client()
	c.publish(cl, 1)
	c.stop(c.leader(0))
	c.publish(cl, 2)
	c.awaitVersion(2)
}

// TestClaimShardsAreFixed guards against a start with a different number of claim groups: a key
// would move to a group that does not have its claim.
func TestClaimShardsAreFixed(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.start(1)
	c.publish(c.client(), 1)
	c.stop(1)
	c.shards = 3
	_, err := New(c.config(1, c.peers[1]))
	var configErr *ConfigError
	require.ErrorAs(t, err, &configErr)
}
