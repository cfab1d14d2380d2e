package coordination

import (
	"context"
	"net/http"
	"slices"
	"time"

	"dunestand/internal/bookkeeping"
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
	r := transport.Response{Status: status, Body: protocol.Encode(protocol.Problem{Error: why})}
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
func cancelled(j *bookkeeping.Job, w config.Workers) bool { return j.CancelStored && confirmsAtOnce(w) }

// jobAnswer tells a live job's state as it was read at readAt or later.
func jobAnswer(status int, j *bookkeeping.Job, w config.Workers, readAt units.Micros) answer {
	s := protocol.JobState{
		UID:     j.Spec.ID,
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

// liveAnswer tells the state of a job that is stored, under the lock. While its end or
// cancellation is being stored, others may tell of it, and nothing is certain here.
func (t *Term) liveAnswer(status int, j *bookkeeping.Job, readAt units.Micros) answer {
	if j.EndBeingStored() {
		return unavailable("the job's end is being stored")
	}
	return jobAnswer(status, j, t.Settings.Fleet.Workers, readAt)
}

// leads tells, under the lock, whether this node may speak for the service.
func (t *Term) leads() bool { return t.ready && t.Lease.Valid(t.number) }

// jobMemory bounds what the live jobs may take, by the reckoning of the ledger: a
// controller refuses new jobs rather than be ended for memory with all that it holds.
func jobMemory(s *config.Settings) int64 { return int64(s.Fleet.Resources.RAMMB * (1 << 20)) }

// Submit accepts a job, durably, before it answers.
func (t *Term) Submit(ctx context.Context, spec *protocol.JobSpec) answer {
	began := t.Clock.Steady()
	t.mu.Lock()
	readAt := t.Clock.Steady()
	if !t.leads() {
		t.mu.Unlock()
		return unavailable("no leader")
	}
	if f, ok := t.finals.get(spec.ID); ok {
		t.mu.Unlock()
		return finalAnswer(spec.ID, f)
	}
	j := t.ledger.Jobs[spec.ID]
	if j == nil {
		if status, why := t.checkAdmissible(spec); status != 0 {
			t.mu.Unlock()
			if status != http.StatusServiceUnavailable {
				// An id that is known already is known, whatever else the
				// request now says.
				known := t.Poll(ctx, spec.ID)
				if known.Status != http.StatusNotFound {
					return known
				}
				return answer{Response: Refuse(status, why), proof: known.proof}
			}
			return plainAnswer(Refuse(status, why))
		}
		j = t.ledger.NewJob(*spec, t.Clock.Wall(), t.Clock.Steady())
		t.Log.Info("job submitted", "job", spec.ID, "class", spec.Class, "team", spec.Team, "priority", spec.Priority, "tasks", spec.Tasks,
			"cpus", spec.Need.CPU.Float(), "estimate_ms", spec.Estimate/units.Millisecond, "deadline_ms", spec.Deadline/units.Millisecond)
		signal(t.saveSignal)
	} else if j.Accepted() {
		defer t.mu.Unlock()
		return t.liveAnswer(http.StatusOK, j, readAt)
	}
	saved := j.Saved()
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
	readAt = t.Clock.Steady()
	if !t.leads() {
		return unavailable("no leader")
	}
	if f, ok := t.finals.get(spec.ID); ok {
		return finalAnswer(spec.ID, f)
	}
	if t.ledger.Jobs[spec.ID] != j || !j.Accepted() {
		return unavailable("the job is being accepted") // it left the ledger meanwhile
	}
	return t.liveAnswer(http.StatusCreated, j, readAt)
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

// checkAdmissible tells why a new job cannot be taken; status 0 if it can.
func (t *Term) checkAdmissible(spec *protocol.JobSpec) (int, string) {
	status, why := checkRunnable(spec, t.Settings, t.ledger.Types, t.Format.Level())
	if status == 0 && t.ledger.Memory()+bookkeeping.MemoryOf(spec) > jobMemory(t.Settings) {
		return http.StatusTooManyRequests, "too many unfinished jobs"
	}
	return status, why
}

// checkRunnable tells why a job could never run, or why that is not known yet.
func checkRunnable(spec *protocol.JobSpec, s *config.Settings, types map[string]protocol.MachineType, format int) (int, string) {
	i := slices.IndexFunc(s.Fleet.Teams, func(t config.Team) bool { return t.Name == spec.Team })
	if i < 0 {
		return http.StatusUnprocessableEntity, "crew: unknown team"
	}
	switch n := bookkeeping.LimitOf(s.Fleet.Teams[i]).Fits(spec.Need); {
	case n == 0:
		return http.StatusUnprocessableEntity, "a task needs more than the team's limit"
	case spec.Shape == protocol.Service && n < spec.Tasks:
		return http.StatusUnprocessableEntity, "a service's tasks together need more than the team's limit"
	}
	if len(types) == 0 {
		return http.StatusServiceUnavailable, "the machine types are not known yet"
	}
	fits := false
	for name, typ := range types {
		for _, zone := range typ.Zones {
			fits = fits || allowed(spec, name, zone, false) && bookkeeping.SizeOf(typ).Fits(spec.Need) > 0
		}
	}
	switch {
	case !fits:
		return http.StatusUnprocessableEntity, "a task fits no allowed machine type"
	case !bookkeeping.Fits(spec, bookkeeping.Format, s.Fleet.State):
		return http.StatusUnprocessableEntity, "the job's texts are too long to be kept"
	case format < bookkeeping.FormatNew && (spec.Shape == protocol.Service || !bookkeeping.Fits(spec, format, s.Fleet.State)):
		// A leader of the version before would take a service for an array.
		return http.StatusServiceUnavailable, "not before all controllers are upgraded"
	}
	return 0, ""
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

func (t *Term) pollLive(id string) (answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	readAt := t.Clock.Steady()
	if !t.leads() {
		return unavailable("no leader"), true
	}
	if f, ok := t.finals.get(id); ok {
		return finalAnswer(id, f), true
	}
	j := t.ledger.Jobs[id]
	switch {
	case j == nil:
		return answer{}, false
	case !j.Accepted():
		return unavailable("the job is being accepted"), true
	}
	return t.liveAnswer(http.StatusOK, j, readAt), true
}

// Cancel cancels a job, durably, before it answers.
func (t *Term) Cancel(ctx context.Context, id string) answer {
	t.mu.Lock()
	readAt := t.Clock.Steady()
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
		defer t.mu.Unlock()
		return t.liveAnswer(http.StatusOK, j, readAt)
	}
	t.cancelJob(j)
	saved := j.Saved()
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
func (t *Term) cancelJob(j *bookkeeping.Job) {
	if j.Complete() || j.Cancelled {
		return
	}
	j.Cancelled = true
	t.Log.Info("job cancelled", "job", j.Spec.ID, "live", len(j.Live))
	now := t.Clock.Steady()
	for _, a := range j.Live {
		if a.Stage == bookkeeping.Sent || a.Stage == bookkeeping.Fetching {
			t.requestDirect(a.Machine, nil, now) // or it would begin yet
		}
	}
	j.Changed(now, true)
	signal(t.saveSignal)
}
