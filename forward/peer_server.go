package forward

import (
	"net/http"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/routing"
	"github.com/bilberrydeck/bilberrydeck/httpwire"
)

// peerLimits bound what other daemons send. The entrance has applied the limits
// of the configuration, so these only have to be above them.
func peerLimits() routing.RequestLimits {
	return routing.RequestLimits{HeaderBytes: 256 << 10, BodyBytes: 1 << 30, IdleTimeout: 2 * peerIdle}
}

// servePeer runs a call of another daemon at the local upstream.
func (f *Forwarder) servePeer(x *httpwire.ServerExchange) {
	f.metrics.peers.Inc()
	c := &call{
		id: x.Request.Header.Get(f.cfg.HeaderNames.RequestID), method: x.Request.Method, target: x.Request.RequestURI,
		host: x.Request.Host, header: httpwire.EndToEnd(x.Request.Header),
	}
	if !parseCall(x.Request.Header.Get(headerCall), f.cfg.Now(), c) {
		f.answerPeer(x, refused(chain.ReasonBadRequest, "not a call of a daemon"))
		return
	}
	stripOwn(c.header)
	if x.Body != nil {
		c.stream, c.length, c.awaited = x.Body, x.Body.Length, true
	}
	r := f.local.run(x.Context(), c)
	f.answerPeer(x, r)
}

// The values of headerDeep.
const (
	deepFull  = "no-room" // a service further down was too busy
	deepOther = "failed"
)

func deepCause(f *chain.Failure) string {
	if f.DependencyOverloaded {
		return deepFull
	}
	return deepOther
}

// answerPeer returns the result of a call.
func (f *Forwarder) answerPeer(x *httpwire.ServerExchange, r *result) {
	resp := &httpwire.ServerResponse{Status: http.StatusServiceUnavailable, Header: http.Header{}}
	if a := r.answer; a != nil {
		resp = &httpwire.ServerResponse{Status: a.status, Header: a.header, Body: a.body, Stream: a.stream, Length: a.length}
		if r.failure != nil && r.failure.FromDependency {
			resp.Header[headerDeep] = []string{deepCause(r.failure)}
		}
	} else {
		resp.Header[headerRefusal] = []string{formatRefusal(r)}
	}
	if r.report != nil {
		resp.Header[headerReport] = []string{r.report.String()}
	}
	_ = x.Respond(resp) // the other daemon has left if this fails, and knows no outcome
	r.answer.close()
}
