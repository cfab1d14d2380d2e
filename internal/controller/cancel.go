package controller

import (
	"context"

	"dunestand/internal/answer"
	"dunestand/internal/cluster"
)

// Cancel cancels a job and confirms it once the cancellation is durable. It waits for the write
// for writeTimeout at most.
func (l *Leader) Cancel(ctx context.Context, id string) answer.Answer {
	job, durable, answerNow := l.requestCancellation(id)
	if answerNow != nil {
		return answerNow(ctx)
	}
	if !awaitDurable(ctx, durable) {
		return storeSlow()
	}
	if !l.mayConfirmCancellation(job) {
		return answer.Unavailable("the cancellation is not stored yet, or tasks are still being stopped")
	}
	return l.Poll(ctx, id)
}

// requestCancellation marks a job as cancelled and returns the job with a channel that is
// closed once that is durable. If the request can be answered without waiting for that, it
// returns only answerNow, which returns the answer and must be called without the state lock.
func (l *Leader) requestCancellation(id string) (job *cluster.Job, durable <-chan struct{}, answerNow func(context.Context) answer.Answer) {
	l.state.Lock()
	defer l.state.Unlock()
	if !l.canAnswer() {
		return nil, nil, func(context.Context) answer.Answer { return noLeader() }
	}
	job = l.state.Jobs[id]
	switch {
	case job == nil:
		return nil, nil, func(ctx context.Context) answer.Answer { return l.cancelUnknown(ctx, id) }
	case !job.Accepted():
		return nil, nil, func(context.Context) answer.Answer { return beingAccepted() }
	case answer.MayConfirmCancellation(job, l.Settings.Fleet.Workers):
		return nil, nil, func(ctx context.Context) answer.Answer { return l.Poll(ctx, id) }
	}
	l.cancelJob(job)
	return job, job.Durable(), nil
}

// cancelUnknown answers the cancellation of a job that was not in memory: the job is in a
// terminal state, was never accepted, or was in the pending-submission queue, from which Poll
// ingests it.
func (l *Leader) cancelUnknown(ctx context.Context, id string) answer.Answer {
	a := l.Poll(ctx, id)
	if l.isLive(id) {
		return beingAccepted()
	}
	return a
}

// mayConfirmCancellation reports whether the answer to the user may confirm that a job is
// cancelled, or that it has reached a terminal state in the meantime.
func (l *Leader) mayConfirmCancellation(job *cluster.Job) bool {
	l.state.Lock()
	defer l.state.Unlock()
	_, terminal := l.terminals.Cached(job.Spec.ID)
	return terminal || answer.MayConfirmCancellation(job, l.Settings.Fleet.Workers)
}

// cancelJob marks a job as cancelled, requests the write, and requests a command push to each
// machine that may still start a task of it. It does nothing if all of the job's tasks are
// done: the job then counts as done, even if no answer to its user has reported this yet. The
// caller must hold the state lock.
func (l *Leader) cancelJob(job *cluster.Job) {
	if job.Complete() || job.Cancelled {
		return
	}
	now := l.Clock.Steady()
	job.Cancel(l.Clock.Wall(), now)
	l.Log.Info("job cancelled", "job", job.Spec.ID, "live", len(job.LiveAttempts))
	for attempt := range job.LiveAttempts.All() {
		if attempt.Stage == cluster.Sent || attempt.Stage == cluster.Fetching {
			l.pusher.RequestPush(attempt.Machine, nil, now) // otherwise the attempt may still start
		}
	}
	l.writeSignal.Raise()
}

// isLive reports whether a job is in memory.
func (l *Leader) isLive(id string) bool {
	l.state.Lock()
	defer l.state.Unlock()
	return l.state.Jobs[id] != nil
}
