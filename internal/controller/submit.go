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

// writeTimeout is how long a submission or cancellation waits for its write batch. A write
// that takes longer has met a fault, and the user is told to come back.
const writeTimeout = 1500 * units.Millisecond

// Submit accepts a job, durably, before it answers. A duplicate of a submission is answered
// with the state of its job.
func (l *Leader) Submit(ctx context.Context, spec *protocol.JobSpec) answer.Answer {
	receivedAt := l.Clock.Steady()
	entry, decline := l.enterJob(spec)
	if decline != nil {
		return decline(ctx)
	}
	stored := awaitDurable(ctx, entry.durable)
	l.Log.Debug("submission awaited its write", "job", spec.ID, "stored", stored,
		"lock_us", int64(entry.at-receivedAt), "write_us", int64(l.Clock.Steady()-entry.at))
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

// jobEntry is the entry of a submitted job in the state.
type jobEntry struct {
	durable <-chan struct{} // closed once the job is durable
	at      units.Micros    // steady time
}

// enterJob enters a new job in the state, unless it is there already. If the submission can be
// answered without waiting until the job is durable, it returns a function that does so, to be
// called without the lock of state.
func (l *Leader) enterJob(spec *protocol.JobSpec) (entry jobEntry, decline func(context.Context) answer.Answer) {
	l.state.Lock()
	defer l.state.Unlock()
	if a, known := l.jobAnswer(spec.ID, http.StatusOK); known {
		return jobEntry{}, func(context.Context) answer.Answer { return a }
	}
	job := l.state.Jobs[spec.ID]
	if job == nil {
		if rejection := l.checkAdmissible(spec); rejection != nil {
			return jobEntry{}, func(ctx context.Context) answer.Answer { return l.rejectSubmission(ctx, spec, rejection) }
		}
		if decision := l.admission.Admit(spec); decision.Verdict != admission.Admit {
			return jobEntry{}, func(ctx context.Context) answer.Answer { return l.deferSubmission(ctx, spec.ID, decision) }
		}
		job = l.addJob(spec)
	}
	return jobEntry{durable: job.Durable(), at: l.Clock.Steady()}, nil
}

// addJob adds a new job to the state and has it written. It needs the lock of state held.
func (l *Leader) addJob(spec *protocol.JobSpec) *cluster.Job {
	job := l.state.NewJob(*spec, l.Clock.Wall(), l.Clock.Steady())
	l.Log.Info("job submitted", "job", spec.ID, "class", spec.Class, "team", spec.Team,
		"priority", spec.Priority, "tasks", spec.Tasks, "cpus", spec.Request.CPU.Float(),
		"estimate_ms", spec.Estimate/units.Millisecond, "deadline_ms", spec.Deadline/units.Millisecond)
	l.writeSignal.Raise()
	return job
}

// rejectSubmission answers a submission that is rejected for good, or for now, unless its ID
// is known: then the job is known, whatever else the request now says.
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

// deferSubmission answers a submission that is not admitted now, unless its job is known
// after all: as one in a terminal state, or from the pending-submission queue.
func (l *Leader) deferSubmission(ctx context.Context, id string, decision admission.Decision) answer.Answer {
	if decision.Verdict == admission.Undecided {
		// Not 503: another controller that forwarded the request would take that for a
		// leader that cannot decide, and admit the job beyond the quota.
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

// awaitDurable waits until durable is closed, for writeTimeout at most, and reports whether
// it is.
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
