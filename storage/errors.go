package storage

import "fmt"

// CorruptError reports stored data that was once durable and cannot be read
// any more. The replica must not start: it would have forgotten entries or
// votes. It is replaced like one that lost its disk.
type CorruptError struct {
	Path   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("corrupt data in %s at offset %d: %s", e.Path, e.Offset, e.Reason)
}

// SyncError reports a failed write or sync, such as a full disk. After it the
// content of the file is unknown: a second sync may report success although
// the kernel dropped the data, so the process has to stop and start again from
// what is on the disk.
type SyncError struct {
	Op   string
	Path string
	Err  error
}

func (e *SyncError) Error() string { return fmt.Sprintf("%s %s: %v", e.Op, e.Path, e.Err) }

// Unwrap returns the error of the operating system.
func (e *SyncError) Unwrap() error { return e.Err }

// LockedError reports a data directory that another process uses.
type LockedError struct{ Path string }

func (e *LockedError) Error() string {
	return fmt.Sprintf("data directory %s is in use by another process", e.Path)
}

// IdentityError reports a data directory that belongs to another replica.
type IdentityError struct {
	Path       string
	Held, Want uint64
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("%s belongs to replica %d, not to replica %d", e.Path, e.Held, e.Want)
}
