package daemon

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/holding"
	"github.com/bilberrydeck/bilberrydeck/internal/httphold"
)

var errShortResponse = errors.New("the response is shorter than its content length")

// responseCopier forwards the body of a response.
type responseCopier struct {
	held            *httphold.Request
	w               http.ResponseWriter
	controller      *http.ResponseController
	progressTimeout time.Duration
	deadlineSetAt   time.Time
	flush           bool // after each write, because the length is unknown
	copiedBytes     int64
	stored          *limitedBuffer // nil if the response is not to be stored
	disconnected    bool           // the receiver has disconnected; the rest is read only to be stored
}

// newResponseCopier returns a copier for a response. It must be called before the headers are
// written: net/http would otherwise discard the rest of the request body at that time, although an
// upstream that responds early may still read it.
func newResponseCopier(w http.ResponseWriter, held *httphold.Request, progressTimeout time.Duration, announced int64) *responseCopier {
	held.BeginMessage(holding.Sending)
	c := &responseCopier{held: held, w: w, controller: http.NewResponseController(w), progressTimeout: progressTimeout, flush: announced < 0}
	_ = c.controller.EnableFullDuplex() // an error means HTTP/2, which is always full duplex
	return c
}

// limitedBuffer stores the body of a response up to a limit. A longer body is dropped.
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

// errReceiverDisconnected marks a failed write to the receiver of the response.
var errReceiverDisconnected = errors.New("the receiver of the response has disconnected")

// copy forwards the response to its end. After an error the receiver must not treat what it has
// received as a complete response.
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

// write forwards one part. If the response is to be stored, the copy continues after the receiver
// has disconnected.
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
		_ = c.controller.SetWriteDeadline(now.Add(c.progressTimeout)) // only test recorders do not support it
	}
	c.held.Wait(holding.Sending)
	_, err := c.w.Write(p)
	if err == nil && c.flush {
		err = c.controller.Flush()
	}
	c.held.Progress(holding.Sending, len(p))
	if err == nil {
		return nil
	}
	c.disconnected = true
	if c.stored != nil {
		return nil
	}
	return errors.Mark(err, errReceiverDisconnected)
}

// copyTo copies the body of a streamed response and checks its length; announced is -1 if unknown.
func (r *response) copyTo(ctx context.Context, c *responseCopier, announced int64) *chain.Failure {
	defer func() { _ = c.controller.SetWriteDeadline(time.Time{}) }()
	err := c.copy(r.stream.Body)
	if err == nil && announced >= 0 && c.copiedBytes != announced {
		err = errShortResponse
	}
	if err == nil {
		_ = r.stream.Body.Close() // the body has been read to its end
		if c.disconnected {
			return chain.NewFailure(chain.Unknown, chain.ReasonCancelled, "the receiver disconnected during the response")
		}
		return nil
	}
	r.connUse.abandon()
	_ = r.stream.Body.Close() // the connection is closed already
	if errors.Is(err, errReceiverDisconnected) {
		return chain.WrapFailure(chain.Unknown, chain.ReasonCancelled, "the receiver disconnected during the response", err)
	}
	return truncationFailure(ctx, err)
}

// bodyAllowed reports whether a response with this status may have a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

func setLength(h http.Header, n int64) { h["Content-Length"] = []string{strconv.FormatInt(n, 10)} }

// parseLength parses a length header. It returns -1 if the header is absent or invalid.
func parseLength(value string) int64 {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// storedBytes returns the body to be stored, nil if it exceeds the limit or is not stored.
func (c *responseCopier) storedBytes() []byte {
	if c.stored == nil {
		return nil
	}
	return c.stored.data
}

func (c *responseCopier) storageOverflowed() bool { return c.stored != nil && c.stored.overflowed }
