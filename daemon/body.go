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

// smallBody is the length up to which a body is read whole before it is passed
// on. A small request body can be sent again; a small answer that was cut
// short is noticed before any of it has been passed on.
const smallBody = copyBufferBytes

// minProgress is the number of bytes that a streamed body must make in each
// stall interval. A sender slower than this holds a slot for no benefit.
const minProgress = 1 << 10

// body is the body of a request on its way through this process.
type body struct {
	length  int64  // announced, -1 if unknown
	whole   []byte // set if the body was small
	stream  *bodyReader
	started atomic.Bool // some of the stream was read, so it cannot be sent again
}

// newBody reads a small body and wraps a large one. A body announced with
// "Expect: 100-continue" is not read before someone wants it.
func newBody(w http.ResponseWriter, r *http.Request, limit int64, stall time.Duration) (*body, *chain.Failure) {
	b := &body{length: r.ContentLength}
	if b.length > limit {
		return nil, chain.NewFailure(chain.NotRun, chain.ReasonTooLarge, "the body exceeds the declared limit")
	}
	if b.length == 0 {
		b.whole = []byte{}
		return b, nil
	}
	b.stream = &bodyReader{src: r.Body, limit: limit, stall: stall, control: http.NewResponseController(w)}
	if b.length < 0 || b.length > smallBody || r.Header["Expect"] != nil {
		return b, nil
	}
	return b, b.readWhole()
}

// readWhole reads a body of known length into memory.
func (b *body) readWhole() *chain.Failure {
	whole := make([]byte, b.length)
	if _, err := io.ReadFull(b.stream, whole); err != nil {
		return chain.WrapFailure(chain.NotRun, b.stream.reason(), "the body could not be read", err)
	}
	b.stream.finish() // HTTP/2 reports the end separately
	b.whole, b.stream = whole, nil
	return nil
}

// failure is the cause if reading the stream failed.
func (b *body) failure() *chain.Failure {
	if b.stream == nil || b.stream.failed.Load() == nil {
		return nil
	}
	return chain.NewFailure(chain.Unknown, *b.stream.failed.Load(), "the request body failed on the way")
}

// resendable reports whether another attempt could send the whole body.
func (b *body) resendable() bool { return b.stream == nil || !b.started.Load() }

// reader returns the body for one attempt, without a GetBody counterpart. An
// empty body is nil where that is safe: sent as "Content-Length: 0" it lets
// the receiving server notice at once when the sender leaves, which it cannot
// before a chunked body has been read.
func (b *body) reader(always bool) io.ReadCloser {
	switch {
	case b.stream != nil:
		return streamBody{b}
	case len(b.whole) == 0 && !always:
		return nil
	}
	return io.NopCloser(bytes.NewReader(b.whole))
}

// streamBody is the body of an attempt that copies a stream. Closing it leaves
// the stream to the server that owns it.
type streamBody struct{ body *body }

// Read implements io.Reader.
func (s streamBody) Read(p []byte) (int, error) {
	s.body.started.Store(true)
	return s.body.stream.Read(p)
}

// Close implements io.Closer.
func (s streamBody) Close() error { return nil }

// bodyReader enforces the limit and the minimum progress of a body.
type bodyReader struct {
	src      io.Reader
	limit    int64
	stall    time.Duration
	total    int64
	deadline time.Time
	progress int64 // bytes in the current interval
	failed   atomic.Pointer[chain.Reason]

	mu      sync.Mutex // guards control
	control *http.ResponseController
	closed  bool
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	b.renew()
	n, err := b.src.Read(p)
	b.total += int64(n)
	b.progress += int64(n)
	if b.total > b.limit {
		return 0, b.fail(chain.ReasonTooLarge, errors.New("the body exceeds the declared limit"))
	}
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.finish()
		return n, err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, b.fail(chain.ReasonSlowBody, err)
	default:
		return n, b.fail(chain.ReasonBodyLength, err)
	}
}

// renew starts an interval when the last one had enough progress. The clock is
// the real one because the deadline is enforced by the network poller.
func (b *bodyReader) renew() {
	now := time.Now()
	if !b.deadline.IsZero() && (b.progress < minProgress || now.Before(b.deadline.Add(-b.stall/2))) {
		return
	}
	b.deadline, b.progress = now.Add(b.stall), 0
	b.setDeadline(b.deadline)
}

// finish lifts the deadline, which would otherwise end the server's own
// reading that notices when a caller leaves.
func (b *bodyReader) finish() {
	if !b.deadline.IsZero() {
		b.deadline = time.Time{}
		b.setDeadline(time.Time{})
	}
}

func (b *bodyReader) setDeadline(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		_ = b.control.SetReadDeadline(t) // not supported by test recorders only
	}
}

// close ends the use of the connection. The goroutine of net/http that sends
// the body may outlive the handler after an early answer; a deadline that it
// set then would hit the next request on the connection.
func (b *body) close() {
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

func (b *bodyReader) reason() chain.Reason {
	if r := b.failed.Load(); r != nil {
		return *r
	}
	return chain.ReasonBodyLength
}
