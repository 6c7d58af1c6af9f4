package httphold

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/bilberrydeck/bilberrydeck/core/holding"
)

// ErrEvicted is returned for a body whose client makes less progress than others that wait.
var ErrEvicted = errors.New("the memory for requests is used up, and the body makes too little progress")

// ErrNoMemory is returned for a body for which there is no room.
var ErrNoMemory = errors.New("the memory for requests is used up")

// Request is what a request holds beside its connection.
type Request struct {
	*holding.Holder

	mu         sync.Mutex // guards the deadlines of the connection, which outlives the request
	controller *http.ResponseController
	evicted    bool
	ended      bool
}

// BeginRequest begins the account of a request. End must be called before its handler returns.
func BeginRequest(ledger *holding.Ledger, w http.ResponseWriter) *Request {
	r := &Request{controller: http.NewResponseController(w)}
	r.Holder = ledger.Begin(r.evict)
	return r
}

// End gives back all that the request has taken.
func (r *Request) End() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.Close()
}

// evict interrupts the reading of the body, or the writing of the response.
func (r *Request) evict(d holding.Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	if d == holding.Sending {
		_ = r.controller.SetWriteDeadline(pastDeadline) // fails only on a closed connection
		return
	}
	r.evicted = true
	_ = r.controller.SetReadDeadline(pastDeadline) // as above
}

// Evicted reports whether the client was asked to go because of its body.
func (r *Request) Evicted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evicted
}

// Body returns a body whose progress is measured. Its reads fail with ErrEvicted once the client is asked
// to go.
func (r *Request) Body(from io.Reader) io.Reader {
	r.BeginMessage(holding.Receiving)
	return &requestBody{r, from}
}

type requestBody struct {
	request *Request
	from    io.Reader
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.request.Evicted() {
		return 0, ErrEvicted
	}
	b.request.Wait(holding.Receiving)
	n, err := b.from.Read(p)
	b.request.Progress(holding.Receiving, n)
	if err != nil && err != io.EOF && b.request.Evicted() {
		err = ErrEvicted
	}
	return n, err
}

// minBuffer is the size in bytes of the first buffer of ReadAll.
const minBuffer = 8 << 10

// ReadAll reads a body whose buffer is charged to the request as it grows. The error is ErrNoMemory if there
// is no room.
func (r *Request) ReadAll(from io.Reader) ([]byte, error) {
	body := r.Body(from)
	if !r.ReserveSmall(minBuffer) {
		return nil, ErrNoMemory
	}
	buf := make([]byte, 0, minBuffer)
	for {
		if len(buf) == cap(buf) {
			if !r.Reserve(int64(cap(buf))) {
				return nil, ErrNoMemory
			}
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
