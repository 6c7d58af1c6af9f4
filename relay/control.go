package relay

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// forgetReportAfter is the age above which the report of a daemon is dropped.
const forgetReportAfter = time.Minute

// ControlConfig configures the feed server of a control replica.
type ControlConfig struct {
	Name      string // id of the replica in the feed
	Source    Source
	Log       *log.Logger // nil for none
	Authorize Authorize   // nil without TLS
}

// ControlServer serves the configuration of a control replica to relays and
// collects what they report of their daemons. It implements api.FeedServer.
type ControlServer struct {
	*hub
	cfg     ControlConfig
	reports *reports
	cache   documentCache
	waveAt  time.Time
	version uint64
}

// NewControlServer returns a server that works while Run does.
func NewControlServer(cfg ControlConfig) *ControlServer {
	lp := newLoop()
	c := &ControlServer{cfg: cfg, reports: newReports()}
	c.hub = newHub(lp, logger(cfg.Log), cfg.Authorize, c)
	lp.tick, lp.flush = c.tick, c.hub.flush
	return c
}

// Run serves until ctx ends.
func (c *ControlServer) Run(ctx context.Context) {
	go c.watch(ctx)
	c.loop.run(ctx)
}

// watch turns the change notifications of the source into events.
func (c *ControlServer) watch(ctx context.Context) {
	for {
		changed := c.cfg.Source.Changed()
		c.loop.post(eventFunc(c.changed))
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (c *ControlServer) changed(time.Time) {
	if v := c.cfg.Source.Version(); v != c.version {
		c.version = v
		c.markAll()
	}
}

func (c *ControlServer) tick(now time.Time) {
	if now.Sub(c.waveAt) >= waveEvery-tickEvery/2 {
		c.waveAt = now
		c.markAll()
	}
	c.reports.expire(now)
}

func (c *ControlServer) requested(now time.Time, s *subscriber, r *api.SyncRequest) {
	for _, d := range r.GetReports() {
		c.reports.record(now, d)
	}
}

func (c *ControlServer) left(time.Time, *subscriber) {}

func (c *ControlServer) update(_ time.Time, s *subscriber) *api.SyncUpdate {
	u := &api.SyncUpdate{
		Source:              c.cfg.Name,
		Echo:                s.echo,
		SourceVersion:       c.cfg.Source.Version(),
		ConfirmationAgeMs:   -1,
		ConfirmationBoundMs: -1,
	}
	if version, age, ok := c.cfg.Source.Confirmation(); ok {
		u.ConfirmedVersion = version
		u.ConfirmationAgeMs = millisUp(age)
		u.ConfirmationBoundMs = millisUp(age)
	}
	if s.wantConfig && s.held < u.SourceVersion {
		u.Config = c.cache.get(u.SourceVersion, s.held, func() *api.ConfigDelta { return c.cfg.Source.Since(s.held) })
		s.held = u.Config.GetToVersion()
		u.SourceVersion = max(u.SourceVersion, s.held)
	}
	return u
}

// DaemonStatuses returns the last report of each daemon that a relay has reported,
// sorted by id.
func (c *ControlServer) DaemonStatuses(ctx context.Context) []*api.DaemonStatus {
	result := make(chan []*api.DaemonStatus, 1)
	if !c.loop.post(eventFunc(func(now time.Time) { result <- c.reports.all(now) })) {
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
