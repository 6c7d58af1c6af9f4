package httpwire

import (
	"context"
	"errors"
	"sync"
)

// ErrWithdrawn means that a request was withdrawn before the server could execute it: nothing of it,
// or nothing of its body, was sent.
var ErrWithdrawn = errors.New("the request was withdrawn before it was sent completely")

// withdrawal is the state of a request that can be withdrawn.
type withdrawal struct {
	mu        sync.Mutex
	request   *ClientRequest // nil once the head of the response has been read
	sent      bool           // the request has been sent completely
	requested bool           // the request is to be withdrawn
	effective bool           // it was withdrawn before any of its body was sent
}

// allowWithdrawal withdraws a request when its context Withdraw ends, unless the head of its response has
// been read by then. The caller must call stop once it has.
func (c *ClientConn) allowWithdrawal(req *ClientRequest) (stop func()) {
	if req.Withdraw == nil {
		return func() {}
	}
	w := &c.withdrawal
	w.mu.Lock()
	w.request, w.sent = req, false
	w.mu.Unlock()
	cancel := context.AfterFunc(req.Withdraw, func() { c.withdraw(req) })
	return func() {
		cancel()
		w.mu.Lock()
		w.request = nil
		w.mu.Unlock()
	}
}

// withdraw withdraws a request, unless another one is on the connection by now.
func (c *ClientConn) withdraw(req *ClientRequest) {
	w := &c.withdrawal
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.request != req {
		return
	}
	w.requested = true
	c.unusable.Store(true)
	switch {
	case req.AwaitContinue && c.bodyResult == nil:
		w.effective = true
		_ = c.nc.SetReadDeadline(pastDeadline) // interrupts the read of the response
	case w.sent:
		c.closeWrite()
	}
}

// requestSent records that a request has been sent completely.
func (c *ClientConn) requestSent() {
	w := &c.withdrawal
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent = true
	if w.requested {
		c.closeWrite()
	}
}

// closeWrite closes the write side of the connection: the server learns that its client gives up, and
// its response says whether the request was executed.
func (c *ClientConn) closeWrite() {
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails only on a closed connection, which the read of the response reports
	}
}

// isWithdrawn reports whether the current request has failed because it was withdrawn.
func (c *ClientConn) isWithdrawn() bool {
	w := &c.withdrawal
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.effective
}

// startBody starts to send the body of a request, unless the request has been withdrawn.
func (c *ClientConn) startBody(req *ClientRequest) error {
	w := &c.withdrawal
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.effective {
		return ErrWithdrawn
	}
	c.sendBody(req)
	return nil
}
