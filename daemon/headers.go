package daemon

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// Headers that clients, daemons and upstreams exchange, in canonical form.
const (
	headerClass          = "Bilberry-Class"
	headerDeadline       = "Bilberry-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "Bilberry-Request-Id"
	headerChain          = "Bilberry-Chain"
	headerOutcome        = "Bilberry-Outcome"
	headerReason         = "Bilberry-Reason"
	headerReplayed       = "Bilberry-Replayed" // set if the response is the stored response to an earlier request
)

// Headers of requests and responses between daemons. Bilberry-Context contains several values,
// because net/http allocates memory for each header that it reads.
const (
	headerPeerPath           = "Bilberry-Path"    // method, space, escaped path and query
	headerPeerContext        = "Bilberry-Context" // see formatPeerContext
	headerPeerIdempotencyKey = "Bilberry-Key"
	headerPeerAttempt        = "Bilberry-Attempt" // attempt number, in responses
	headerPeerGenerated      = "Bilberry-Refusal" // set if a daemon generated the response, not the upstream
	headerPeerDependency     = "Bilberry-Deep"    // set if a call to a dependency failed
	headerPeerUnusedRetries  = "Bilberry-Unused"  // number of delegated retries that were not used
	headerPeerLoadReport     = "Bilberry-Report"  // load report of the admission queue
	headerPeerLength         = "Bilberry-Length"  // content length of a response that is sent in chunks
)

const (
	maxRequestTimeout         = 600 * time.Second // also the maximum of Bilberry-Deadline-Ms
	maxRequestIDLength        = 64
	maxHeaderBytes            = 32 << 10           // path and headers of a request; above it: bad request
	hardMaxHeaderBytes        = 4 * maxHeaderBytes // enforced by net/http
	internalHeaderPrefix      = "Bilberry-"
	headerIdempotencyKeyAlias = "X-Idempotency-Key"
)

func badRequest(message string) *chain.Failure {
	return chain.NewFailure(chain.NotRun, chain.ReasonBadRequest, message)
}

// singleValue returns the only value of a header, empty if the header is absent. A repeated header
// is rejected, because two daemons could otherwise read different values.
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

// parseClientTimeout parses a client timeout in milliseconds. It returns maximum if the value is
// empty or larger.
func parseClientTimeout(value string, maximum time.Duration) (time.Duration, *chain.Failure) {
	if value == "" {
		return maximum, nil
	}
	ms, err := strconv.ParseUint(value, 10, 32)
	if err != nil || ms == 0 || ms > uint64(maxRequestTimeout.Milliseconds()) {
		return 0, badRequest(headerDeadline + " must be 1 to 600000")
	}
	return min(time.Duration(ms)*time.Millisecond, maximum), nil
}

// formatRemaining formats the remaining time in milliseconds, rounded down so that it decreases at
// each hop. The minimum is 1, because 0 is not a valid deadline.
func formatRemaining(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}

func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDLength {
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

// parseIdempotencyKey validates an idempotency key and returns its canonical form, so that each key
// has one claim. Claims depend on the creation time that a version 7 UUID contains.
func parseIdempotencyKey(value string) (string, *chain.Failure) {
	if value == "" {
		return "", nil
	}
	if len(value) != 36 {
		return "", badRequest(headerIdempotencyKey + " must be a UUID of version 7")
	}
	id, err := uuid.Parse(value)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return "", badRequest(headerIdempotencyKey + " must be a UUID of version 7")
	}
	return id.String(), nil
}

// headerSize returns the size of all headers in bytes, as net/http counts them.
func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

// peerRequest is the metadata of an attempt that one daemon sends to another.
type peerRequest struct {
	service   string
	method    string
	path      string // escaped path and query
	remaining time.Duration
	allowance int
	depth     int
	metadata  chain.Metadata
}

// formatPeerContext formats the value of Bilberry-Context: service, attempt, priority, retry
// allowance, depth, remaining milliseconds and configuration version, separated by spaces. The
// remaining time is rounded down, so that it decreases at each hop.
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

// peerContextFields are the numbers after the service in Bilberry-Context, with their maximum
// values.
var peerContextFields = [...]struct {
	name string
	bits int
	max  uint64
}{
	{"attempt", 32, 1<<32 - 1},
	{"priority", 16, uint64(chain.NumPriorities) - 1},
	{"allowance", 16, 1<<16 - 1},
	{"depth", 16, 1<<16 - 1},
	{"remaining time", 32, uint64(maxRequestTimeout / time.Millisecond)},
	{"version", 64, 1<<64 - 1},
}

// parsePeerRequest parses the headers of an attempt.
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
		if err != nil || n > field.max || found != (i < len(peerContextFields)-1) {
			return p, badRequest("bad " + field.name + " in " + headerPeerContext)
		}
		numbers[i], rest = n, more
	}
	p.service = service
	return p.setNumbers(numbers, h.Get(headerPeerIdempotencyKey))
}

// setNumbers sets the parsed numbers and the idempotency key. It checks the depth and that no
// required value is 0 or empty.
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

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// copyEndToEndHeaders copies the headers that are neither hop-by-hop nor internal. The values are
// shared and must not be modified. Idempotency keys are omitted because net/http resends requests
// that have one.
func copyEndToEndHeaders(dst, src http.Header) {
	listed := src["Connection"]
	for name, values := range src {
		if hopByHopHeaders[name] || strings.HasPrefix(name, internalHeaderPrefix) || name == headerIdempotencyKey || name == headerIdempotencyKeyAlias {
			continue
		}
		if len(listed) > 0 && listedInConnection(listed, name) {
			continue
		}
		dst[name] = values
	}
}

// listedInConnection reports whether the values of the Connection header list a header.
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

// effectiveClass returns the class of a request: the declared class, or a lower one that the client
// requests. raised is true if the client requests a higher class, which is ignored.
func effectiveClass(value string, declared chain.Class) (class chain.Class, raised bool, failure *chain.Failure) {
	if value == "" {
		return declared, false, nil
	}
	requested, ok := chain.ParseClass(value)
	if !ok {
		return declared, false, badRequest(headerClass + " must be one of " + strings.Join(chain.ClassNames(), ", "))
	}
	if requested > declared {
		return declared, true, nil
	}
	return requested, false, nil
}
