package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/logging"
)

// TestListenersOfAReplicaAreReleased guards a control process whose replica starts anew
// in it: the addresses of the former one are free by then.
func TestListenersOfAReplicaAreReleased(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	for range 200 {
		var parts sync.WaitGroup
		ctx, end := context.WithCancel(context.Background())
		require.NoError(t, serveHTTP(ctx, &parts, address, http.NotFoundHandler(), logging.New(io.Discard)))
		end()
		parts.Wait()
	}
}
