package daemon

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/declaration"
)

var benchBody = strings.Repeat("x", 1<<10)

// echoHandler reads the request body and responds with 1 KiB.
func echoHandler(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, benchBody)
}

// BenchmarkCall measures the latency of a call with 1 KiB bodies, sent directly to a handler and
// through two daemons. The difference is the latency that the daemons add.
func BenchmarkCall(b *testing.B) {
	TuneMemory()
	upstream := httptest.NewServer(http.HandlerFunc(echoHandler))
	defer upstream.Close()
	back := startNode(b, nodeConfig("back-1", "back"), http.HandlerFunc(echoHandler))
	edge := startNode(b, nodeConfig("edge-1", ""), nil)
	applySnapshot(b, []declaration.Service{testService("back", testRoute("x", "POST", "/x", true))}, back, edge)
	waitServing(b, back, edge)
	b.Run("direct", func(b *testing.B) { measureCalls(b, newTransport(nil, 8), upstream.URL+"/x") })
	b.Run("daemons", func(b *testing.B) {
		measureCalls(b, newTransport(nil, 8), "http://"+edge.d.ListenAddresses().Ingress+"/back/x")
	})
}

func measureCalls(b *testing.B, transport http.RoundTripper, url string) {
	b.ReportAllocs()
	measureLatency(b, func() error {
		r, err := http.NewRequest("POST", url, strings.NewReader(benchBody))
		if err != nil {
			return err
		}
		return roundTripOnce(b, transport, r)
	})
}

func roundTripOnce(b *testing.B, transport http.RoundTripper, r *http.Request) error {
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	require.EqualValues(b, len(benchBody), n)
	_ = resp.Body.Close()
	return err
}

// measureLatency reports the 50th and 99th percentile of the latency of call, in addition to the
// mean.
func measureLatency(b *testing.B, call func() error) {
	for range 200 {
		require.NoError(b, call())
	}
	times := make([]time.Duration, 0, b.N)
	for b.Loop() {
		start := time.Now()
		if err := call(); err != nil {
			b.Fatal(err)
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
}

// BenchmarkPeerHop compares one hop with 1 KiB bodies over HTTP/1.1, over unencrypted HTTP/2 and as
// a unary gRPC call.
func BenchmarkPeerHop(b *testing.B) {
	b.Run("http1", func(b *testing.B) {
		server := httptest.NewServer(http.HandlerFunc(echoHandler))
		defer server.Close()
		measureCalls(b, newTransport(nil, 8), server.URL)
	})
	b.Run("http2", benchmarkHTTP2)
	b.Run("grpc", benchmarkGRPC)
}

func benchmarkHTTP2(b *testing.B) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(echoHandler))
	server.Config = newServer(http.HandlerFunc(echoHandler), nil, true)
	server.Start()
	defer server.Close()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	measureCalls(b, &http.Transport{Protocols: protocols}, server.URL)
}

// claimServer responds to each claim with a stored body. Claim is the only unary RPC of the project
// that has a body in both directions.
type claimServer struct {
	api.UnimplementedControlServer
}

func (claimServer) Claim(context.Context, *api.ClaimRequest) (*api.ClaimResponse, error) {
	return &api.ClaimResponse{Answer: &api.StoredAnswer{Body: []byte(benchBody)}}, nil
}

func benchmarkGRPC(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := grpc.NewServer()
	api.RegisterControlServer(server, claimServer{})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(b, err)
	defer conn.Close()
	client := api.NewControlClient(conn)
	b.ReportAllocs()
	request := &api.ClaimRequest{Fingerprint: bytes.Repeat([]byte("x"), 1<<10)}
	measureLatency(b, func() error {
		_, err := client.Claim(context.Background(), request)
		return err
	})
}
