package chain

// Allowance is the number of retries that a request may still cause at this
// hop and below it. A call takes a share along and returns what it did not
// use. A share that is not returned is lost, so the sum over all hops never
// grows: the retries of a whole chain stay within the allowance that the
// entrance gave. An Allowance is not safe for concurrent use.
type Allowance struct {
	left int
}

// NewAllowance gives a request n retries.
func NewAllowance(n int) *Allowance { return &Allowance{left: max(n, 0)} }

// Left is the number of retries that are neither spent nor lent.
func (a *Allowance) Left() int { return a.left }

// Spend takes one retry for this hop itself.
func (a *Allowance) Spend() bool {
	if a.left == 0 {
		return false
	}
	a.left--
	return true
}

// Lend takes the share that a call carries further down: half of what is left,
// rounded up, so that calls made in parallel all get some of it.
func (a *Allowance) Lend() int {
	share := (a.left + 1) / 2
	a.left -= share
	return share
}

// Return gives back the unused part of a share of the given size. A claim of
// more than the share is cut to it, so a faulty answer cannot raise the bound.
func (a *Allowance) Return(share, unused int) {
	a.left += min(max(unused, 0), share)
}
