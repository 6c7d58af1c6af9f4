package secure

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/relay"
)

// emptySource is a relay.Source without a configuration.
type emptySource struct{}

func (emptySource) Version() uint64                             { return 0 }
func (emptySource) ChangesSince(uint64) *api.ConfigDelta        { return &api.ConfigDelta{} }
func (emptySource) Changed() <-chan struct{}                    { return nil }
func (emptySource) Confirmation() (uint64, time.Duration, bool) { return 0, 0, false }

// TestFeedIdentity guards against a daemon that subscribes or announces itself with the id
// of another one, and against operators that subscribe.
func TestFeedIdentity(t *testing.T) {
	ca := newAuthority(t)
	options, err := ca.issue(t, "server", "bilberrydeck://control/1").ServerOptions()
	require.NoError(t, err)
	c := relay.NewControlServer(relay.ControlConfig{Name: "control-1", Source: emptySource{}, Authorize: FeedIdentity})
	go c.Run(t.Context())
	server := grpc.NewServer(append(options, relay.ServerOptions()...)...)
	api.RegisterFeedServer(server, c)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)

	for name, test := range map[string]struct {
		uri                   string
		subscriber, announced string
		want                  codes.Code
	}{
		"own id":            {"bilberrydeck://daemon/d1", "d1", "d1", codes.OK},
		"other subscriber":  {"bilberrydeck://daemon/d1", "d2", "d1", codes.PermissionDenied},
		"other announced":   {"bilberrydeck://daemon/d1", "d1", "d2", codes.PermissionDenied},
		"empty subscriber":  {"bilberrydeck://daemon/d1", "", "d1", codes.InvalidArgument},
		"operator":          {"bilberrydeck://operator/ann", "ann", "ann", codes.PermissionDenied},
		"control as a peer": {"bilberrydeck://control/2", "c2", "", codes.OK},
	} {
		t.Run(name, func(t *testing.T) {
			creds, err := ca.issue(t, "client", test.uri).ClientCredentials(RoleControl)
			require.NoError(t, err)
			conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(creds))
			require.NoError(t, err)
			defer conn.Close()
			stream, err := api.NewFeedClient(conn).Sync(t.Context())
			require.NoError(t, err)
			request := &api.SyncRequest{Subscriber: test.subscriber, Sequence: 1, Initial: true}
			if test.announced != "" {
				request.Announcement = &api.Announcement{Id: test.announced}
			}
			// A rejection may end the stream before the request is sent; Recv returns its
			// status.
			if err := stream.Send(request); !errors.Is(err, io.EOF) {
				require.NoError(t, err)
			}
			_, err = stream.Recv()
			require.Equal(t, test.want, status.Code(err), "%v", err)
		})
	}
}
