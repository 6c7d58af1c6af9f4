package process

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/internal/freeport"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// TestHTTPListenersAreReleased guards against a control process that restarts its replica while
// the listeners of the former replica are still open: the addresses would be in use.
func TestHTTPListenersAreReleased(t *testing.T) {
	address := freeport.Address(t)
	for range 200 {
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(context.Background())
		require.NoError(t, serveHTTP(ctx, &wg, address, http.NotFoundHandler(), nil, logging.New(io.Discard)))
		cancel()
		wg.Wait()
	}
}
