package storage

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
)

// memoryFS is an in-memory FS. Like a disk, it loses in a crash what was not synced, except for
// a part of the last write.
type memoryFS struct {
	files   map[string]*memoryFile // content before a crash
	durable map[string]*memoryFile // files that exist after a crash
	fail    map[string]error       // injected errors by operation: write, sync, rename or syncdir
	calls   map[string]int
}

type memoryFile struct {
	fs     *memoryFS
	data   []byte
	synced int
}

func newMemoryFS() *memoryFS {
	return &memoryFS{files: map[string]*memoryFile{}, durable: map[string]*memoryFile{}, fail: map[string]error{}, calls: map[string]int{}}
}

func (m *memoryFS) failure(op string) error {
	m.calls[op]++
	return m.fail[op]
}

func (m *memoryFS) Create(name string) (File, error) {
	if m.files[name] == nil {
		m.files[name] = &memoryFile{fs: m}
	}
	return m.files[name], nil
}

func (m *memoryFS) ReadFile(name string) ([]byte, error) {
	f := m.files[name]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (m *memoryFS) ReadDir(name string) ([]string, error) {
	var names []string
	for path := range m.files {
		if rest, ok := strings.CutPrefix(path, name+"/"); ok {
			names = append(names, strings.SplitN(rest, "/", 2)[0])
		}
	}
	slices.Sort(names)
	return slices.Compact(names), nil
}

func (m *memoryFS) MkdirAll(string) error { return nil }

func (m *memoryFS) Rename(from, to string) error {
	if err := m.failure("rename"); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memoryFS) Overwrite(name string, content []byte) error {
	if err := m.failure("sync"); err != nil {
		return err
	}
	m.files[name].data = slices.Clone(content)
	m.files[name].synced = len(content)
	return nil
}

func (m *memoryFS) Remove(name string) error {
	if m.files[name] == nil {
		return os.ErrNotExist
	}
	delete(m.files, name)
	return nil
}

func (m *memoryFS) SyncDir(name string) error {
	if err := m.failure("syncdir"); err != nil {
		return err
	}
	for path := range m.durable {
		if filepath.Dir(path) == name {
			delete(m.durable, path)
		}
	}
	for path, f := range m.files {
		if filepath.Dir(path) == name {
			m.durable[path] = f
		}
	}
	return nil
}

func (f *memoryFile) Write(p []byte) (int, error) {
	if err := f.fs.failure("write"); err != nil {
		f.data = append(f.data, p[:len(p)/2]...) // a full disk stores a part of the write
		return len(p) / 2, err
	}
	f.data = append(f.data, p...)
	return len(p), nil
}

func (f *memoryFile) Sync() error {
	if err := f.fs.failure("sync"); err != nil {
		return err
	}
	f.synced = len(f.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }

// crash returns the files after a crash. Of the bytes of each file that were not synced,
// keptEighths of 8 parts survive.
func (m *memoryFS) crash(keptEighths int) *memoryFS {
	after := newMemoryFS()
	for path, f := range m.durable {
		n := f.synced + (len(f.data)-f.synced)*keptEighths/8
		copied := &memoryFile{fs: after, data: slices.Clone(f.data[:n]), synced: n}
		after.files[path], after.durable[path] = copied, copied
	}
	return after
}

var errDiskFull error = syscall.ENOSPC
