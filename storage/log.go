package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/raft"
)

// DefaultSegmentBytes is the size from which on the next write starts a new segment. Segments
// are removed only as a whole, so this limits the entries that remain after a snapshot.
const DefaultSegmentBytes = 16 << 20

// State is the stored state of a group when its log was opened.
type State struct {
	HardState raft.HardState
	Snapshot  *raft.Snapshot // nil if there is none
	Entries   []*api.Entry   // after the snapshot
}

// Empty reports whether neither a snapshot nor an entry is stored. A vote may be stored.
func (s *State) Empty() bool { return s.Snapshot == nil && len(s.Entries) == 0 }

// Log is the write-ahead log and the snapshots of one group. After an error, every later call
// returns the same error. It is not safe for concurrent use, except where a method says so.
type Log struct {
	fs              FS
	dir             string
	maxSegmentBytes int64
	failed          error

	file          File
	segmentSize   int64
	segments      []segment // in order; writes go to the last one
	hardState     raft.HardState
	snapshotIndex uint64   // index of the newest snapshot; 0 if there is none
	obsolete      []string // files to be removed, some of them left by a crash
	buffer        []byte
}

// segment is one file of a log.
type segment struct {
	sequence  uint64
	lastIndex uint64 // highest index of an entry in the segment
}

func (s segment) name() string { return fmt.Sprintf("log-%016x", s.sequence) }

// OpenLog opens the log of a group and reads its state. An incomplete write at the end of the
// log is removed; any other corruption is a CorruptError. maxSegmentBytes 0 stands for
// DefaultSegmentBytes.
func OpenLog(fs FS, dir string, maxSegmentBytes int64) (*Log, *State, error) {
	if maxSegmentBytes == 0 {
		maxSegmentBytes = DefaultSegmentBytes
	}
	l := &Log{fs: fs, dir: dir, maxSegmentBytes: maxSegmentBytes}
	if err := l.makeDirectory(); err != nil {
		return nil, nil, err
	}
	names, err := fs.ReadDir(dir)
	if err != nil {
		return nil, nil, &IOError{Op: "read", Path: dir, Err: err}
	}
	state := &State{}
	if state.Snapshot, err = loadSnapshot(fs, dir, names); err != nil {
		return nil, nil, err
	}
	c, err := l.load(names, state)
	if err != nil {
		return nil, nil, err
	}
	l.hardState = state.HardState
	if err := l.openLastSegment(); err != nil {
		return nil, nil, err
	}
	if len(c.entries) == 0 || len(state.Entries) > 0 {
		return l, state, nil
	}
	// A stop may have prevented the reset after a snapshot was installed. Without it, the entries that
	// are stored next would follow entries that are not part of the log.
	if err := l.writeReset(l.snapshotIndex); err != nil {
		_ = l.Close() // the first error is reported
		return nil, nil, err
	}
	return l, state, nil
}

func (l *Log) makeDirectory() error {
	if err := l.fs.MkdirAll(l.dir); err != nil {
		return &IOError{Op: "create", Path: l.dir, Err: err}
	}
	parent := filepath.Dir(l.dir)
	if err := l.fs.SyncDir(parent); err != nil {
		return &IOError{Op: "sync", Path: parent, Err: err}
	}
	return nil
}

func (l *Log) load(names []string, state *State) (*logContents, error) {
	for _, n := range names {
		var s segment
		if _, err := fmt.Sscanf(n, "log-%016x", &s.sequence); err == nil && !strings.HasSuffix(n, temporarySuffix) {
			l.segments = append(l.segments, s)
		}
	}
	c := &logContents{}
	if state.Snapshot != nil {
		c.snapshotIndex = state.Snapshot.Meta.Index
	}
	for i := range l.segments {
		if i > 0 && l.segments[i].sequence != l.segments[i-1].sequence+1 {
			return nil, &CorruptError{Path: filepath.Join(l.dir, l.segments[i].name()), Reason: "the previous segment is missing"}
		}
		if err := l.loadSegment(i, c); err != nil {
			return nil, err
		}
	}
	state.HardState = c.hardState
	return c, l.trimToSnapshot(c, state, names)
}

// trimToSnapshot keeps the entries after the snapshot, and raises the hard state to it.
func (l *Log) trimToSnapshot(c *logContents, state *State, names []string) error {
	state.Entries = c.entries
	if state.Snapshot != nil {
		meta := state.Snapshot.Meta
		l.snapshotIndex = meta.Index
		l.findObsoleteSnapshots(names)
		state.HardState.Commit = max(state.HardState.Commit, meta.Index)
		state.HardState.Term = max(state.HardState.Term, meta.Term)
		state.Entries = entriesAfter(c.entries, meta)
	}
	if len(state.Entries) > 0 && state.Entries[0].Index != l.snapshotIndex+1 {
		reason := fmt.Sprintf("the first entry is %d, after a snapshot at %d", state.Entries[0].Index, l.snapshotIndex)
		return &CorruptError{Path: l.dir, Reason: reason}
	}
	return nil
}

// findObsoleteSnapshots finds older and incomplete snapshots that a crash left.
func (l *Log) findObsoleteSnapshots(names []string) {
	for _, n := range names {
		if strings.HasPrefix(n, "snapshot-") && n != snapshotName(l.snapshotIndex) {
			l.obsolete = append(l.obsolete, n)
		}
	}
}

// entriesAfter returns the entries after a snapshot. If the entry at the snapshot's index has
// another term, the snapshot was received from a leader with a divergent log, and a crash
// prevented the reset of the log: no entry remains.
func entriesAfter(entries []*api.Entry, meta *api.SnapshotMeta) []*api.Entry {
	for i, e := range entries {
		switch {
		case e.Index == meta.Index && e.Term != meta.Term:
			return nil
		case e.Index > meta.Index:
			return entries[i:]
		}
	}
	return nil
}

func (l *Log) loadSegment(i int, c *logContents) error {
	path := filepath.Join(l.dir, l.segments[i].name())
	data, err := l.fs.ReadFile(path)
	if err != nil {
		return &CorruptError{Path: path, Reason: err.Error()}
	}
	offset := 0
	for offset < len(data) {
		payload, size, ok := readFrame(data[offset:])
		if !ok {
			return l.truncateTail(i, data, offset)
		}
		if err := c.replayFrame(payload); err != nil {
			return &CorruptError{Path: path, Offset: int64(offset), Reason: err.Error()}
		}
		if n := len(c.entries); n > 0 {
			l.segments[i].lastIndex = max(l.segments[i].lastIndex, c.entries[n-1].Index)
		}
		offset += size
	}
	l.segmentSize = int64(offset)
	if i == len(l.segments)-1 {
		return l.rewriteSegment(path, data)
	}
	return nil
}

// rewriteSegment writes the last segment again, without an incomplete frame at its end. Data
// that a previous process wrote may be in the page cache only, and after a failed sync another
// sync of the same file proves nothing; writing the same bytes again and syncing them does. To
// replace the file by a rename would take 65 to 250 ms on a disk that discards freed space at
// once.
func (l *Log) rewriteSegment(path string, data []byte) error {
	if err := l.fs.Overwrite(path, data); err != nil {
		return &IOError{Op: "overwrite", Path: path, Err: err}
	}
	return nil
}

// truncateTail ends the log before an unreadable frame at the end of the last segment. An
// unreadable frame elsewhere is a CorruptError.
func (l *Log) truncateTail(i int, data []byte, offset int) error {
	path := filepath.Join(l.dir, l.segments[i].name())
	if i != len(l.segments)-1 || hasFrameAfter(data, offset) {
		return &CorruptError{Path: path, Offset: int64(offset), Reason: "unreadable frame before the end of the log"}
	}
	l.segmentSize = int64(offset)
	return l.rewriteSegment(path, data[:offset])
}

func (l *Log) openLastSegment() error {
	if len(l.segments) == 0 {
		return l.startSegment()
	}
	path := filepath.Join(l.dir, l.segments[len(l.segments)-1].name())
	f, err := l.fs.Create(path)
	if err != nil {
		return l.fail("open", path, err)
	}
	l.file = f
	if l.segmentSize > 0 {
		return nil
	}
	// The process crashed after it created the segment and before it wrote the first frame.
	return l.writeHardState()
}

// writeHardState writes the hard state at the start of a segment, so that all older segments
// can be removed.
func (l *Log) writeHardState() error {
	l.beginFrame()
	l.buffer = appendHardState(l.buffer, l.hardState)
	return l.writeFrame(true)
}

// startSegment closes the current segment and starts the next one.
func (l *Log) startSegment() error {
	next := segment{sequence: 1}
	if n := len(l.segments); n > 0 {
		next.sequence = l.segments[n-1].sequence + 1
		// Sync first, since only the last segment may end in an unreadable frame.
		if err := l.file.Sync(); err != nil {
			return l.fail("sync", l.segments[n-1].name(), err)
		}
		if err := l.file.Close(); err != nil {
			return l.fail("close", l.segments[n-1].name(), err)
		}
	}
	path := filepath.Join(l.dir, next.name())
	f, err := l.fs.Create(path)
	if err != nil {
		return l.fail("create", path, err)
	}
	l.file, l.segmentSize = f, 0
	l.segments = append(l.segments, next)
	if err := l.writeHardState(); err != nil {
		return err
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.fail("sync", l.dir, err)
	}
	return nil
}

// fail records the first error and returns it. All later calls fail, since the content of the
// disk is unknown after an error.
func (l *Log) fail(op, path string, err error) error {
	if l.failed == nil {
		var ioErr *IOError
		if errors.As(err, &ioErr) {
			l.failed = ioErr
		} else {
			l.failed = &IOError{Op: op, Path: path, Err: err}
		}
	}
	return l.failed
}

func (l *Log) beginFrame() {
	l.buffer = append(l.buffer[:0], make([]byte, frameHeaderSize)...)
}

func (l *Log) writeFrame(sync bool) error {
	l.buffer = sealFrame(l.buffer)
	path := filepath.Join(l.dir, l.segments[len(l.segments)-1].name())
	if _, err := l.file.Write(l.buffer); err != nil {
		return l.fail("write", path, err)
	}
	l.segmentSize += int64(len(l.buffer))
	if !sync {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		return l.fail("sync", path, err)
	}
	return nil
}

// Append stores a hard state (nil if unchanged) and entries in one write. With sync, it returns
// after the data is durable. A write without sync may be lost in a crash, so it may change
// nothing but the commit index.
func (l *Log) Append(hs *raft.HardState, entries []*api.Entry, sync bool) error {
	if l.failed != nil {
		return l.failed
	}
	if hs == nil && len(entries) == 0 {
		return nil
	}
	if l.segmentSize >= l.maxSegmentBytes {
		if err := l.startSegment(); err != nil {
			return err
		}
	}
	if err := l.encodeFrame(hs, entries); err != nil {
		return err
	}
	return l.writeFrame(sync)
}

func (l *Log) encodeFrame(hs *raft.HardState, entries []*api.Entry) error {
	l.beginFrame()
	if hs != nil {
		l.buffer = appendHardState(l.buffer, *hs)
		l.hardState = *hs
	}
	current := &l.segments[len(l.segments)-1]
	for _, e := range entries {
		var err error
		if l.buffer, err = appendEntry(l.buffer, e); err != nil {
			return l.fail("encode", l.dir, err)
		}
		current.lastIndex = max(current.lastIndex, e.Index)
	}
	return nil
}

// WriteSnapshot makes a snapshot durable. It may run concurrently with Append. The log does not
// change until ObsoleteFiles is called.
func (l *Log) WriteSnapshot(s *raft.Snapshot) error {
	content, err := encodeSnapshot(s)
	if err != nil {
		return err
	}
	return replaceFile(l.fs, filepath.Join(l.dir, snapshotName(s.Meta.Index)), content)
}

// ObsoleteFiles records that the snapshot at index is durable. It returns the names of the
// files that are no longer needed, for RemoveFiles.
func (l *Log) ObsoleteFiles(index uint64) []string {
	if l.snapshotIndex > 0 && l.snapshotIndex < index {
		l.obsolete = append(l.obsolete, snapshotName(l.snapshotIndex))
	}
	l.snapshotIndex = index
	for len(l.segments) > 1 && l.segments[0].lastIndex <= index {
		l.obsolete = append(l.obsolete, l.segments[0].name())
		l.segments = l.segments[1:]
	}
	names := l.obsolete
	l.obsolete = nil
	return names
}

// RemoveFiles removes files in the order in which ObsoleteFiles returned them. It may run
// concurrently with Append, since freeing the space of a file takes up to 250 ms on a disk that
// discards it at once. If a crash interrupts it, ObsoleteFiles returns the remaining names
// again after the restart.
func (l *Log) RemoveFiles(names []string) error {
	for _, n := range names {
		path := filepath.Join(l.dir, n)
		if err := l.fs.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return &IOError{Op: "remove", Path: path, Err: err}
		}
	}
	return nil
}

// SaveSnapshot makes a snapshot of the local state machine durable, and removes the files that
// it makes obsolete.
func (l *Log) SaveSnapshot(s *raft.Snapshot) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.WriteSnapshot(s); err != nil {
		return l.fail("write", l.dir, err)
	}
	if err := l.RemoveFiles(l.ObsoleteFiles(s.Meta.Index)); err != nil {
		return l.fail("remove", l.dir, err)
	}
	return nil
}

// InstallSnapshot makes a snapshot that was received from the leader durable, and discards the
// stored entries. It returns the names of the obsolete files, for RemoveFiles.
func (l *Log) InstallSnapshot(s *raft.Snapshot) ([]string, error) {
	if l.failed != nil {
		return nil, l.failed
	}
	if err := l.WriteSnapshot(s); err != nil {
		return nil, l.fail("write", l.dir, err)
	}
	if err := l.writeReset(s.Meta.Index); err != nil {
		return nil, err
	}
	return l.ObsoleteFiles(s.Meta.Index), nil
}

// writeReset discards the stored entries, which a snapshot at index replaces.
func (l *Log) writeReset(index uint64) error {
	l.beginFrame()
	l.buffer = appendReset(l.buffer, index)
	if err := l.writeFrame(true); err != nil {
		return err
	}
	for i := range l.segments {
		l.segments[i].lastIndex = 0
	}
	return nil
}

// Close closes the log. Writes without a sync may be lost.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
