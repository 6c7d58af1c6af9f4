// Package httpwire speaks HTTP/1.1 on single connections. It leaves parsing to
// net/http and adds what a forwarder needs and net/http does not offer: requests
// of a connection that run at the same time and are answered in order, answers
// that are matched to their request, and exact knowledge of what was sent.
package httpwire

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// RequestLimits bound what a client may send.
type RequestLimits = routing.RequestLimits

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// EndToEnd returns the headers that belong to the message itself. Values are
// shared with the argument.
func EndToEnd(src http.Header) http.Header {
	dst := make(http.Header, len(src)+2)
	listed := src["Connection"]
	for name, values := range src {
		if hopHeaders[name] || len(listed) > 0 && namedBy(listed, name) {
			continue
		}
		dst[name] = values
	}
	return dst
}

// namedBy reports whether the values of a Connection header name a header.
func namedBy(values []string, name string) bool {
	for _, v := range values {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}

// ParseError is a message that is not HTTP, or that exceeds a limit.
type ParseError struct {
	Status int // with which a server answers it
	Reason string
	Cause  error
}

func (e *ParseError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", e.Reason, e.Cause)
	}
	return e.Reason
}

// Unwrap returns the underlying error.
func (e *ParseError) Unwrap() error { return e.Cause }

// longAgo ends a blocked read or write when it is set as deadline.
var longAgo = time.Unix(1, 0)
