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

// writeTimeout is how long a submission or cancellation waits for its save. A
// save that takes longer meets trouble, and the user is told to come back.
const writeTimeout = 1500 * units.Millisecond

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
	stored := awaitDurable(ctx, saved)
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

func awaitDurable(ctx context.Context, saved <-chan struct{}) bool {
	timer := time.NewTimer(writeTimeout.Duration())
	defer timer.Stop()
	select {
	case <-saved:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
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
		l.admission.Waiting.SetUnknown(id)
		l.state.Unlock()
	}
	return admissioncontrol.WaitingAnswer(d)
}
