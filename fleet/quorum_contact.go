package fleet

import (
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/replicaselect"
)

// quorumCheckInterval is the interval at which a replica checks its quorum contact.
const quorumCheckInterval = 25 * time.Millisecond

// quorumContact tracks whether this replica has quorum contact, so that daemons that wait for
// it are notified at once.
type quorumContact struct {
	mu          sync.Mutex
	established bool
	signal      chan struct{}
}

func newQuorumContact() quorumContact { return quorumContact{signal: make(chan struct{})} }

// update sets the age of the last quorum confirmation; confirmed is false if there was none.
func (q *quorumContact) update(age time.Duration, confirmed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before := q.established
	q.established = confirmed && age < replicaselect.MaxConfirmationAge
	if q.established && !before {
		close(q.signal)
		q.signal = make(chan struct{})
	}
}

// regained returns a channel that is closed when the replica regains quorum contact.
func (q *quorumContact) regained() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.signal
}
