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

// hopByHopHeaders are hop-by-hop headers, which are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// EndToEndHeaders returns the end-to-end headers of a message. The values are shared with the argument.
func EndToEndHeaders(src http.Header) http.Header {
	dst := make(http.Header, len(src)+2)
	listed := src["Connection"]
	for name, values := range src {
		if hopByHopHeaders[name] || len(listed) > 0 && listedInConnection(listed, name) {
			continue
		}
		dst[name] = values
	}
	return dst
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
