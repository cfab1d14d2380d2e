package controller

import (
	"context"

	"dunestand/internal/answer"
	"dunestand/internal/cluster"
)

// Cancel cancels a job, durably, before it answers.
func (l *Leader) Cancel(ctx context.Context, id string) answer.Answer {
	job, durable, answerNow := l.requestCancellation(id)
	if answerNow != nil {
		return answerNow(ctx)
	}
	if !awaitDurable(ctx, durable) {
		return storeSlow()
	}
	if !l.cancellationConfirmed(job) {
		return answer.Unavailable("the cancellation is not stored yet, or tasks are still being stopped")
	}
	return l.Poll(ctx, id)
}

// requestCancellation marks a job as cancelled and returns it with what is closed once
// that is durable. If the request can be answered without that, it returns a function that does
// so; it must be called without the lock of state.
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
	case answer.CancellationConfirmed(job, l.Settings.Fleet.Workers):
		return nil, nil, func(ctx context.Context) answer.Answer { return l.Poll(ctx, id) }
	}
	l.cancelJob(job)
	return job, job.Durable(), nil
}

// cancelUnknown answers the cancellation of a job that was not in memory: it is in a terminal
// state, was never accepted, or was in the pending-submission queue until now.
func (l *Leader) cancelUnknown(ctx context.Context, id string) answer.Answer {
	a := l.Poll(ctx, id)
	if l.isLive(id) {
		return beingAccepted()
	}
	return a
}

// cancellationConfirmed reports whether the user may be told of a job's cancellation, or of
// the terminal state that it has reached meanwhile.
func (l *Leader) cancellationConfirmed(job *cluster.Job) bool {
	l.state.Lock()
	defer l.state.Unlock()
	_, terminal := l.terminals.Cached(job.Spec.ID)
	return terminal || answer.CancellationConfirmed(job, l.Settings.Fleet.Workers)
}

// cancelJob marks a job as cancelled, and has that written and its starts stopped, unless all
// of its tasks are done: then it is done, though its user may not have been told. It needs
// the lock of state held.
func (l *Leader) cancelJob(job *cluster.Job) {
	if job.Complete() || job.Cancelled {
		return
	}
	job.Cancelled = true
	l.Log.Info("job cancelled", "job", job.Spec.ID, "live", len(job.LiveAttempts))
	now := l.Clock.Steady()
	for attempt := range job.LiveAttempts.All() {
		if attempt.Stage == cluster.Sent || attempt.Stage == cluster.Fetching {
			l.pusher.RequestPush(attempt.Machine, nil, now) // else it may still start
		}
	}
	job.MarkChanged(now, true)
	l.writeSignal.Raise()
}

// isLive reports whether a job is in the state.
func (l *Leader) isLive(id string) bool {
	l.state.Lock()
	defer l.state.Unlock()
	return l.state.Jobs[id] != nil
}
