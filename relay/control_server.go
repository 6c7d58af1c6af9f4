package relay

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// daemonStatusRetention is the age above which the status of a daemon is evicted.
const daemonStatusRetention = time.Minute

// ControlConfig configures the feed server of a control replica.
type ControlConfig struct {
	Name      string // name of the replica as a feed source
	Source    Source
	Logger    *log.Logger // nil discards all log lines
	Authorize Authorize   // nil without TLS
}

// ControlServer is the feed server of a control replica: it serves the configuration to relays
// and collects the statuses of daemons that they report. It implements api.FeedServer.
type ControlServer struct {
	*hub
	cfg            ControlConfig
	daemonStatuses *daemonStatuses
	cache          documentCache
	lastBroadcast  time.Time
	version        uint64
}

// NewControlServer returns a feed server that serves while Run executes.
func NewControlServer(cfg ControlConfig) *ControlServer {
	lp := newLoop()
	c := &ControlServer{cfg: cfg, daemonStatuses: newDaemonStatuses()}
	c.hub = newHub(lp, logger(cfg.Logger), cfg.Authorize, c)
	lp.tick, lp.flush = c.tick, c.hub.flush
	return c
}

// Run serves until ctx ends.
func (c *ControlServer) Run(ctx context.Context) {
	go c.watch(ctx)
	c.loop.run(ctx)
}

// watch posts an event for each change notification of the source.
func (c *ControlServer) watch(ctx context.Context) {
	for {
		changed := c.cfg.Source.Changed()
		c.loop.post(eventFunc(c.versionChanged))
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// versionChanged schedules an update to each subscriber if the source has a new version.
func (c *ControlServer) versionChanged(time.Time) {
	if v := c.cfg.Source.Version(); v != c.version {
		c.version = v
		c.markAllDirty()
	}
}

func (c *ControlServer) tick(now time.Time) {
	if now.Sub(c.lastBroadcast) >= broadcastInterval-tickInterval/2 {
		c.lastBroadcast = now
		c.markAllDirty()
	}
	c.daemonStatuses.expire(now)
}

// requestReceived implements hubHandler: it records the statuses that a relay reports.
func (c *ControlServer) requestReceived(now time.Time, s *subscription, r *api.SyncRequest) {
	for _, d := range r.GetReports() {
		c.daemonStatuses.record(now, d)
	}
}

// subscriptionClosed implements hubHandler.
func (c *ControlServer) subscriptionClosed(time.Time, *subscription) {}

// buildUpdate implements hubHandler.
func (c *ControlServer) buildUpdate(_ time.Time, s *subscription) *api.SyncUpdate {
	u := &api.SyncUpdate{
		Source:              c.cfg.Name,
		Echo:                s.echo,
		SourceVersion:       c.cfg.Source.Version(),
		ConfirmationAgeMs:   -1,
		ConfirmationBoundMs: -1,
	}
	if version, age, ok := c.cfg.Source.Confirmation(); ok {
		u.ConfirmedVersion = version
		u.ConfirmationAgeMs = millisRoundUp(age)
		u.ConfirmationBoundMs = millisRoundUp(age)
	}
	if s.wantConfig && s.syncedVersion < u.SourceVersion {
		u.Config = c.cache.get(u.SourceVersion, s.syncedVersion, func() *api.ConfigDelta { return c.cfg.Source.ChangesSince(s.syncedVersion) })
		s.syncedVersion = u.Config.GetToVersion()
		u.SourceVersion = max(u.SourceVersion, s.syncedVersion)
	}
	return u
}

// DaemonStatuses returns the last status of each daemon that a relay has reported, sorted by
// id. It returns nil if ctx or Run has ended.
func (c *ControlServer) DaemonStatuses(ctx context.Context) []*api.DaemonStatus {
	result := make(chan []*api.DaemonStatus, 1)
	if !c.loop.post(eventFunc(func(now time.Time) { result <- c.daemonStatuses.list(now) })) {
		return nil
	}
	select {
	case list := <-result:
		return list
	case <-c.loop.done:
	case <-ctx.Done():
	}
	return nil
}
