package control

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/control/client"
	"github.com/bilberrydeck/bilberrydeck/storage"
)

// TestLostDiskThenLeaderLoss guards against a replacement that leaves the group without a quorum
// when a second replica fails right after it (fault F5 in docs/design.md), and against a new
// replica that does not receive the whole state.
func TestLostDiskThenLeaderLoss(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.adjust = func(cfg *Config) { cfg.SnapshotThreshold = 20 }
	c.start(1, 2, 3)
	cl := c.client()
	for n := uint64(1); n <= 50; n++ {
		c.publish(cl, n)
	}
	c.stop(2)
	require.NoError(t, os.RemoveAll(filepath.Join(c.dir, "2")))
	c.replace(2, 4)
	c.awaitVersion(50)
	c.stop(c.leader(0))
	c.publish(cl, 51)
	c.awaitVersion(51)
	st, err := cl.Status(c.context())
	require.NoError(t, err)
	for _, g := range st.Groups {
		require.Len(t, g.Replicas, 3)
	}
}

// replace starts a new replica and replaces an old one by it. It sends the request twice to check
// that a retry succeeds.
func (c *cluster) replace(oldID, newID uint64) {
	s := c.startAt(newID, "127.0.0.1:0")
	r := &api.ReplaceReplicaRequest{OldId: oldID, NewId: newID, NewAddress: s.Addr()}
	_, err := c.client().ReplaceReplica(c.context(), r)
	require.NoError(c.t, err)
	_, err = c.client().ReplaceReplica(c.context(), r)
	require.NoError(c.t, err, "a retried request must succeed")
}

// TestReplaceLeader guards against a replacement that fails when the replica to be replaced is
// the leader, which has to commit its own replacement.
func TestReplaceLeader(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.start(1, 2, 3)
	cl := c.client()
	c.publish(cl, 1)
	old := c.leader(0)
	c.replace(old, 4)
	c.stop(old)
	c.publish(cl, 2)
	c.awaitVersion(2)
}

// TestNoSecondGroup guards against a bootstrap replica that lost its disk and bootstraps a
// second group while the other replicas have the state of the first.
func TestNoSecondGroup(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.start(1, 2, 3)
	c.publish(c.client(), 1)
	c.awaitVersion(1)
	c.stop(1)
	require.NoError(t, os.RemoveAll(filepath.Join(c.dir, "1")))
	s, err := New(c.config(1, c.peers[1]))
	require.NoError(t, err)
	var bootstrapErr *BootstrapError
	require.ErrorAs(t, s.Run(c.context()), &bootstrapErr)
}

// TestEmptyReplicaDoesNotVote guards against the vote of a replica that lost its disk and starts
// with its old settings: it must not count for an election or a commit, since it no longer has
// the entries that it had accepted.
func TestEmptyReplicaDoesNotVote(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.start(1, 2, 3)
	c.publish(c.client(), 1)
	c.awaitVersion(1)
	c.stop(2)
	c.stop(3)
	require.NoError(t, os.RemoveAll(filepath.Join(c.dir, "3")))
	c.start(3)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := c.client().Publish(ctx, configChange(2))
	require.Error(t, err)
	require.True(t, c.running[3].server.empty())
	require.True(t, errors.Is(ctx.Err(), context.DeadlineExceeded))
}

// TestConfirmationAgeOfIsolatedReplica guards against an isolated replica that reports a recent
// quorum confirmation (fault F2 in docs/design.md): the confirmation age must grow.
func TestConfirmationAgeOfIsolatedReplica(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.start(1, 2, 3)
	c.publish(c.client(), 1)
	c.awaitVersion(1)
	source := c.running[1].server.ConfigSource()
	require.Eventually(t, func() bool { return source.ConfirmationAgeMs() >= 0 }, testTimeout, time.Millisecond)
	c.stop(2)
	c.stop(3)
	require.Eventually(t, func() bool { return source.ConfirmationAgeMs() > 2000 }, testTimeout, time.Millisecond)
}

// failingFS fails syncs with ENOSPC while failing is set.
type failingFS struct {
	storage.OS
	failing atomic.Bool
}

type failingFile struct {
	storage.File
	fs *failingFS
}

func (f *failingFS) Create(name string) (storage.File, error) {
	file, err := f.OS.Create(name)
	return &failingFile{file, f}, err
}

func (f *failingFile) Sync() error {
	if f.fs.failing.Load() {
		return syscall.ENOSPC
	}
	return f.File.Sync()
}

// TestFullDisk guards against a replica that continues after a failed sync: it must stop, and the
// others must continue without it.
func TestFullDisk(t *testing.T) {
	c := newCluster(t, 3, 1)
	disks := map[uint64]*failingFS{}
	c.adjust = func(cfg *Config) {
		disks[cfg.ReplicaID] = &failingFS{}
		cfg.FS = disks[cfg.ReplicaID]
	}
	c.start(1, 2, 3)
	cl := c.client()
	c.publish(cl, 1)
	full := c.leader(0)
	disks[full].failing.Store(true)
	c.publish(cl, 2)
	var ioErr *storage.IOError
	require.ErrorAs(t, <-c.running[full].ended, &ioErr)
	require.ErrorIs(t, ioErr, syscall.ENOSPC)
	delete(c.running, full)
	c.publish(cl, 3)
	c.awaitVersion(3)
}

// TestReplaceRequestAtJoiningReplica guards against a replacement that hangs when the operator's
// list of addresses contains the new replica, which is not a member of a group yet and has no
// leader.
func TestReplaceRequestAtJoiningReplica(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.start(1, 2, 3)
	c.publish(c.client(), 1)
	c.stop(2)
	s := c.startAt(4, "127.0.0.1:0")
	// The client calls the second address first, which is the new replica.
	cl := client.New(client.Config{Addresses: []string{c.peers[1], s.Addr()}})
	defer cl.Close()
	_, err := cl.ReplaceReplica(c.context(), &api.ReplaceReplicaRequest{OldId: 2, NewId: 4, NewAddress: s.Addr()})
	require.NoError(t, err)
	c.awaitVersion(1)
}
