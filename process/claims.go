package process

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/control/client"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// claimer binds the control client to the daemon. A claim that is not held by
// the claimant any more cannot be finished or released by trying again, so the
// daemon, which repeats failed calls, is told that the call is done.
type claimer struct {
	*client.Client
	logger *logging.Logger
}

// Finish implements daemon.ClaimClient.
func (c *claimer) Finish(ctx context.Context, r *api.FinishClaimRequest) error {
	return c.settled(c.Client.Finish(ctx, r))
}

// Release implements daemon.ClaimClient.
func (c *claimer) Release(ctx context.Context, r *api.ReleaseClaimRequest) error {
	return c.settled(c.Client.Release(ctx, r))
}

func (c *claimer) settled(err error) error {
	var notRecorded *client.NotRecordedError
	if errors.As(err, &notRecorded) {
		c.logger.Warn().Str("operation", notRecorded.Op).Str("key", notRecorded.Key.GetKey()).
			Msg("claim is not held by this daemon any more")
		return nil
	}
	return err
}
