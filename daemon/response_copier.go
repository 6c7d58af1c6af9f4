package daemon

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

var errShortResponse = errors.New("the answer is shorter than announced")

// responseCopier passes the body of an answer on.
type responseCopier struct {
	w               http.ResponseWriter
	controller      *http.ResponseController
	progressTimeout time.Duration
	deadlineSetAt   time.Time
	flush           bool // the length is unknown, so the reader may wait for each part
	copiedBytes     int64
	stored          *limitedBuffer // nil unless the answer is to be stored
	disconnected    bool           // the reader has left; the rest is read for keep only
}

// newResponseCopier prepares to pass an answer on. It is called before the headers are
// written: net/http would otherwise read the rest of the request body then, and
// a handler that answers while it reads would lose it.
func newResponseCopier(w http.ResponseWriter, stall time.Duration, announced int64) *responseCopier {
	c := &responseCopier{w: w, controller: http.NewResponseController(w), progressTimeout: stall, flush: announced < 0}
	_ = c.controller.EnableFullDuplex() // HTTP/2 needs no permission
	return c
}

// limitedBuffer keeps the first bytes of an answer.
type limitedBuffer struct {
	data       []byte
	limit      int
	overflowed bool
}

func (b *limitedBuffer) add(p []byte) {
	if b.overflowed || len(b.data)+len(p) > b.limit {
		b.overflowed, b.data = true, nil
		return
	}
	b.data = append(b.data, p...)
}

// errReceiverDisconnected is a failed write to the process that waits for the answer.
var errReceiverDisconnected = errors.New("the receiver of the answer has left")

// copy reads the answer to its end. An error means that the receiver must not
// take what it got for a whole answer.
func (c *responseCopier) copy(src io.Reader) error {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := src.Read(*buf)
		if n > 0 {
			if err := c.write((*buf)[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// write writes one part. When the answer is to be stored, a receiver that has
// left does not end the copy.
func (c *responseCopier) write(p []byte) error {
	c.copiedBytes += int64(len(p))
	if c.stored != nil {
		c.stored.add(p)
	}
	if c.disconnected {
		return nil
	}
	if now := time.Now(); now.Sub(c.deadlineSetAt) > c.progressTimeout/2 {
		c.deadlineSetAt = now
		_ = c.controller.SetWriteDeadline(now.Add(c.progressTimeout)) // not supported by test recorders only
	}
	_, err := c.w.Write(p)
	if err == nil && c.flush {
		err = c.controller.Flush()
	}
	if err == nil {
		return nil
	}
	c.disconnected = true
	if c.stored != nil {
		return nil
	}
	return errors.Mark(err, errReceiverDisconnected)
}

// copyTo copies the rest of an answer to w and checks its length.
func (a *response) copyTo(ctx context.Context, c *responseCopier, announced int64) *chain.Failure {
	defer func() { _ = c.controller.SetWriteDeadline(time.Time{}) }()
	err := c.copy(a.stream.Body)
	if err == nil && announced >= 0 && c.copiedBytes != announced {
		err = errShortResponse
	}
	if err == nil {
		_ = a.stream.Body.Close() // the body was read to its end
		if c.disconnected {
			return chain.NewFailure(chain.Unknown, chain.ReasonCancelled, "the receiver left during the answer")
		}
		return nil
	}
	a.connUse.abandon()
	_ = a.stream.Body.Close() // the connection is closed already
	if errors.Is(err, errReceiverDisconnected) {
		return chain.WrapFailure(chain.Unknown, chain.ReasonCancelled, "the receiver left during the answer", err)
	}
	return truncationFailure(ctx, err)
}

// bodyAllowed reports whether an answer of this status may have a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

func setLength(h http.Header, n int64) { h["Content-Length"] = []string{strconv.FormatInt(n, 10)} }

// parseLength reads a length header, -1 if there is none.
func parseLength(value string) int64 {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// storedBytes is the part of the answer that is to be stored.
func (c *responseCopier) storedBytes() []byte {
	if c.stored == nil {
		return nil
	}
	return c.stored.data
}

func (c *responseCopier) storageOverflowed() bool { return c.stored != nil && c.stored.overflowed }
