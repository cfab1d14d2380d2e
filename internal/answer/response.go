package answer

import (
	"net/http"

	"dunestand/internal/protocol"
	"dunestand/internal/transport"
)

// retryAfterSeconds is the delay after which a user is asked to retry a request.
const retryAfterSeconds = 1

// ErrorResponse returns a response that rejects a request for the given reason, which is one line. It
// sets RetryAfter if the status is 503 or 429, since the request may then succeed later.
func ErrorResponse(status int, reason string) transport.Response {
	r := transport.Response{Status: status, Body: protocol.Encode(protocol.ErrorResponse{Message: reason})}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		r.RetryAfter = retryAfterSeconds
	}
	return r
}

// StateResponse returns a response with the state of a job.
func StateResponse(status int, state protocol.JobState) transport.Response {
	return transport.Response{Status: status, Body: protocol.Encode(state)}
}
