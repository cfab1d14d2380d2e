package controller

import (
	"net/http"

	"dunestand/internal/answer"
	"dunestand/internal/transport"
)

// Answers shared by several handlers.

// noSuchJob is the response to a request for a job that does not exist.
func noSuchJob() transport.Response {
	return answer.ErrorResponse(http.StatusNotFound, "no such job")
}

// noLeader is the answer when no leader is available to decide on a request.
func noLeader() answer.Answer { return answer.Unavailable("no leader") }

// beingAccepted is the answer for a job whose acceptance is not durable yet.
func beingAccepted() answer.Answer { return answer.Unavailable("the job is being accepted") }

// storeUnreachable is the answer when the key-value store could not be read.
func storeUnreachable() answer.Answer { return answer.Unavailable("state service is out of reach") }

// storeSlow is the answer when a write batch took longer than writeTimeout.
func storeSlow() answer.Answer { return answer.Unavailable("state service is slow") }

// recordUnreadable is the answer when a job's record cannot be parsed.
func recordUnreadable() answer.Answer { return answer.Unavailable("the job's record is not readable") }
