// Package storage keeps the durable state of a control replica in one data directory: the
// identity of the disk and, for each group, snapshots and a write-ahead log in segments. Data
// counts as stored only after a sync.
package storage

import (
	"errors"
	"io"
	"os"
	"path/filepath"
)

// File is an open file for sequential writes.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// FS is the set of file operations of the package. Tests replace it to inject faults.
type FS interface {
	// Create opens a file for appending, and creates it if it does not exist.
	Create(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// ReadDir returns the names of the files in a directory, in lexical order.
	ReadDir(name string) ([]string, error)
	MkdirAll(name string) error
	// Overwrite writes content at the start of an existing file, truncates the file after it
	// and syncs it.
	Overwrite(name string, content []byte) error
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the creation, renaming and removal of files in a directory durable.
	SyncDir(name string) error
}

// OS is the file system of the operating system.
type OS struct{}

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// ReadDir implements FS.
func (OS) ReadDir(name string) ([]string, error) {
	entries, err := os.ReadDir(name)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// MkdirAll implements FS.
func (OS) MkdirAll(name string) error { return os.MkdirAll(name, 0o700) }

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// Overwrite implements FS.
func (OS) Overwrite(name string, content []byte) error {
	f, err := os.OpenFile(name, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(content, 0)
	if err == nil {
		err = f.Truncate(int64(len(content)))
	}
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// SyncDir implements FS.
func (OS) SyncDir(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// replaceFile replaces a file atomically: after a crash it has either the old or the new
// content. The steps are write, sync, rename and sync of the directory.
func replaceFile(fs FS, name string, content []byte) error {
	dir := filepath.Dir(name)
	temporary := name + temporarySuffix
	if err := fs.Remove(temporary); err != nil && !os.IsNotExist(err) {
		return &IOError{Op: "remove", Path: temporary, Err: err}
	}
	if err := writeSynced(fs, temporary, content); err != nil {
		return err
	}
	if err := fs.Rename(temporary, name); err != nil {
		return &IOError{Op: "rename", Path: name, Err: err}
	}
	if err := fs.SyncDir(dir); err != nil {
		return &IOError{Op: "sync", Path: dir, Err: err}
	}
	return nil
}

// temporarySuffix is the suffix of files that a crash may leave incomplete.
const temporarySuffix = ".tmp"

func writeSynced(fs FS, name string, content []byte) error {
	f, err := fs.Create(name)
	if err != nil {
		return &IOError{Op: "create", Path: name, Err: err}
	}
	if _, err = f.Write(content); err != nil {
		_ = f.Close() // the write error is reported
		return &IOError{Op: "write", Path: name, Err: err}
	}
	if err = f.Sync(); err != nil {
		_ = f.Close() // the sync error is reported
		return &IOError{Op: "sync", Path: name, Err: err}
	}
	if err = f.Close(); err != nil {
		return &IOError{Op: "close", Path: name, Err: err}
	}
	return nil
}
