package integration

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/control/client"
)

// claimOp is one call of a claimant on a key.
type claimOp struct {
	key      string
	kind     string // claim, finish or release
	claimant string
}

// claimResult is what the call answered; an unknown one may be anything.
type claimResult struct {
	unknown bool
	status  api.ClaimStatus // of claim
	done    bool            // of finish and release
}

// claimState is the state of one key.
type claimState struct {
	state  api.ClaimState
	holder string
}

// claimModel says which answers a single correct copy of the claims can give.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range history {
			key := o.Input.(claimOp).key
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range byKey {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return claimState{} },
	Step: func(state, input, output any) (bool, any) {
		want, next := stepClaim(state.(claimState), input.(claimOp))
		got := output.(claimResult)
		return got.unknown || got == want, next
	},
}

func stepClaim(s claimState, op claimOp) (claimResult, claimState) {
	own := s.holder == op.claimant
	switch op.kind {
	case "claim":
		return stepClaimed(s, op, own)
	case "finish":
		if own && (s.state == api.ClaimState_CLAIM_STATE_CLAIMED || s.state == api.ClaimState_CLAIM_STATE_FINISHED) {
			return claimResult{done: true}, claimState{api.ClaimState_CLAIM_STATE_FINISHED, op.claimant}
		}
		return claimResult{}, s
	}
	if s.holder == "" || own && s.state != api.ClaimState_CLAIM_STATE_FINISHED {
		return claimResult{done: true}, claimState{api.ClaimState_CLAIM_STATE_RELEASED, op.claimant}
	}
	return claimResult{}, s
}

func stepClaimed(s claimState, op claimOp, own bool) (claimResult, claimState) {
	claimed := claimState{api.ClaimState_CLAIM_STATE_CLAIMED, op.claimant}
	switch {
	case s.holder == "", s.state == api.ClaimState_CLAIM_STATE_RELEASED && !own:
		return claimResult{status: api.ClaimStatus_CLAIM_STATUS_GRANTED}, claimed
	case s.state == api.ClaimState_CLAIM_STATE_RELEASED:
		return claimResult{status: api.ClaimStatus_CLAIM_STATUS_UNKNOWN}, s
	case s.state == api.ClaimState_CLAIM_STATE_FINISHED:
		return claimResult{status: api.ClaimStatus_CLAIM_STATUS_FINISHED}, s
	case own:
		return claimResult{status: api.ClaimStatus_CLAIM_STATUS_GRANTED}, s
	}
	return claimResult{status: api.ClaimStatus_CLAIM_STATUS_IN_PROGRESS}, s
}

// claimWorker makes random calls and records them.
type claimWorker struct {
	client *client.Client
	id     int
	keys   []string
	rng    *rand.Rand
	start  time.Time
	ops    []porcupine.Operation
}

// callLimit bounds one call. One that has no answer by then may still take
// effect at any later time.
const callLimit = 5 * time.Second

func (w *claimWorker) step() {
	op := claimOp{
		key:      w.keys[w.rng.IntN(len(w.keys))],
		kind:     []string{"claim", "claim", "finish", "release"}[w.rng.IntN(4)],
		claimant: fmt.Sprintf("claimant-%d", w.id),
	}
	called := time.Since(w.start)
	result := w.call(op)
	returned := time.Since(w.start)
	if result.unknown {
		returned = time.Hour
	}
	w.ops = append(w.ops, porcupine.Operation{
		ClientId: w.id, Input: op, Call: int64(called), Output: result, Return: int64(returned),
	})
}

func (w *claimWorker) call(op claimOp) claimResult {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	key := &api.ClaimKey{Service: "bookings", Route: "create", Key: op.key}
	if op.kind == "claim" {
		res, err := w.client.Claim(ctx, &api.ClaimRequest{
			Key: key, Claimant: op.claimant, Fingerprint: []byte("same"), RemainingMs: time.Hour.Milliseconds(),
		})
		return claimResult{unknown: err != nil, status: res.GetStatus()}
	}
	var err error
	if op.kind == "finish" {
		err = w.client.Finish(ctx, &api.FinishClaimRequest{Key: key, Claimant: op.claimant, Answer: &api.StoredAnswer{HttpStatus: 201}})
	} else {
		err = w.client.Release(ctx, &api.ReleaseClaimRequest{Key: key, Claimant: op.claimant})
	}
	var notRecorded *client.NotRecordedError
	if errors.As(err, &notRecorded) {
		return claimResult{}
	}
	return claimResult{unknown: err != nil, done: err == nil}
}

// TestClaimsAreLinearizable guards against answers that no single copy of the
// claims could give, such as a key granted to two claimants, while leaders are
// killed and replicas cut off.
func TestClaimsAreLinearizable(t *testing.T) {
	g := newControlGroup(t, 1, 2, 3)
	accept(t, g.clientOf(1, 2, 3), 1) // all groups are formed
	const workers, steps, keyCount = 6, 150, 5
	var keys []string
	for range keyCount {
		keys = append(keys, uuid.Must(uuid.NewV7()).String())
	}
	start := time.Now()
	var all sync.WaitGroup
	var list []*claimWorker
	for id := range workers {
		w := &claimWorker{client: g.clientOf(1, 2, 3), id: id, keys: keys, start: start, rng: rand.New(rand.NewPCG(20261204, uint64(id)))}
		list = append(list, w)
		all.Go(func() {
			for range steps {
				w.step()
				time.Sleep(time.Duration(w.rng.IntN(20)) * time.Millisecond)
			}
		})
	}
	finished := make(chan struct{})
	go func() { all.Wait(); close(finished) }()
	disturb(g, finished)
	var history []porcupine.Operation
	for _, w := range list {
		history = append(history, w.ops...)
	}
	require.Less(t, countUnknown(history), len(history)/2, "most calls need an answer, or the check says little")
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(claimModel, history, waitLimit))
}

func countUnknown(history []porcupine.Operation) int {
	n := 0
	for _, o := range history {
		if o.Output.(claimResult).unknown {
			n++
		}
	}
	return n
}

// disturb kills and cuts off replicas in turn until the work is finished.
func disturb(g *controlGroup, finished <-chan struct{}) {
	rng := rand.New(rand.NewPCG(20261204, 7))
	for {
		victim := 1 + rng.IntN(3)
		kill := rng.IntN(2) == 0
		if kill {
			g.procs[victim].kill()
		} else {
			g.isolate(victim, true, true)
		}
		over := false
		select {
		case <-finished:
			over = true
		case <-time.After(700 * time.Millisecond):
		}
		if kill {
			g.procs[victim].run()
		} else {
			g.isolate(victim, false, false)
		}
		if over {
			return
		}
		select {
		case <-finished:
			return
		case <-time.After(time.Second):
		}
	}
}
