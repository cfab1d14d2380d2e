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

// writeTimeout is how long a submission or cancellation waits for its write batch. A slower
// write indicates a fault, and the user is asked to retry.
const writeTimeout = 1500 * units.Millisecond

// Submit accepts a job and confirms it once the job is durable. A duplicate submission is
// answered with the state of its job.
func (l *Leader) Submit(ctx context.Context, spec *protocol.JobSpec) answer.Answer {
	receivedAt := l.Clock.Steady()
	write, answerNow := l.findOrAddJob(spec)
	if answerNow != nil {
		return answerNow(ctx)
	}
	stored := awaitDurable(ctx, write.durable)
	l.Log.Debug("submission waited for its write batch", "job", spec.ID, "stored", stored,
		"lock_us", int64(write.startedAt-receivedAt), "write_us", int64(l.Clock.Steady()-write.startedAt))
	if !stored {
		return storeSlow()
	}
	l.state.Lock()
	defer l.state.Unlock()
	if a, known := l.jobAnswer(spec.ID, http.StatusCreated); known {
		return a
	}
	return beingAccepted()
}

// pendingWrite is the write of a job for which a submission waits.
type pendingWrite struct {
	durable   <-chan struct{} // closed once the job is durable
	startedAt units.Micros    // steady time at which the wait for the write starts
}

// findOrAddJob adds a new job to the state, unless it is there already, and returns the write
// to wait for. If the submission can be answered without waiting until the job is durable, it
// returns only answerNow, which returns the answer and must be called without the state lock.
func (l *Leader) findOrAddJob(spec *protocol.JobSpec) (write pendingWrite, answerNow func(context.Context) answer.Answer) {
	l.state.Lock()
	defer l.state.Unlock()
	if a, known := l.jobAnswer(spec.ID, http.StatusOK); known {
		return pendingWrite{}, func(context.Context) answer.Answer { return a }
	}
	job := l.state.Jobs[spec.ID]
	if job == nil {
		if rejection := l.checkAdmissible(spec); rejection != nil {
			return pendingWrite{}, func(ctx context.Context) answer.Answer { return l.rejectSubmission(ctx, spec, rejection) }
		}
		if decision := l.admission.Admit(spec); decision.Verdict != admission.Admit {
			return pendingWrite{}, func(ctx context.Context) answer.Answer { return l.deferSubmission(ctx, spec.ID, decision) }
		}
		job = l.addJob(spec)
	}
	return pendingWrite{durable: job.Durable(), startedAt: l.Clock.Steady()}, nil
}

// addJob adds a new job to the state and requests its write. The caller must hold the state
// lock.
func (l *Leader) addJob(spec *protocol.JobSpec) *cluster.Job {
	job := l.state.NewJob(*spec, l.Clock.Wall(), l.Clock.Steady())
	l.Log.Info("job submitted", "job", spec.ID, "class", spec.Class, "team", spec.Team,
		"priority", spec.Priority, "tasks", spec.Tasks, "cpus", spec.Request.CPU.Float(),
		"estimate_ms", spec.Estimate/units.Millisecond, "deadline_ms", spec.Deadline/units.Millisecond)
	l.writeSignal.Raise()
	return job
}

// rejectSubmission answers a submission that is rejected permanently or temporarily. If the
// rejection is not a 503 and the job ID is known, the submission is a duplicate and the answer
// is the state of that job, whatever else the request says.
func (l *Leader) rejectSubmission(ctx context.Context, spec *protocol.JobSpec, rejection *rejectionError) answer.Answer {
	if rejection.status == http.StatusServiceUnavailable {
		return answer.Unavailable(rejection.Error())
	}
	known := l.Poll(ctx, spec.ID)
	if known.Status != http.StatusNotFound {
		return known
	}
	l.Log.Warn("submission rejected", "job", spec.ID, "class", spec.Class, "team", spec.Team,
		"status", rejection.status, "why", rejection.Error())
	return answer.Answer{Response: answer.ErrorResponse(rejection.status, rejection.Error()), Evidence: known.Evidence}
}

// deferSubmission answers a submission that is not admitted now. If the job turns out to be
// known, in a terminal state or from the pending-submission queue, the answer is its state.
func (l *Leader) deferSubmission(ctx context.Context, id string, decision admission.Decision) answer.Answer {
	if decision.Verdict == admission.Undecided {
		// Not 503: a controller that forwarded the request would conclude from a 503 that there
		// is no leader, and admit the job beyond the quota.
		return answer.WithoutEvidence(answer.ErrorResponse(http.StatusTooManyRequests, decision.Reason.String()))
	}
	if !l.admission.IsCertainlyUnrecorded(id) {
		known := l.Poll(ctx, id)
		if known.Status != http.StatusNotFound {
			return known
		}
		l.state.Lock()
		l.admission.Waiting.MarkUnrecorded(id)
		l.state.Unlock()
	}
	return admissioncontrol.WaitingAnswer(decision)
}

// awaitDurable waits until durable is closed, for writeTimeout at most, and reports whether it
// is.
func awaitDurable(ctx context.Context, durable <-chan struct{}) bool {
	timer := time.NewTimer(writeTimeout.Duration())
	defer timer.Stop()
	select {
	case <-durable:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}
