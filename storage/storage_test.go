package storage

import (
	"flag"
	"fmt"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/raft"
)

// A fixed seed makes every run generate the same cases; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

const logDir = "data/group-0"

func entry(index, term uint64) *api.Entry {
	return &api.Entry{Index: index, Term: term, Data: fmt.Append(nil, "command ", index, " of ", term)}
}

func entries(from, to, term uint64) (list []*api.Entry) {
	for i := from; i <= to; i++ {
		list = append(list, entry(i, term))
	}
	return list
}

func snapshotAt(index, term uint64) *raft.Snapshot {
	set := &api.ReplicaSet{Voters: []*api.ReplicaRef{{Id: 1, DiskId: "d"}}}
	return &raft.Snapshot{Meta: &api.SnapshotMeta{Index: index, Term: term, Replicas: set}, Data: fmt.Append(nil, "state at ", index)}
}

func openLog(t require.TestingT, fs FS) (*Log, *State) {
	l, s, err := OpenLog(fs, logDir, 200) // small segments
	require.NoError(t, err)
	return l, s
}

func requireEntries(t require.TestingT, want, got []*api.Entry) {
	require.Len(t, got, len(want))
	for i := range want {
		require.True(t, proto.Equal(want[i], got[i]), "%v and %v", want[i], got[i])
	}
}

func installSnapshot(l *Log, s *raft.Snapshot) error {
	names, err := l.InstallSnapshot(s)
	if err != nil {
		return err
	}
	return l.RemoveFiles(names)
}

// logModel is the state that a log must have: all synced writes.
type logModel struct {
	hardState     raft.HardState
	snapshotIndex uint64
	entries       []*api.Entry
}

func (m *logModel) append(list []*api.Entry) {
	kept := m.entries
	for len(kept) > 0 && kept[len(kept)-1].Index >= list[0].Index {
		kept = kept[:len(kept)-1]
	}
	m.entries = append(kept[:len(kept):len(kept)], list...)
}

func (m *logModel) compact(index uint64) {
	m.snapshotIndex = index
	for len(m.entries) > 0 && m.entries[0].Index <= index {
		m.entries = m.entries[1:]
	}
}

func (m *logModel) lastIndex() uint64 { return m.snapshotIndex + uint64(len(m.entries)) }

// TestCrashKeepsSyncedState guards against a log that loses synced entries, votes or snapshots
// in a crash, over many segments and restarts.
func TestCrashKeepsSyncedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := newMemoryFS()
		l, _ := openLog(t, fs)
		m := &logModel{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"append", "append", "append", "snapshot", "install", "crash"}).Draw(t, "step") {
			case "append":
				var hs *raft.HardState // stored only when it changes
				if m.hardState.Term == 0 || rapid.IntRange(0, 7).Draw(t, "vote") == 0 {
					m.hardState.Term++
					m.hardState.VoteID, m.hardState.VoteDiskID = m.hardState.Term%3, "disk"
					hs = &raft.HardState{Term: m.hardState.Term, VoteID: m.hardState.VoteID, VoteDiskID: m.hardState.VoteDiskID}
				}
				from := m.lastIndex() + 1 - uint64(rapid.IntRange(0, len(m.entries)).Draw(t, "overwritten"))
				list := entries(from, from+uint64(rapid.IntRange(0, 5).Draw(t, "more")), m.hardState.Term)
				require.NoError(t, l.Append(hs, list, true))
				m.append(list)
			case "snapshot":
				if len(m.entries) > 0 {
					at := m.entries[rapid.IntRange(0, len(m.entries)-1).Draw(t, "at")]
					require.NoError(t, l.SaveSnapshot(snapshotAt(at.Index, at.Term)))
					m.compact(at.Index)
				}
			case "install":
				index := m.lastIndex() + uint64(rapid.IntRange(1, 5).Draw(t, "ahead"))
				require.NoError(t, installSnapshot(l, snapshotAt(index, m.hardState.Term)))
				m.entries, m.snapshotIndex = nil, index
			case "crash":
				_ = l.Append(nil, entries(m.lastIndex()+1, m.lastIndex()+3, m.hardState.Term), false) // never synced
				fs = fs.crash(rapid.IntRange(0, 7).Draw(t, "kept"))
				var s *State
				l, s = openLog(t, fs)
				require.Equal(t, m.hardState.Term, s.HardState.Term)
				require.Equal(t, m.hardState.VoteID, s.HardState.VoteID)
				if m.snapshotIndex > 0 {
					require.Equal(t, m.snapshotIndex, s.Snapshot.Meta.Index)
				}
				requireEntries(t, m.entries, s.Entries)
			}
		}
	})
}

// TestCorruptionBeforeLastFrame guards against a log that opens without acknowledged entries:
// it must reject a changed byte anywhere before the last frame. A corrupt last frame cannot be
// distinguished from an incomplete write.
func TestCorruptionBeforeLastFrame(t *testing.T) {
	fs := newMemoryFS()
	l, _, err := OpenLog(fs, logDir, 0)
	require.NoError(t, err)
	require.NoError(t, l.Append(nil, entries(1, 3, 1), true))
	path := filepath.Join(logDir, l.segments[0].name())
	lastFrame := len(fs.files[path].data)
	require.NoError(t, l.Append(nil, entries(4, 4, 1), true))
	fileSize := len(fs.files[path].data)
	for at := range fileSize {
		corrupted := fs.crash(0)
		corrupted.files[path].data[at] ^= 0x40
		_, s, err := OpenLog(corrupted, logDir, 0)
		var corrupt *CorruptError
		if at < lastFrame {
			require.ErrorAs(t, err, &corrupt, "byte %d", at)
			continue
		}
		require.NoError(t, err)
		requireEntries(t, entries(1, 3, 1), s.Entries)
	}
}

// TestTornWrite guards against a replica that cannot start after a crash in the middle of a
// write.
func TestTornWrite(t *testing.T) {
	fs := newMemoryFS()
	l, _, err := OpenLog(fs, logDir, 0)
	require.NoError(t, err)
	require.NoError(t, l.Append(nil, entries(1, 3, 1), true))
	path := filepath.Join(logDir, l.segments[0].name())
	lastFrame := len(fs.files[path].data)
	require.NoError(t, l.Append(nil, entries(4, 6, 1), true))
	for size := lastFrame; size < len(fs.files[path].data); size++ {
		torn := fs.crash(0)
		torn.files[path].data = torn.files[path].data[:size]
		l, s, err := OpenLog(torn, logDir, 0)
		require.NoError(t, err)
		requireEntries(t, entries(1, 3, 1), s.Entries)
		require.NoError(t, l.Append(nil, entries(4, 4, 2), true))
		_, s, err = OpenLog(torn.crash(0), logDir, 0)
		require.NoError(t, err)
		requireEntries(t, append(entries(1, 3, 1), entry(4, 2)), s.Entries)
	}
}

// TestWriteFailureIsFinal guards against a later call that succeeds after a failed sync or a
// full disk.
func TestWriteFailureIsFinal(t *testing.T) {
	operations := map[string]func(l *Log) error{
		"write": func(l *Log) error { return l.Append(nil, entries(4, 4, 1), true) },
		"sync":  func(l *Log) error { return l.Append(nil, entries(4, 4, 1), true) },
		"rename": func(l *Log) error {
			return l.SaveSnapshot(snapshotAt(3, 1))
		},
		"syncdir": func(l *Log) error {
			return installSnapshot(l, snapshotAt(9, 1))
		},
	}
	for op, do := range operations {
		t.Run(op, func(t *testing.T) {
			fs := newMemoryFS()
			l, _ := openLog(t, fs)
			require.NoError(t, l.Append(&raft.HardState{Term: 1}, entries(1, 3, 1), true))
			fs.fail[op] = errDiskFull
			var failed *IOError
			require.ErrorAs(t, do(l), &failed)
			require.ErrorIs(t, failed, errDiskFull)
			delete(fs.fail, op)
			calls := fs.calls[op]
			require.ErrorAs(t, l.Append(nil, entries(4, 4, 1), true), &failed)
			require.ErrorAs(t, l.SaveSnapshot(snapshotAt(3, 1)), &failed)
			require.ErrorAs(t, installSnapshot(l, snapshotAt(9, 1)), &failed)
			require.Equal(t, calls, fs.calls[op], "no further operation after the failure")
			_, s := openLog(t, fs.crash(0))
			require.Equal(t, uint64(1), s.HardState.Term)
		})
	}
}

// TestSnapshotOfDivergentLog guards against entries of a former leader that reappear after a
// snapshot was received, if the process crashes after it has written the snapshot and before it
// has reset the log.
func TestSnapshotOfDivergentLog(t *testing.T) {
	fs := newMemoryFS()
	l, _ := openLog(t, fs)
	require.NoError(t, l.Append(&raft.HardState{Term: 1}, entries(1, 9, 1), true))
	require.NoError(t, l.WriteSnapshot(snapshotAt(5, 2)))
	_, s := openLog(t, fs.crash(0))
	require.Empty(t, s.Entries)
	require.Equal(t, uint64(5), s.HardState.Commit)
}

// TestCorruptSnapshot guards against a start from an older state when the newest snapshot is
// corrupt.
func TestCorruptSnapshot(t *testing.T) {
	fs := newMemoryFS()
	l, _ := openLog(t, fs)
	require.NoError(t, l.Append(nil, entries(1, 9, 1), true))
	require.NoError(t, l.SaveSnapshot(snapshotAt(5, 1)))
	f := fs.files[filepath.Join(logDir, snapshotName(5))]
	f.data[len(f.data)-1]++
	_, _, err := OpenLog(fs, logDir, 200)
	var corrupt *CorruptError
	require.ErrorAs(t, err, &corrupt)
}

// TestDirectoryLockAndIdentity guards against two processes, or two replicas, with the same data
// directory, and against state without an identity file.
func TestDirectoryLockAndIdentity(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	d, err := OpenDirectory(OS{}, path, Identity{Replica: 1, DiskID: "first"})
	require.NoError(t, err)
	var locked *LockedError
	_, err = OpenDirectory(OS{}, path, Identity{Replica: 1, DiskID: "second"})
	require.ErrorAs(t, err, &locked)
	require.NoError(t, d.Close())

	d, err = OpenDirectory(OS{}, path, Identity{Replica: 1, DiskID: "second"})
	require.NoError(t, err)
	require.Equal(t, "first", d.Identity.DiskID)
	require.NoError(t, d.Close())

	var identity *IdentityError
	_, err = OpenDirectory(OS{}, path, Identity{Replica: 2, DiskID: "second"})
	require.ErrorAs(t, err, &identity)

	require.NoError(t, OS{}.MkdirAll(filepath.Join(path, "group-0")))
	require.NoError(t, OS{}.Remove(filepath.Join(path, identityFile)))
	var corrupt *CorruptError
	_, err = OpenDirectory(OS{}, path, Identity{Replica: 1, DiskID: "third"})
	require.ErrorAs(t, err, &corrupt)
}

// TestEmptySegment guards against the loss of a vote if the process crashes after it has created a
// segment and before it has written the first frame: the next snapshot removes the older segments,
// which contain the vote.
func TestEmptySegment(t *testing.T) {
	fs := newMemoryFS()
	l, _ := openLog(t, fs)
	require.NoError(t, l.Append(&raft.HardState{Term: 4, VoteID: 2}, entries(1, 3, 1), true))
	_, err := fs.Create(filepath.Join(logDir, segment{sequence: 2}.name()))
	require.NoError(t, err)
	l, _ = openLog(t, fs)
	require.NoError(t, l.SaveSnapshot(snapshotAt(3, 1)))
	require.Len(t, l.segments, 1)
	_, s := openLog(t, fs)
	require.Equal(t, raft.HardState{Term: 4, VoteID: 2, Commit: 3}, s.HardState)
}

// TestInterruptedInstallation guards against a log that cannot be read after a stop between the snapshot that
// a replica installed and the next write of its log, for example on a full disk: the entries after the
// snapshot must be read, whether the log before it ended earlier or had diverged.
func TestInterruptedInstallation(t *testing.T) {
	for name, stored := range map[string][]*api.Entry{
		"empty":                   nil,
		"behind":                  entries(1, 3, 1),
		"up to the snapshot":      entries(1, 10, 1),
		"diverged":                entries(1, 12, 1),
		"diverged at its end":     entries(1, 10, 1),
		"beyond the snapshot":     append(entries(1, 9, 1), entries(10, 12, 2)...),
		"behind, several entries": entries(1, 9, 1),
	} {
		t.Run(name, func(t *testing.T) {
			fs := newMemoryFS()
			l, _ := openLog(t, fs)
			require.NoError(t, l.Append(&raft.HardState{Term: 1}, stored, true))
			require.NoError(t, l.WriteSnapshot(snapshotAt(10, 2)))
			for range 2 { // the second stop comes before anything is written
				fs = fs.crash(0)
				l, _ = openLog(t, fs)
			}
			first := uint64(11)
			if name == "beyond the snapshot" {
				first = 13
			}
			require.NoError(t, l.Append(&raft.HardState{Term: 2}, entries(first, 15, 2), true))
			fs = fs.crash(0)
			_, state := openLog(t, fs)
			require.EqualValues(t, 10, state.Snapshot.Meta.Index)
			requireEntries(t, entries(11, 15, 2), state.Entries)
		})
	}
}

// TestGapBelowSnapshot checks that a log with a gap that a snapshot covers can be read: earlier versions left
// one after an interrupted installation. A gap above the snapshot is corruption.
func TestGapBelowSnapshot(t *testing.T) {
	for first, readable := range map[uint64]bool{9: true, 11: true, 12: false} {
		fs := newMemoryFS()
		l, _ := openLog(t, fs)
		require.NoError(t, l.Append(&raft.HardState{Term: 1}, entries(1, 3, 1), true))
		require.NoError(t, l.WriteSnapshot(snapshotAt(10, 1)))
		require.NoError(t, l.Append(nil, entries(first, 15, 1), true))
		_, state, err := OpenLog(fs, logDir, 200)
		if !readable {
			var corrupt *CorruptError
			require.ErrorAs(t, err, &corrupt)
			continue
		}
		require.NoError(t, err)
		requireEntries(t, entries(11, 15, 1), state.Entries)
	}
}
