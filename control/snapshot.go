package control

import (
	"github.com/bilberrydeck/bilberrydeck/core/raft"
)

// Encoding a large state machine and removing old files take up to seconds. Both run in a
// background goroutine: in the loop of the group they would delay the heartbeats of a leader,
// which would then lose its leadership. While the state machine is encoded, committed entries
// are deferred.

// snapshotBytesPerEntry is about the maximum number of snapshot bytes written per log entry. It
// delays the snapshots of a large state machine. The entry of a claim takes about 300 bytes, so
// the log stays smaller than the snapshot.
const snapshotBytesPerEntry = 1024

// maybeSnapshot starts a snapshot if enough entries were applied since the last one.
func (g *group) maybeSnapshot() {
	applied := g.raft.Status().Applied
	due := max(g.server.cfg.SnapshotThreshold, uint64(g.snapshotBytes)/snapshotBytesPerEntry)
	if g.jobRunning || applied-g.snapshotIndex < due {
		return
	}
	s, err := g.raft.SnapshotAt(applied, nil)
	if err != nil {
		g.server.cfg.Logger.Error().Uint32("group", g.id).Err(err).Msg("cannot create snapshot")
		return
	}
	g.jobRunning, g.encoding = true, true
	go g.saveSnapshot(s)
}

// saveSnapshot encodes and writes a snapshot in a background goroutine, then compacts the log.
func (g *group) saveSnapshot(s *raft.Snapshot) {
	data, err := g.stateMachine.Snapshot()
	s.Data = data
	g.callbacks <- func() error {
		g.encoding = false
		entries := g.deferred
		g.deferred = nil
		g.apply(entries)
		return nil
	}
	if err != nil {
		err = &StateMachineError{g.id, "snapshot", err}
	} else {
		err = g.log.WriteSnapshot(s)
	}
	g.callbacks <- func() error {
		if err != nil {
			g.jobRunning = false
			return err
		}
		g.raft.CompactTo(s)
		g.snapshotIndex, g.snapshotBytes = s.Meta.Index, len(s.Data)
		g.removeFiles(g.log.ObsoleteFiles(s.Meta.Index))
		g.server.cfg.Logger.Info().Uint32("group", g.id).Uint64("index", s.Meta.Index).Int("bytes", len(s.Data)).Msg("snapshot saved")
		return nil
	}
}

// removeFiles removes the segments and snapshots that a newer snapshot replaces, in a background
// goroutine.
func (g *group) removeFiles(names []string) {
	g.jobRunning = true
	go func() {
		err := g.log.RemoveFiles(names)
		g.callbacks <- func() error {
			g.jobRunning = false
			return err
		}
	}()
}

// awaitJob waits for the background job, if one is running, and executes its callbacks.
func (g *group) awaitJob() error {
	for g.jobRunning {
		if err := (<-g.callbacks)(); err != nil {
			return err
		}
	}
	return nil
}

// installSnapshot replaces the log and the state machine by a snapshot from the leader.
func (g *group) installSnapshot(s *raft.Snapshot) error {
	if err := g.awaitJob(); err != nil {
		return err
	}
	names, err := g.log.InstallSnapshot(s)
	if err != nil {
		return err
	}
	g.stateMachineMu.Lock()
	defer g.stateMachineMu.Unlock()
	if err := g.stateMachine.Restore(s.Data); err != nil {
		return &StateMachineError{g.id, "restore", err}
	}
	g.snapshotIndex, g.snapshotBytes = s.Meta.Index, len(s.Data)
	g.removeFiles(names)
	g.server.cfg.Logger.Info().Uint32("group", g.id).Uint64("index", s.Meta.Index).Int("bytes", len(s.Data)).Msg("snapshot installed")
	return nil
}
