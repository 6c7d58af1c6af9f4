package statemachine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bilberrydeck/bilberrydeck/api"
)

const hourMs = int64(time.Hour / time.Millisecond)

func keyAt(unixMs int64, n int) *api.ClaimKey {
	hex := fmt.Sprintf("%012x7%03x8%015x", unixMs, n, n)
	key := fmt.Sprintf("%s-%s-%s-%s-%s", hex[:8], hex[8:12], hex[12:16], hex[16:20], hex[20:])
	return &api.ClaimKey{Service: "bookings", Route: "create", Key: key}
}

func applyClaimCommand(t interface{ Fatal(...any) }, m *Claims, cmd *api.ClaimCommand) *api.ClaimCommandResult {
	var res api.ClaimCommandResult
	if err := proto.Unmarshal(m.Apply(0, encode(cmd)), &res); err != nil {
		t.Fatal(err)
	}
	return &res
}

func claimAs(t interface{ Fatal(...any) }, m *Claims, now int64, key *api.ClaimKey, claimant string) api.ClaimStatus {
	req := &api.ClaimRequest{Key: key, Claimant: claimant, Fingerprint: []byte("f"), RemainingMs: 1000}
	return applyClaimCommand(t, m, &api.ClaimCommand{UnixMs: now, Operation: &api.ClaimCommand_Claim{Claim: req}}).Claim.Status
}

func finishAs(t interface{ Fatal(...any) }, m *Claims, now int64, key *api.ClaimKey, claimant string, body []byte) bool {
	req := &api.FinishClaimRequest{Key: key, Claimant: claimant, Answer: &api.StoredAnswer{HttpStatus: 201, Body: body}}
	return applyClaimCommand(t, m, &api.ClaimCommand{UnixMs: now, Operation: &api.ClaimCommand_Finish{Finish: req}}).Finish.Recorded
}

func releaseAs(t interface{ Fatal(...any) }, m *Claims, now int64, key *api.ClaimKey, claimant string) bool {
	req := &api.ReleaseClaimRequest{Key: key, Claimant: claimant}
	return applyClaimCommand(t, m, &api.ClaimCommand{UnixMs: now, Operation: &api.ClaimCommand_Release{Release: req}}).Release.Released
}

// TestSecondClaimInEachState guards against granting a second claimant a key in any
// state of the first claim.
func TestSecondClaimInEachState(t *testing.T) {
	m := NewClaims(0)
	now := 100 * hourMs
	key := keyAt(now, 1)
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_GRANTED, claimAs(t, m, now, key, "a"))
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_GRANTED, claimAs(t, m, now, key, "a"), "a retry of the same claimant")
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_IN_PROGRESS, claimAs(t, m, now, key, "b"))
	late := now + 1000 + unknownStatusDelay.Milliseconds() + 1
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_UNKNOWN, claimAs(t, m, late, key, "b"))
	require.False(t, finishAs(t, m, late, key, "b", nil), "only the claimant finishes")
	require.True(t, finishAs(t, m, late, key, "a", []byte("done")))
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_FINISHED, claimAs(t, m, late, key, "b"))
	require.False(t, releaseAs(t, m, late, key, "a"), "the request of a finished claim was executed")
}

// TestFingerprintMustMatch guards against returning the stored response to a
// different request that uses the same key.
func TestFingerprintMustMatch(t *testing.T) {
	m := NewClaims(0)
	now := 100 * hourMs
	claimAs(t, m, now, keyAt(now, 1), "a")
	req := &api.ClaimRequest{Key: keyAt(now, 1), Claimant: "b", Fingerprint: []byte("other")}
	res := applyClaimCommand(t, m, &api.ClaimCommand{UnixMs: now, Operation: &api.ClaimCommand_Claim{Claim: req}})
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_KEY_REUSED, res.Claim.Status)
}

// TestReleaseOvertakesClaim guards against a key that stays blocked because a
// delayed claim is granted after its claimant has released the key.
func TestReleaseOvertakesClaim(t *testing.T) {
	m := NewClaims(0)
	now := 100 * hourMs
	key := keyAt(now, 1)
	require.True(t, releaseAs(t, m, now, key, "a"))
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_UNKNOWN, claimAs(t, m, now, key, "a"))
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_GRANTED, claimAs(t, m, now, key, "b"))
	require.False(t, releaseAs(t, m, now, key, "a"))
}

// TestExpiredKeyIsRejected guards against executing a request again after its claim
// was removed, even if the clock of a new leader is behind.
func TestExpiredKeyIsRejected(t *testing.T) {
	m := NewClaims(time.Hour)
	now := 100 * hourMs
	for n := range 3 * maxExpiredPerCommand {
		key := keyAt(now, n)
		require.Equal(t, api.ClaimStatus_CLAIM_STATUS_GRANTED, claimAs(t, m, now, key, "a"))
		require.True(t, finishAs(t, m, now, key, "a", nil))
	}
	for range 300 {
		claimAs(t, m, now+3*hourMs, keyAt(now+3*hourMs, 1), "z")
	}
	require.Equal(t, 1, m.Len(), "claims below the horizon are removed")
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_KEY_EXPIRED, claimAs(t, m, now, keyAt(now, 1), "b"))
	ahead := now + 3*hourMs + maxKeyClockSkew.Milliseconds() + 1
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_KEY_IN_FUTURE, claimAs(t, m, now, keyAt(ahead, 1), "b"))
}

// TestMalformedKeys guards against accepting a key without a creation time.
func TestMalformedKeys(t *testing.T) {
	m := NewClaims(0)
	for _, key := range []string{"", "x", "0190a1b2-c3d4-4abc-8def-0123456789ab", "0190a1b2-c3d4-7abc-8def-0123456789zz"} {
		require.Equal(t, api.ClaimStatus_CLAIM_STATUS_UNSPECIFIED, claimAs(t, m, hourMs, &api.ClaimKey{Key: key}, "a"), key)
	}
	require.Zero(t, m.Len())
}

// TestLargeBodyIsOmitted guards against unbounded state from large response bodies.
func TestLargeBodyIsOmitted(t *testing.T) {
	m := NewClaims(0)
	now := 100 * hourMs
	claimAs(t, m, now, keyAt(now, 1), "a")
	finishAs(t, m, now, keyAt(now, 1), "a", make([]byte, MaxStoredBody+1))
	req := &api.ClaimRequest{Key: keyAt(now, 1), Claimant: "b", Fingerprint: []byte("f")}
	res := applyClaimCommand(t, m, &api.ClaimCommand{UnixMs: now, Operation: &api.ClaimCommand_Claim{Claim: req}})
	require.True(t, res.Claim.Answer.BodyOmitted)
	require.Empty(t, res.Claim.Answer.Body)
}

// TestClaimsAtMostOnce guards against two claimants that both execute the request of
// one key, with random claims, finishes, releases, clock steps and snapshots.
func TestClaimsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const retention = time.Hour
		m := NewClaims(retention)
		now := 100 * hourMs
		executors := make(map[string]string) // key -> claimant that may have executed its request
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Int64Range(-hourMs/2, hourMs/2).Draw(t, "clock step")
			key := keyAt(100*hourMs, rapid.IntRange(0, 2).Draw(t, "key"))
			claimant := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "claimant")
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0, 1:
				if claimAs(t, m, now, key, claimant) == api.ClaimStatus_CLAIM_STATUS_GRANTED {
					if e := executors[key.Key]; e != "" && e != claimant {
						t.Fatalf("key granted to %s although %s may have executed its request", claimant, e)
					}
					executors[key.Key] = claimant
				}
			case 2:
				finishAs(t, m, now, key, claimant, nil)
			case 3:
				if releaseAs(t, m, now, key, claimant) && executors[key.Key] == claimant {
					executors[key.Key] = "" // a claimant releases only a request that was not executed
				}
			case 4:
				data, _ := m.Snapshot()
				m = NewClaims(retention)
				if err := m.Restore(data); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}
