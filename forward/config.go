// Package forward is the transparent request path of a fleet. A daemon accepts plain
// HTTP/1.1 requests at its ingress listener, finds the route by host and path, selects an
// upstream and forwards the request to the daemon on the VM of that upstream, whose
// admission controller admits, queues or rejects it. Neither clients nor upstreams need
// to be aware of the daemons.
package forward

import (
	"io"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/holding"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// HeaderNames are the headers by which clients and upstreams exchange metadata with the
// request path. The adapter of a platform provides them, in canonical form.
type HeaderNames struct {
	RequestID   string // id of one attempt of a client; upstreams echo it
	Deadline    string // client timeout in milliseconds
	NotExecuted string // set by an upstream that did not execute the request
	UpstreamID  string // id of the only upstream that may execute the request
	ResponderID string // id of the upstream, in responses to misdirected requests and health checks
	Caller      string // service of the VM on which the request was issued
}

// RetryBudgetConfig limits the retries towards one service, summed over all daemons.
type RetryBudgetConfig struct {
	Ratio      float64       // retries per request
	MinRetries float64       // retries per window that are allowed at any request rate
	Window     time.Duration // length of the sliding window
}

// Config holds the settings of a Forwarder.
type Config struct {
	IngressAddress   string // listens for requests of clients and of the local upstream
	PeerAddress      string // listens for requests that other daemons forward to the local upstream
	UpstreamAddress  string // address of the local upstream
	Service          string // service of the local upstream
	Region           string
	AvailabilityZone string
	HeaderNames      HeaderNames
	RetryBudget      RetryBudgetConfig
	// BufferBytes limits the memory for buffered bodies of responses; 0 means DefaultBufferBytes.
	BufferBytes int64
	// Held limits what the daemon holds for clients and other daemons; zero for no limits.
	Held holding.Limits
	// ShutdownGracePeriod is the time from SIGTERM after which the process is killed.
	ShutdownGracePeriod time.Duration

	// ResolvePeer maps the advertised address of a peer to the address to connect to. If it
	// is nil, the advertised address is used.
	ResolvePeer func(advertised string) string
	Now         func() time.Time // a monotonic clock; nil means time.Now
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
	if c.BufferBytes <= 0 {
		c.BufferBytes = DefaultBufferBytes
	}
	if c.Logger == nil {
		c.Logger = logging.New(io.Discard)
	}
	return c
}

// Limits of the request path.
const (
	// DefaultBufferBytes is the default of Config.BufferBytes.
	DefaultBufferBytes = 32 << 20
	// maxBufferedBody is the size in bytes up to which a body is buffered. A request with
	// such a body can be retried, and such a response is checked for completeness before any
	// of it is forwarded.
	maxBufferedBody = 1 << 20
	// defaultTimeout applies if neither the route nor the client sets a timeout.
	defaultTimeout = 60 * time.Second
	// maxClientTimeout limits the client timeout.
	maxClientTimeout = 10 * time.Minute
	// responseGraceTime is how long the ingress waits past the deadline of a request for a
	// response that the upstream sends at the deadline.
	responseGraceTime = 80 * time.Millisecond
	// minRemainingToSend is the minimum remaining time with which a request is still sent.
	minRemainingToSend = 20 * time.Millisecond
	// maxUpstreamsTried limits the upstreams tried for one request, including those that
	// reject it without execution.
	maxUpstreamsTried = 4
	// defaultMaxAttempts limits the delivered attempts of a request whose route sets no
	// maximum.
	defaultMaxAttempts = 2
	// peerConnectTimeout covers a connection across regions with one lost packet only if the
	// kernel retransmits it soon. It is short so that a dead VM does not delay a request.
	peerConnectTimeout = 400 * time.Millisecond
	// localConnectTimeout limits the time to connect to the upstream on the same VM.
	localConnectTimeout = 500 * time.Millisecond
	// peerIdleTimeout is how long an idle connection between daemons is kept.
	peerIdleTimeout = 30 * time.Second
	// nonIdempotentMaxIdle is the maximum idle time of a connection to an upstream that may
	// carry a non-idempotent request. If the upstream closes an idle connection while the
	// request is sent, it is unknown whether the request was executed.
	nonIdempotentMaxIdle = 3 * time.Second
	// uncheckedIdleTime is the idle time up to which a connection is used for an idempotent request
	// without a check whether it is still open. Upstreams that forget idle connections do so later.
	uncheckedIdleTime = 100 * time.Millisecond
	// linkBytesPerSecond is the budget of each link to another region.
	linkBytesPerSecond = 4 << 20
	// slowStart is the time over which a new upstream's weight rises to its full value.
	slowStart = 4 * time.Second
)
