package coordination

import (
	"context"
	"net/http"
	"time"

	"dunestand/internal/admission"
	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/protocol"
	"dunestand/internal/transport"
	"dunestand/internal/units"
)

// acceptWait is how long a submission or cancellation waits for its save. A
// save that takes longer meets trouble, and the user is told to come back.
const acceptWait = 1500 * units.Millisecond

// Refuse gives the answer that refuses a request in one line.
func Refuse(status int, why string) transport.Response {
	r := transport.Response{Status: status, Body: protocol.Encode(protocol.ErrorResponse{Message: why})}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		r.RetryAfter = 1
	}
	return r
}

func stateAnswer(status int, s protocol.JobState) transport.Response {
	return transport.Response{Status: status, Body: protocol.Encode(s)}
}

// cancelled tells whether the user of a job may be told that it is cancelled, though
// it is not over.
func cancelled(j *cluster.Job, w config.Workers) bool { return j.CancelDurable && confirmsAtOnce(w) }

// jobAnswer tells a live job's state as it was read at readAt or later.
func jobAnswer(status int, j *cluster.Job, w config.Workers, readAt units.Micros) answer {
	s := protocol.JobState{
		ID:      j.Spec.ID,
		Stage:   protocol.StagePending,
		Done:    j.DoneCount(),
		Running: j.Running(),
	}
	if cancelled(j, w) {
		s.Stage = protocol.StageCancelled
		return answer{
			Response: stateAnswer(status, s),
			proof:    proof{kind: final, version: j.CancelVersion()},
		}
	}
	if s.Running > 0 || s.Done > 0 {
		s.Stage = protocol.StageRunning
	}
	return provisionalAnswer(stateAnswer(status, s), readAt)
}

// leads tells, under the lock, whether this node may speak for the service.
func (t *Term) leads() bool { return t.ready && t.Lease.Valid(t.number) }

// stateOf tells the state of a job that is stored, under the lock, or why none may be
// told; false: nothing is known of such a job here.
func (t *Term) stateOf(id string, status int) (answer, bool) {
	readAt := t.Clock.Steady()
	if !t.leads() {
		return unavailable("no leader"), true
	}
	if f, over := t.finals.get(id); over {
		return finalAnswer(id, f), true
	}
	j := t.ledger.Jobs[id]
	switch {
	case j == nil || !j.Accepted():
		return answer{}, false
	case j.EndInFlight():
		return unavailable("the job's end is being stored"), true // others may tell of it
	}
	return jobAnswer(status, j, t.Settings.Fleet.Workers, readAt), true
}

// Submit accepts a job, durably, before it answers.
func (t *Term) Submit(ctx context.Context, spec *protocol.JobSpec) answer {
	began := t.Clock.Steady()
	t.mu.Lock()
	if a, known := t.stateOf(spec.ID, http.StatusOK); known {
		t.mu.Unlock()
		return a
	}
	j := t.ledger.Jobs[spec.ID]
	if j == nil {
		if status, why := t.checkAdmissible(spec); status != 0 {
			t.mu.Unlock()
			return t.refuseUnknown(ctx, spec, status, why)
		}
		if d := t.admit(spec); d.Verdict != admission.Admit {
			t.mu.Unlock()
			return t.refuseForNow(ctx, spec.ID, d)
		}
		j = t.enter(spec)
	}
	saved := j.Durable()
	noted := t.Clock.Steady()
	t.mu.Unlock()
	stored := waitFor(ctx, saved)
	t.Log.Debug("submission waited", "job", spec.ID, "stored", stored,
		"lock_us", int64(noted-began), "save_us", int64(t.Clock.Steady()-noted))
	if !stored {
		return unavailable("state service is slow")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, known := t.stateOf(spec.ID, http.StatusCreated); known {
		return a
	}
	return unavailable("the job is being accepted")
}

// enter adds a new job to the ledger, under the lock, and has it saved.
func (t *Term) enter(spec *protocol.JobSpec) *cluster.Job {
	j := t.ledger.NewJob(*spec, t.Clock.Wall(), t.Clock.Steady())
	t.Log.Info("job submitted", "job", spec.ID, "class", spec.Class, "team", spec.Team,
		"priority", spec.Priority, "tasks", spec.Tasks, "cpus", spec.Request.CPU.Float(),
		"estimate_ms", spec.Estimate/units.Millisecond, "deadline_ms", spec.Deadline/units.Millisecond)
	signal(t.saveSignal)
	return j
}

// refuseUnknown refuses a submission for good, or for now, unless its id is known: then
// the job is known, whatever else the request now says.
func (t *Term) refuseUnknown(ctx context.Context, spec *protocol.JobSpec, status int, why string) answer {
	if status == http.StatusServiceUnavailable {
		return unavailable(why)
	}
	known := t.Poll(ctx, spec.ID)
	if known.Status != http.StatusNotFound {
		return known
	}
	t.Log.Warn("submission refused", "job", spec.ID, "class", spec.Class, "team", spec.Team,
		"status", status, "why", why)
	return answer{Response: Refuse(status, why), proof: known.proof}
}

func waitFor(ctx context.Context, saved <-chan struct{}) bool {
	timer := time.NewTimer(acceptWait.Duration())
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
func (t *Term) Poll(ctx context.Context, id string) answer {
	began := t.Clock.Steady()
	if r, ok := t.pollLive(id); ok {
		return r
	}
	f, ok, err := t.final(ctx, id)
	if err != nil {
		return unavailable("state service is out of reach")
	}
	if ok {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !t.leads() {
			return unavailable("no leader")
		}
		return finalAnswer(id, f)
	}
	if err := t.askInbox(ctx, id); err != nil {
		return unavailable("state service is out of reach")
	}
	// It may have been submitted while the state service was asked, or just
	// have been taken in.
	if r, ok := t.pollLive(id); ok {
		return r
	}
	return provisionalAnswer(Refuse(http.StatusNotFound, "no such job"), began)
}

// pollLive tells a job's state from memory, if the job is known there.
func (t *Term) pollLive(id string) (answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, known := t.stateOf(id, http.StatusOK); known {
		return a, true
	}
	if t.ledger.Jobs[id] != nil {
		return unavailable("the job is being accepted"), true
	}
	return answer{}, false
}

// Cancel cancels a job, durably, before it answers.
func (t *Term) Cancel(ctx context.Context, id string) answer {
	t.mu.Lock()
	if !t.leads() {
		t.mu.Unlock()
		return unavailable("no leader")
	}
	j := t.ledger.Jobs[id]
	if j == nil {
		t.mu.Unlock()
		r := t.Poll(ctx, id) // over, never accepted, or in the inbox until now
		if t.knows(id) {
			return unavailable("the job is being accepted")
		}
		return r
	}
	if !j.Accepted() {
		t.mu.Unlock()
		return unavailable("the job is being accepted")
	}
	if cancelled(j, t.Settings.Fleet.Workers) {
		t.mu.Unlock()
		return t.Poll(ctx, id)
	}
	t.cancelJob(j)
	saved := j.Durable()
	t.mu.Unlock()
	if !waitFor(ctx, saved) {
		return unavailable("state service is slow")
	}
	t.mu.Lock()
	over := cancelled(j, t.Settings.Fleet.Workers)
	if _, final := t.finals.get(id); final {
		over = true
	}
	t.mu.Unlock()
	if !over {
		return unavailable("the cancellation is not stored yet, or tasks are still being stopped")
	}
	return t.Poll(ctx, id)
}

// cancelJob notes that a user wants a job cancelled, unless all its tasks are
// done: then it is done, though its user may not have been told.
func (t *Term) cancelJob(j *cluster.Job) {
	if j.Complete() || j.Cancelled {
		return
	}
	j.Cancelled = true
	t.Log.Info("job cancelled", "job", j.Spec.ID, "live", len(j.LiveAttempts))
	now := t.Clock.Steady()
	for _, a := range j.LiveAttempts {
		if a.Stage == cluster.Sent || a.Stage == cluster.Fetching {
			t.requestDirect(a.Machine, nil, now) // or it would begin yet
		}
	}
	j.MarkChanged(now, true)
	signal(t.saveSignal)
}
