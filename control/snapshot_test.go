package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/statemachine"
)

// slowStateMachine blocks in Snapshot until release is closed.
type slowStateMachine struct {
	*statemachine.Configuration
	entered, release chan struct{}
}

func (m *slowStateMachine) Snapshot() ([]byte, error) {
	m.entered <- struct{}{}
	<-m.release
	return m.Configuration.Snapshot()
}

// TestSlowSnapshot guards against a large state machine that blocks the loop while it is
// encoded: entries must still be replicated, none may be applied to the state machine that is
// being read, and none may be lost.
func TestSlowSnapshot(t *testing.T) {
	c := newCluster(t, 3, 1)
	entered, release := make(chan struct{}, 100), make(chan struct{})
	const threshold = 10
	c.adjust = func(cfg *Config) {
		cfg.SnapshotThreshold = threshold
		cfg.NewStateMachine = func(group uint32) StateMachine {
			if group == 0 {
				return &slowStateMachine{statemachine.NewConfiguration(nil), entered, release}
			}
			return statemachine.NewClaims(time.Hour)
		}
	}
	c.start(1, 2, 3)
	const changes = 40
	published := make(chan error, changes)
	cl := c.client()
	go func() {
		for n := uint64(1); n <= changes; n++ {
			_, err := cl.Publish(c.context(), configChange(n))
			published <- err
		}
	}()
	for range c.peers {
		<-entered
	}
	leader := c.running[c.leader(0)].server.groups[0]
	require.Eventually(t, func() bool { return leader.view.Load().status.Commit > threshold }, testTimeout, time.Millisecond)
	close(release)
	for range changes {
		require.NoError(t, <-published)
	}
	c.awaitVersion(changes)
}
