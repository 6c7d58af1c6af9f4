package control

import (
	"github.com/bilberrydeck/bilberrydeck/core/raft"
)

// Encoding a large machine and freeing the space of old files take up to
// seconds. Both run beside the loop, so that the leader goes on sending
// heartbeats: in the loop they would cost it its term. While the machine is
// encoded, committed entries wait to be applied.

// snapshotBytesPerEntry delays snapshots of a large machine, so that they add
// at most about this much to what an entry writes to the disk. An entry of a
// claim takes about 300 bytes, so the log stays smaller than the snapshot.
const snapshotBytesPerEntry = 1024

// maybeSnapshot starts a snapshot if enough entries were applied since the last
// one.
func (g *group) maybeSnapshot() {
	applied := g.raft.Status().Applied
	due := max(g.server.cfg.SnapshotThreshold, uint64(g.snapshotBytes)/snapshotBytesPerEntry)
	if g.saving || applied-g.snapshot < due {
		return
	}
	s, err := g.raft.SnapshotAt(applied, nil)
	if err != nil {
		g.server.cfg.Logger.Error().Uint32("group", g.id).Err(err).Msg("snapshot not possible")
		return
	}
	g.saving, g.encoding = true, true
	go g.saveSnapshot(s)
}

func (g *group) saveSnapshot(s *raft.Snapshot) {
	data, err := g.machine.Snapshot()
	s.Data = data
	g.steps <- func() error {
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
	g.steps <- func() error {
		if err != nil {
			g.saving = false
			return err
		}
		g.raft.CompactTo(s)
		g.snapshot, g.snapshotBytes = s.Meta.Index, len(s.Data)
		g.removeFiles(g.log.ObsoleteSegments(s.Meta.Index))
		g.server.cfg.Logger.Info().Uint32("group", g.id).Uint64("index", s.Meta.Index).Int("bytes", len(s.Data)).Msg("snapshot saved")
		return nil
	}
}

// removeFiles removes what a snapshot replaces, as a job beside the loop.
func (g *group) removeFiles(names []string) {
	g.saving = true
	go func() {
		err := g.log.RemoveSegments(names)
		g.steps <- func() error {
			g.saving = false
			return err
		}
	}()
}

// finishJobs waits for a running job.
func (g *group) finishJobs() error {
	for g.saving {
		if err := (<-g.steps)(); err != nil {
			return err
		}
	}
	return nil
}

// install replaces log and machine by a snapshot from the leader.
func (g *group) install(s *raft.Snapshot) error {
	if err := g.finishJobs(); err != nil {
		return err
	}
	names, err := g.log.InstallSnapshot(s)
	if err != nil {
		return err
	}
	g.machineMu.Lock()
	defer g.machineMu.Unlock()
	if err := g.machine.Restore(s.Data); err != nil {
		return &StateMachineError{g.id, "restore", err}
	}
	g.snapshot, g.snapshotBytes = s.Meta.Index, len(s.Data)
	g.removeFiles(names)
	g.server.cfg.Logger.Info().Uint32("group", g.id).Uint64("index", s.Meta.Index).Int("bytes", len(s.Data)).Msg("snapshot installed")
	return nil
}
