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

// DefaultSegmentBytes is the size at which a new segment is started. Segments
// are removed as a whole, so it bounds what a snapshot leaves behind.
const DefaultSegmentBytes = 16 << 20

// State is what a group's directory held when it was opened.
type State struct {
	HardState raft.HardState
	Snapshot  *raft.Snapshot // nil if there is none
	Entries   []*api.Entry   // after the snapshot
}

// Empty reports whether nothing was ever stored but votes.
func (s *State) Empty() bool { return s.Snapshot == nil && len(s.Entries) == 0 }

// Log is the write-ahead log and the snapshots of one group. After an error
// every later call returns the same error. It is not safe for concurrent use.
type Log struct {
	fs           FS
	dir          string
	segmentBytes int64
	failed       error

	file     File
	size     int64
	segments []segment // in order, the last one is written to
	hard     raft.HardState
	snapshot uint64   // index of the newest snapshot
	stale    []string // files that a crash kept from being removed
	buffer   []byte
}

// segment is one file of the log.
type segment struct {
	sequence uint64
	last     uint64 // largest entry index stored in it
}

func (s segment) name() string { return fmt.Sprintf("log-%016x", s.sequence) }

// OpenLog reads the log of a group. A write that a crash cut off is removed;
// damage before the end is a CorruptError.
func OpenLog(fs FS, dir string, segmentBytes int64) (*Log, *State, error) {
	if segmentBytes == 0 {
		segmentBytes = DefaultSegmentBytes
	}
	l := &Log{fs: fs, dir: dir, segmentBytes: segmentBytes}
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
	if err := l.load(names, state); err != nil {
		return nil, nil, err
	}
	l.hard = state.HardState
	return l, state, l.openSegment()
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

func (l *Log) load(names []string, state *State) error {
	for _, n := range names {
		var s segment
		if _, err := fmt.Sscanf(n, "log-%016x", &s.sequence); err == nil && !strings.HasSuffix(n, temporarySuffix) {
			l.segments = append(l.segments, s)
		}
	}
	c := &contents{}
	for i := range l.segments {
		if i > 0 && l.segments[i].sequence != l.segments[i-1].sequence+1 {
			return &CorruptError{Path: filepath.Join(l.dir, l.segments[i].name()), Reason: "the segment before it is missing"}
		}
		if err := l.loadSegment(i, c); err != nil {
			return err
		}
	}
	state.HardState = c.hard
	return l.joinSnapshot(c, state, names)
}

// joinSnapshot keeps the entries that follow the snapshot.
func (l *Log) joinSnapshot(c *contents, state *State, names []string) error {
	state.Entries = c.entries
	if state.Snapshot != nil {
		meta := state.Snapshot.Meta
		l.snapshot = meta.Index
		l.noteStale(names)
		state.HardState.Commit = max(state.HardState.Commit, meta.Index)
		state.HardState.Term = max(state.HardState.Term, meta.Term)
		state.Entries = after(c.entries, meta)
	}
	if len(state.Entries) > 0 && state.Entries[0].Index != l.snapshot+1 {
		reason := fmt.Sprintf("the first entry is %d, after a snapshot at %d", state.Entries[0].Index, l.snapshot)
		return &CorruptError{Path: l.dir, Reason: reason}
	}
	return nil
}

// noteStale finds older snapshots and incomplete files.
func (l *Log) noteStale(names []string) {
	for _, n := range names {
		if strings.HasPrefix(n, "snapshot-") && n != snapshotName(l.snapshot) {
			l.stale = append(l.stale, n)
		}
	}
}

// after returns the entries that follow a snapshot. If the entry at its index
// has another term, the snapshot was received from a leader whose log differs,
// and the crash came before the log was reset: none of the entries remain.
func after(entries []*api.Entry, meta *api.SnapshotMeta) []*api.Entry {
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

func (l *Log) loadSegment(i int, c *contents) error {
	path := filepath.Join(l.dir, l.segments[i].name())
	data, err := l.fs.ReadFile(path)
	if err != nil {
		return &CorruptError{Path: path, Reason: err.Error()}
	}
	offset := 0
	for offset < len(data) {
		payload, size, ok := readFrame(data[offset:])
		if !ok {
			return l.endSegment(i, data, offset)
		}
		if err := c.replay(payload); err != nil {
			return &CorruptError{Path: path, Offset: int64(offset), Reason: err.Error()}
		}
		if n := len(c.entries); n > 0 {
			l.segments[i].last = max(l.segments[i].last, c.entries[n-1].Index)
		}
		offset += size
	}
	l.size = int64(offset)
	if i == len(l.segments)-1 {
		return l.rewriteSegment(path, data)
	}
	return nil
}

// rewriteSegment stores the last segment anew, without a frame that a crash
// cut off. What a previous process wrote may be in the page cache only, and
// after a failed sync another sync of the same file proves nothing; writing
// the same bytes again does. A rename over the file would take 65 to 250 ms on
// a disk that discards freed space at once.
func (l *Log) rewriteSegment(path string, data []byte) error {
	if err := l.fs.Overwrite(path, data); err != nil {
		return &IOError{Op: "overwrite", Path: path, Err: err}
	}
	return nil
}

// endSegment takes an unreadable frame at the end of the last segment as the
// end of the log.
func (l *Log) endSegment(i int, data []byte, offset int) error {
	path := filepath.Join(l.dir, l.segments[i].name())
	if i != len(l.segments)-1 || frameAfter(data, offset) {
		return &CorruptError{Path: path, Offset: int64(offset), Reason: "unreadable frame before the end of the log"}
	}
	l.size = int64(offset)
	return l.rewriteSegment(path, data[:offset])
}

func (l *Log) openSegment() error {
	if len(l.segments) == 0 {
		return l.startSegment()
	}
	path := filepath.Join(l.dir, l.segments[len(l.segments)-1].name())
	f, err := l.fs.Create(path)
	if err != nil {
		return l.fail("open", path, err)
	}
	l.file = f
	if l.size > 0 {
		return nil
	}
	// A crash came between the creation of the segment and its first frame.
	return l.writeHardState()
}

// writeHardState puts the hard state at the start of a segment, so that all
// older segments can be removed.
func (l *Log) writeHardState() error {
	l.beginFrame()
	l.buffer = appendHardState(l.buffer, l.hard)
	return l.writeFrame(true)
}

// startSegment closes the current segment and starts the next one.
func (l *Log) startSegment() error {
	next := segment{sequence: 1}
	if n := len(l.segments); n > 0 {
		next.sequence = l.segments[n-1].sequence + 1
		// Only the last segment may end in an unreadable frame.
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
	l.file, l.size = f, 0
	l.segments = append(l.segments, next)
	if err := l.writeHardState(); err != nil {
		return err
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.fail("sync", l.dir, err)
	}
	return nil
}

// fail records the first failure. No later call may succeed: what the disk
// holds is unknown after it.
func (l *Log) fail(op, path string, err error) error {
	if l.failed == nil {
		var already *IOError
		if errors.As(err, &already) {
			l.failed = already
		} else {
			l.failed = &IOError{Op: op, Path: path, Err: err}
		}
	}
	return l.failed
}

func (l *Log) beginFrame() {
	l.buffer = append(l.buffer[:0], make([]byte, frameHeader)...)
}

func (l *Log) writeFrame(sync bool) error {
	l.buffer = sealFrame(l.buffer)
	path := filepath.Join(l.dir, l.segments[len(l.segments)-1].name())
	if _, err := l.file.Write(l.buffer); err != nil {
		return l.fail("write", path, err)
	}
	l.size += int64(len(l.buffer))
	if !sync {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		return l.fail("sync", path, err)
	}
	return nil
}

// Append stores a hard state (nil if unchanged) and entries in one write, and
// syncs it if asked to. A write without sync may be lost in a crash and must
// hold nothing but a commit index.
func (l *Log) Append(hs *raft.HardState, entries []*api.Entry, sync bool) error {
	if l.failed != nil {
		return l.failed
	}
	if hs == nil && len(entries) == 0 {
		return nil
	}
	if l.size >= l.segmentBytes {
		if err := l.startSegment(); err != nil {
			return err
		}
	}
	if err := l.encode(hs, entries); err != nil {
		return err
	}
	return l.writeFrame(sync)
}

func (l *Log) encode(hs *raft.HardState, entries []*api.Entry) error {
	l.beginFrame()
	if hs != nil {
		l.buffer = appendHardState(l.buffer, *hs)
		l.hard = *hs
	}
	current := &l.segments[len(l.segments)-1]
	for _, e := range entries {
		var err error
		if l.buffer, err = appendEntry(l.buffer, e); err != nil {
			return l.fail("encode", l.dir, err)
		}
		current.last = max(current.last, e.Index)
	}
	return nil
}

// WriteSnapshot makes a snapshot durable. It may run beside Append; the log
// goes on as before until ObsoleteSegments is called.
func (l *Log) WriteSnapshot(s *raft.Snapshot) error {
	content, err := encodeSnapshot(s)
	if err != nil {
		return err
	}
	return replaceFile(l.fs, filepath.Join(l.dir, snapshotName(s.Meta.Index)), content)
}

// ObsoleteSegments tells the log that the snapshot at index is durable. It returns the
// names of the files that are not needed any more, for RemoveSegments.
func (l *Log) ObsoleteSegments(index uint64) []string {
	if l.snapshot > 0 && l.snapshot < index {
		l.stale = append(l.stale, snapshotName(l.snapshot))
	}
	l.snapshot = index
	for len(l.segments) > 1 && l.segments[0].last <= index {
		l.stale = append(l.stale, l.segments[0].name())
		l.segments = l.segments[1:]
	}
	names := l.stale
	l.stale = nil
	return names
}

// RemoveSegments removes files in the order in which ObsoleteSegments returned them. It may run
// beside Append: freeing the space of a file takes up to 250 ms on a disk that
// discards it at once. After a crash in between, the next ObsoleteSegments returns the
// remaining names again.
func (l *Log) RemoveSegments(names []string) error {
	for _, n := range names {
		path := filepath.Join(l.dir, n)
		if err := l.fs.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return &IOError{Op: "remove", Path: path, Err: err}
		}
	}
	return nil
}

// SaveSnapshot makes a snapshot of the local machine durable and removes what
// it replaces.
func (l *Log) SaveSnapshot(s *raft.Snapshot) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.WriteSnapshot(s); err != nil {
		return l.fail("write", l.dir, err)
	}
	if err := l.RemoveSegments(l.ObsoleteSegments(s.Meta.Index)); err != nil {
		return l.fail("remove", l.dir, err)
	}
	return nil
}

// InstallSnapshot makes a snapshot that a leader sent durable. The entries
// stored so far are void. It returns the names for RemoveSegments.
func (l *Log) InstallSnapshot(s *raft.Snapshot) ([]string, error) {
	if l.failed != nil {
		return nil, l.failed
	}
	if err := l.WriteSnapshot(s); err != nil {
		return nil, l.fail("write", l.dir, err)
	}
	l.beginFrame()
	l.buffer = appendReset(l.buffer, s.Meta.Index)
	if err := l.writeFrame(true); err != nil {
		return nil, err
	}
	for i := range l.segments {
		l.segments[i].last = 0
	}
	return l.ObsoleteSegments(s.Meta.Index), nil
}

// Close closes the log. What was not synced may be lost.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
