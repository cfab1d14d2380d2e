package controller

import (
	"net/http"

	"dunestand/internal/answer"
	"dunestand/internal/transport"
)

// The answers that several handlers give.

// noSuchJob is the response to a request for a job that does not exist.
func noSuchJob() transport.Response {
	return answer.ErrorResponse(http.StatusNotFound, "no such job")
}

// noLeader answers while nobody may answer for the fleet here.
func noLeader() answer.Answer { return answer.Unavailable("no leader") }

// beingAccepted answers for a job whose acceptance is not durable yet.
func beingAccepted() answer.Answer { return answer.Unavailable("the job is being accepted") }

// storeUnreachable answers when the key-value store could not be read.
func storeUnreachable() answer.Answer { return answer.Unavailable("state service is out of reach") }

// storeSlow answers when a write batch took longer than writeTimeout.
func storeSlow() answer.Answer { return answer.Unavailable("state service is slow") }

// recordUnreadable answers when a job's record cannot be parsed.
func recordUnreadable() answer.Answer { return answer.Unavailable("the job's record is not readable") }
