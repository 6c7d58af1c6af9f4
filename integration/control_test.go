package integration

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/control/client"
	"github.com/bilberrydeck/bilberrydeck/declaration"
	"github.com/bilberrydeck/bilberrydeck/emulator"
	"github.com/bilberrydeck/bilberrydeck/internal/faultproxy"
	"github.com/bilberrydeck/bilberrydeck/internal/freeport"
)

// controlGroup is a set of control processes. Each replica dials each other replica
// through a separate proxy, so that each direction of a link can be cut by itself.
type controlGroup struct {
	t       testing.TB
	dir     string
	address map[int]string
	links   map[[2]int]*faultproxy.Proxy // from, to
	procs   map[int]*process
}

// newControlGroup starts a control process for each id.
func newControlGroup(t testing.TB, ids ...int) *controlGroup {
	g := &controlGroup{
		t: t, dir: t.TempDir(), address: make(map[int]string),
		links: make(map[[2]int]*faultproxy.Proxy), procs: make(map[int]*process),
	}
	for _, id := range ids {
		g.address[id] = freeport.Address(t)
	}
	for _, id := range ids {
		g.startReplica(id, false, ids)
	}
	return g
}

// startReplica writes the settings of a replica and starts it.
func (g *controlGroup) startReplica(id int, join bool, peers []int) {
	if g.address[id] == "" {
		g.address[id] = freeport.Address(g.t)
	}
	var list, dial []string
	for _, peer := range peers {
		if peer != id {
			list = append(list, fmt.Sprintf(`{"id": %d, "address": %q}`, peer, g.address[peer]))
		}
	}
	for other := range g.address {
		if other != id {
			dial = append(dial, fmt.Sprintf("%q: %q", g.address[other], g.linkBetween(id, other).Address()))
		}
	}
	settings := fmt.Sprintf(`{"id": %d, "listen": %q, "peers": [%s], "data_dir": "data-%d", "claim_shards": 2,
		"join": %t, "dial": {%s}, "log": {"level": "info"}}`,
		id, g.address[id], strings.Join(list, ", "), id, join, strings.Join(dial, ", "))
	path := writeFile(g.t, g.dir, fmt.Sprintf("control-%d.settings.json", id), settings)
	g.procs[id] = start(g.t, "control", "-settings", path)
}

// linkBetween returns the proxy through which one replica dials another one.
func (g *controlGroup) linkBetween(from, to int) *faultproxy.Proxy {
	key := [2]int{from, to}
	if g.links[key] == nil {
		g.links[key] = newProxy(g.t, g.address[to])
	}
	return g.links[key]
}

func (g *controlGroup) dataDir(id int) string {
	return filepath.Join(g.dir, fmt.Sprintf("data-%d", id))
}

// isolate cuts or restores all links between a replica and the others, separately for
// the inbound and the outbound direction.
func (g *controlGroup) isolate(id int, inbound, outbound bool) {
	for key, link := range g.links {
		switch id {
		case key[1]: // from another replica to this one
			link.SetPartition(inbound, outbound)
		case key[0]:
			link.SetPartition(outbound, inbound)
		}
	}
}

// clientOf returns a client that contacts only the given replicas.
func (g *controlGroup) clientOf(ids ...int) *client.Client {
	var addresses []string
	for _, id := range ids {
		addresses = append(addresses, g.address[id])
	}
	c := client.New(client.Config{Addresses: addresses})
	g.t.Cleanup(c.Close)
	return c
}

// leader waits until one of the replicas leads the configuration group and returns its id.
func (g *controlGroup) leader(ids ...int) int {
	found := 0
	c := g.clientOf(ids...)
	waitFor(g.t, "a leader", func() bool {
		for _, id := range ids {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			st, err := c.StatusOf(ctx, g.address[id])
			cancel()
			if err == nil && len(st.Groups) > 0 && st.Groups[0].Leader == uint64(id) && st.Groups[0].ConfirmationAgeMs >= 0 {
				found = id
				return true
			}
		}
		return false
	})
	return found
}

// change returns a valid change that declares the emulated services.
func change(number uint64, id, author string) *api.Change {
	ch := &api.Change{Set: "default", Number: number, ChangeId: id, Author: author}
	for _, name := range emulator.Services() {
		s := emulator.Declaration(name)
		s.MaxConnections = 100 + int(number)
		ch.Services = append(ch.Services, &api.ServiceDocument{Service: name, Json: declaration.Encode(s)})
	}
	return ch
}

// publish sends a change again until it gets a response.
func publish(t testing.TB, c *client.Client, ch *api.Change) *api.ChangeResult {
	t.Helper()
	var res *api.ChangeResult
	waitFor(t, "a response to the change", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		r, err := c.Publish(ctx, ch)
		res = r
		return err == nil
	})
	return res
}

// publishAccepted publishes a change, which must be accepted as the version number.
func publishAccepted(t testing.TB, c *client.Client, number uint64) {
	t.Helper()
	res := publish(t, c, change(number, fmt.Sprint("change-", number), "operator"))
	require.Equal(t, api.ChangeStatus_CHANGE_STATUS_ACCEPTED, res.Status, "%v", res)
	require.Equal(t, number, res.Version)
}

// waitVersion waits until a replica has applied a version.
func (g *controlGroup) waitVersion(id int, version uint64) {
	g.t.Helper()
	c := g.clientOf(id)
	waitFor(g.t, fmt.Sprintf("version %d at replica %d", version, id), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		st, err := c.StatusOf(ctx, g.address[id])
		return err == nil && st.Version >= version
	})
}

// publisher publishes changes with consecutive numbers.
type publisher struct {
	t    testing.TB
	c    *client.Client
	last uint64
}

// next publishes one change, which must be accepted.
func (p *publisher) next() {
	p.t.Helper()
	p.last++
	publishAccepted(p.t, p.c, p.last)
}

// TestRestartAfterHundredsOfChanges guards against state that is lost or differs after
// all replicas were killed at the same time.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	g := newControlGroup(t, 1, 2, 3)
	c := g.clientOf(1, 2, 3)
	const changes = 300
	for n := uint64(1); n <= changes; n++ {
		publishAccepted(t, c, n)
	}
	for _, p := range g.procs {
		p.kill()
	}
	for _, p := range g.procs {
		p.run()
	}
	for id := range g.procs {
		g.waitVersion(id, changes)
	}
	first := publish(t, c, change(7, "change-7", "operator"))
	require.Equal(t, api.ChangeStatus_CHANGE_STATUS_ACCEPTED, first.Status, "a resent change gets its first response")
	require.Equal(t, uint64(7), first.Version)
	publishAccepted(t, c, changes+1)
}

// TestConcurrentOperators guards against two accepted changes with the same number when
// operators publish concurrently.
func TestConcurrentOperators(t *testing.T) {
	g := newControlGroup(t, 1, 2, 3)
	const operators, rounds = 4, 10
	type response struct {
		id  string
		res *api.ChangeResult
	}
	for n := uint64(1); n <= rounds; n++ {
		responses := make(chan response, operators)
		for i := range operators {
			id := fmt.Sprintf("n%d-operator%d", n, i)
			c := g.clientOf(1+i%3, 1+(i+1)%3, 1+(i+2)%3)
			go func() { responses <- response{id, publish(t, c, change(n, id, id))} }()
		}
		var accepted string
		var rejected []*api.ChangeResult
		for range operators {
			a := <-responses
			if a.res.Status == api.ChangeStatus_CHANGE_STATUS_ACCEPTED {
				require.Empty(t, accepted, "number %d accepted twice", n)
				accepted = a.id
				continue
			}
			require.Equal(t, api.ChangeStatus_CHANGE_STATUS_NUMBER_TAKEN, a.res.Status)
			rejected = append(rejected, a.res)
		}
		require.NotEmpty(t, accepted)
		for _, r := range rejected {
			require.Equal(t, accepted, r.StandingChangeId)
			require.Equal(t, accepted, r.StandingAuthor)
		}
	}
}
