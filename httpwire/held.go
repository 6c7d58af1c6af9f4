package httpwire

import (
	"net/http"
	"time"
)

const (
	// headerLineBytes is the memory of a header line beside its bytes.
	headerLineBytes = 128
	// exchangeBytes is the memory of a request beside its head and body: the stacks of its goroutines, and
	// its connection to another daemon or to the upstream.
	exchangeBytes = 16 << 10
	// noRoomRetryAfter is when a client may come back for which there was no room. By then, clients
	// without progress have been asked to go.
	noRoomRetryAfter = time.Second
)

// Rejections of requests for which there is no room. Nothing of them has been passed on.
var (
	errNoRoomForHead = &ParseError{Status: http.StatusServiceUnavailable, Reason: "the memory for requests is used up", RetryAfter: noRoomRetryAfter}
	// ErrEvicted is returned for a body whose client makes less progress than others that wait.
	ErrEvicted = &ParseError{Status: http.StatusServiceUnavailable, Reason: "the memory for requests is used up, and the body makes too little progress", RetryAfter: noRoomRetryAfter}
)

// headBytes returns the memory of a request with its head.
func headBytes(req *http.Request) int64 {
	n := exchangeBytes + len(req.RequestURI) + len(req.Host)
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerLineBytes
		}
	}
	return int64(n)
}
