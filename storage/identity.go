package storage

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// Identity is the content of the identity file. The disk id is made once, when
// the data directory is first used; a directory that was lost gets a new one.
type Identity struct {
	Replica uint64 `json:"replica"`
	DiskID  string `json:"disk_id"`
	// ClaimShards is the number of claim groups, fixed at the first start.
	ClaimShards int `json:"claim_shards"`
	// BootstrapEntry holds the first replica set while and after this replica
	// forms the group, as protobuf; empty on all other replicas.
	BootstrapEntry []byte `json:"founding,omitempty"`
}

const identityFile = "identity.json"

// Directory is a locked data directory.
type Directory struct {
	FS       FS
	Path     string
	Identity Identity
	lock     *os.File
}

// OpenDirectory locks a data directory and reads its identity. An unused
// directory gets the identity fresh, which names the replica and a new disk id.
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
// directory keeps its stored replica id, whatever fresh names.
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
		if err := d.refuseForeignState(); err != nil {
			return err
		}
		return d.SaveIdentity(fresh)
	}
	if err != nil {
		return &IOError{Op: "read", Path: name, Err: err}
	}
	if err := json.Unmarshal(content, &d.Identity); err != nil || d.Identity.DiskID == "" {
		return &CorruptError{Path: name, Reason: "the identity file does not decode"}
	}
	return nil
}

// refuseForeignState guards against a directory with state but without its
// identity: under a new disk id its log would count for nobody.
func (d *Directory) refuseForeignState() error {
	names, err := d.FS.ReadDir(d.Path)
	if err != nil {
		return &IOError{Op: "read", Path: d.Path, Err: err}
	}
	for _, n := range names {
		if n != "lock" && n != identityFile+temporarySuffix {
			return &CorruptError{Path: filepath.Join(d.Path, identityFile), Reason: "missing beside " + n}
		}
	}
	return nil
}

// SaveIdentity makes a new identity file durable.
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

// Close releases the lock.
func (d *Directory) Close() error { return d.lock.Close() }
