package chain

// RetryAllowance is the number of retries that a request may still cause at this
// hop and below it. A call takes a share along and returns what it did not
// use. A share that is not returned is lost, so the sum over all hops never
// grows: the retries of a whole chain stay within the allowance that the
// entrance gave. A RetryAllowance is not safe for concurrent use.
type RetryAllowance struct {
	left int
}

// NewRetryAllowance gives a request n retries.
func NewRetryAllowance(n int) *RetryAllowance { return &RetryAllowance{left: max(n, 0)} }

// Remaining is the number of retries that are neither spent nor lent.
func (a *RetryAllowance) Remaining() int { return a.left }

// Consume takes one retry for this hop itself.
func (a *RetryAllowance) Consume() bool {
	if a.left == 0 {
		return false
	}
	a.left--
	return true
}

// Delegate takes the share that a call carries further down: half of what is left,
// rounded up, so that calls made in parallel all get some of it.
func (a *RetryAllowance) Delegate() int {
	share := (a.left + 1) / 2
	a.left -= share
	return share
}

// Reclaim gives back the unused part of a share of the given size. A claim of
// more than the share is cut to it, so a faulty answer cannot raise the bound.
func (a *RetryAllowance) Reclaim(share, unused int) {
	a.left += min(max(unused, 0), share)
}
