package controller

import (
	"context"
	"net/http"

	"dunestand/internal/answer"
)

// Poll tells a job's state.
func (l *Leader) Poll(ctx context.Context, id string) answer.Answer {
	began := l.Clock.Steady()
	if r, ok := l.pollLive(id); ok {
		return r
	}
	f, ok, err := l.terminals.TerminalJob(ctx, id)
	if err != nil {
		return answer.Unavailable("state service is out of reach")
	}
	if ok {
		l.state.Lock()
		defer l.state.Unlock()
		if !l.canAnswer() {
			return answer.Unavailable("no leader")
		}
		return answer.Terminal(id, f)
	}
	if err := l.ingester.IngestOne(ctx, id); err != nil {
		return answer.Unavailable("state service is out of reach")
	}
	// It may have been submitted while the state service was asked, or just
	// have been taken in.
	if r, ok := l.pollLive(id); ok {
		return r
	}
	return answer.Provisional(answer.ErrorResponse(http.StatusNotFound, "no such job"), began)
}

// pollLive tells a job's state from memory, if the job is known there.
func (l *Leader) pollLive(id string) (answer.Answer, bool) {
	l.state.Lock()
	defer l.state.Unlock()
	if a, known := l.jobAnswer(id, http.StatusOK); known {
		return a, true
	}
	if l.state.Jobs[id] != nil {
		return answer.Unavailable("the job is being accepted"), true
	}
	return answer.Answer{}, false
}

// LiveJob tells the state of a job that is stored, under the lock, or why none may be
// told; false: nothing is known of such a job here.
func (l *Leader) jobAnswer(id string, status int) (answer.Answer, bool) {
	readAt := l.Clock.Steady()
	if !l.canAnswer() {
		return answer.Unavailable("no leader"), true
	}
	if f, over := l.terminals.Cached(id); over {
		return answer.Terminal(id, f), true
	}
	j := l.state.Jobs[id]
	switch {
	case j == nil || !j.Accepted():
		return answer.Answer{}, false
	case j.EndInFlight():
		return answer.Unavailable("the job's end is being stored"), true // others may tell of it
	}
	return answer.LiveJob(status, j, l.Settings.Fleet.Workers, readAt), true
}

// canAnswer tells, under the lock, whether this node may speak for the service.
func (l *Leader) canAnswer() bool { return l.state.Restored && l.leadership.Valid() }
