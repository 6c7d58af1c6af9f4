package control

import (
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// configStateMachine is implemented by the state machine of group 0 in addition to
// StateMachine.
type configStateMachine interface {
	Version() uint64
	ChangesSince(version uint64) (changed []*api.ServiceDocument, removed []string)
}

// ConfigSource gives the feed read access to the configuration that this replica has applied.
// It is safe for concurrent use.
type ConfigSource struct {
	server *Server

	mu      sync.Mutex
	version uint64
	changed chan struct{}
}

// ConfigSource returns the configuration of this replica.
func (s *Server) ConfigSource() *ConfigSource { return s.source }

// update closes the channel of Changed if the version has changed. The loop of group 0 calls
// it after entries were applied.
func (c *ConfigSource) update(stateMachine StateMachine) {
	m, ok := stateMachine.(interface{ Version() uint64 })
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

// Changed returns a channel that is closed at the next change of the version. To miss no
// change, a caller obtains the channel before it reads the version.
func (c *ConfigSource) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// ChangesSince returns the newest version and the services that were changed or removed after the
// given one. For version 0 it returns all services.
func (c *ConfigSource) ChangesSince(version uint64) (newest uint64, changed []*api.ServiceDocument, removed []string) {
	g := c.server.configGroup()
	g.stateMachineMu.RLock()
	defer g.stateMachineMu.RUnlock()
	m, ok := g.stateMachine.(configStateMachine)
	if !ok {
		return 0, nil, nil
	}
	changed, removed = m.ChangesSince(version)
	return m.Version(), changed, removed
}

// ConfirmationAge returns an upper bound of the time since a quorum confirmed to a leader that
// Version includes every change accepted until then; false if there was no confirmation since
// the start. On an isolated replica it grows without bound.
func (c *ConfigSource) ConfirmationAge() (time.Duration, bool) {
	return c.server.configGroup().confirmationAge()
}

// ConfirmationAgeMs returns ConfirmationAge in milliseconds, rounded up; -1 if there was no
// confirmation since the start.
func (c *ConfigSource) ConfirmationAgeMs() int64 { return c.server.configGroup().confirmationAgeMs() }

// configGroup returns the group of the configuration.
func (s *Server) configGroup() *group { return s.groups[0] }
