package controller

import (
	"context"

	"dunestand/internal/answer"
	"dunestand/internal/cluster"
)

// Cancel cancels a job, durably, before it answers.
func (l *Leader) Cancel(ctx context.Context, id string) answer.Answer {
	l.state.Lock()
	if !l.canAnswer() {
		l.state.Unlock()
		return answer.Unavailable("no leader")
	}
	j := l.state.Jobs[id]
	if j == nil {
		l.state.Unlock()
		r := l.Poll(ctx, id) // over, never accepted, or in the inbox until now
		if l.isLive(id) {
			return answer.Unavailable("the job is being accepted")
		}
		return r
	}
	if !j.Accepted() {
		l.state.Unlock()
		return answer.Unavailable("the job is being accepted")
	}
	if answer.CancellationConfirmed(j, l.Settings.Fleet.Workers) {
		l.state.Unlock()
		return l.Poll(ctx, id)
	}
	l.cancelJob(j)
	saved := j.Durable()
	l.state.Unlock()
	if !awaitDurable(ctx, saved) {
		return answer.Unavailable("state service is slow")
	}
	l.state.Lock()
	over := answer.CancellationConfirmed(j, l.Settings.Fleet.Workers)
	if _, final := l.terminals.Cached(id); final {
		over = true
	}
	l.state.Unlock()
	if !over {
		return answer.Unavailable("the cancellation is not stored yet, or tasks are still being stopped")
	}
	return l.Poll(ctx, id)
}

// cancelJob notes that a user wants a job cancelled, unless all its tasks are
// done: then it is done, though its user may not have been told.
func (l *Leader) cancelJob(j *cluster.Job) {
	if j.Complete() || j.Cancelled {
		return
	}
	j.Cancelled = true
	l.Log.Info("job cancelled", "job", j.Spec.ID, "live", len(j.LiveAttempts))
	now := l.Clock.Steady()
	for _, a := range j.LiveAttempts {
		if a.Stage == cluster.Sent || a.Stage == cluster.Fetching {
			l.pusher.RequestPush(a.Machine, nil, now) // or it would begin yet
		}
	}
	j.MarkChanged(now, true)
	l.writeSignal.Raise()
}

// isLive tells whether a job is live here.
func (l *Leader) isLive(id string) bool {
	l.state.Lock()
	defer l.state.Unlock()
	return l.state.Jobs[id] != nil
}
