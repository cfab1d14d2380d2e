package admissioncontrol

import (
	"net/http"

	"dunestand/internal/admission"
	"dunestand/internal/answer"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// WaitingAnswer returns the answer that tells a user that a job is not accepted now, and when to
// come back.
func WaitingAnswer(d admission.Decision) answer.Answer {
	r := answer.ErrorResponse(http.StatusTooManyRequests, d.Reason.String())
	r.Body = protocol.Encode(protocol.ErrorResponse{Message: d.Reason.String(), PlanVersion: d.PlanVersion})
	r.RetryAfter = int((d.RetryAfter + units.Second - 1) / units.Second) // whole seconds, rounded up
	return answer.WithoutEvidence(r)
}
