package storage

import "fmt"

// CorruptError reports stored data that was durable and cannot be read any more. The replica
// must not start, since it would have lost entries or votes. It is replaced like a replica that
// lost its disk.
type CorruptError struct {
	Path   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("corrupt data in %s at offset %d: %s", e.Path, e.Offset, e.Reason)
}

// IOError reports a failed file operation, for example on a full disk. After a failed write
// or sync, the content of the file is unknown: a second sync may report success although the
// kernel has dropped the data. The process must therefore stop and restart from the data on
// the disk.
type IOError struct {
	Op   string
	Path string
	Err  error
}

func (e *IOError) Error() string { return fmt.Sprintf("%s %s: %v", e.Op, e.Path, e.Err) }

// Unwrap returns the error of the operating system.
func (e *IOError) Unwrap() error { return e.Err }

// LockedError reports a data directory that another process has locked.
type LockedError struct{ Path string }

func (e *LockedError) Error() string {
	return fmt.Sprintf("data directory %s is in use by another process", e.Path)
}

// IdentityError reports a data directory of another replica than the configured one.
type IdentityError struct {
	Path               string
	Stored, Configured uint64
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("%s belongs to replica %d, not to replica %d", e.Path, e.Stored, e.Configured)
}
