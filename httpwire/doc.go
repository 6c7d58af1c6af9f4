// Package httpwire implements HTTP/1.1 on single connections. It leaves parsing to net/http and
// adds what a proxy needs and net/http does not offer: concurrent processing of pipelined
// requests with responses in order, matching of responses to requests, and the exact number of
// bytes sent.
package httpwire

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// RequestLimits limit the requests of a client.
type RequestLimits = routing.RequestLimits

// isHopByHop reports whether a header concerns a single connection, so that it is not forwarded.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
		"Proxy-Authenticate", "Proxy-Authorization":
		return true
	}
	return false
}

// removeHopByHopHeaders removes the hop-by-hop headers of a message.
func removeHopByHopHeaders(h http.Header) {
	listed := h["Connection"]
	for name := range h {
		if isHopByHop(name) || len(listed) > 0 && listedInConnection(listed, name) {
			delete(h, name)
		}
	}
}

// listedInConnection reports whether the values of the Connection header list a header.
func listedInConnection(values []string, name string) bool {
	for _, v := range values {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}

// ParseError is returned for a message that is not valid HTTP or exceeds a limit.
type ParseError struct {
	Status int // of the server's response
	Reason string
	Cause  error
	// RetryAfter is when the client may send the request again, 0 if it is not told.
	RetryAfter time.Duration
}

func (e *ParseError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", e.Reason, e.Cause)
	}
	return e.Reason
}

// Unwrap returns the underlying error.
func (e *ParseError) Unwrap() error { return e.Cause }

// pastDeadline interrupts a blocked read or write when it is set as deadline.
var pastDeadline = time.Unix(1, 0)
