// Package client calls the control processes. It sends each request to the leader of its raft
// group and retries it until it receives a response. All requests are idempotent, so a retry
// never executes a command twice.
package client

import (
	"context"
	"crypto/tls"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// ShardOf returns the claim group of a key, from 1 to shards.
func ShardOf(key *api.ClaimKey, shards int) uint32 {
	d := xxhash.New()
	for _, part := range []string{key.GetService(), key.GetRoute(), key.GetKey()} {
		_, _ = d.WriteString(part) // a hash never fails to write
		_, _ = d.Write([]byte{0})
	}
	return uint32(d.Sum64()%uint64(shards)) + 1
}

// Config holds the settings of a client.
type Config struct {
	Addresses []string    // of control processes; further ones are taken from responses
	TLS       *tls.Config // nil for loopback addresses only
	// AttemptTimeout bounds one attempt; 0 means 2 s, which is longer than an
	// isolated leader takes to step down.
	AttemptTimeout time.Duration
	// RetryDelay is the delay before a retry without a new leader address; 0
	// means 50 ms.
	RetryDelay time.Duration
}

// Client calls the control processes. It is safe for concurrent use.
type Client struct {
	cfg Config

	mu        sync.Mutex
	addresses []string
	conns     map[string]*grpc.ClientConn
	leaders   map[uint32]string // address by group
	shards    int               // number of claim groups, 0 if not known yet
	next      int               // round-robin index into addresses
}

// New returns a client. It connects on the first call.
func New(cfg Config) *Client {
	if cfg.AttemptTimeout == 0 {
		cfg.AttemptTimeout = 2 * time.Second
	}
	if cfg.RetryDelay == 0 {
		cfg.RetryDelay = 50 * time.Millisecond
	}
	return &Client{
		cfg: cfg, addresses: slices.Clone(cfg.Addresses),
		conns: map[string]*grpc.ClientConn{}, leaders: map[uint32]string{},
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close() // all calls have ended or are abandoned
	}
	c.conns = map[string]*grpc.ClientConn{}
}

// Claim claims the right to execute the work of a key. A retry for the same claimant returns
// the same response.
func (c *Client) Claim(ctx context.Context, r *api.ClaimRequest) (*api.ClaimResponse, error) {
	var res *api.ClaimResponse
	err := c.call(ctx, c.claimGroup(r.Key), func(ctx context.Context, cc api.ControlClient) (err error) {
		res, err = cc.Claim(ctx, r)
		return err
	})
	return res, err
}

// Finish records the response of the work. It returns a *NotRecordedError if the claim is not
// held by the claimant.
func (c *Client) Finish(ctx context.Context, r *api.FinishClaimRequest) error {
	var res *api.FinishClaimResponse
	err := c.call(ctx, c.claimGroup(r.Key), func(ctx context.Context, cc api.ControlClient) (err error) {
		res, err = cc.FinishClaim(ctx, r)
		return err
	})
	if err == nil && !res.Recorded {
		return &NotRecordedError{Op: "finish", Key: r.Key}
	}
	return err
}

// Release releases a claim whose work was not executed. It returns a *NotRecordedError if the
// claim is not held by the claimant.
func (c *Client) Release(ctx context.Context, r *api.ReleaseClaimRequest) error {
	var res *api.ReleaseClaimResponse
	err := c.call(ctx, c.claimGroup(r.Key), func(ctx context.Context, cc api.ControlClient) (err error) {
		res, err = cc.ReleaseClaim(ctx, r)
		return err
	})
	if err == nil && !res.Released {
		return &NotRecordedError{Op: "release", Key: r.Key}
	}
	return err
}

// Publish proposes a change of the configuration. A retry with the same change id returns the
// first response.
func (c *Client) Publish(ctx context.Context, ch *api.Change) (*api.ChangeResult, error) {
	var res *api.ChangeResult
	err := c.call(ctx, configurationGroup, func(ctx context.Context, cc api.ControlClient) (err error) {
		res, err = cc.Publish(ctx, ch)
		return err
	})
	return res, err
}

// Status returns the status of the first process that responds.
func (c *Client) Status(ctx context.Context) (*api.StatusResponse, error) {
	var res *api.StatusResponse
	err := c.call(ctx, configurationGroup, func(ctx context.Context, cc api.ControlClient) (err error) {
		res, err = cc.Status(ctx, &api.StatusRequest{})
		return err
	})
	c.updateFromStatus(res)
	return res, err
}

// StatusOf returns the status of the process at an address, without retries.
func (c *Client) StatusOf(ctx context.Context, address string) (*api.StatusResponse, error) {
	conn, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	res, err := api.NewControlClient(conn).Status(ctx, &api.StatusRequest{})
	c.updateFromStatus(res)
	return res, err
}

// ReplaceReplica replaces a failed replica by a new one in all groups and returns when all of
// them have completed the replacement. It may be called again with the same request.
func (c *Client) ReplaceReplica(ctx context.Context, r *api.ReplaceReplicaRequest) (*api.ReplaceReplicaResponse, error) {
	var res *api.ReplaceReplicaResponse
	err := c.callWithRetry(ctx, configurationGroup, 0, func(ctx context.Context, cc api.ControlClient) (err error) {
		res, err = cc.ReplaceReplica(ctx, r)
		return err
	})
	return res, err
}

// Addresses returns the addresses of the known control processes.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.addresses)
}

// updateFromStatus records the addresses and the number of claim groups of a status.
func (c *Client) updateFromStatus(res *api.StatusResponse) {
	if res == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shards = len(res.Groups) - 1
	for _, g := range res.Groups {
		for _, r := range g.Replicas {
			c.addAddress(r.Address)
		}
	}
}

// addAddress adds the address of a control process if it is new.
func (c *Client) addAddress(address string) {
	if address != "" && !slices.Contains(c.addresses, address) {
		c.addresses = append(c.addresses, address)
	}
}

// conn returns the connection to an address and creates it if there is none.
func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	transport := insecure.NewCredentials()
	if c.cfg.TLS != nil {
		transport = credentials.NewTLS(c.cfg.TLS)
	}
	conn, err := grpc.NewClient(address,
		grpc.WithTransportCredentials(transport),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 3 * time.Second}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: time.Second,
		}),
	)
	if err == nil {
		c.conns[address] = conn
	}
	return conn, err
}

// rpcFunc performs one attempt of a call.
type rpcFunc func(ctx context.Context, cc api.ControlClient) error

// call calls the leader of a group with AttemptTimeout for each attempt.
func (c *Client) call(ctx context.Context, group groupFunc, f rpcFunc) error {
	return c.callWithRetry(ctx, group, c.cfg.AttemptTimeout, f)
}

// callWithRetry calls the leader until it responds or the context ends. With a timeout of 0 an
// attempt is bounded by the context alone.
func (c *Client) callWithRetry(ctx context.Context, group groupFunc, timeout time.Duration, f rpcFunc) error {
	unavailable := &UnavailableError{}
	for {
		address := c.target(group)
		err := c.attempt(ctx, address, timeout, f)
		if err == nil {
			c.recordLeader(group, address)
			return nil
		}
		if ctx.Err() == nil && !retryable(err) {
			return err
		}
		unavailable.record(err)
		wait := c.cfg.RetryDelay
		if c.updateLeader(group, address, err) {
			wait = 0
		}
		select {
		case <-ctx.Done():
			return unavailable
		case <-time.After(wait):
		}
	}
}

// attempt performs one attempt at an address.
func (c *Client) attempt(ctx context.Context, address string, timeout time.Duration, f rpcFunc) error {
	conn, err := c.conn(address)
	if err != nil {
		return status.Error(codes.Unavailable, err.Error())
	}
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	return f(ctx, api.NewControlClient(conn))
}

// retryable reports whether another attempt may succeed.
func retryable(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Aborted, codes.ResourceExhausted, codes.Canceled:
		return true
	case codes.FailedPrecondition:
		return notLeader(err) != nil
	}
	return false
}

// notLeader returns the NotLeader detail of an error, nil if it has none.
func notLeader(err error) *api.NotLeader {
	for _, d := range status.Convert(err).Details() {
		if n, ok := d.(*api.NotLeader); ok {
			return n
		}
	}
	return nil
}
