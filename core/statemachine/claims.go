package statemachine

import (
	"bytes"
	"encoding/hex"
	"strings"
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// Periods of the claims state machine.
const (
	// DefaultClaimRetention is how long a claim is kept after the creation of its
	// key.
	DefaultClaimRetention = 24 * time.Hour
	// maxKeyClockSkew is the maximum time by which the creation time of a key may
	// be in the future.
	maxKeyClockSkew = 5 * time.Minute
	// unknownStatusDelay is the time from the deadline of an unfinished claim until
	// its status is unknown. It covers the time between the end of the execution
	// and the command that records it.
	unknownStatusDelay = 5 * time.Second
	// bucketWidth is the span of key creation times in one bucket of claims.
	bucketWidth = time.Minute
)

// MaxStoredBody is the maximum size in bytes of a response body that is stored
// with its claim.
const MaxStoredBody = 16 << 10

// maxExpiredPerCommand bounds the steps by which one command removes expired
// claims and empty buckets, to bound its execution time. Delayed removal is safe:
// a key below the horizon is rejected whether its claim is still stored or not.
const maxExpiredPerCommand = 64

// Claims is the state machine of a claim group. A claim is absent, claimed,
// finished or released:
//
//	absent   -> claimed    by Claim
//	claimed  -> finished   by Finish of the same claimant
//	claimed  -> released   by Release of the same claimant
//	absent   -> released   by Release, so that a Claim that arrives after its own Release has no effect
//	released -> claimed    by Claim of another claimant
//
// A claim is removed when the creation time of its key is below the horizon. The
// horizon never decreases, and a key below it is rejected, so a request whose
// claim was removed is never executed again.
type Claims struct {
	retentionMs  int64
	nowMs        int64 // highest time of any command, Unix milliseconds
	horizonMs    int64 // keys created before this time are expired
	claims       map[claimID]*api.StoredClaim
	buckets      map[int64][]claimID // by key creation time / bucketWidth
	oldestBucket int64               // lower bound of the buckets; 0 if not determined
}

type claimID struct {
	service, route, key string
}

// NewClaims returns an empty state machine that keeps claims for the given time.
func NewClaims(retention time.Duration) *Claims {
	if retention <= 0 {
		retention = DefaultClaimRetention
	}
	m := &Claims{retentionMs: retention.Milliseconds()}
	m.reset()
	return m
}

func (m *Claims) reset() {
	m.nowMs = 0
	m.horizonMs = 0
	m.oldestBucket = 0
	m.claims = make(map[claimID]*api.StoredClaim)
	m.buckets = make(map[int64][]claimID)
}

// Len returns the number of stored claims.
func (m *Claims) Len() int { return len(m.claims) }

// Apply executes a marshalled api.ClaimCommand and returns a marshalled
// api.ClaimCommandResult. A command that cannot be decoded has no effect and
// returns an empty result.
func (m *Claims) Apply(_ uint64, command []byte) []byte {
	var cmd api.ClaimCommand
	var res api.ClaimCommandResult
	if err := decode("claim command", command, &cmd); err != nil {
		return encode(&res)
	}
	m.advanceTime(cmd.UnixMs)
	switch op := cmd.Operation.(type) {
	case *api.ClaimCommand_Claim:
		res.Claim = m.claim(op.Claim)
	case *api.ClaimCommand_Finish:
		res.Finish = &api.FinishClaimResponse{Recorded: m.finish(op.Finish)}
	case *api.ClaimCommand_Release:
		res.Release = &api.ReleaseClaimResponse{Released: m.release(op.Release)}
	}
	return encode(&res)
}

// advanceTime advances the current time and the horizon. Neither ever decreases,
// even if the clock of a new leader is behind.
func (m *Claims) advanceTime(unixMs int64) {
	m.nowMs = max(m.nowMs, unixMs)
	m.horizonMs = max(m.horizonMs, m.nowMs-m.retentionMs)
	m.expireClaims()
}

// expireClaims removes claims below the horizon, oldest bucket first, in at most
// maxExpiredPerCommand steps.
func (m *Claims) expireClaims() {
	if len(m.buckets) == 0 {
		return
	}
	horizonBucket := m.horizonMs / bucketWidth.Milliseconds()
	if m.oldestBucket == 0 {
		m.oldestBucket = m.lowestBucket()
	}
	for budget := maxExpiredPerCommand; m.oldestBucket < horizonBucket && budget > 0; budget-- {
		ids := m.buckets[m.oldestBucket]
		if len(ids) == 0 {
			delete(m.buckets, m.oldestBucket)
			m.oldestBucket++
			continue
		}
		last := len(ids) - 1
		delete(m.claims, ids[last])
		m.buckets[m.oldestBucket] = ids[:last]
	}
}

func (m *Claims) lowestBucket() int64 {
	lowest := int64(0)
	for b := range m.buckets {
		if lowest == 0 || b < lowest {
			lowest = b
		}
	}
	return lowest
}

func claimResponse(s api.ClaimStatus) *api.ClaimResponse { return &api.ClaimResponse{Status: s} }

// claim executes Claim: it grants the key to one claimant and returns its status to
// others.
func (m *Claims) claim(r *api.ClaimRequest) *api.ClaimResponse {
	id, keyMs, ok := parseClaimKey(r.GetKey())
	if !ok || r.Claimant == "" {
		return claimResponse(api.ClaimStatus_CLAIM_STATUS_UNSPECIFIED)
	}
	if keyMs < m.horizonMs {
		return claimResponse(api.ClaimStatus_CLAIM_STATUS_KEY_EXPIRED)
	}
	if keyMs > m.nowMs+maxKeyClockSkew.Milliseconds() {
		return claimResponse(api.ClaimStatus_CLAIM_STATUS_KEY_IN_FUTURE)
	}
	c, exists := m.claims[id]
	switch {
	case !exists:
		m.store(id, keyMs, m.newClaim(r))
		return claimResponse(api.ClaimStatus_CLAIM_STATUS_GRANTED)
	case c.State == api.ClaimState_CLAIM_STATE_RELEASED:
		return m.claimAfterRelease(id, c, r)
	case !bytes.Equal(c.Fingerprint, r.Fingerprint):
		return claimResponse(api.ClaimStatus_CLAIM_STATUS_KEY_REUSED)
	case c.State == api.ClaimState_CLAIM_STATE_FINISHED:
		return &api.ClaimResponse{Status: api.ClaimStatus_CLAIM_STATUS_FINISHED, Answer: c.Answer}
	case c.Claimant == r.Claimant:
		return claimResponse(api.ClaimStatus_CLAIM_STATUS_GRANTED)
	case m.nowMs > c.DeadlineMs+unknownStatusDelay.Milliseconds():
		return claimResponse(api.ClaimStatus_CLAIM_STATUS_UNKNOWN)
	}
	return claimResponse(api.ClaimStatus_CLAIM_STATUS_IN_PROGRESS)
}

// claimAfterRelease rejects the claimant that has released the key, since its
// request is a late duplicate, and grants the claim to any other claimant.
func (m *Claims) claimAfterRelease(id claimID, c *api.StoredClaim, r *api.ClaimRequest) *api.ClaimResponse {
	if c.Claimant == r.Claimant {
		return claimResponse(api.ClaimStatus_CLAIM_STATUS_UNKNOWN)
	}
	m.claims[id] = m.newClaim(r)
	return claimResponse(api.ClaimStatus_CLAIM_STATUS_GRANTED)
}

func (m *Claims) newClaim(r *api.ClaimRequest) *api.StoredClaim {
	return &api.StoredClaim{
		Key: r.Key, State: api.ClaimState_CLAIM_STATE_CLAIMED, Claimant: r.Claimant,
		Fingerprint: r.Fingerprint, DeadlineMs: m.nowMs + max(r.RemainingMs, 0),
	}
}

func (m *Claims) store(id claimID, keyMs int64, c *api.StoredClaim) {
	m.claims[id] = c
	bucket := keyMs / bucketWidth.Milliseconds()
	m.buckets[bucket] = append(m.buckets[bucket], id)
	if m.oldestBucket > bucket {
		m.oldestBucket = bucket
	}
}

// finish executes Finish and reports whether the response is recorded.
func (m *Claims) finish(r *api.FinishClaimRequest) bool {
	id, keyMs, ok := parseClaimKey(r.GetKey())
	if !ok || keyMs < m.horizonMs {
		return false
	}
	c, exists := m.claims[id]
	if !exists || c.Claimant != r.Claimant {
		return false
	}
	switch c.State {
	case api.ClaimState_CLAIM_STATE_FINISHED:
		return true // a retry: the first response is kept
	case api.ClaimState_CLAIM_STATE_CLAIMED:
		c.State = api.ClaimState_CLAIM_STATE_FINISHED
		c.Answer = trimAnswer(r.Answer)
		return true
	}
	return false
}

// trimAnswer returns the response to store, without a body above MaxStoredBody.
func trimAnswer(a *api.StoredAnswer) *api.StoredAnswer {
	if a == nil {
		return &api.StoredAnswer{BodyOmitted: true}
	}
	if len(a.Body) > MaxStoredBody {
		return &api.StoredAnswer{HttpStatus: a.HttpStatus, ContentType: a.ContentType, BodyOmitted: true}
	}
	return a
}

// release executes Release and reports whether the key is released.
func (m *Claims) release(r *api.ReleaseClaimRequest) bool {
	id, keyMs, ok := parseClaimKey(r.GetKey())
	if !ok || r.Claimant == "" || keyMs < m.horizonMs {
		return false
	}
	c, exists := m.claims[id]
	if !exists {
		return m.releaseAbsent(id, keyMs, r)
	}
	if c.Claimant != r.Claimant || c.State == api.ClaimState_CLAIM_STATE_FINISHED {
		return false
	}
	c.State = api.ClaimState_CLAIM_STATE_RELEASED
	return true
}

// releaseAbsent records a Release that arrives before its Claim.
func (m *Claims) releaseAbsent(id claimID, keyMs int64, r *api.ReleaseClaimRequest) bool {
	if keyMs > m.nowMs+maxKeyClockSkew.Milliseconds() {
		return false
	}
	m.store(id, keyMs, &api.StoredClaim{
		Key: r.Key, State: api.ClaimState_CLAIM_STATE_RELEASED, Claimant: r.Claimant,
	})
	return true
}

// parseClaimKey validates a key, a UUID version 7, and returns its creation time
// in Unix milliseconds, which is in its first 48 bits.
func parseClaimKey(k *api.ClaimKey) (claimID, int64, bool) {
	id := claimID{k.GetService(), k.GetRoute(), strings.ToLower(k.GetKey())}
	const canonicalLength, versionOffset = 36, 14
	if len(id.key) != canonicalLength || id.key[versionOffset] != '7' {
		return id, 0, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(id.key, "-", ""))
	if err != nil || len(raw) != 16 {
		return id, 0, false
	}
	ms := int64(0)
	for _, b := range raw[:6] {
		ms = ms<<8 | int64(b)
	}
	return id, ms, true
}

// Snapshot returns the marshalled state, an api.ClaimSnapshot.
func (m *Claims) Snapshot() ([]byte, error) {
	s := &api.ClaimSnapshot{NowMs: m.nowMs, HorizonMs: m.horizonMs}
	byName := make(map[string]*api.StoredClaim, len(m.claims))
	for id, c := range m.claims {
		byName[id.service+"\x00"+id.route+"\x00"+id.key] = c
	}
	for _, name := range sortedKeys(byName) {
		s.Claims = append(s.Claims, byName[name])
	}
	return encode(s), nil
}

// Restore replaces the state by that of a snapshot. On error it is unchanged.
func (m *Claims) Restore(data []byte) error {
	var s api.ClaimSnapshot
	if err := decode("claim snapshot", data, &s); err != nil {
		return err
	}
	m.reset()
	m.nowMs = s.NowMs
	m.horizonMs = s.HorizonMs
	for _, c := range s.Claims {
		if id, keyMs, ok := parseClaimKey(c.Key); ok {
			m.store(id, keyMs, c)
		}
	}
	return nil
}
