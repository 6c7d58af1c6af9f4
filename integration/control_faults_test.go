package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/control/client"
)

// others returns ids without id.
func others(id int, ids ...int) []int {
	var out []int
	for _, other := range ids {
		if other != id {
			out = append(out, other)
		}
	}
	return out
}

// statusOf requests the status of one replica with a timeout of 2 s.
func (g *controlGroup) statusOf(id int) (*api.StatusResponse, error) {
	c := client.New(client.Config{Addresses: []string{g.address[id]}})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return c.StatusOf(ctx, g.address[id])
}

// requirePublishFails checks that an isolated replica returns no result for a change.
// It uses a plain connection, because client.Client would follow a redirect to the leader.
func (g *controlGroup) requirePublishFails(id int, ch *api.Change) {
	g.t.Helper()
	conn, err := grpc.NewClient(g.address[id], grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(g.t, err)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	res, err := api.NewControlClient(conn).Publish(ctx, ch)
	require.Error(g.t, err, "an isolated replica returned a result for a change: %v", res)
}

// TestKilledLeaderLosesNoChange guards against the loss of an accepted change when the
// leader is killed right after it accepted the change.
func TestKilledLeaderLosesNoChange(t *testing.T) {
	g := newControlGroup(t, 1, 2, 3)
	p := &publisher{t: t, c: g.clientOf(1, 2, 3)}
	for range 6 {
		for range 3 {
			p.next()
		}
		leader := g.leader(1, 2, 3)
		g.procs[leader].kill()
		p.next()
		g.procs[leader].run()
		g.waitVersion(leader, p.last)
	}
}

// TestPartitionedLeader guards against a leader that accepts changes or reports a fresh
// quorum confirmation while its packets are dropped silently, and against a reconnected
// replica that forces an election or reverts a change.
func TestPartitionedLeader(t *testing.T) {
	for _, direction := range []struct {
		name              string
		inbound, outbound bool
	}{{"both ways", true, true}, {"inbound only", true, false}, {"outbound only", false, true}} {
		t.Run(direction.name, func(t *testing.T) {
			g := newControlGroup(t, 1, 2, 3)
			all := &publisher{t: t, c: g.clientOf(1, 2, 3)}
			all.next()
			cut := g.leader(1, 2, 3)
			g.isolate(cut, direction.inbound, direction.outbound)
			rest := others(cut, 1, 2, 3)
			majority := &publisher{t: t, c: g.clientOf(rest...), last: all.last}
			for range 5 {
				majority.next()
			}
			g.requirePublishFails(cut, change(2, "from-the-cut-off-side", "nobody"))
			if direction.inbound { // otherwise the replica follows the new leader and is up to date
				g.waitStale(cut)
			}
			leader := g.leader(rest...)
			term := g.term(leader)
			g.isolate(cut, false, false)
			g.waitVersion(cut, majority.last)
			majority.next()
			require.Equal(t, term, g.term(leader), "the reconnected replica forced an election")
			res := publish(t, majority.c, change(2, "from-the-cut-off-side", "nobody"))
			require.Equal(t, api.ChangeStatus_CHANGE_STATUS_NUMBER_TAKEN, res.Status)
		})
	}
}

// waitStale waits until a replica reports no recent quorum confirmation.
func (g *controlGroup) waitStale(id int) {
	waitFor(g.t, "a growing confirmation age", func() bool {
		st, err := g.statusOf(id)
		if err != nil || len(st.Groups) == 0 {
			return false
		}
		age := st.Groups[0].ConfirmationAgeMs
		return age < 0 || age > 2000
	})
}

// term returns the term of a replica in the configuration group.
func (g *controlGroup) term(id int) uint64 {
	var term uint64
	waitFor(g.t, "a status", func() bool {
		st, err := g.statusOf(id)
		if err != nil || len(st.Groups) == 0 {
			return false
		}
		term = st.Groups[0].Term
		return true
	})
	return term
}

// TestFrozenLeader guards against a leader that is suspended with SIGSTOP and still acts
// as leader after it resumes, although another leader was elected meanwhile.
func TestFrozenLeader(t *testing.T) {
	g := newControlGroup(t, 1, 2, 3)
	p := &publisher{t: t, c: g.clientOf(1, 2, 3)}
	p.next()
	for range 3 {
		leader := g.leader(1, 2, 3)
		g.procs[leader].signal(syscall.SIGSTOP)
		majority := &publisher{t: t, c: g.clientOf(others(leader, 1, 2, 3)...), last: p.last}
		majority.next()
		majority.next()
		g.procs[leader].signal(syscall.SIGCONT)
		g.waitVersion(leader, majority.last)
		p.last = majority.last
		p.next()
	}
}

// TestResentChangeGetsFirstResponse guards against a change that is applied twice, or
// gets a different response, when it is sent again because the response was lost. The
// change is also sent to another replica.
func TestResentChangeGetsFirstResponse(t *testing.T) {
	g := newControlGroup(t, 1, 2, 3)
	p := &publisher{t: t, c: g.clientOf(1, 2, 3)}
	p.next()
	leader := g.leader(1, 2, 3)
	toLeader := newProxy(t, g.address[leader])
	toLeader.SetPartition(false, true) // the change arrives, its response is dropped
	lossy := client.New(client.Config{Addresses: []string{toLeader.Address()}})
	defer lossy.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	ch := change(2, "change-2", "operator")
	_, err := lossy.Publish(ctx, ch)
	require.Error(t, err)
	first := publish(t, p.c, ch)
	require.Equal(t, api.ChangeStatus_CHANGE_STATUS_ACCEPTED, first.Status)
	require.Equal(t, uint64(2), first.Version)
	g.procs[leader].kill()
	again := publish(t, g.clientOf(others(leader, 1, 2, 3)...), ch)
	require.Equal(t, first.Version, again.Version)
	require.Equal(t, first.Status, again.Status)
}

// replaceReplica runs the command replica replace until it succeeds.
func (g *controlGroup) replaceReplica(old, replacement int, contacted ...int) {
	g.t.Helper()
	var list []string
	for _, id := range contacted {
		list = append(list, g.address[id])
	}
	waitFor(g.t, "the replacement", func() bool {
		_, stderr, code := runCommand(g.t, "replica", "replace", "-controls", strings.Join(list, ","),
			"-old", fmt.Sprint(old), "-new", fmt.Sprint(replacement), "-address", g.address[replacement])
		if code != 0 {
			g.t.Logf("replica replace: %s", stderr)
		}
		return code == 0
	})
}

// TestSecondFailureAfterReplacement guards against a group that loses changes or cannot
// make progress when a second VM fails right after a replica was replaced.
func TestSecondFailureAfterReplacement(t *testing.T) {
	g := newControlGroup(t, 1, 2, 3)
	p := &publisher{t: t, c: g.clientOf(1, 2, 3)}
	for range 10 {
		p.next()
	}
	g.procs[1].kill()
	require.NoError(t, os.RemoveAll(g.dataDir(1)))
	g.startReplica(4, true, []int{2, 3})
	g.replaceReplica(1, 4, 2, 3)
	g.procs[2].kill() // right after the replacement
	require.NoError(t, os.RemoveAll(g.dataDir(2)))
	p.c = g.clientOf(3, 4)
	for range 10 {
		p.next()
	}
	g.startReplica(5, true, []int{3, 4})
	g.replaceReplica(2, 5, 3, 4)
	g.procs[3].kill()
	p.c = g.clientOf(4, 5)
	p.next()
	first := publish(t, p.c, change(3, "change-3", "operator"))
	require.Equal(t, uint64(3), first.Version, "the group keeps the first responses after the replacements")
}

// TestSecondFailureDuringReplacement guards against a change that is lost, or accepted
// twice, when a second replica is killed and restarted at any moment of a replacement.
func TestSecondFailureDuringReplacement(t *testing.T) {
	random := rand.New(rand.NewPCG(20261204, 1))
	for round := range 4 {
		t.Run(fmt.Sprint("round ", round), func(t *testing.T) {
			g := newControlGroup(t, 1, 2, 3)
			p := &publisher{t: t, c: g.clientOf(1, 2, 3)}
			for range 5 {
				p.next()
			}
			g.procs[1].kill()
			require.NoError(t, os.RemoveAll(g.dataDir(1)))
			g.startReplica(4, true, []int{2, 3})
			repaired := make(chan struct{})
			go func() {
				defer close(repaired)
				g.replaceReplica(1, 4, 2, 3)
			}()
			victim := 2 + random.IntN(3)
			time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond) // the moment varies; the outcome must not
			g.procs[victim].kill()
			g.procs[victim].run()
			<-repaired
			p.c = g.clientOf(2, 3, 4)
			p.next()
			for _, id := range []int{2, 3, 4} {
				g.waitVersion(id, p.last)
			}
		})
	}
}

// TestReplicaWithLostDiskDoesNotRejoin guards against a replica that rejoins the group
// under its old id with an empty disk: its votes are lost, so it could vote twice in a
// term.
func TestReplicaWithLostDiskDoesNotRejoin(t *testing.T) {
	g := newControlGroup(t, 1, 2, 3)
	p := &publisher{t: t, c: g.clientOf(1, 2, 3)}
	for range 3 {
		p.next()
	}
	for _, id := range []int{1, 3} { // replica 1 bootstraps a group
		g.procs[id].kill()
		require.NoError(t, os.RemoveAll(g.dataDir(id)))
		g.procs[id].run()
		waitFor(t, "an exit or a status without a version", func() bool {
			select {
			case <-g.procs[id].done:
				g.procs[id].done <- nil
				return true
			default:
			}
			st, err := g.statusOf(id)
			return err == nil && st.Version == 0
		})
		p.c = g.clientOf(others(id, 1, 2, 3)...)
		p.next()
		if st, err := g.statusOf(id); err == nil {
			require.Zero(t, st.Version, "a replica without its disk rejoined under its old id")
		}
		g.procs[id].kill()
		if id == 1 {
			g.startReplica(4, true, []int{2, 3})
			g.replaceReplica(1, 4, 2, 3)
			p.c = g.clientOf(2, 3, 4)
			p.next()
			return
		}
	}
}

// TestConcurrentFaults guards against the loss of accepted changes when one replica is
// cut off while another one is killed or suspended, and both return.
func TestConcurrentFaults(t *testing.T) {
	g := newControlGroup(t, 1, 2, 3)
	p := &publisher{t: t, c: g.clientOf(1, 2, 3)}
	p.next()
	random := rand.New(rand.NewPCG(20261204, 2))
	for range 5 {
		first := 1 + random.IntN(3)
		second := others(first, 1, 2, 3)[random.IntN(2)]
		g.isolate(first, random.IntN(3) > 0, random.IntN(3) > 0)
		if random.IntN(2) == 0 {
			g.procs[second].kill()
			g.procs[second].run()
		} else {
			g.procs[second].signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			g.procs[second].signal(syscall.SIGCONT)
		}
		g.isolate(first, false, false)
		p.next()
		for id := 1; id <= 3; id++ {
			g.waitVersion(id, p.last)
		}
	}
}
