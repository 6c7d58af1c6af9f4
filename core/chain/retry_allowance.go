package chain

// RetryAllowance is the number of retries that a request may still cause at this hop and its
// dependencies. Each call gets a part of the allowance and returns what it did not use. A part
// that is not returned is lost, so the sum over all hops never grows: the retries of a whole call
// chain stay within the allowance that the ingress granted. A RetryAllowance is not safe for
// concurrent use.
type RetryAllowance struct {
	remaining int
}

// NewRetryAllowance returns an allowance of n retries.
func NewRetryAllowance(n int) *RetryAllowance { return &RetryAllowance{remaining: max(n, 0)} }

// Remaining returns the number of retries that are neither consumed nor delegated.
func (a *RetryAllowance) Remaining() int { return a.remaining }

// Consume takes one retry for this hop. It returns false if none remains.
func (a *RetryAllowance) Consume() bool {
	if a.remaining == 0 {
		return false
	}
	a.remaining--
	return true
}

// Delegate takes the part that a call carries to a dependency: half of the remaining retries,
// rounded up, so that concurrent calls all get a part.
func (a *RetryAllowance) Delegate() int {
	delegated := (a.remaining + 1) / 2
	a.remaining -= delegated
	return delegated
}

// Reclaim returns the unused retries of a delegated part to the allowance. They are capped at the
// size of that part, so a faulty response cannot raise the total.
func (a *RetryAllowance) Reclaim(delegated, unused int) {
	a.remaining += min(max(unused, 0), delegated)
}
