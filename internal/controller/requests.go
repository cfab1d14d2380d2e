package controller

import (
	"context"
	"net/http"
	"time"

	"dunestand/internal/admission"
	"dunestand/internal/admissioncontrol"
	"dunestand/internal/answer"
	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// writeWaitTimeout is how long a submission or cancellation waits for its save. A
// save that takes longer meets trouble, and the user is told to come back.
const writeWaitTimeout = 1500 * units.Millisecond

// mayAnswer tells, under the lock, whether this node may speak for the service.
func (l *Leader) mayAnswer() bool { return l.state.Restored && l.leadership.Valid() }

// LiveJob tells the state of a job that is stored, under the lock, or why none may be
// told; false: nothing is known of such a job here.
func (l *Leader) jobAnswer(id string, status int) (answer.Answer, bool) {
	readAt := l.Clock.Steady()
	if !l.mayAnswer() {
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

// Submit accepts a job, durably, before it answers.
func (l *Leader) Submit(ctx context.Context, spec *protocol.JobSpec) answer.Answer {
	began := l.Clock.Steady()
	l.state.Lock()
	if a, known := l.jobAnswer(spec.ID, http.StatusOK); known {
		l.state.Unlock()
		return a
	}
	j := l.state.Jobs[spec.ID]
	if j == nil {
		if status, why := l.checkAdmissible(spec); status != 0 {
			l.state.Unlock()
			return l.rejectSubmission(ctx, spec, status, why)
		}
		if d := l.admission.Admit(spec); d.Verdict != admission.Admit {
			l.state.Unlock()
			return l.deferSubmission(ctx, spec.ID, d)
		}
		j = l.addJob(spec)
	}
	saved := j.Durable()
	noted := l.Clock.Steady()
	l.state.Unlock()
	stored := waitFor(ctx, saved)
	l.Log.Debug("submission waited", "job", spec.ID, "stored", stored,
		"lock_us", int64(noted-began), "save_us", int64(l.Clock.Steady()-noted))
	if !stored {
		return answer.Unavailable("state service is slow")
	}
	l.state.Lock()
	defer l.state.Unlock()
	if a, known := l.jobAnswer(spec.ID, http.StatusCreated); known {
		return a
	}
	return answer.Unavailable("the job is being accepted")
}

// addJob adds a new job to the ledger, under the lock, and has it saved.
func (l *Leader) addJob(spec *protocol.JobSpec) *cluster.Job {
	j := l.state.NewJob(*spec, l.Clock.Wall(), l.Clock.Steady())
	l.Log.Info("job submitted", "job", spec.ID, "class", spec.Class, "team", spec.Team,
		"priority", spec.Priority, "tasks", spec.Tasks, "cpus", spec.Request.CPU.Float(),
		"estimate_ms", spec.Estimate/units.Millisecond, "deadline_ms", spec.Deadline/units.Millisecond)
	l.writeSignal.Raise()
	return j
}

// rejectSubmission refuses a submission for good, or for now, unless its id is known: then
// the job is known, whatever else the request now says.
func (l *Leader) rejectSubmission(ctx context.Context, spec *protocol.JobSpec, status int, why string) answer.Answer {
	if status == http.StatusServiceUnavailable {
		return answer.Unavailable(why)
	}
	known := l.Poll(ctx, spec.ID)
	if known.Status != http.StatusNotFound {
		return known
	}
	l.Log.Warn("submission refused", "job", spec.ID, "class", spec.Class, "team", spec.Team,
		"status", status, "why", why)
	return answer.Answer{Response: answer.ErrorResponse(status, why), Evidence: known.Evidence}
}

func waitFor(ctx context.Context, saved <-chan struct{}) bool {
	timer := time.NewTimer(writeWaitTimeout.Duration())
	defer timer.Stop()
	select {
	case <-saved:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

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
		if !l.mayAnswer() {
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

// Cancel cancels a job, durably, before it answers.
func (l *Leader) Cancel(ctx context.Context, id string) answer.Answer {
	l.state.Lock()
	if !l.mayAnswer() {
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
	if !waitFor(ctx, saved) {
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

// deferSubmission answers for a job that is not admitted, unless the job is known after all:
// as one that is over, or from the inbox.
func (l *Leader) deferSubmission(ctx context.Context, id string, d admission.Decision) answer.Answer {
	if d.Verdict == admission.Undecided {
		// Not 503: another controller that passed the request on would take that for a
		// leader that cannot decide, and admit the job beyond the quota.
		return answer.Plain(answer.ErrorResponse(http.StatusTooManyRequests, d.Reason.String()))
	}
	if !l.admission.IsSurelyUnknown(id) {
		known := l.Poll(ctx, id)
		if known.Status != http.StatusNotFound {
			return known
		}
		l.state.Lock()
		l.admission.Waiting.MarkUnrecorded(id)
		l.state.Unlock()
	}
	return admissioncontrol.WaitingAnswer(d)
}

// isLive tells whether a job is live here.
func (l *Leader) isLive(id string) bool {
	l.state.Lock()
	defer l.state.Unlock()
	return l.state.Jobs[id] != nil
}
