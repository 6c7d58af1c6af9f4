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

// Limits of the queues into a group's loop, and of what one pass of the loop
// takes from them. A pass ends in one sync, so the limit of proposals is the
// largest number of commands that share a sync.
const (
	inboxLimit    = 1024
	proposalLimit = 4096
	passLimit     = 1024
)

// group is one replicated group: its core, its log on disk and its machine.
// All of them belong to the goroutine that executes run.
type group struct {
	id     uint32
	server *Server
	raft   *raft.Raft
	log    *storage.Log

	machineMu sync.RWMutex // held for writing by the loop while it applies
	machine   StateMachine

	inbox     chan *api.ReplicaMessage
	proposals chan *proposal
	changes   chan *setChange

	waiting  map[uint64]waiter // by log index
	snapshot uint64            // index of the newest snapshot
	// snapshotBytes is the size of the machine in the newest snapshot.
	snapshotBytes int

	// A snapshot is encoded, written and cleaned up after beside the loop.
	steps    chan func() error // executed by the loop
	saving   bool              // a job runs
	encoding bool              // the machine is read: entries are deferred
	deferred []*api.Entry

	view  atomic.Pointer[view]
	empty atomic.Bool // no entry and no snapshot was ever stored
}

// view is what other goroutines see of a group.
type view struct {
	status      raft.Status
	confirmedAt time.Time // zero if there was no confirmation
}

type proposal struct {
	data []byte
	done chan result // buffered, so that the loop never waits
}

type result struct {
	data []byte
	err  error
}

type waiter struct {
	term uint64
	done chan result
}

// setChange is a change of the replica set, executed by the loop.
type setChange struct {
	propose func(*raft.Raft) error
	done    chan error // buffered
}

func (s *Server) openGroup(id uint32) (*group, error) {
	dir := filepath.Join(s.cfg.DataDirectory, "group-"+strconv.FormatUint(uint64(id), 10))
	log, stored, err := storage.OpenLog(s.cfg.FS, dir, 0)
	if err != nil {
		return nil, err
	}
	g := &group{
		id: id, server: s, log: log, machine: s.cfg.NewStateMachine(id),
		inbox:     make(chan *api.ReplicaMessage, inboxLimit),
		proposals: make(chan *proposal, proposalLimit),
		changes:   make(chan *setChange),
		waiting:   map[uint64]waiter{},
		steps:     make(chan func() error),
	}
	g.empty.Store(stored.Empty())
	if err := g.start(stored); err != nil {
		_ = log.Close() // the first error is reported
		return nil, err
	}
	return g, nil
}

// start builds the core and the machine from what was stored.
func (g *group) start(stored *storage.State) error {
	if stored.Snapshot != nil {
		g.snapshot, g.snapshotBytes = stored.Snapshot.Meta.Index, len(stored.Snapshot.Data)
		if err := g.machine.Restore(stored.Snapshot.Data); err != nil {
			return &StateMachineError{g.id, "restore", err}
		}
	}
	cfg := g.server.cfg
	g.raft = raft.New(raft.Config{
		Self: g.server.self, Seed: cfg.Seed + uint64(g.id), TrailingEntries: trailingEntries,
		HeartbeatTicks: cfg.HeartbeatTicks, ElectionTicks: cfg.ElectionTicks,
		HardState: stored.HardState, Snapshot: stored.Snapshot, Entries: stored.Entries,
	})
	g.publish()
	return nil
}

// found writes the first entry of a new group.
func (g *group) found(voters []*api.ReplicaRef) error {
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
	return g.start(&storage.State{HardState: hs, Entries: entries})
}

// run executes the group until the context ends or the disk fails.
func (g *group) run(ctx context.Context) error {
	defer g.stop()
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
		case c := <-g.changes:
			c.done <- c.propose(g.raft)
		case step := <-g.steps:
			if err := step(); err != nil {
				return err
			}
		}
		g.drain()
		if err := g.process(); err != nil {
			return err
		}
	}
}

// drain takes what else is queued, so that all of it shares one sync.
func (g *group) drain() {
	now := g.server.cfg.Clock()
	for range passLimit {
		select {
		case m := <-g.inbox:
			g.raft.Step(now, m)
			continue
		default:
		}
		break
	}
	for range passLimit {
		select {
		case p := <-g.proposals:
			g.propose(p)
			continue
		default:
		}
		break
	}
}

func (g *group) propose(p *proposal) {
	index, term, err := g.raft.Propose(p.data)
	if err != nil {
		p.done <- result{err: err}
		return
	}
	g.waiting[index] = waiter{term, p.done}
}

// process does the work that follows from the messages, ticks and proposals.
func (g *group) process() error {
	term := g.raft.Term()
	for {
		rd := g.raft.Ready()
		if rd.Empty() {
			break
		}
		if err := g.store(&rd); err != nil {
			return err
		}
		g.server.transport.send(g.id, rd.Messages)
		g.apply(rd.Committed)
		g.raft.Advance()
	}
	if g.raft.Role() != raft.Leader || g.raft.Term() != term {
		g.failWaiting()
	}
	g.maybeSnapshot()
	g.publish()
	return nil
}

func (g *group) store(rd *raft.Ready) error {
	if rd.Snapshot != nil {
		if err := g.install(rd.Snapshot); err != nil {
			return err
		}
	}
	if !rd.MustSync {
		return nil // the commit index alone is found again after a restart
	}
	if err := g.log.Append(rd.HardState, rd.Entries, true); err != nil {
		return err
	}
	if rd.Snapshot != nil || len(rd.Entries) > 0 {
		g.empty.Store(false)
	}
	return nil
}

func (g *group) apply(entries []*api.Entry) {
	if len(entries) == 0 {
		return
	}
	if g.encoding {
		g.deferred = append(g.deferred, entries...)
		return
	}
	g.machineMu.Lock()
	defer g.machineMu.Unlock()
	for _, e := range entries {
		var data []byte
		if e.Kind == api.EntryKind_ENTRY_KIND_COMMAND {
			data = g.machine.Apply(e.Index, e.Data)
		}
		g.answer(e, data)
	}
}

func (g *group) answer(e *api.Entry, data []byte) {
	w, ok := g.waiting[e.Index]
	if !ok {
		return
	}
	delete(g.waiting, e.Index)
	if w.term != e.Term {
		w.done <- result{err: &OutcomeUnknownError{g.id}}
		return
	}
	w.done <- result{data: data}
}

func (g *group) failWaiting() {
	for index, w := range g.waiting {
		delete(g.waiting, index)
		w.done <- result{err: &OutcomeUnknownError{g.id}}
	}
}

// publish makes the current view visible to other goroutines.
func (g *group) publish() {
	v := &view{status: g.raft.Status()}
	v.confirmedAt, _ = g.raft.ConfirmedAt()
	if g.encoding {
		v.confirmedAt = g.view.Load().confirmedAt // entries wait to be applied
	}
	before := g.view.Swap(v)
	if before == nil || before.status.Role != v.status.Role || before.status.Leader.GetId() != v.status.Leader.GetId() {
		g.server.cfg.Logger.Info().Uint32("group", g.id).Uint64("term", v.status.Term).Str("role", v.status.Role.String()).
			Uint64("leader", v.status.Leader.GetId()).Msg("role changed")
	}
	if g.id == 0 {
		g.server.source.update(g.machine)
	}
}

func (g *group) stop() {
	g.failWaiting()
	_ = g.finishJobs() // a snapshot that fails now is made again
	_ = g.log.Close()  // everything that counts was synced
}

// submit queues a command and waits for its result.
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

// age returns the time since the last confirmation; false if there was none.
func (g *group) age() (time.Duration, bool) {
	v := g.view.Load()
	if v.confirmedAt.IsZero() {
		return 0, false
	}
	return max(0, g.server.cfg.Clock().Sub(v.confirmedAt)), true
}

func (g *group) ageMillis() int64 {
	age, ok := g.age()
	if !ok {
		return -1
	}
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}
