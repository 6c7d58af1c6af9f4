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

// claimOp is one call of a claimant for a key.
type claimOp struct {
	key      string
	kind     string // claim, finish or release
	claimant string
}

// claimResult is the result of a call. A call with an unknown result may have had any
// result.
type claimResult struct {
	unknown bool
	status  api.ClaimStatus // of claim
	done    bool            // of finish and release
}

// claimState is the state of the claim on one key.
type claimState struct {
	state  api.ClaimState
	holder string
}

// claimModel defines the results that an unreplicated store of claims can return.
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

// stepClaim returns the result of a call in a state, and the next state.
func stepClaim(s claimState, op claimOp) (claimResult, claimState) {
	isHolder := s.holder == op.claimant
	switch op.kind {
	case "claim":
		return stepClaimed(s, op, isHolder)
	case "finish":
		if isHolder && (s.state == api.ClaimState_CLAIM_STATE_CLAIMED || s.state == api.ClaimState_CLAIM_STATE_FINISHED) {
			return claimResult{done: true}, claimState{api.ClaimState_CLAIM_STATE_FINISHED, op.claimant}
		}
		return claimResult{}, s
	}
	if s.holder == "" || isHolder && s.state != api.ClaimState_CLAIM_STATE_FINISHED {
		return claimResult{done: true}, claimState{api.ClaimState_CLAIM_STATE_RELEASED, op.claimant}
	}
	return claimResult{}, s
}

// stepClaimed is stepClaim for calls of kind claim.
func stepClaimed(s claimState, op claimOp, isHolder bool) (claimResult, claimState) {
	claimed := claimState{api.ClaimState_CLAIM_STATE_CLAIMED, op.claimant}
	switch {
	case s.holder == "", s.state == api.ClaimState_CLAIM_STATE_RELEASED && !isHolder:
		return claimResult{status: api.ClaimStatus_CLAIM_STATUS_GRANTED}, claimed
	case s.state == api.ClaimState_CLAIM_STATE_RELEASED:
		return claimResult{status: api.ClaimStatus_CLAIM_STATUS_UNKNOWN}, s
	case s.state == api.ClaimState_CLAIM_STATE_FINISHED:
		return claimResult{status: api.ClaimStatus_CLAIM_STATUS_FINISHED}, s
	case isHolder:
		return claimResult{status: api.ClaimStatus_CLAIM_STATUS_GRANTED}, s
	}
	return claimResult{status: api.ClaimStatus_CLAIM_STATUS_IN_PROGRESS}, s
}

// claimWorker makes random calls and records their results.
type claimWorker struct {
	client *client.Client
	id     int
	keys   []string
	random *rand.Rand
	start  time.Time
	ops    []porcupine.Operation
}

// callTimeout bounds one call. A call without a response within this time may still take
// effect at any later time.
const callTimeout = 5 * time.Second

// step makes one random call and records it. A call without a known result may take effect
// until the end of the history.
func (w *claimWorker) step() {
	op := claimOp{
		key:      w.keys[w.random.IntN(len(w.keys))],
		kind:     []string{"claim", "claim", "finish", "release"}[w.random.IntN(4)],
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
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
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

// TestClaimsAreLinearizable guards against results that an unreplicated store of claims
// could not return, such as a key granted to two claimants, while replicas are killed and
// cut off.
func TestClaimsAreLinearizable(t *testing.T) {
	g := newControlGroup(t, 1, 2, 3)
	publishAccepted(t, g.clientOf(1, 2, 3), 1) // waits until all groups have a leader
	const workers, steps, keyCount = 6, 150, 5
	var keys []string
	for range keyCount {
		keys = append(keys, uuid.Must(uuid.NewV7()).String())
	}
	start := time.Now()
	var running sync.WaitGroup
	var claimWorkers []*claimWorker
	for id := range workers {
		w := &claimWorker{client: g.clientOf(1, 2, 3), id: id, keys: keys, start: start, random: rand.New(rand.NewPCG(20261204, uint64(id)))}
		claimWorkers = append(claimWorkers, w)
		running.Go(func() {
			for range steps {
				w.step()
				time.Sleep(time.Duration(w.random.IntN(20)) * time.Millisecond)
			}
		})
	}
	finished := make(chan struct{})
	go func() { running.Wait(); close(finished) }()
	injectFaults(g, finished)
	var history []porcupine.Operation
	for _, w := range claimWorkers {
		history = append(history, w.ops...)
	}
	require.Less(t, countUnknown(history), len(history)/2, "most calls need a known result for the check to be meaningful")
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(claimModel, history, waitTimeout))
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

// injectFaults kills or cuts off one replica after the other until finished is closed.
func injectFaults(g *controlGroup, finished <-chan struct{}) {
	random := rand.New(rand.NewPCG(20261204, 7))
	for {
		victim := 1 + random.IntN(3)
		kill := random.IntN(2) == 0
		if kill {
			g.procs[victim].kill()
		} else {
			g.isolate(victim, true, true)
		}
		last := false
		select {
		case <-finished:
			last = true
		case <-time.After(700 * time.Millisecond):
		}
		if kill {
			g.procs[victim].run()
		} else {
			g.isolate(victim, false, false)
		}
		if last {
			return
		}
		select {
		case <-finished:
			return
		case <-time.After(time.Second):
		}
	}
}
