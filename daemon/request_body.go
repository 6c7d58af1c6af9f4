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
)

// maxBufferedBody is the length up to which a body is read whole before it is passed
// on. A small request body can be sent again; a small answer that was cut
// short is noticed before any of it has been passed on.
const maxBufferedBody = copyBufferBytes

// minProgressBytes is the number of bytes that a streamed body must make in each
// stall interval. A sender slower than this holds a slot for no benefit.
const minProgressBytes = 1 << 10

// requestBody is the body of a request on its way through this process.
type requestBody struct {
	length      int64  // announced, -1 if unknown
	buffered    []byte // set if the body was small
	stream      *bodyReader
	readStarted atomic.Bool // some of the stream was read, so it cannot be sent again
}

// newRequestBody reads a small body and wraps a large one. A body announced with
// "Expect: 100-continue" is not read before someone wants it.
func newRequestBody(w http.ResponseWriter, r *http.Request, limit int64, stall time.Duration) (*requestBody, *chain.Failure) {
	b := &requestBody{length: r.ContentLength}
	if b.length > limit {
		return nil, chain.NewFailure(chain.NotRun, chain.ReasonTooLarge, "the body exceeds the declared limit")
	}
	if b.length == 0 {
		b.buffered = []byte{}
		return b, nil
	}
	b.stream = &bodyReader{src: r.Body, limit: limit, progressTimeout: stall, controller: http.NewResponseController(w)}
	if b.length < 0 || b.length > maxBufferedBody || r.Header["Expect"] != nil {
		return b, nil
	}
	return b, b.buffer()
}

// buffer reads a body of known length into memory.
func (b *requestBody) buffer() *chain.Failure {
	whole := make([]byte, b.length)
	if _, err := io.ReadFull(b.stream, whole); err != nil {
		return chain.WrapFailure(chain.NotRun, b.stream.failureReason(), "the body could not be read", err)
	}
	b.stream.clearDeadline() // HTTP/2 reports the end separately
	b.buffered, b.stream = whole, nil
	return nil
}

// failure is the cause if reading the stream failed.
func (b *requestBody) failure() *chain.Failure {
	if b.stream == nil || b.stream.failed.Load() == nil {
		return nil
	}
	return chain.NewFailure(chain.Unknown, *b.stream.failed.Load(), "the request body failed on the way")
}

// resendable reports whether another attempt could send the whole body.
func (b *requestBody) resendable() bool { return b.stream == nil || !b.readStarted.Load() }

// reader returns the body for one attempt, without a GetBody counterpart. An
// empty body is nil where that is safe: sent as "Content-Length: 0" it lets
// the receiving server notice at once when the sender leaves, which it cannot
// before a chunked body has been read.
func (b *requestBody) reader(always bool) io.ReadCloser {
	switch {
	case b.stream != nil:
		return streamBody{b}
	case len(b.buffered) == 0 && !always:
		return nil
	}
	return io.NopCloser(bytes.NewReader(b.buffered))
}

// streamBody is the body of an attempt that copies a stream. Closing it leaves
// the stream to the server that owns it.
type streamBody struct{ body *requestBody }

// Read implements io.Reader.
func (s streamBody) Read(p []byte) (int, error) {
	s.body.readStarted.Store(true)
	return s.body.stream.Read(p)
}

// Close implements io.Closer.
func (s streamBody) Close() error { return nil }

// bodyReader enforces the limit and the minimum progress of a body.
type bodyReader struct {
	src             io.Reader
	limit           int64
	progressTimeout time.Duration
	totalBytes      int64
	deadline        time.Time
	intervalBytes   int64 // bytes in the current interval
	failed          atomic.Pointer[chain.Reason]

	mu         sync.Mutex // guards control
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
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, b.fail(chain.ReasonSlowBody, err)
	default:
		return n, b.fail(chain.ReasonBodyLength, err)
	}
}

// renewDeadline starts an interval when the last one had enough progress. The clock is
// the real one because the deadline is enforced by the network poller.
func (b *bodyReader) renewDeadline() {
	now := time.Now()
	if !b.deadline.IsZero() && (b.intervalBytes < minProgressBytes || now.Before(b.deadline.Add(-b.progressTimeout/2))) {
		return
	}
	b.deadline, b.intervalBytes = now.Add(b.progressTimeout), 0
	b.setDeadline(b.deadline)
}

// clearDeadline lifts the deadline, which would otherwise end the server's own
// reading that notices when a caller leaves.
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
		_ = b.controller.SetReadDeadline(t) // not supported by test recorders only
	}
}

// close ends the use of the connection. The goroutine of net/http that sends
// the body may outlive the handler after an early answer; a deadline that it
// set then would hit the next request on the connection.
func (b *requestBody) close() {
	if b == nil || b.stream == nil {
		return
	}
	b.stream.mu.Lock()
	defer b.stream.mu.Unlock()
	b.stream.closed = true
}

func (b *bodyReader) fail(reason chain.Reason, err error) error {
	b.failed.CompareAndSwap(nil, &reason)
	return err
}

func (b *bodyReader) failureReason() chain.Reason {
	if r := b.failed.Load(); r != nil {
		return *r
	}
	return chain.ReasonBodyLength
}
