package daemon

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/internal/httphold"
)

// maxBufferedBody is the length in bytes up to which a body is read completely before it is
// forwarded. A buffered request body can be sent again, and the truncation of a buffered response
// is detected before any of it has been forwarded.
const maxBufferedBody = copyBufferBytes

// minProgressBytes is the number of bytes of a streamed body that must arrive within each progress
// timeout. A slower sender would occupy a slot for too long.
const minProgressBytes = 1 << 10

// requestBody is the body of a request that this process forwards. It is either buffered or
// streamed.
type requestBody struct {
	length      int64  // Content-Length, -1 if unknown
	buffered    []byte // complete body, if it was small; nil otherwise
	stream      *bodyReader
	readStarted atomic.Bool // part of the stream has been read, so the body cannot be sent again
}

// newRequestBody buffers a small body and wraps a large one as a stream. A body with
// "Expect: 100-continue" is not read until it is forwarded.
func newRequestBody(w http.ResponseWriter, r *http.Request, held *httphold.Request, limit int64, progressTimeout time.Duration) (*requestBody, *chain.Failure) {
	b := &requestBody{length: r.ContentLength}
	if b.length > limit {
		return nil, chain.NewFailure(chain.NotRun, chain.ReasonTooLarge, "the body exceeds the declared limit")
	}
	if b.length == 0 {
		b.buffered = []byte{}
		return b, nil
	}
	if !held.Reserve(bodyBytes(b.length)) {
		return nil, noMemoryFailure()
	}
	b.stream = &bodyReader{src: held.Body(r.Body), limit: limit, progressTimeout: progressTimeout, controller: http.NewResponseController(w)}
	if b.length < 0 || b.length > maxBufferedBody || r.Header["Expect"] != nil {
		return b, nil
	}
	return b, b.buffer()
}

// buffer reads a body of known length into memory.
func (b *requestBody) buffer() *chain.Failure {
	buffered := make([]byte, b.length)
	if _, err := io.ReadFull(b.stream, buffered); err != nil {
		return chain.WrapFailure(chain.NotRun, b.stream.failureReason(), "the body could not be read", err)
	}
	b.stream.clearDeadline() // ReadFull does not read the EOF, which HTTP/2 returns in a separate read
	b.buffered, b.stream = buffered, nil
	return nil
}

// failure returns the reason why reading the stream failed, nil if it did not fail.
func (b *requestBody) failure() *chain.Failure {
	if b.stream == nil || b.stream.failed.Load() == nil {
		return nil
	}
	return chain.NewFailure(chain.Unknown, *b.stream.failed.Load(), "reading the request body failed")
}

// resendable reports whether another attempt can send the complete body.
func (b *requestBody) resendable() bool { return b.stream == nil || !b.readStarted.Load() }

// reader returns the body for one attempt. An empty body is nil unless nonNil is set: net/http
// sends a nil body with "Content-Length: 0", so that the receiving server detects at once that the
// sender disconnects. A non-nil empty body is sent in chunks, and the server detects a disconnect
// only after it has read the body.
func (b *requestBody) reader(nonNil bool) io.ReadCloser {
	switch {
	case b.stream != nil:
		return streamBody{b}
	case len(b.buffered) == 0 && !nonNil:
		return nil
	}
	return io.NopCloser(bytes.NewReader(b.buffered))
}

// streamBody is the body of an attempt that reads from a stream. Close does not close the stream,
// which belongs to the HTTP server.
type streamBody struct{ body *requestBody }

// Read implements io.Reader.
func (s streamBody) Read(p []byte) (int, error) {
	s.body.readStarted.Store(true)
	return s.body.stream.Read(p)
}

// Close implements io.Closer.
func (s streamBody) Close() error { return nil }

// bodyReader enforces the size limit and the minimum progress of a body.
type bodyReader struct {
	src             io.Reader
	limit           int64
	progressTimeout time.Duration
	totalBytes      int64
	deadline        time.Time
	intervalBytes   int64 // bytes read since the deadline was set
	failed          atomic.Pointer[chain.Reason]

	mu         sync.Mutex // guards controller and closed
	controller *http.ResponseController
	closed     bool
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	b.renewDeadline()
	n, err := b.src.Read(p)
	b.totalBytes += int64(n)
	b.intervalBytes += int64(n)
	if b.totalBytes > b.limit {
		return 0, b.fail(chain.ReasonTooLarge, errors.New("the body exceeds the declared limit"))
	}
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.clearDeadline()
		return n, err
	case errors.Is(err, httphold.ErrEvicted):
		return n, b.fail(chain.ReasonSlowBody, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, b.fail(chain.ReasonSlowBody, err)
	default:
		return n, b.fail(chain.ReasonBodyLength, err)
	}
}

// renewDeadline extends the read deadline if enough bytes arrived since the last extension. It uses
// the real clock because the network poller enforces the deadline.
func (b *bodyReader) renewDeadline() {
	now := time.Now()
	if !b.deadline.IsZero() && (b.intervalBytes < minProgressBytes || now.Before(b.deadline.Add(-b.progressTimeout/2))) {
		return
	}
	b.deadline, b.intervalBytes = now.Add(b.progressTimeout), 0
	b.setDeadline(b.deadline)
}

// clearDeadline removes the read deadline. The deadline would otherwise end the background read by
// which the HTTP server detects that the client disconnects.
func (b *bodyReader) clearDeadline() {
	if !b.deadline.IsZero() {
		b.deadline = time.Time{}
		b.setDeadline(time.Time{})
	}
}

func (b *bodyReader) setDeadline(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		_ = b.controller.SetReadDeadline(t) // only test recorders do not support it
	}
}

// close prevents further read deadlines on the connection. The goroutine of net/http that sends the
// body may outlive the handler after an early response, and a deadline that it sets would apply to
// the next request on the connection.
func (b *requestBody) close() {
	if b == nil || b.stream == nil {
		return
	}
	b.stream.mu.Lock()
	defer b.stream.mu.Unlock()
	b.stream.closed = true
}

// fail records the reason of the first failure and returns err.
func (b *bodyReader) fail(reason chain.Reason, err error) error {
	b.failed.CompareAndSwap(nil, &reason)
	return err
}

// failureReason returns the recorded reason, by default that the length of the body is wrong.
func (b *bodyReader) failureReason() chain.Reason {
	if r := b.failed.Load(); r != nil {
		return *r
	}
	return chain.ReasonBodyLength
}
