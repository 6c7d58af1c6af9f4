package httpwire

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/holding"
)

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBuffer is the maximum size in bytes of a pooled buffer, so that one large message does
// not occupy memory permanently.
const maxPooledBuffer = 64 << 10

func getBuffer() *bytes.Buffer { return buffers.Get().(*bytes.Buffer) }

func putBuffer(b *bytes.Buffer) {
	if b.Cap() > maxPooledBuffer {
		return
	}
	b.Reset()
	buffers.Put(b)
}

// appendHeaders writes h without the headers in set, and set.
func appendHeaders(buf *bytes.Buffer, h http.Header, set []HeaderField) {
	for name, values := range h {
		if slices.ContainsFunc(set, func(f HeaderField) bool { return f.Name == name }) {
			continue
		}
		for _, v := range values {
			appendHeader(buf, name, v)
		}
	}
	for _, f := range set {
		appendHeader(buf, f.Name, f.Value)
	}
}

func appendHeader(buf *bytes.Buffer, name, value string) {
	buf.WriteString(name)
	buf.WriteString(": ")
	buf.WriteString(value)
	buf.WriteString("\r\n")
}

func appendLength(buf *bytes.Buffer, length int64) {
	if length < 0 {
		buf.WriteString("Transfer-Encoding: chunked\r\n")
		return
	}
	buf.WriteString("Content-Length: ")
	buf.Write(strconv.AppendInt(buf.AvailableBuffer(), length, 10))
	buf.WriteString("\r\n")
}

func appendResponseHead(buf *bytes.Buffer, req *http.Request, r *ServerResponse, length int64, closing bool) {
	buf.WriteString("HTTP/1.1 ")
	buf.Write(strconv.AppendInt(buf.AvailableBuffer(), int64(r.Status), 10))
	buf.WriteByte(' ')
	buf.WriteString(http.StatusText(r.Status))
	buf.WriteString("\r\n")
	appendHeaders(buf, r.Header, r.Set)
	switch {
	case r.Status == http.StatusNoContent || r.Status == http.StatusNotModified:
	case length < 0 && !req.ProtoAtLeast(1, 1):
	default:
		appendLength(buf, length)
	}
	if closing {
		buf.WriteString("Connection: close\r\n")
	}
	buf.WriteString("\r\n")
}

// errBodyTooShort is returned for a body that ended before its announced length.
var errBodyTooShort = errors.New("the body ended before its announced length")

const (
	// copyBufferBytes is the size of the buffer with which a body is copied.
	copyBufferBytes = 32 << 10
	// minCopyBufferBytes is its size if there is no room for a larger one.
	minCopyBufferBytes = 4 << 10
)

// copyBody writes a body of a given length, or in chunks if the length is -1. After an error the
// message is incomplete for its recipient. Its buffers are charged to the holder.
func copyBody(w io.Writer, body io.Reader, length int64, chunked bool, holder *holding.Holder) error {
	size := int64(copyBufferBytes)
	if length >= 0 {
		size = min(size, max(length, 1))
	}
	if !holder.Reserve(size) {
		size = min(size, minCopyBufferBytes)
		holder.Force(size)
	}
	defer holder.Release(size)
	if length >= 0 {
		n, err := io.CopyBuffer(w, io.LimitReader(body, length), make([]byte, size))
		if err == nil && n < length {
			return errBodyTooShort
		}
		return err
	}
	if !chunked {
		_, err := io.CopyBuffer(w, onlyReader{body}, make([]byte, size))
		return err
	}
	buf := make([]byte, size/2) // the other half is for the chunk
	var chunk []byte
	for {
		n, err := body.Read(buf)
		if n > 0 {
			chunk = appendChunk(chunk[:0], buf[:n])
			if _, werr := w.Write(chunk); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			_, err = w.Write([]byte("0\r\n\r\n"))
			return err
		}
		if err != nil {
			return err
		}
	}
}

func appendChunk(out, p []byte) []byte {
	out = strconv.AppendInt(out, int64(len(p)), 16)
	out = append(out, '\r', '\n')
	out = append(out, p...)
	return append(out, '\r', '\n')
}

// onlyReader hides WriteTo, which would ignore the buffer of a copy.
type onlyReader struct{ io.Reader }

// maxWrite is the size in bytes of the parts in which a large body is written, so that a client that reads
// slowly can be told from one that does not read.
const maxWrite = 64 << 10

// stallTimeoutWriter applies the stall timeout to each write, so that a large body may take longer
// than the timeout in total, and measures the progress of the client.
type stallTimeoutWriter struct {
	nc     net.Conn
	holder *holding.Holder
}

// Write implements io.Writer.
func (w stallTimeoutWriter) Write(p []byte) (int, error) {
	_ = w.nc.SetWriteDeadline(time.Now().Add(writeStallTimeout)) // fails only on a closed connection, which the write reports
	w.holder.Wait(holding.Sending)
	n, err := w.nc.Write(p)
	w.holder.Progress(holding.Sending, n)
	return n, err
}
