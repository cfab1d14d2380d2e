package coordination

import (
	"context"
	"errors"
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

func unavailable(why string) transport.Response { return Refuse(http.StatusServiceUnavailable, why) }

func stateAnswer(status int, s protocol.JobState) transport.Response {
	return transport.Response{Status: status, Body: protocol.Encode(s)}
}

func finalAnswer(id string, f bookkeeping.Final) transport.Response {
	return stateAnswer(http.StatusOK, protocol.JobState{UID: id, Stage: f.Stage, Done: f.Done})
}

// cancelled tells whether the user of a job may be told that it is cancelled, though
// it is not over.
func cancelled(j *bookkeeping.Job, w config.Workers) bool { return j.CancelStored && confirmsAtOnce(w) }

func jobAnswer(status int, j *bookkeeping.Job, w config.Workers) transport.Response {
	s := protocol.JobState{
		UID:     j.Spec.ID,
		Stage:   protocol.StagePending,
		Done:    j.DoneCount(),
		Running: j.Running(),
	}
	switch {
	case cancelled(j, w):
		s.Stage = protocol.StageCancelled
	case s.Running > 0 || s.Done > 0:
		s.Stage = protocol.StageRunning
	}
	return stateAnswer(status, s)
}

// leads tells, under the lock, whether this node may speak for the service.
func (t *Term) leads() bool { return t.ready && t.Lease.Valid(t.number) }

// jobMemory bounds what the live jobs may take, by the reckoning of the ledger: a
// controller refuses new jobs rather than be ended for memory with all that it holds.
func jobMemory(s *config.Settings) int64 { return int64(s.Fleet.Resources.RAMMB * (1 << 20)) }

// Submit accepts a job, durably, before it answers.
func (t *Term) Submit(ctx context.Context, spec *protocol.JobSpec) transport.Response {
	began := t.Clock.Steady()
	t.mu.Lock()
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
				if r := t.Poll(ctx, spec.ID); r.Status != http.StatusNotFound {
					return r
				}
			}
			return Refuse(status, why)
		}
		j = t.ledger.NewJob(*spec, t.Clock.Wall(), t.Clock.Steady())
		t.Log.Info("job submitted", "job", spec.ID, "class", spec.Class, "team", spec.Team, "priority", spec.Priority, "tasks", spec.Tasks,
			"cpus", spec.Need.CPU.Float(), "estimate_ms", spec.Estimate/units.Millisecond, "deadline_ms", spec.Deadline/units.Millisecond)
		signal(t.saveSignal)
	} else if j.Accepted() {
		defer t.mu.Unlock()
		return jobAnswer(http.StatusOK, j, t.Settings.Fleet.Workers)
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
	if !t.leads() {
		return unavailable("no leader")
	}
	if f, ok := t.finals.get(spec.ID); ok {
		return finalAnswer(spec.ID, f)
	}
	return jobAnswer(http.StatusCreated, j, t.Settings.Fleet.Workers)
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
func (t *Term) Poll(ctx context.Context, id string) transport.Response {
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
	return Refuse(http.StatusNotFound, "no such job")
}

func (t *Term) pollLive(id string) (transport.Response, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leads() {
		return unavailable("no leader"), true
	}
	if f, ok := t.finals.get(id); ok {
		return finalAnswer(id, f), true
	}
	j := t.ledger.Jobs[id]
	switch {
	case j == nil:
		return transport.Response{}, false
	case !j.Accepted():
		return unavailable("the job is being accepted"), true
	}
	return jobAnswer(http.StatusOK, j, t.Settings.Fleet.Workers), true
}

// Cancel cancels a job, durably, before it answers.
func (t *Term) Cancel(ctx context.Context, id string) transport.Response {
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
		defer t.mu.Unlock()
		return jobAnswer(http.StatusOK, j, t.Settings.Fleet.Workers)
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

// storedCall bounds each of the reads that a poll is answered from without the leader.
const storedCall = 800 * units.Millisecond

// PollStored answers a poll from the records alone, for a node that does not
// lead and cannot reach the leader. What they say was committed before anybody
// was told of it, so a fresh read is never older than an earlier answer.
func PollStored(ctx context.Context, store *bookkeeping.Store, id string, w config.Workers) transport.Response {
	if !store.Spare() {
		return unavailable("no leader")
	}
	// From the inbox a job moves to the live records and from there to the final
	// ones. It is looked for in the two latter first, since it is there nearly
	// always; one that is in none of the three may have moved in between, and is
	// then found by a second look.
	if r, found := storedState(ctx, store, id, w); found {
		return r
	}
	item, ok, err := store.Get(ctx, bookkeeping.KeyInbox(id), storedCall)
	if err != nil {
		return unavailable("state service is out of reach")
	}
	if ok {
		if _, err := bookkeeping.ParseArrival(item); err != nil {
			return unavailable("the job's record is not readable")
		}
		return stateAnswer(http.StatusOK, protocol.JobState{UID: id, Stage: protocol.StagePending})
	}
	if r, found := storedState(ctx, store, id, w); found {
		return r
	}
	return Refuse(http.StatusNotFound, "no such job")
}

// storedState looks for a job in the live and then in the final records.
func storedState(ctx context.Context, store *bookkeeping.Store, id string, w config.Workers) (transport.Response, bool) {
	item, ok, err := store.Get(ctx, bookkeeping.KeyJob(id), storedCall)
	if err != nil {
		return unavailable("state service is out of reach"), true
	}
	if ok {
		jobs, _, err := bookkeeping.ParseJobs([]protocol.Item{item})
		if err != nil {
			return unavailable("the job's record is not readable"), true
		}
		return jobAnswer(http.StatusOK, jobs[0], w), true
	}
	f, ok, err := ReadFinal(ctx, store, id)
	switch {
	case errors.Is(err, bookkeeping.ErrRefused), errors.Is(err, bookkeeping.ErrUncertain):
		return unavailable("state service is out of reach"), true
	case err != nil:
		return unavailable("the job's record is not readable"), true
	}
	return finalAnswer(id, f), ok
}
