// Package forward is the transparent request path of a fleet: a daemon takes
// plain HTTP/1.1 requests at its entrance, finds their route by host and path,
// chooses an upstream and hands the request to the daemon beside it, whose gate
// admits, queues or refuses it. Neither callers nor upstreams need to know of
// the daemons.
package forward

import (
	"io"
	"time"

	"github.com/bilberrydeck/bilberrydeck/logging"
)

// HeaderNames names the headers in which callers and upstreams put what the request
// path needs to know. The adapter of a platform fills it in, in canonical form.
type HeaderNames struct {
	RequestID   string // id of one attempt of a client; upstreams echo it
	Deadline    string // milliseconds that the sender of a request will wait
	NotExecuted string // set by an upstream that did not run the request
	UpstreamID  string // id of the upstream that alone may run the request
	ResponderID string // id of the upstream, in its answers to misdirected requests and health checks
	Caller      string // service of the VM at which the request began
}

// RetryBudgetConfig bound the repeats towards one service, summed over all daemons.
type RetryBudgetConfig struct {
	Ratio      float64       // repeats for each request
	MinRetries float64       // repeats in a window regardless of the requests
	Window     time.Duration // length of the sliding window
}

// Config holds the settings of a Forwarder.
type Config struct {
	IngressAddress   string // callers and the local upstream send their requests here
	PeerAddress      string // other daemons send requests for the local upstream here
	UpstreamAddress  string // the local upstream listens here
	Service          string // service of the local upstream
	Region           string
	AvailabilityZone string
	HeaderNames      HeaderNames
	RetryBudget      RetryBudgetConfig
	// ShutdownGracePeriod is the time from the order to stop after which the process is
	// killed.
	ShutdownGracePeriod time.Duration

	// ResolvePeer tells where the advertised address of a peer is reached; nil means at
	// that address.
	ResolvePeer func(advertised string) string
	Now         func() time.Time // a steady clock; nil means time.Now
	Seed        uint64
	Logger      *logging.Logger // nil discards all lines
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.ResolvePeer == nil {
		c.ResolvePeer = func(advertised string) string { return advertised }
	}
	if c.Logger == nil {
		c.Logger = logging.New(io.Discard)
	}
	return c
}

// Limits of the request path.
const (
	// wholeBody is the size up to which a body is held in memory. Such a request
	// can be sent again, and such an answer is checked for completeness before
	// any of it is passed on.
	wholeBody = 1 << 20
	// defaultWait bounds a request whose route and client name no time.
	defaultWait = 60 * time.Second
	// maxWait bounds the time that a client may ask for.
	maxWait = 10 * time.Minute
	// answerMargin is how long the entrance waits past the time limit of a
	// request for the answer that the upstream gives at that limit.
	answerMargin = 80 * time.Millisecond
	// lastSend is the least time left with which a request is still sent.
	lastSend = 20 * time.Millisecond
	// maxTries bounds the upstreams that are asked for one request, those that
	// refuse before it runs included.
	maxTries = 4
	// defaultAttempts is the number of upstreams that may get a request whose
	// route names none.
	defaultAttempts = 2
	// peerConnectTimeout covers a connection across regions with one lost packet
	// only if the kernel resends it soon; a dead VM must not hold up a request.
	peerConnectTimeout = 400 * time.Millisecond
	// localConnectTimeout bounds a connection to the upstream on the same VM.
	localConnectTimeout = 500 * time.Millisecond
	// peerIdle is how long a connection between daemons is kept without use.
	peerIdle = 30 * time.Second
	// safeIdle is how long a connection to an upstream may have been unused when
	// it carries a request that must not be repeated: an upstream that closes an
	// idle connection at that moment leaves open whether it ran.
	safeIdle = 3 * time.Second
	// linkBytesPerSecond is the budget for each link to another region.
	linkBytesPerSecond = 4 << 20
	// slowStart is the time over which a new upstream gets its full share.
	slowStart = 4 * time.Second
)
