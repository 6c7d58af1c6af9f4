package daemon

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// Headers between callers, daemons and local services, in canonical form.
const (
	headerClass     = "Bilberry-Class"
	headerDeadline  = "Bilberry-Deadline-Ms"
	headerKey       = "Idempotency-Key"
	headerRequestID = "Bilberry-Request-Id"
	headerChain     = "Bilberry-Chain"
	headerOutcome   = "Bilberry-Outcome"
	headerReason    = "Bilberry-Reason"
	headerReplayed  = "Bilberry-Replayed" // the answer is the stored one of an earlier request
)

// Headers that only the peer listener reads and only daemons write. They are
// few because net/http allocates for each header that it reads.
const (
	headerPeerPath          = "Bilberry-Path"    // method, space, escaped path and query
	headerPeerContext       = "Bilberry-Context" // see formatPeer
	headerPeerKey           = "Bilberry-Key"
	headerPeerAttempt       = "Bilberry-Attempt" // of answers
	headerPeerGenerated     = "Bilberry-Refusal" // a daemon wrote the answer, not a handler
	headerPeerDependency    = "Bilberry-Deep"
	headerPeerUnusedRetries = "Bilberry-Unused"
	headerPeerLoadReport    = "Bilberry-Report"
	headerPeerLength        = "Bilberry-Length" // content length of an answer that is sent in chunks
)

const (
	maxDeadline        = 600 * time.Second // the largest Bilberry-Deadline-Ms
	maxRequestID       = 64
	maxHeaderBytes     = 32 << 10 // all headers of one request; above it the request is refused as bad input
	hardMaxHeaderBytes = 4 * maxHeaderBytes
	prefixBilberry     = "Bilberry-"
	idempotencyAlias   = "X-Idempotency-Key"
)

func badRequest(message string) *chain.Failure {
	return chain.NewFailure(chain.NotRun, chain.ReasonBadRequest, message)
}

// singleValue returns the only value of a header. A repeated header is refused: two
// daemons could otherwise read different ones.
func singleValue(h http.Header, name string) (string, *chain.Failure) {
	values := h[name]
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	}
	return "", badRequest("header " + name + " is repeated")
}

// parseDeadline reads remaining milliseconds. The limit is returned if the
// header is absent or larger.
func parseDeadline(value string, limit time.Duration) (time.Duration, *chain.Failure) {
	if value == "" {
		return limit, nil
	}
	ms, err := strconv.ParseUint(value, 10, 32)
	if err != nil || ms == 0 || ms > uint64(maxDeadline.Milliseconds()) {
		return 0, badRequest(headerDeadline + " must be 1 to 600000")
	}
	return min(time.Duration(ms)*time.Millisecond, limit), nil
}

// formatRemaining rounds down, so that the time shrinks at each hop. At least 1 is
// sent, because 0 is not a deadline.
func formatRemaining(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}

func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestID {
		return false
	}
	for i := range len(id) {
		c := id[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

// parseIdempotencyKey checks an idempotency key. Claims rely on the creation time that a
// version 7 UUID carries. The canonical form is returned, so that one key has
// one claim.
func parseIdempotencyKey(value string) (string, *chain.Failure) {
	if value == "" {
		return "", nil
	}
	if len(value) != 36 {
		return "", badRequest(headerKey + " must be a UUID of version 7")
	}
	id, err := uuid.Parse(value)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return "", badRequest(headerKey + " must be a UUID of version 7")
	}
	return id.String(), nil
}

// headerSize is the size of all headers as net/http counts them on the wire.
func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// peerRequest is what one daemon tells another about an attempt.
type peerRequest struct {
	service   string
	method    string
	path      string // escaped path and query
	remaining time.Duration
	allowance int
	depth     int
	metadata  chain.Metadata
}

// formatPeerContext writes the context of an attempt: service, attempt, priority,
// allowance, depth, remaining milliseconds and configuration version, separated
// by spaces. The remaining time is rounded down, so that it shrinks at each hop.
func formatPeerContext(p *peerRequest) string {
	buf := make([]byte, 0, 64)
	buf = append(buf, p.service...)
	for _, v := range [...]uint64{
		uint64(p.metadata.Attempt), uint64(p.metadata.Priority), uint64(p.allowance), uint64(p.depth),
		uint64(max(p.remaining.Milliseconds(), 1)), p.metadata.ConfigVersion,
	} {
		buf = append(buf, ' ')
		buf = strconv.AppendUint(buf, v, 10)
	}
	return string(buf)
}

// peerContextFields are the numbers of a context after the service, with their
// largest values.
var peerContextFields = [...]struct {
	name  string
	bits  int
	limit uint64
}{
	{"attempt", 32, 1<<32 - 1},
	{"priority", 16, uint64(chain.MaxPriority) - 1},
	{"allowance", 16, 1<<16 - 1},
	{"depth", 16, 1<<16 - 1},
	{"remaining time", 32, uint64(maxDeadline / time.Millisecond)},
	{"version", 64, 1<<64 - 1},
}

// parsePeerRequest reads the headers of an attempt.
func parsePeerRequest(h http.Header) (peerRequest, *chain.Failure) {
	var p peerRequest
	var ok bool
	p.metadata.RequestID = h.Get(headerRequestID)
	if !validRequestID(p.metadata.RequestID) {
		return p, badRequest("bad " + headerRequestID)
	}
	p.method, p.path, ok = strings.Cut(h.Get(headerPeerPath), " ")
	if !ok || p.method == "" || !strings.HasPrefix(p.path, "/") {
		return p, badRequest("bad " + headerPeerPath)
	}
	var numbers [len(peerContextFields)]uint64
	service, rest, _ := strings.Cut(h.Get(headerPeerContext), " ")
	for i, field := range peerContextFields {
		text, more, found := strings.Cut(rest, " ")
		n, err := strconv.ParseUint(text, 10, field.bits)
		if err != nil || n > field.limit || found != (i < len(peerContextFields)-1) {
			return p, badRequest("bad " + field.name + " in " + headerPeerContext)
		}
		numbers[i], rest = n, more
	}
	p.service = service
	return p.setNumbers(numbers, h.Get(headerPeerKey))
}

// setNumbers checks what the limits of the fields do not.
func (p peerRequest) setNumbers(n [len(peerContextFields)]uint64, key string) (peerRequest, *chain.Failure) {
	p.metadata.Attempt, p.metadata.Priority = uint32(n[0]), chain.Priority(n[1])
	p.allowance, p.depth = int(n[2]), int(n[3])
	p.remaining = time.Duration(n[4]) * time.Millisecond
	p.metadata.Depth, p.metadata.ConfigVersion = p.depth, n[5]
	if p.service == "" || p.metadata.Attempt == 0 || p.remaining == 0 {
		return p, badRequest("incomplete " + headerPeerContext)
	}
	if p.depth > chain.MaxDepth {
		return p, chain.NewFailure(chain.NotRun, chain.ReasonTooDeep, "the call chain is too deep")
	}
	var failure *chain.Failure
	p.metadata.IdempotencyKey, failure = parseIdempotencyKey(key)
	return p, failure
}

// hopByHopHeaders belong to one connection and are not passed on.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// copyEndToEndHeaders copies the headers that belong to the message itself. Values are
// shared, not copied: neither side changes them. Idempotency keys are left
// out because net/http resends requests that carry one.
func copyEndToEndHeaders(dst, src http.Header) {
	listed := src["Connection"]
	for name, values := range src {
		if hopByHopHeaders[name] || strings.HasPrefix(name, prefixBilberry) || name == headerKey || name == idempotencyAlias {
			continue
		}
		if len(listed) > 0 && listedInConnection(listed, name) {
			continue
		}
		dst[name] = values
	}
}

func listedInConnection(values []string, name string) bool {
	for _, v := range values {
		for part := range strings.SplitSeq(v, ",") {
			if http.CanonicalHeaderKey(strings.TrimSpace(part)) == name {
				return true
			}
		}
	}
	return false
}

// effectiveClass applies a class that the caller asked for: it may lower the declared
// one. Raised reports that the caller asked for a higher one.
func effectiveClass(value string, declared chain.Class) (class chain.Class, raised bool, failure *chain.Failure) {
	if value == "" {
		return declared, false, nil
	}
	asked, ok := chain.ParseClass(value)
	if !ok {
		return declared, false, badRequest(headerClass + " must be one of " + strings.Join(chain.ClassNames(), ", "))
	}
	if asked > declared {
		return declared, true, nil
	}
	return asked, false, nil
}
