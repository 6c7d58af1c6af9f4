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

// others lists the ids without one.
func others(id int, ids ...int) []int {
	var out []int
	for _, other := range ids {
		if other != id {
			out = append(out, other)
		}
	}
	return out
}

// statusOf asks one replica, with a short patience.
func (g *controlGroup) statusOf(id int) (*api.StatusResponse, error) {
	c := client.New(client.Config{Addresses: []string{g.address[id]}})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return c.StatusOf(ctx, g.address[id])
}

// refuses checks that a replica that is cut off gives no answer to a change. It
// asks that replica alone: the project's client would follow it to the leader.
func (g *controlGroup) refuses(id int, ch *api.Change) {
	g.t.Helper()
	conn, err := grpc.NewClient(g.address[id], grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(g.t, err)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	res, err := api.NewControlClient(conn).Publish(ctx, ch)
	require.Error(g.t, err, "an isolated replica answered a change with %v", res)
}

// TestKilledLeaderLosesNothing guards against an accepted change that is lost
// when the leader is killed right after it accepted.
func TestKilledLeaderLosesNothing(t *testing.T) {
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

// TestSilentPartitionOfLeader guards against a leader that accepts changes or
// reports a fresh confirmation while it is cut off without notice, and against
// a returning replica that disturbs the others or takes back a change.
func TestSilentPartitionOfLeader(t *testing.T) {
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
			g.refuses(cut, change(2, "from-the-cut-off-side", "nobody"))
			if direction.inbound { // otherwise it follows the new leader and is current
				g.waitStale(cut)
			}
			leader := g.leader(rest...)
			term := g.term(leader)
			g.isolate(cut, false, false)
			g.waitVersion(cut, majority.last)
			majority.next()
			require.Equal(t, term, g.term(leader), "the returning replica forced an election")
			res := publish(t, majority.c, change(2, "from-the-cut-off-side", "nobody"))
			require.Equal(t, api.ChangeStatus_CHANGE_STATUS_NUMBER_TAKEN, res.Status)
		})
	}
}

// waitStale waits until a replica says that what it knows may be outdated.
func (g *controlGroup) waitStale(id int) {
	until(g.t, "a growing confirmation age", func() bool {
		st, err := g.statusOf(id)
		if err != nil || len(st.Groups) == 0 {
			return false
		}
		age := st.Groups[0].ConfirmationAgeMs
		return age < 0 || age > 2000
	})
}

func (g *controlGroup) term(id int) uint64 {
	var term uint64
	until(g.t, "a status", func() bool {
		st, err := g.statusOf(id)
		if err != nil || len(st.Groups) == 0 {
			return false
		}
		term = st.Groups[0].Term
		return true
	})
	return term
}

// TestFrozenLeader guards against a leader that was stopped and continues as
// if no time had passed.
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

// TestLostAnswerIsRepeated guards against a resent change that is applied
// twice or gets another answer than the lost one, also through another replica.
func TestLostAnswerIsRepeated(t *testing.T) {
	g := newControlGroup(t, 1, 2, 3)
	p := &publisher{t: t, c: g.clientOf(1, 2, 3)}
	p.next()
	leader := g.leader(1, 2, 3)
	toLeader := newProxy(t, g.address[leader])
	toLeader.SetPartition(false, true) // the change arrives, its answer vanishes
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

// replace runs the operator's command until it succeeds.
func (g *controlGroup) replace(old, fresh int, asked ...int) {
	g.t.Helper()
	var list []string
	for _, id := range asked {
		list = append(list, g.address[id])
	}
	until(g.t, "the replacement", func() bool {
		_, stderr, code := runCommand(g.t, "replica", "replace", "-controls", strings.Join(list, ","),
			"-old", fmt.Sprint(old), "-new", fmt.Sprint(fresh), "-address", g.address[fresh])
		if code != 0 {
			g.t.Logf("replica replace: %s", stderr)
		}
		return code == 0
	})
}

// TestSecondLossRightAfterRepair guards against a repaired group that cannot
// go on after a second VM is lost, and against lost changes in it.
func TestSecondLossRightAfterRepair(t *testing.T) {
	g := newControlGroup(t, 1, 2, 3)
	p := &publisher{t: t, c: g.clientOf(1, 2, 3)}
	for range 10 {
		p.next()
	}
	g.procs[1].kill()
	require.NoError(t, os.RemoveAll(g.dataDir(1)))
	g.startReplica(4, true, []int{2, 3})
	g.replace(1, 4, 2, 3)
	g.procs[2].kill() // right after the repair
	require.NoError(t, os.RemoveAll(g.dataDir(2)))
	p.c = g.clientOf(3, 4)
	for range 10 {
		p.next()
	}
	g.startReplica(5, true, []int{3, 4})
	g.replace(2, 5, 3, 4)
	g.procs[3].kill()
	p.c = g.clientOf(4, 5)
	p.next()
	first := publish(t, p.c, change(3, "change-3", "operator"))
	require.Equal(t, uint64(3), first.Version, "the replaced group keeps the first answers")
}

// TestSecondLossDuringRepair guards against a change that is lost, or accepted
// twice, when a second VM is killed at some instant of a repair and comes back.
func TestSecondLossDuringRepair(t *testing.T) {
	rng := rand.New(rand.NewPCG(20261204, 1))
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
				g.replace(1, 4, 2, 3)
			}()
			victim := 2 + rng.IntN(3)
			time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond) // the instant varies; the outcome must not
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

// TestLostDiskDoesNotComeBack guards against a replica that returns under its
// old id with an empty disk, having forgotten its votes.
func TestLostDiskDoesNotComeBack(t *testing.T) {
	g := newControlGroup(t, 1, 2, 3)
	p := &publisher{t: t, c: g.clientOf(1, 2, 3)}
	for range 3 {
		p.next()
	}
	for _, id := range []int{1, 3} { // 1 is the replica that founds a group
		g.procs[id].kill()
		require.NoError(t, os.RemoveAll(g.dataDir(id)))
		g.procs[id].run()
		until(t, "a refusal or a wait", func() bool {
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
			require.Zero(t, st.Version, "a replica without its disk takes part under its old id")
		}
		g.procs[id].kill()
		if id == 1 {
			g.startReplica(4, true, []int{2, 3})
			g.replace(1, 4, 2, 3)
			p.c = g.clientOf(2, 3, 4)
			p.next()
			return
		}
	}
}

// TestTwoFaultsAtOnce guards against combinations: a replica is cut off while
// another one is killed or frozen, both come back, and nothing accepted is lost.
func TestTwoFaultsAtOnce(t *testing.T) {
	g := newControlGroup(t, 1, 2, 3)
	p := &publisher{t: t, c: g.clientOf(1, 2, 3)}
	p.next()
	rng := rand.New(rand.NewPCG(20261204, 2))
	for range 5 {
		first := 1 + rng.IntN(3)
		second := others(first, 1, 2, 3)[rng.IntN(2)]
		g.isolate(first, rng.IntN(3) > 0, rng.IntN(3) > 0)
		if rng.IntN(2) == 0 {
			g.procs[second].kill()
			g.procs[second].run()
		} else {
			g.procs[second].signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			g.procs[second].signal(syscall.SIGCONT)
		}
		g.isolate(first, false, false)
		p.next()
		for id := 1; id <= 3; id++ {
			g.waitVersion(id, p.last)
		}
	}
}
