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

func run(t interface{ Fatal(...any) }, m *Claims, cmd *api.ClaimCommand) *api.ClaimCommandResult {
	var res api.ClaimCommandResult
	if err := proto.Unmarshal(m.Apply(0, encode(cmd)), &res); err != nil {
		t.Fatal(err)
	}
	return &res
}

func claimAs(t interface{ Fatal(...any) }, m *Claims, now int64, key *api.ClaimKey, claimant string) api.ClaimStatus {
	req := &api.ClaimRequest{Key: key, Claimant: claimant, Fingerprint: []byte("f"), RemainingMs: 1000}
	return run(t, m, &api.ClaimCommand{UnixMs: now, Operation: &api.ClaimCommand_Claim{Claim: req}}).Claim.Status
}

func finishAs(t interface{ Fatal(...any) }, m *Claims, now int64, key *api.ClaimKey, claimant string, body []byte) bool {
	req := &api.FinishClaimRequest{Key: key, Claimant: claimant, Answer: &api.StoredAnswer{HttpStatus: 201, Body: body}}
	return run(t, m, &api.ClaimCommand{UnixMs: now, Operation: &api.ClaimCommand_Finish{Finish: req}}).Finish.Recorded
}

func releaseAs(t interface{ Fatal(...any) }, m *Claims, now int64, key *api.ClaimKey, claimant string) bool {
	req := &api.ReleaseClaimRequest{Key: key, Claimant: claimant}
	return run(t, m, &api.ClaimCommand{UnixMs: now, Operation: &api.ClaimCommand_Release{Release: req}}).Release.Released
}

// TestRepeatAfterEachState guards against a second grant in any state of the
// first claim.
func TestRepeatAfterEachState(t *testing.T) {
	m := NewClaims(0)
	now := 100 * hourMs
	key := keyAt(now, 1)
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_GRANTED, claimAs(t, m, now, key, "a"))
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_GRANTED, claimAs(t, m, now, key, "a"), "a resend of the same claimant")
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_IN_PROGRESS, claimAs(t, m, now, key, "b"))
	late := now + 1000 + unknownMargin.Milliseconds() + 1
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_UNKNOWN, claimAs(t, m, late, key, "b"))
	require.False(t, finishAs(t, m, late, key, "b", nil), "only the claimant finishes")
	require.True(t, finishAs(t, m, late, key, "a", []byte("done")))
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_FINISHED, claimAs(t, m, late, key, "b"))
	require.False(t, releaseAs(t, m, late, key, "a"), "finished work did run")
}

// TestFingerprintMustMatch guards against one key being used for two different
// requests, which would give one of them the other's answer.
func TestFingerprintMustMatch(t *testing.T) {
	m := NewClaims(0)
	now := 100 * hourMs
	claimAs(t, m, now, keyAt(now, 1), "a")
	req := &api.ClaimRequest{Key: keyAt(now, 1), Claimant: "b", Fingerprint: []byte("other")}
	res := run(t, m, &api.ClaimCommand{UnixMs: now, Operation: &api.ClaimCommand_Claim{Claim: req}})
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_KEY_REUSED, res.Claim.Status)
}

// TestReleaseOvertakesClaim guards against a delayed claim that is granted
// after its claimant has given up, which would block the key.
func TestReleaseOvertakesClaim(t *testing.T) {
	m := NewClaims(0)
	now := 100 * hourMs
	key := keyAt(now, 1)
	require.True(t, releaseAs(t, m, now, key, "a"))
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_UNKNOWN, claimAs(t, m, now, key, "a"))
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_GRANTED, claimAs(t, m, now, key, "b"))
	require.False(t, releaseAs(t, m, now, key, "a"))
}

// TestForgottenKeyIsRefused guards against a key running again after its claim
// has been removed, also when the clock of a new leader is behind.
func TestForgottenKeyIsRefused(t *testing.T) {
	m := NewClaims(time.Hour)
	now := 100 * hourMs
	for n := range 3 * maxForgottenPerCommand {
		key := keyAt(now, n)
		require.Equal(t, api.ClaimStatus_CLAIM_STATUS_GRANTED, claimAs(t, m, now, key, "a"))
		require.True(t, finishAs(t, m, now, key, "a", nil))
	}
	for range 300 {
		claimAs(t, m, now+3*hourMs, keyAt(now+3*hourMs, 1), "z")
	}
	require.Equal(t, 1, m.Len(), "claims behind the horizon are removed")
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_KEY_EXPIRED, claimAs(t, m, now, keyAt(now, 1), "b"))
	ahead := now + 3*hourMs + maxKeyAhead.Milliseconds() + 1
	require.Equal(t, api.ClaimStatus_CLAIM_STATUS_KEY_IN_FUTURE, claimAs(t, m, now, keyAt(ahead, 1), "b"))
}

// TestMalformedKeys guards against a key without a creation time being taken.
func TestMalformedKeys(t *testing.T) {
	m := NewClaims(0)
	for _, key := range []string{"", "x", "0190a1b2-c3d4-4abc-8def-0123456789ab", "0190a1b2-c3d4-7abc-8def-0123456789zz"} {
		require.Equal(t, api.ClaimStatus_CLAIM_STATUS_UNSPECIFIED, claimAs(t, m, hourMs, &api.ClaimKey{Key: key}, "a"), key)
	}
	require.Zero(t, m.Len())
}

// TestLargeAnswerIsOmitted guards against unbounded state from large answers.
func TestLargeAnswerIsOmitted(t *testing.T) {
	m := NewClaims(0)
	now := 100 * hourMs
	claimAs(t, m, now, keyAt(now, 1), "a")
	finishAs(t, m, now, keyAt(now, 1), "a", make([]byte, MaxStoredBody+1))
	req := &api.ClaimRequest{Key: keyAt(now, 1), Claimant: "b", Fingerprint: []byte("f")}
	res := run(t, m, &api.ClaimCommand{UnixMs: now, Operation: &api.ClaimCommand_Claim{Claim: req}})
	require.True(t, res.Claim.Answer.BodyOmitted)
	require.Empty(t, res.Claim.Answer.Body)
}

// TestClaimsAtMostOnce guards, over random claims, finishes, releases,
// retention and snapshots, against two claimants that both run one key.
func TestClaimsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const retention = time.Hour
		m := NewClaims(retention)
		now := 100 * hourMs
		holder := make(map[string]string) // key -> claimant that may have run it
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Int64Range(-hourMs/2, hourMs/2).Draw(t, "clock step")
			key := keyAt(100*hourMs, rapid.IntRange(0, 2).Draw(t, "key"))
			who := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "claimant")
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0, 1:
				if claimAs(t, m, now, key, who) == api.ClaimStatus_CLAIM_STATUS_GRANTED {
					if h := holder[key.Key]; h != "" && h != who {
						t.Fatalf("key granted to %s while %s may have run it", who, h)
					}
					holder[key.Key] = who
				}
			case 2:
				finishAs(t, m, now, key, who, nil)
			case 3:
				if releaseAs(t, m, now, key, who) && holder[key.Key] == who {
					holder[key.Key] = "" // only a claimant whose work did not run releases
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
