package daemon

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// errorBody is the body of an answer that a daemon wrote itself.
type errorBody struct {
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	Message   string `json:"message"`
	RequestID string `json:"request_id,omitempty"`
}

// defaultRetryAfter is sent when the refusing part gave no time.
const defaultRetryAfter = time.Second

// errorResponse is a failure with what a receiver is told about it.
type errorResponse struct {
	failure    *chain.Failure
	requestID  string
	retryAfter time.Duration
}

// write sends the refusal. Headers that the caller has set are kept.
func (f errorResponse) write(w http.ResponseWriter) {
	body, err := json.Marshal(errorBody{
		Outcome:   f.failure.Outcome.String(),
		Reason:    string(f.failure.Reason),
		Message:   f.failure.Message,
		RequestID: f.requestID,
	})
	if err != nil {
		body = nil // strings always marshal
	}
	h := w.Header()
	h["Content-Type"] = []string{"application/json"}
	setOutcome(h, f.failure.Outcome, f.failure.Reason)
	if f.requestID != "" {
		h[headerRequestID] = []string{f.requestID}
	}
	if f.failure.RetryableByCaller() {
		h["Retry-After"] = []string{retryAfterSeconds(f.retryAfter)}
	}
	setLength(h, int64(len(body)))
	w.WriteHeader(f.failure.HTTPStatus())
	_, _ = w.Write(body) // the receiver has left if this fails
}

// retryAfterSeconds rounds up: the header has whole seconds.
func retryAfterSeconds(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

func parseRetryAfter(value string) time.Duration {
	n, err := strconv.ParseUint(value, 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Second
}

// setOutcome reuses the value slices, which nothing changes.
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

// parseErrorResponse rebuilds the failure of an answer that another daemon wrote.
func parseErrorResponse(a *response) *chain.Failure {
	outcome, ok := chain.ParseOutcome(a.header.Get(headerOutcome))
	if !ok {
		outcome = chain.Unknown
	}
	var b errorBody
	_ = json.Unmarshal(a.buffered, &b) // a refusal without a readable body has no message
	f := chain.NewFailure(outcome, chain.Reason(a.header.Get(headerReason)), b.Message)
	f.FromDependency = a.header.Get(headerPeerDependency) != ""
	return f
}
