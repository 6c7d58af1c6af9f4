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

// methodRoles maps each method to the roles that may call it. A key ending in "/"
// applies to all methods of a service. Calls of other methods are rejected.
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

// ServerCredentials returns the gRPC credentials of a listener, insecure ones without
// TLS. They accept all roles; the interceptors of ServerOptions check the role for each
// method.
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

// ClientCredentials returns the gRPC credentials of a client that accepts servers with
// one of the allowed roles, insecure ones without TLS.
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

// ServerOptions returns the gRPC server options of a listener: its credentials and, with
// TLS, interceptors that check the role of the caller for each method.
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

// checkMethod returns a PermissionDenied status if the role of the peer may not call the
// method.
func checkMethod(ctx context.Context, method string) error {
	id, _ := ContextIdentity(ctx)
	allowed := allowedRoles(method)
	if !slices.Contains(allowed, id.Role) {
		e := &RoleError{Have: id, Allowed: allowed}
		return status.Error(codes.PermissionDenied, e.Error())
	}
	return nil
}

// ContextIdentity returns the identity of the peer of a gRPC call. It returns false
// without TLS or without a valid identity.
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

// FeedIdentity implements relay.Authorize. It returns the id in the certificate of a
// daemon, and an empty id for other roles and without TLS.
func FeedIdentity(ctx context.Context) (string, error) {
	id, ok := ContextIdentity(ctx)
	if !ok || id.Role != RoleDaemon {
		return "", nil
	}
	return id.ID, nil
}
