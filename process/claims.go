package process

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/control/client"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// claimClient adapts the control client to daemon.ClaimClient. The daemon retries failed
// calls, but a claim that this daemon no longer holds can never be finished or released.
// For such a claim, Finish and Release log a warning and return no error.
type claimClient struct {
	*client.Client
	logger *logging.Logger
}

// Finish implements daemon.ClaimClient.
func (c *claimClient) Finish(ctx context.Context, r *api.FinishClaimRequest) error {
	return c.ignoreNotRecorded(c.Client.Finish(ctx, r))
}

// Release implements daemon.ClaimClient.
func (c *claimClient) Release(ctx context.Context, r *api.ReleaseClaimRequest) error {
	return c.ignoreNotRecorded(c.Client.Release(ctx, r))
}

func (c *claimClient) ignoreNotRecorded(err error) error {
	var notRecorded *client.NotRecordedError
	if errors.As(err, &notRecorded) {
		c.logger.Warn().Str("operation", notRecorded.Op).Str("key", notRecorded.Key.GetKey()).
			Msg("claim no longer held by this daemon")
		return nil
	}
	return err
}
