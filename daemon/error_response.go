package daemon

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// errorBody is the JSON body of a response that a daemon generates.
type errorBody struct {
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	Message   string `json:"message"`
	RequestID string `json:"request_id,omitempty"`
}

// defaultRetryAfter is the Retry-After delay of rejections that state none.
const defaultRetryAfter = time.Second

// errorResponse is a response that the daemon generates for a failed or rejected request.
type errorResponse struct {
	failure    *chain.Failure
	requestID  string
	retryAfter time.Duration
}

// write sends the response. Headers that are already set on w are kept.
func (e errorResponse) write(w http.ResponseWriter) {
	body, err := json.Marshal(errorBody{
		Outcome:   e.failure.Outcome.String(),
		Reason:    string(e.failure.Reason),
		Message:   e.failure.Message,
		RequestID: e.requestID,
	})
	if err != nil {
		body = nil // not reached: strings always marshal
	}
	h := w.Header()
	h["Content-Type"] = []string{"application/json"}
	setOutcome(h, e.failure.Outcome, e.failure.Reason)
	if e.requestID != "" {
		h[headerRequestID] = []string{e.requestID}
	}
	if e.failure.RetryableByCaller() {
		h["Retry-After"] = []string{retryAfterSeconds(e.retryAfter)}
	}
	setLength(h, int64(len(body)))
	w.WriteHeader(e.failure.HTTPStatus())
	_, _ = w.Write(body) // an error means that the receiver has disconnected
}

// retryAfterSeconds formats a delay for Retry-After, rounded up to whole seconds.
func retryAfterSeconds(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// parseRetryAfter reads a Retry-After header. It returns 0 if the value is not a number of seconds.
func parseRetryAfter(value string) time.Duration {
	n, err := strconv.ParseUint(value, 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Second
}

// setOutcome sets the outcome and reason headers. The outcome values are shared and must not be
// modified.
func setOutcome(h http.Header, o chain.Outcome, r chain.Reason) {
	if int(o) < len(outcomeValues) {
		h[headerOutcome] = outcomeValues[o]
	}
	if r != chain.ReasonNone {
		h[headerReason] = []string{string(r)}
	}
}

var outcomeValues = [...][]string{
	{chain.OK.String()}, {chain.NotRun.String()}, {chain.Failed.String()}, {chain.Unknown.String()},
}

// parseErrorResponse reads the failure from a response of another daemon.
func parseErrorResponse(r *response) *chain.Failure {
	outcome, ok := chain.ParseOutcome(r.header.Get(headerOutcome))
	if !ok {
		outcome = chain.Unknown
	}
	var b errorBody
	_ = json.Unmarshal(r.buffered, &b) // without a valid body the message stays empty
	f := chain.NewFailure(outcome, chain.Reason(r.header.Get(headerReason)), b.Message)
	f.FromDependency = r.header.Get(headerPeerDependency) != ""
	return f
}
