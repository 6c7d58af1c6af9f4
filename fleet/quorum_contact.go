package fleet

import (
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/replicaselect"
)

// touchEvery is how often a replica looks whether it is in touch with its quorum.
const touchEvery = 25 * time.Millisecond

// touch follows whether this replica is in touch with its quorum, so that
// daemons that wait for that are told at once.
type touch struct {
	mu     sync.Mutex
	is     bool
	signal chan struct{}
}

func newTouch() touch { return touch{signal: make(chan struct{})} }

// look takes the age of the last confirmation, if there was one.
func (t *touch) look(age time.Duration, confirmed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	was := t.is
	t.is = confirmed && age < replicaselect.MaxConfirmationAge
	if t.is && !was {
		close(t.signal)
		t.signal = make(chan struct{})
	}
}

// regained returns a channel that is closed when the replica gets in touch.
func (t *touch) regained() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.signal
}
