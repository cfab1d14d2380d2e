package controller

import (
	"context"
	"net/http"

	"dunestand/internal/answer"
)

// canAnswer reports whether this controller may answer for the fleet. It needs the lock of state
// held.
func (l *Leader) canAnswer() bool { return l.state.Restored && l.leadership.Valid() }

// jobAnswer returns the state of a job that is stored, with the given HTTP status, or the
// reason why none may be given; false if this leader's memory holds no such job. It needs
// the lock of state held.
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
		return answer.Unavailable("the job's end is being stored"), true // others may answer with it already
	}
	return answer.LiveJob(status, job, l.Settings.Fleet.Workers, readAt), true
}

// Poll answers with a job's state: from memory, from the record of its terminal state, or
// once it is ingested from the pending-submission queue.
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
	// It may have been submitted while the key-value store was asked, or just
	// have been ingested.
	if a, known := l.pollLive(id); known {
		return a
	}
	return answer.Provisional(noSuchJob(), receivedAt)
}

// pollLive answers with a job's state from memory; false if it is not known there.
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
