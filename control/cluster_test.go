package control

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/control/client"
	"github.com/bilberrydeck/bilberrydeck/internal/freeport"
)

// testTimeout limits every wait of a test. It is far longer than a passing test takes.
const testTimeout = 60 * time.Second

// cluster runs control processes in one test process, connected over loopback.
type cluster struct {
	t       testing.TB
	dir     string
	shards  int
	peers   map[uint64]string
	running map[uint64]*process
	adjust  func(*Config)
}

type process struct {
	server *Server
	cancel context.CancelFunc
	ended  chan error
}

func newCluster(t testing.TB, replicas, shards int) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), shards: shards, peers: map[uint64]string{}, running: map[uint64]*process{}}
	for id := uint64(1); id <= uint64(replicas); id++ {
		c.peers[id] = freeport.Address(t)
	}
	t.Cleanup(func() {
		for id := range c.running {
			c.stop(id)
		}
	})
	return c
}

func (c *cluster) config(id uint64, address string) Config {
	cfg := Config{
		ReplicaID: id, ListenAddress: address, Peers: c.peers, ClaimShards: c.shards,
		DataDirectory: filepath.Join(c.dir, fmt.Sprint(id)),
	}
	if _, initial := c.peers[id]; !initial {
		cfg.Peers, cfg.Join = nil, true
	}
	if c.adjust != nil {
		c.adjust(&cfg)
	}
	return cfg
}

func (c *cluster) start(ids ...uint64) {
	for _, id := range ids {
		c.startAt(id, c.peers[id])
	}
}

func (c *cluster) startAt(id uint64, address string) *Server {
	s, err := New(c.config(id, address))
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{s, cancel, make(chan error, 1)}
	go func() { p.ended <- s.Run(ctx) }()
	c.running[id] = p
	return s
}

func (c *cluster) stop(id uint64) {
	p := c.running[id]
	delete(c.running, id)
	p.cancel()
	require.NoError(c.t, <-p.ended)
}

func (c *cluster) client() *client.Client {
	var addresses []string
	for _, a := range c.peers {
		addresses = append(addresses, a)
	}
	cl := client.New(client.Config{Addresses: addresses})
	c.t.Cleanup(cl.Close)
	return cl
}

func (c *cluster) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.t.Cleanup(cancel)
	return ctx
}

// leader waits until a running replica leads the group and returns its id.
func (c *cluster) leader(group int) uint64 {
	found := uint64(0)
	require.Eventually(c.t, func() bool {
		for id, p := range c.running {
			st := p.server.groups[group].view.Load().status
			if st.Role.String() == "leader" && c.running[id] != nil {
				found = id
				return true
			}
		}
		return false
	}, testTimeout, 5*time.Millisecond)
	return found
}

func configChange(number uint64) *api.Change {
	return &api.Change{
		Set: "default", Number: number, ChangeId: fmt.Sprint("change-", number), Author: "test",
		Services: []*api.ServiceDocument{{Service: fmt.Sprint("service-", number%10), Json: []byte("{}")}},
	}
}

func (c *cluster) publish(cl *client.Client, number uint64) {
	res, err := cl.Publish(c.context(), configChange(number))
	require.NoError(c.t, err)
	require.Equal(c.t, api.ChangeStatus_CHANGE_STATUS_ACCEPTED, res.Status, res)
}

// awaitVersion waits until all running replicas have applied a version and checks that they
// have the same documents.
func (c *cluster) awaitVersion(version uint64) {
	var want []*api.ServiceDocument
	for id, p := range c.running {
		require.Eventually(c.t, func() bool { return p.server.ConfigSource().Version() >= version }, testTimeout, 5*time.Millisecond, "replica %d", id)
		_, docs, _ := p.server.ConfigSource().ChangesSince(0)
		if want == nil {
			want = docs
		}
		require.Len(c.t, docs, len(want))
		for i := range docs {
			require.True(c.t, proto.Equal(want[i], docs[i]))
		}
	}
}
