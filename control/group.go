package control

import (
	"context"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/raft"
	"github.com/bilberrydeck/bilberrydeck/storage"
)

// Limits of the queues into a group's loop, and of the number of messages and of proposals
// that one pass of the loop takes from them. A pass ends with one sync, so that at most about
// batchLimit commands share a sync.
const (
	inboxLimit    = 1024
	proposalLimit = 4096
	batchLimit    = 1024
)

// group is one raft group: its raft state, its log on disk and its state machine. All of them
// are owned by the goroutine that executes run.
type group struct {
	id     uint32
	server *Server
	raft   *raft.Raft
	log    *storage.Log

	stateMachineMu sync.RWMutex // locked for writing by the loop while it applies entries
	stateMachine   StateMachine

	inbox       chan *api.ReplicaMessage
	proposals   chan *proposal
	confChanges chan *confChange

	waiters       map[uint64]waiter // by log index of the proposal
	snapshotIndex uint64            // index of the newest snapshot
	// snapshotBytes is the size of the state machine in the newest snapshot.
	snapshotBytes int

	// Background jobs encode and write a snapshot and remove the files that it
	// replaces. They return to the loop through callbacks.
	callbacks  chan func() error // executed by the loop
	jobRunning bool              // at most one background job runs at a time
	encoding   bool              // a job reads the state machine, so entries are deferred
	deferred   []*api.Entry

	view  atomic.Pointer[view]
	empty atomic.Bool // no entry or snapshot has been stored yet
}

// view is a read-only copy of a group's state for other goroutines.
type view struct {
	status      raft.Status
	confirmedAt time.Time // time of the newest quorum confirmation, zero if none
}

// proposal is a command to be replicated.
type proposal struct {
	data []byte
	done chan result // buffered, so that the loop does not block
}

// result is the result of a command from the state machine, or an error.
type result struct {
	data []byte
	err  error
}

// waiter receives the result of a proposal.
type waiter struct {
	term uint64 // in which it was proposed
	done chan result
}

// confChange is a change of the replica set, executed by the loop.
type confChange struct {
	propose func(*raft.Raft) error
	done    chan error // buffered
}

// openGroup opens the log of a group and restores its state.
func (s *Server) openGroup(id uint32) (*group, error) {
	dir := filepath.Join(s.cfg.DataDirectory, "group-"+strconv.FormatUint(uint64(id), 10))
	log, stored, err := storage.OpenLog(s.cfg.FS, dir, 0)
	if err != nil {
		return nil, err
	}
	g := &group{
		id: id, server: s, log: log, stateMachine: s.cfg.NewStateMachine(id),
		inbox:       make(chan *api.ReplicaMessage, inboxLimit),
		proposals:   make(chan *proposal, proposalLimit),
		confChanges: make(chan *confChange),
		waiters:     map[uint64]waiter{},
		callbacks:   make(chan func() error),
	}
	g.empty.Store(stored.Empty())
	if err := g.restore(stored); err != nil {
		_ = log.Close() // the first error is reported
		return nil, err
	}
	return g, nil
}

// restore creates the raft instance and restores the state machine from the stored state.
func (g *group) restore(stored *storage.State) error {
	if stored.Snapshot != nil {
		g.snapshotIndex, g.snapshotBytes = stored.Snapshot.Meta.Index, len(stored.Snapshot.Data)
		if err := g.stateMachine.Restore(stored.Snapshot.Data); err != nil {
			return &StateMachineError{g.id, "restore", err}
		}
	}
	cfg := g.server.cfg
	g.raft = raft.New(raft.Config{
		Self: g.server.self, Seed: cfg.Seed + uint64(g.id), TrailingEntries: trailingEntries,
		HeartbeatTicks: cfg.HeartbeatTicks, ElectionTicks: cfg.ElectionTicks,
		HardState: stored.HardState, Snapshot: stored.Snapshot, Entries: stored.Entries,
	})
	g.publishView()
	return nil
}

// bootstrap writes the bootstrap entry of a new group.
func (g *group) bootstrap(voters []*api.ReplicaRef) error {
	e, err := raft.BootstrapEntry(voters)
	if err != nil {
		return err
	}
	hs := raft.HardState{Term: e.Term}
	entries := []*api.Entry{e}
	if err := g.log.Append(&hs, entries, true); err != nil {
		return err
	}
	g.empty.Store(false)
	return g.restore(&storage.State{HardState: hs, Entries: entries})
}

// run executes the group until the context ends or the disk fails.
func (g *group) run(ctx context.Context) error {
	defer g.close()
	ticker := time.NewTicker(g.server.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.raft.Tick(g.server.cfg.Clock())
		case m := <-g.inbox:
			g.raft.Step(g.server.cfg.Clock(), m)
		case p := <-g.proposals:
			g.propose(p)
		case c := <-g.confChanges:
			c.done <- c.propose(g.raft)
		case step := <-g.callbacks:
			if err := step(); err != nil {
				return err
			}
		}
		g.drainQueues()
		if err := g.handleReady(); err != nil {
			return err
		}
	}
}

// drainQueues takes further queued messages and proposals, so that all of them share one
// sync.
func (g *group) drainQueues() {
	now := g.server.cfg.Clock()
	for range batchLimit {
		select {
		case m := <-g.inbox:
			g.raft.Step(now, m)
			continue
		default:
		}
		break
	}
	for range batchLimit {
		select {
		case p := <-g.proposals:
			g.propose(p)
			continue
		default:
		}
		break
	}
}

// propose appends a command to the log and registers its waiter.
func (g *group) propose(p *proposal) {
	index, term, err := g.raft.Propose(p.data)
	if err != nil {
		p.done <- result{err: err}
		return
	}
	g.waiters[index] = waiter{term, p.done}
}

// handleReady persists entries, sends messages and applies committed entries until raft returns an
// empty Ready.
func (g *group) handleReady() error {
	term := g.raft.Term()
	for {
		rd := g.raft.Ready()
		if rd.Empty() {
			break
		}
		if err := g.persist(&rd); err != nil {
			return err
		}
		g.server.transport.send(g.id, rd.Messages)
		g.apply(rd.Committed)
		g.raft.Advance()
	}
	if g.raft.Role() != raft.Leader || g.raft.Term() != term {
		g.failWaiters()
	}
	g.maybeSnapshot()
	g.publishView()
	return nil
}

// persist writes the snapshot, hard state and entries of a Ready to disk.
func (g *group) persist(rd *raft.Ready) error {
	if rd.Snapshot != nil {
		if err := g.installSnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if !rd.MustSync {
		return nil // only the commit index changed, which is determined again after a restart
	}
	if err := g.log.Append(rd.HardState, rd.Entries, true); err != nil {
		return err
	}
	if rd.Snapshot != nil || len(rd.Entries) > 0 {
		g.empty.Store(false)
	}
	return nil
}

// apply applies committed entries to the state machine, or defers them while a snapshot is
// encoded.
func (g *group) apply(entries []*api.Entry) {
	if len(entries) == 0 {
		return
	}
	if g.encoding {
		g.deferred = append(g.deferred, entries...)
		return
	}
	g.stateMachineMu.Lock()
	defer g.stateMachineMu.Unlock()
	for _, e := range entries {
		var data []byte
		if e.Kind == api.EntryKind_ENTRY_KIND_COMMAND {
			data = g.stateMachine.Apply(e.Index, e.Data)
		}
		g.notifyWaiter(e, data)
	}
}

// notifyWaiter passes the result of an applied entry to the waiter at its index. An entry of
// another term at that index replaced the proposal, whose outcome is then unknown.
func (g *group) notifyWaiter(e *api.Entry, data []byte) {
	w, ok := g.waiters[e.Index]
	if !ok {
		return
	}
	delete(g.waiters, e.Index)
	if w.term != e.Term {
		w.done <- result{err: &OutcomeUnknownError{g.id}}
		return
	}
	w.done <- result{data: data}
}

// failWaiters ends all waiting calls with OutcomeUnknownError.
func (g *group) failWaiters() {
	for index, w := range g.waiters {
		delete(g.waiters, index)
		w.done <- result{err: &OutcomeUnknownError{g.id}}
	}
}

// publishView makes the current state visible to other goroutines.
func (g *group) publishView() {
	v := &view{status: g.raft.Status()}
	v.confirmedAt, _ = g.raft.ConfirmedAt()
	if g.encoding {
		v.confirmedAt = g.view.Load().confirmedAt // deferred entries are not applied yet
	}
	before := g.view.Swap(v)
	if before == nil || before.status.Role != v.status.Role || before.status.Leader.GetId() != v.status.Leader.GetId() {
		g.server.cfg.Logger.Info().Uint32("group", g.id).Uint64("term", v.status.Term).Str("role", v.status.Role.String()).
			Uint64("leader", v.status.Leader.GetId()).Msg("role changed")
	}
	if g.id == 0 {
		g.server.source.update(g.stateMachine)
	}
}

// close ends waiting calls and background jobs and closes the log.
func (g *group) close() {
	g.failWaiters()
	_ = g.awaitJob()  // a snapshot that fails here is created again later
	_ = g.log.Close() // all required writes were synced
}

// submit proposes a command at the local leader and waits for its result.
func (g *group) submit(ctx context.Context, data []byte) ([]byte, error) {
	if v := g.view.Load(); v.status.Role != raft.Leader {
		return nil, &raft.NotLeaderError{Leader: v.status.Leader}
	}
	p := &proposal{data: data, done: make(chan result, 1)}
	select {
	case g.proposals <- p:
	default:
		return nil, &OverloadedError{g.id}
	}
	select {
	case r := <-p.done:
		return r.data, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-g.server.stopped:
		return nil, &OutcomeUnknownError{g.id}
	}
}

// confirmationAge returns the time since the last quorum confirmation; false if there was
// none.
func (g *group) confirmationAge() (time.Duration, bool) {
	v := g.view.Load()
	if v.confirmedAt.IsZero() {
		return 0, false
	}
	return max(0, g.server.cfg.Clock().Sub(v.confirmedAt)), true
}

// confirmationAgeMs returns the confirmation age in milliseconds, rounded up, or -1.
func (g *group) confirmationAgeMs() int64 {
	age, ok := g.confirmationAge()
	if !ok {
		return -1
	}
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}
