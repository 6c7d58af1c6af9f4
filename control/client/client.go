// Package client calls the control processes: it finds the leader of the group
// concerned and resends what was not answered. All its calls may be repeated
// with the same content, so a resend never executes twice.
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
	Addresses []string    // control processes; others are learned from answers
	TLS       *tls.Config // nil for loopback only
	// AttemptTimeout bounds one attempt; 0 means 2 s, above the time in which
	// an isolated leader steps down.
	AttemptTimeout time.Duration
	// RetryDelay is the pause before an attempt that has no new hint; 0 means
	// 50 ms.
	RetryDelay time.Duration
}

// Client is safe for concurrent use.
type Client struct {
	cfg Config

	mu        sync.Mutex
	addresses []string
	conns     map[string]*grpc.ClientConn
	leaders   map[uint32]string // address by group
	shards    int               // 0 if not known yet
	next      int
}

// New returns a client. It connects when first used.
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
		_ = conn.Close() // nothing is left to send
	}
	c.conns = map[string]*grpc.ClientConn{}
}

// Claim asks for the grant to run the work of a key. A resend for the same
// claimant gets the same answer.
func (c *Client) Claim(ctx context.Context, r *api.ClaimRequest) (*api.ClaimResponse, error) {
	var res *api.ClaimResponse
	err := c.call(ctx, c.claimGroup(r.Key), func(ctx context.Context, cc api.ControlClient) (err error) {
		res, err = cc.Claim(ctx, r)
		return err
	})
	return res, err
}

// Finish records the answer of the work. It returns a *NotRecordedError if the
// claim is not held by the claimant.
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

// Release withdraws a claim whose work did not run. It returns a
// *NotRecordedError if the claim is not held by the claimant.
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

// Publish proposes a change. A resend with the same change id gets the first
// answer.
func (c *Client) Publish(ctx context.Context, ch *api.Change) (*api.ChangeResult, error) {
	var res *api.ChangeResult
	err := c.call(ctx, configurationGroup, func(ctx context.Context, cc api.ControlClient) (err error) {
		res, err = cc.Publish(ctx, ch)
		return err
	})
	return res, err
}

// Status returns the status of the first process that answers.
func (c *Client) Status(ctx context.Context) (*api.StatusResponse, error) {
	var res *api.StatusResponse
	err := c.call(ctx, configurationGroup, func(ctx context.Context, cc api.ControlClient) (err error) {
		res, err = cc.Status(ctx, &api.StatusRequest{})
		return err
	})
	c.learn(res)
	return res, err
}

// StatusOf returns the status of the process at an address, in one attempt.
func (c *Client) StatusOf(ctx context.Context, address string) (*api.StatusResponse, error) {
	conn, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	res, err := api.NewControlClient(conn).Status(ctx, &api.StatusRequest{})
	c.learn(res)
	return res, err
}

// ReplaceReplica swaps a lost replica for a new one in all groups and returns
// when that is complete. It may be repeated.
func (c *Client) ReplaceReplica(ctx context.Context, r *api.ReplaceReplicaRequest) (*api.ReplaceReplicaResponse, error) {
	var res *api.ReplaceReplicaResponse
	err := c.attempts(ctx, configurationGroup, 0, func(ctx context.Context, cc api.ControlClient) (err error) {
		res, err = cc.ReplaceReplica(ctx, r)
		return err
	})
	return res, err
}

// Addresses returns the known control processes.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.addresses)
}

// learn takes addresses and the number of claim groups from a status.
func (c *Client) learn(res *api.StatusResponse) {
	if res == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shards = len(res.Groups) - 1
	for _, g := range res.Groups {
		for _, r := range g.Replicas {
			c.learnAddress(r.Address)
		}
	}
}

func (c *Client) learnAddress(address string) {
	if address != "" && !slices.Contains(c.addresses, address) {
		c.addresses = append(c.addresses, address)
	}
}

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

type request func(ctx context.Context, cc api.ControlClient) error

func (c *Client) call(ctx context.Context, group groupOf, f request) error {
	return c.attempts(ctx, group, c.cfg.AttemptTimeout, f)
}

// attempts calls the leader until it answers or the context ends. A timeout of
// 0 bounds an attempt by the context alone.
func (c *Client) attempts(ctx context.Context, group groupOf, timeout time.Duration, f request) error {
	unavailable := &UnavailableError{}
	for {
		address := c.target(group)
		err := c.attempt(ctx, address, timeout, f)
		if err == nil {
			c.answered(group, address)
			return nil
		}
		if ctx.Err() == nil && !resend(err) {
			return err
		}
		unavailable.add(err)
		wait := c.cfg.RetryDelay
		if c.redirect(group, address, err) {
			wait = 0
		}
		select {
		case <-ctx.Done():
			return unavailable
		case <-time.After(wait):
		}
	}
}

func (c *Client) attempt(ctx context.Context, address string, timeout time.Duration, f request) error {
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

// resend reports whether another attempt may succeed.
func resend(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Aborted, codes.ResourceExhausted, codes.Canceled:
		return true
	case codes.FailedPrecondition:
		return notLeader(err) != nil
	}
	return false
}

func notLeader(err error) *api.NotLeader {
	for _, d := range status.Convert(err).Details() {
		if n, ok := d.(*api.NotLeader); ok {
			return n
		}
	}
	return nil
}
