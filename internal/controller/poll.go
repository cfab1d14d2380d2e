package controller

import (
	"context"
	"net/http"

	"dunestand/internal/answer"
)

// canAnswer reports whether this leader may answer requests: its records are restored and its
// lease is valid. The caller must hold the state lock.
func (l *Leader) canAnswer() bool { return l.state.Restored && l.leadership.Valid() }

// jobAnswer returns the state of a stored job with the given HTTP status, or an answer with the
// reason for which it cannot be given. It returns false if memory holds no stored job with that
// ID. The caller must hold the state lock.
func (l *Leader) jobAnswer(id string, status int) (answer.Answer, bool) {
	readAt := l.Clock.Steady()
	if !l.canAnswer() {
		return noLeader(), true
	}
	if record, cached := l.terminals.Cached(id); cached {
		return answer.Terminal(id, record), true
	}
	job := l.state.Jobs[id]
	switch {
	case job == nil || !job.Accepted():
		return answer.Answer{}, false
	case job.EndInFlight():
		return answer.Unavailable("the job's end is being stored"), true // other controllers may already answer with the terminal state
	}
	return answer.LiveJob(status, job, l.Settings.Fleet.Workers, readAt), true
}

// Poll answers with a job's state: from memory, from the record of its terminal state, or from
// the pending-submission queue after ingesting the job.
func (l *Leader) Poll(ctx context.Context, id string) answer.Answer {
	receivedAt := l.Clock.Steady()
	if a, known := l.pollLive(id); known {
		return a
	}
	record, found, err := l.terminals.Lookup(ctx, id)
	if err != nil {
		return storeUnreachable()
	}
	if found {
		l.state.Lock()
		defer l.state.Unlock()
		if !l.canAnswer() {
			return noLeader()
		}
		return answer.Terminal(id, record)
	}
	if err := l.ingester.IngestOne(ctx, id); err != nil {
		return storeUnreachable()
	}
	// The job may have been submitted during the reads above, or just have been ingested.
	if a, known := l.pollLive(id); known {
		return a
	}
	return answer.Provisional(noSuchJob(), receivedAt)
}

// pollLive answers with a job's state from memory. It returns false if memory does not hold the
// job.
func (l *Leader) pollLive(id string) (answer.Answer, bool) {
	l.state.Lock()
	defer l.state.Unlock()
	if a, known := l.jobAnswer(id, http.StatusOK); known {
		return a, true
	}
	if l.state.Jobs[id] != nil {
		return beingAccepted(), true
	}
	return answer.Answer{}, false
}
