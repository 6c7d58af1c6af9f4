package relay

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// ControlConfig configures the feed server of a control replica.
type ControlConfig struct {
	Name      string // id of the replica in the feed
	Source    Source
	Log       *log.Logger // nil for none
	Authorize Authorize   // nil without TLS
	// OnReports receives what relays report of their daemons. It must not
	// wait. Nil drops the reports.
	OnReports func([]*api.DaemonStatus)
}

// ControlServer serves the configuration of a control replica to relays and
// passes on what they report of their daemons. It implements api.FeedServer.
type ControlServer struct {
	*hub
	cfg     ControlConfig
	cache   documentCache
	waveAt  time.Time
	version uint64
}

// NewControlServer returns a server that works while Run does.
func NewControlServer(cfg ControlConfig) *ControlServer {
	lp := newLoop()
	c := &ControlServer{cfg: cfg}
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
}

func (c *ControlServer) requested(_ time.Time, _ *subscriber, r *api.SyncRequest) {
	if list := r.GetReports(); len(list) > 0 && c.cfg.OnReports != nil {
		c.cfg.OnReports(list)
	}
}

func (c *ControlServer) left(time.Time, *subscriber) {}

func (c *ControlServer) update(_ time.Time, s *subscriber) *api.SyncUpdate {
	// The age is read first: versions grow, so the version read after it
	// covers the confirmation.
	age, confirmed := c.cfg.Source.ConfirmationAge()
	version := c.cfg.Source.Version()
	u := &api.SyncUpdate{
		Source:              c.cfg.Name,
		Echo:                s.echo,
		SourceVersion:       version,
		ConfirmationAgeMs:   -1,
		ConfirmationBoundMs: -1,
	}
	if confirmed {
		u.ConfirmedVersion = version
		u.ConfirmationAgeMs = millisUp(age)
		u.ConfirmationBoundMs = millisUp(age)
	}
	if s.wantConfig && s.held < version {
		u.Config = c.cache.get(version, s.held, func() *api.ConfigDelta { return c.delta(s.held) })
		u.SourceVersion = max(version, u.Config.GetToVersion())
		s.held = u.Config.GetToVersion()
	}
	return u
}

func (c *ControlServer) delta(since uint64) *api.ConfigDelta {
	newest, changed, removed := c.cfg.Source.Since(since)
	return &api.ConfigDelta{FromVersion: since, ToVersion: newest, Services: changed, RemovedServices: removed}
}
