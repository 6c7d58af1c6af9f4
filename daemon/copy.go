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

var errShortAnswer = errors.New("the answer is shorter than announced")

// copier passes the body of an answer on.
type copier struct {
	w       http.ResponseWriter
	control *http.ResponseController
	stall   time.Duration
	renewed time.Time
	flush   bool // the length is unknown, so the reader may wait for each part
	copied  int64
	keep    *limitedBuffer // nil unless the answer is to be stored
	gone    bool           // the reader has left; the rest is read for keep only
}

// newCopier prepares to pass an answer on. It is called before the headers are
// written: net/http would otherwise read the rest of the request body then, and
// a handler that answers while it reads would lose it.
func newCopier(w http.ResponseWriter, stall time.Duration, announced int64) *copier {
	c := &copier{w: w, control: http.NewResponseController(w), stall: stall, flush: announced < 0}
	_ = c.control.EnableFullDuplex() // HTTP/2 needs no permission
	return c
}

// limitedBuffer keeps the first bytes of an answer.
type limitedBuffer struct {
	data  []byte
	limit int
	over  bool
}

func (b *limitedBuffer) add(p []byte) {
	if b.over || len(b.data)+len(p) > b.limit {
		b.over, b.data = true, nil
		return
	}
	b.data = append(b.data, p...)
}

// errReaderGone is a failed write to the process that waits for the answer.
var errReaderGone = errors.New("the receiver of the answer has left")

// copy reads the answer to its end. An error means that the receiver must not
// take what it got for a whole answer.
func (c *copier) copy(src io.Reader) error {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := src.Read(*buf)
		if n > 0 {
			if err := c.pass((*buf)[:n]); err != nil {
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

// pass writes one part. When the answer is to be stored, a receiver that has
// left does not end the copy.
func (c *copier) pass(p []byte) error {
	c.copied += int64(len(p))
	if c.keep != nil {
		c.keep.add(p)
	}
	if c.gone {
		return nil
	}
	if now := time.Now(); now.Sub(c.renewed) > c.stall/2 {
		c.renewed = now
		_ = c.control.SetWriteDeadline(now.Add(c.stall)) // not supported by test recorders only
	}
	_, err := c.w.Write(p)
	if err == nil && c.flush {
		err = c.control.Flush()
	}
	if err == nil {
		return nil
	}
	c.gone = true
	if c.keep != nil {
		return nil
	}
	return errors.Mark(err, errReaderGone)
}

// stream copies the rest of an answer to w and checks its length.
func (a *answer) stream(ctx context.Context, c *copier, announced int64) *chain.Failure {
	defer func() { _ = c.control.SetWriteDeadline(time.Time{}) }()
	err := c.copy(a.resp.Body)
	if err == nil && announced >= 0 && c.copied != announced {
		err = errShortAnswer
	}
	if err == nil {
		_ = a.resp.Body.Close() // the body was read to its end
		if c.gone {
			return chain.NewFailure(chain.Unknown, chain.ReasonCancelled, "the receiver left during the answer")
		}
		return nil
	}
	a.sent.abandon()
	_ = a.resp.Body.Close() // the connection is closed already
	if errors.Is(err, errReaderGone) {
		return chain.WrapFailure(chain.Unknown, chain.ReasonCancelled, "the receiver left during the answer", err)
	}
	return truncated(ctx, err)
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

// kept is the part of the answer that is to be stored.
func (c *copier) kept() []byte {
	if c.keep == nil {
		return nil
	}
	return c.keep.data
}

func (c *copier) overflowed() bool { return c.keep != nil && c.keep.over }
