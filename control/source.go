package control

import (
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// configurationMachine is what the machine of group 0 offers beside StateMachine.
type configurationMachine interface {
	Version() uint64
	ChangesSince(version uint64) (changed []*api.ServiceDocument, removed []string)
}

// ConfigSource gives the feed read access to the configuration that this
// replica has applied. It is safe for concurrent use.
type ConfigSource struct {
	server *Server

	mu      sync.Mutex
	version uint64
	changed chan struct{}
}

// ConfigSource returns the configuration of this replica for the feed.
func (s *Server) ConfigSource() *ConfigSource { return s.source }

// update runs in the loop of group 0 after entries were applied.
func (c *ConfigSource) update(machine StateMachine) {
	m, ok := machine.(interface{ Version() uint64 })
	if !ok {
		return
	}
	version := m.Version()
	c.mu.Lock()
	defer c.mu.Unlock()
	if version != c.version {
		c.version = version
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// Version returns the newest version that this replica has applied.
func (c *ConfigSource) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Changed returns a channel that is closed at the next change of the version.
// A caller takes the channel first and then reads the version.
func (c *ConfigSource) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Since returns the newest version, and the services that were changed or
// removed after the given one. From 0 it is a full copy.
func (c *ConfigSource) Since(version uint64) (newest uint64, changed []*api.ServiceDocument, removed []string) {
	g := c.server.configuration()
	g.machineMu.RLock()
	defer g.machineMu.RUnlock()
	m, ok := g.machine.(configurationMachine)
	if !ok {
		return 0, nil, nil
	}
	changed, removed = m.ChangesSince(version)
	return m.Version(), changed, removed
}

// ConfirmationAge returns an upper bound of the time since a leader confirmed
// with a quorum that Version includes every change accepted until then; false
// if there was no confirmation since the start. On an isolated replica it
// grows.
func (c *ConfigSource) ConfirmationAge() (time.Duration, bool) {
	return c.server.configuration().age()
}

// ConfirmationAgeMs is ConfirmationAge in milliseconds, rounded up; -1 if there
// was no confirmation since the start.
func (c *ConfigSource) ConfirmationAgeMs() int64 { return c.server.configuration().ageMillis() }

func (s *Server) configuration() *group { return s.groups[0] }
