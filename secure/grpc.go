package secure

import (
	"context"
	"slices"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
)

// methodRoles lists who may call each method; a prefix ending in "/" stands
// for all methods of a service. Methods that are not listed are refused.
var methodRoles = map[string][]Role{
	"/bilberrydeck.api.Control/Publish":        {RoleOperator},
	"/bilberrydeck.api.Control/ReplaceReplica": {RoleOperator},
	"/bilberrydeck.api.Control/Status":         {RoleOperator, RoleControl, RoleDaemon},
	"/bilberrydeck.api.Control/Claim":          {RoleDaemon, RoleControl},
	"/bilberrydeck.api.Control/FinishClaim":    {RoleDaemon, RoleControl},
	"/bilberrydeck.api.Control/ReleaseClaim":   {RoleDaemon, RoleControl},
	"/bilberrydeck.api.Replica/":               {RoleControl},
	"/bilberrydeck.api.Feed/":                  {RoleDaemon, RoleControl},
}

func allowedRoles(method string) []Role {
	if roles, ok := methodRoles[method]; ok {
		return roles
	}
	return methodRoles[method[:strings.LastIndex(method, "/")+1]]
}

// ServerCredentials returns the gRPC credentials of a listener; plain text
// without TLS. Roles are checked per method by ServerOptions.
func (c Config) ServerCredentials() (credentials.TransportCredentials, error) {
	if !c.Enabled() {
		return insecure.NewCredentials(), nil
	}
	cfg, err := c.Server(RoleDaemon, RoleControl, RoleOperator)
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(cfg), nil
}

// ClientCredentials returns the gRPC credentials of a client that accepts
// servers with one of the allowed roles; plain text without TLS.
func (c Config) ClientCredentials(allowed ...Role) (credentials.TransportCredentials, error) {
	if !c.Enabled() {
		return insecure.NewCredentials(), nil
	}
	cfg, err := c.Client(allowed...)
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(cfg), nil
}

// ServerOptions returns the gRPC server options for a listener: credentials
// and the role check of each method.
func (c Config) ServerOptions() ([]grpc.ServerOption, error) {
	creds, err := c.ServerCredentials()
	if err != nil {
		return nil, err
	}
	options := []grpc.ServerOption{grpc.Creds(creds)}
	if c.Enabled() {
		options = append(options, grpc.ChainUnaryInterceptor(checkUnary), grpc.ChainStreamInterceptor(checkStream))
	}
	return options, nil
}

func checkUnary(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := checkMethod(ctx, info.FullMethod); err != nil {
		return nil, err
	}
	return next(ctx, req)
}

func checkStream(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	if err := checkMethod(stream.Context(), info.FullMethod); err != nil {
		return err
	}
	return next(srv, stream)
}

func checkMethod(ctx context.Context, method string) error {
	id, _ := ContextIdentity(ctx)
	allowed := allowedRoles(method)
	if !slices.Contains(allowed, id.Role) {
		e := &RoleError{Have: id, Allowed: allowed}
		return status.Error(codes.PermissionDenied, e.Error())
	}
	return nil
}

// ContextIdentity returns the identity of the peer of a gRPC call. ok is false
// without TLS.
func ContextIdentity(ctx context.Context) (Identity, bool) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return Identity{}, false
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok {
		return Identity{}, false
	}
	return PeerIdentity(info.State)
}

// FeedIdentity returns the id that a feed subscriber has proved, for
// relay.Authorize: the id of a daemon's certificate, and nothing without TLS.
func FeedIdentity(ctx context.Context) (string, error) {
	id, ok := ContextIdentity(ctx)
	if !ok || id.Role != RoleDaemon {
		return "", nil
	}
	return id.ID, nil
}
