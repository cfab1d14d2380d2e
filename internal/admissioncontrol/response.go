package admissioncontrol

import (
	"net/http"

	"dunestand/internal/admission"
	"dunestand/internal/answer"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// WaitingAnswer returns the answer to a submission that is not admitted now. It contains the reason
// and the time after which to retry.
func WaitingAnswer(d admission.Decision) answer.Answer {
	r := answer.ErrorResponse(http.StatusTooManyRequests, d.Reason.String())
	r.Body = protocol.Encode(protocol.ErrorResponse{Message: d.Reason.String(), PlanVersion: d.PlanVersion})
	r.RetryAfter = int((d.RetryAfter + units.Second - 1) / units.Second) // whole seconds, rounded up
	return answer.WithoutEvidence(r)
}
