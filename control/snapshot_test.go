package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/statemachine"
)

// slowMachine encodes its state only when it is let.
type slowMachine struct {
	*statemachine.Configuration
	entered, let chan struct{}
}

func (m *slowMachine) Snapshot() ([]byte, error) {
	m.entered <- struct{}{}
	<-m.let
	return m.Configuration.Snapshot()
}

// TestSlowSnapshot guards against a large machine that stops the loop while it
// is encoded: entries must go on being replicated, none may be applied to the
// machine that is being read, and none may be lost.
func TestSlowSnapshot(t *testing.T) {
	c := newCluster(t, 3, 1)
	entered, let := make(chan struct{}, 100), make(chan struct{})
	const threshold = 10
	c.adjust = func(cfg *Config) {
		cfg.SnapshotThreshold = threshold
		cfg.NewStateMachine = func(group uint32) StateMachine {
			if group == 0 {
				return &slowMachine{statemachine.NewConfiguration(nil), entered, let}
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
			_, err := cl.Publish(c.context(), change(n))
			published <- err
		}
	}()
	for range c.peers {
		<-entered
	}
	leader := c.running[c.leader(0)].server.groups[0]
	require.Eventually(t, func() bool { return leader.view.Load().status.Commit > threshold }, patience, time.Millisecond)
	close(let)
	for range changes {
		require.NoError(t, <-published)
	}
	c.agree(changes)
}
