package answer

import (
	"net/http"

	"dunestand/internal/protocol"
	"dunestand/internal/transport"
)

// retryAfterSeconds is when a user is told to come back.
const retryAfterSeconds = 1

// ErrorResponse returns the response that refuses a request, with the reason in one line. Where
// the request may succeed later it says when to come back.
func ErrorResponse(status int, why string) transport.Response {
	r := transport.Response{Status: status, Body: protocol.Encode(protocol.ErrorResponse{Message: why})}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		r.RetryAfter = retryAfterSeconds
	}
	return r
}

// StateResponse returns the response that shows a job's state.
func StateResponse(status int, state protocol.JobState) transport.Response {
	return transport.Response{Status: status, Body: protocol.Encode(state)}
}
