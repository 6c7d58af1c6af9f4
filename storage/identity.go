package storage

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// Identity is the content of the identity file. The disk id is generated at the first use of
// the data directory; a replica that lost its data directory gets a new one.
type Identity struct {
	Replica uint64 `json:"replica"`
	DiskID  string `json:"disk_id"`
	// ClaimShards is the number of claim groups. It cannot change after the first start.
	ClaimShards int `json:"claim_shards"`
	// BootstrapReplicaSet is the first replica set of the group, as protobuf, on the replica that
	// bootstraps the group. It is empty on all other replicas.
	BootstrapReplicaSet []byte `json:"founding,omitempty"`
}

const identityFile = "identity.json"

// Directory is a locked data directory.
type Directory struct {
	FS       FS
	Path     string
	Identity Identity
	lock     *os.File
}

// OpenDirectory locks a data directory and reads its identity. An unused directory gets the
// identity fresh, which has the replica id and a new disk id. The error is an IdentityError if
// the directory belongs to another replica.
func OpenDirectory(fs FS, path string, fresh Identity) (*Directory, error) {
	d, err := OpenDirectoryOfAnyReplica(fs, path, fresh)
	if err != nil {
		return nil, err
	}
	if d.Identity.Replica != fresh.Replica {
		_ = d.Close() // the mismatch is reported
		return nil, &IdentityError{Path: d.Path, Stored: d.Identity.Replica, Configured: fresh.Replica}
	}
	return d, nil
}

// OpenDirectoryOfAnyReplica is OpenDirectory for a replica whose id is not configured. A used
// directory keeps its stored replica id, whichever replica id fresh has.
func OpenDirectoryOfAnyReplica(fs FS, path string, fresh Identity) (*Directory, error) {
	if err := fs.MkdirAll(path); err != nil {
		return nil, &IOError{Op: "create", Path: path, Err: err}
	}
	lock, err := lockDirectory(path)
	if err != nil {
		return nil, err
	}
	d := &Directory{FS: fs, Path: path, lock: lock}
	if err := d.loadIdentity(fresh); err != nil {
		_ = lock.Close() // the first error is reported
		return nil, err
	}
	return d, nil
}

func lockDirectory(path string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, &IOError{Op: "create", Path: filepath.Join(path, "lock"), Err: err}
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close() // the lock error is reported
		return nil, &LockedError{Path: path}
	}
	return f, nil
}

func (d *Directory) loadIdentity(fresh Identity) error {
	name := filepath.Join(d.Path, identityFile)
	content, err := d.FS.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		if err := d.rejectStateWithoutIdentity(); err != nil {
			return err
		}
		return d.SaveIdentity(fresh)
	}
	if err != nil {
		return &IOError{Op: "read", Path: name, Err: err}
	}
	if err := json.Unmarshal(content, &d.Identity); err != nil || d.Identity.DiskID == "" {
		return &CorruptError{Path: name, Reason: "the identity file cannot be decoded"}
	}
	return nil
}

// rejectStateWithoutIdentity returns an error if the directory has state but no identity file.
// Under a new disk id, the acknowledgements and votes in its log would no longer count.
func (d *Directory) rejectStateWithoutIdentity() error {
	names, err := d.FS.ReadDir(d.Path)
	if err != nil {
		return &IOError{Op: "read", Path: d.Path, Err: err}
	}
	for _, n := range names {
		if n != "lock" && n != identityFile+temporarySuffix {
			return &CorruptError{Path: filepath.Join(d.Path, identityFile), Reason: "the identity file is missing, but the directory contains " + n}
		}
	}
	return nil
}

// SaveIdentity replaces the identity file durably.
func (d *Directory) SaveIdentity(id Identity) error {
	content, err := json.MarshalIndent(id, "", "  ")
	if err != nil {
		return err
	}
	if err := replaceFile(d.FS, filepath.Join(d.Path, identityFile), content); err != nil {
		return err
	}
	d.Identity = id
	return nil
}

// Close unlocks the directory.
func (d *Directory) Close() error { return d.lock.Close() }
