package forward

import (
	"net/http"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/routing"
	"github.com/bilberrydeck/bilberrydeck/httpwire"
)

// peerLimits returns the limits for requests of other daemons. They only have to exceed the
// configured request limits, which the ingress listener has applied before.
func peerLimits() routing.RequestLimits {
	return routing.RequestLimits{HeaderBytes: 256 << 10, BodyBytes: 1 << 30, IdleTimeout: 2 * peerIdleTimeout}
}

// servePeer executes a call of another daemon at the local upstream.
func (f *Forwarder) servePeer(x *httpwire.ServerExchange) {
	f.metrics.peerRequests.Inc()
	c := &call{
		id: x.Request.Header.Get(f.cfg.HeaderNames.RequestID), method: x.Request.Method, target: x.Request.RequestURI,
		host: x.Request.Host, header: x.Request.Header, holder: x.Holder(),
	}
	defer func() { c.buffer.giveBack() }() // the buffer is read later
	if !parseCall(x.Request.Header.Get(headerCall), f.cfg.Now(), c) {
		f.respondToPeer(x, rejected(chain.ReasonBadRequest, "the request has no valid Bilberry-Call header"))
		return
	}
	removeInternalHeaders(c.header)
	if x.Body != nil {
		c.stream, c.length, c.unread = x.Body, x.Body.Length, x.Body
	}
	r := f.local.admitAndExecute(x.Context(), c)
	f.respondToPeer(x, r)
}

// Values of headerDependency.
const (
	dependencyOverloaded = "no-room" // a downstream dependency was overloaded
	dependencyFailed     = "failed"
)

func dependencyCause(f *chain.Failure) string {
	if f.DependencyOverloaded {
		return dependencyOverloaded
	}
	return dependencyFailed
}

// respondToPeer sends the result of a call to the daemon that forwarded it.
func (f *Forwarder) respondToPeer(x *httpwire.ServerExchange, r *result) {
	resp := &httpwire.ServerResponse{Status: http.StatusServiceUnavailable, Header: http.Header{}}
	if upstreamResp := r.response; upstreamResp != nil {
		resp = &httpwire.ServerResponse{Status: upstreamResp.status, Header: upstreamResp.header, Body: upstreamResp.body, Stream: upstreamResp.stream, Length: upstreamResp.length}
		if r.failure != nil && r.failure.FromDependency {
			resp.Header[headerDependency] = []string{dependencyCause(r.failure)}
		}
	} else {
		resp.Header[headerRejection] = []string{formatRejection(r)}
	}
	if r.loadReport != nil {
		resp.Header[headerLoadReport] = []string{r.loadReport.String()}
	}
	_ = x.Respond(resp) // on an error the other daemon has disconnected and treats the outcome as unknown
	r.response.close()
}
