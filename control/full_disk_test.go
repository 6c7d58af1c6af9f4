package control

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/raft"
	"github.com/bilberrydeck/bilberrydeck/core/statemachine"
	"github.com/bilberrydeck/bilberrydeck/storage"
)

// acknowledgementTime is the time within which a change must be confirmed while a quorum is running.
const acknowledgementTime = 4 * time.Second

// fillableDisk is a disk that can be full: it then refuses every write.
type fillableDisk struct {
	storage.OS
	full atomic.Bool
	// fillAtSnapshot makes the disk full when a snapshot is about to be written, fillAfterSnapshot once
	// it has been written. Each does so once.
	fillAtSnapshot, fillAfterSnapshot atomic.Bool
}

func (d *fillableDisk) refusal() error {
	if d.full.Load() {
		return syscall.ENOSPC
	}
	return nil
}

func (d *fillableDisk) Create(name string) (storage.File, error) {
	if strings.HasPrefix(filepath.Base(name), "snapshot-") && d.fillAtSnapshot.CompareAndSwap(true, false) {
		d.full.Store(true)
	}
	file, err := d.OS.Create(name)
	return &fillableFile{file, d}, err
}

func (d *fillableDisk) Rename(from, to string) error {
	err := d.OS.Rename(from, to)
	if strings.HasPrefix(filepath.Base(to), "snapshot-") && d.fillAfterSnapshot.CompareAndSwap(true, false) {
		d.full.Store(true)
	}
	return err
}

func (d *fillableDisk) Overwrite(name string, content []byte) error {
	if err := d.refusal(); err != nil {
		return err
	}
	return d.OS.Overwrite(name, content)
}

type fillableFile struct {
	storage.File
	disk *fillableDisk
}

func (f *fillableFile) Write(p []byte) (int, error) {
	if err := f.disk.refusal(); err != nil {
		return 0, err
	}
	return f.File.Write(p)
}

// diskCluster is a group of replicas whose disks can be full. Like a control process, the cluster starts a
// replica whose disk has failed from its data again and again.
type diskCluster struct {
	*discoveryCluster
	disks map[string]*fillableDisk
	ended sync.WaitGroup
	ctx   context.Context

	mu      sync.Mutex
	servers map[string]*Server // replicas that run
}

func newDiskCluster(t *testing.T, replicas int) *diskCluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &diskCluster{discoveryCluster: newDiscoveryCluster(t, replicas), disks: map[string]*fillableDisk{}, ctx: ctx, servers: map[string]*Server{}}
	t.Cleanup(func() {
		cancel()
		c.ended.Wait()
	})
	c.adjust = func(address string, cfg *Config) {
		cfg.FS, cfg.SnapshotThreshold = c.disks[address], trailingEntries/4
	}
	for _, address := range c.addresses {
		c.disks[address] = &fillableDisk{}
	}
	for _, address := range c.addresses { // the replicas read the map
		c.ended.Go(func() { c.keepRunning(address) })
	}
	return c
}

// keepRunning runs a replica until the test ends.
func (c *diskCluster) keepRunning(address string) {
	for first := true; c.ctx.Err() == nil; first = false {
		server, err := New(c.config(address, first))
		if err == nil {
			c.setServer(address, server)
			err = server.Run(c.ctx)
			c.setServer(address, nil)
		}
		if err != nil && c.ctx.Err() == nil {
			var disk *storage.IOError
			if !assert.ErrorAs(c.t, err, &disk) {
				return
			}
			time.Sleep(20 * time.Millisecond) // as control processes wait between two attempts
		}
	}
}

func (c *diskCluster) setServer(address string, s *Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == nil {
		delete(c.servers, address)
		return
	}
	c.servers[address] = s
}

// leader waits for a leader of a group with all replicas as voters, and returns its address.
func (c *diskCluster) leader() (address string) {
	require.Eventually(c.t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for at, s := range c.servers {
			if st := s.configGroup().view.Load().status; st.Role == raft.Leader && st.ReplicaSetCommitted && len(st.ReplicaSet.GetVoters()) == len(c.addresses) {
				address = at
			}
		}
		return address != ""
	}, testTimeout, 5*time.Millisecond)
	return address
}

// execute replicates a command at the leader.
func (c *diskCluster) execute(ctx context.Context, cmd *api.FleetCommand) error {
	c.mu.Lock()
	var leader *Server
	for _, s := range c.servers {
		if s.configGroup().view.Load().status.Role == raft.Leader {
			leader = s
		}
	}
	c.mu.Unlock()
	if leader == nil {
		return &raft.NotLeaderError{}
	}
	return leader.Execute(ctx, cmd, &api.FleetResult{})
}

// requireAcknowledged sends a routing change until it is confirmed, which must be within the time that
// operators are promised.
func (c *diskCluster) requireAcknowledged(number uint64, when string) {
	cmd := &api.FleetCommand{Operation: &api.FleetCommand_Routing{Routing: &api.RoutingChange{
		Base: number - 1, Digest: fmt.Append(nil, number), Document: &api.RoutingDocument{Number: number},
	}}}
	ctx, cancel := context.WithTimeout(context.Background(), acknowledgementTime)
	defer cancel()
	var err error
	for ctx.Err() == nil {
		attempt, end := context.WithTimeout(ctx, time.Second)
		err = c.execute(attempt, cmd)
		end()
		if err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.NoError(c.t, err, "change %d, %s", number, when)
}

// fillLog replicates so many commands that a replica which misses them needs a snapshot.
func (c *diskCluster) fillLog() {
	var clients sync.WaitGroup
	var next atomic.Int64
	for range 64 {
		clients.Go(func() {
			for n := next.Add(1); n <= 2*trailingEntries; n = next.Add(1) {
				cmd := &api.FleetCommand{Operation: &api.FleetCommand_Announce{Announce: &api.FleetMember{PeerAddress: fmt.Sprint("vm-", n%64), Boot: uint64(n)}}}
				for c.execute(c.ctx, cmd) != nil && c.ctx.Err() == nil {
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
	clients.Wait()
}

func (c *diskCluster) awaitVersion(address string, number uint64) {
	require.Eventually(c.t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		version := uint64(0)
		if s := c.servers[address]; s != nil {
			s.Read(func(m StateMachine) { version = m.(*statemachine.Fleet).ConfigVersion() })
		}
		return version == number
	}, testTimeout, 5*time.Millisecond, "version %d at %s", number, address)
}

// TestDisksFullOneAfterAnother checks that changes are confirmed while the disk of one replica after the
// other is full, the leader's included, and that each replica follows again once it has room.
func TestDisksFullOneAfterAnother(t *testing.T) {
	c := newDiskCluster(t, 3)
	c.leader()
	c.requireAcknowledged(1, "before")
	number := uint64(1)
	for range 2 {
		for _, address := range append([]string{c.leader()}, c.addresses...) {
			c.disks[address].full.Store(true)
			number++
			c.requireAcknowledged(number, "with a full disk")
			time.Sleep(200 * time.Millisecond) // several attempts to start from the full disk
			c.disks[address].full.Store(false)
			c.awaitVersion(address, number)
		}
	}
	number++
	c.requireAcknowledged(number, "after the last disk has room again")
}

// TestDiskFullDuringSnapshot guards against a replica that is sent nothing any more after its disk was full
// while it stored a snapshot: it starts again from its data, but the leader still waits for the snapshot to
// be acknowledged. When the disk of the next replica is full, no quorum is left and no change is confirmed.
func TestDiskFullDuringSnapshot(t *testing.T) {
	c, first, _ := fillDiskAtSnapshot(t, func(d *fillableDisk) *atomic.Bool { return &d.fillAtSnapshot })
	c.awaitVersion(first, 2)
}

// TestDiskFullAfterSnapshot guards against a replica that ends at each start after its disk was full between
// the snapshot that it installed and the next write of its log: entries after the snapshot then followed
// those before the missing ones, and the log was taken for corrupt.
func TestDiskFullAfterSnapshot(t *testing.T) {
	c, first, second := fillDiskAtSnapshot(t, func(d *fillableDisk) *atomic.Bool { return &d.fillAfterSnapshot })
	c.awaitVersion(first, 2)
	c.disks[first].full.Store(true)
	c.requireAcknowledged(3, "with a full disk again")
	c.disks[first].full.Store(false)
	c.awaitVersion(first, 3)
	c.awaitVersion(second, 3)
	c.disks[second].full.Store(true)
	c.requireAcknowledged(4, "with another full disk")
	c.disks[second].full.Store(false)
}

// fillDiskAtSnapshot fills the disk of one follower at a moment of the installation of a snapshot, and then
// that of the other one. It returns the addresses of the followers.
func fillDiskAtSnapshot(t *testing.T, moment func(*fillableDisk) *atomic.Bool) (c *diskCluster, first, second string) {
	c = newDiskCluster(t, 3)
	leader := c.leader()
	c.requireAcknowledged(1, "before")
	followers := slices.DeleteFunc(slices.Clone(c.addresses), func(address string) bool { return address == leader })
	first, second = followers[0], followers[1]
	disk := c.disks[first]
	disk.full.Store(true)
	c.fillLog()
	moment(disk).Store(true)
	disk.full.Store(false)
	require.Eventually(t, func() bool { return !moment(disk).Load() }, testTimeout, time.Millisecond)
	time.Sleep(200 * time.Millisecond) // as above
	disk.full.Store(false)
	c.awaitServer(first)
	c.disks[second].full.Store(true)
	c.requireAcknowledged(2, "with another full disk")
	c.disks[second].full.Store(false)
	c.awaitVersion(second, 2)
	return c, first, second
}

// awaitServer waits until a replica runs.
func (c *diskCluster) awaitServer(address string) {
	require.Eventually(c.t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.servers[address] != nil
	}, testTimeout, time.Millisecond)
}
