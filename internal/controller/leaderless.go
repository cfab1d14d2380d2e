package controller

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"

	"dunestand/internal/admission"
	"dunestand/internal/admissioncontrol"
	"dunestand/internal/answer"
	"dunestand/internal/cluster"
	"dunestand/internal/kv"
	"dunestand/internal/persister"
	"dunestand/internal/protocol"
	"dunestand/internal/storage"
	"dunestand/internal/units"
)

// Submissions are passed on to the leader. A controller that reaches none may
// still reach the state service: it then puts a job into the inbox there, and
// the leader, or the next one, takes it in. A change of leader takes several
// seconds, and users would be refused for all of that time.

const (
	instanceTypesTTL = 60 * units.Second
)

// arrivals is what a node needs to accept jobs without a leader.
type leaderlessJobs struct {
	acceptedBytes   atomic.Int64 // memory of the jobs accepted so since it last reached a leader
	mu              sync.Mutex
	instanceTypes   map[string]protocol.InstanceType
	typesValidUntil units.Micros
}

// instanceTypes gives the types that the last leader stored.
func (c *Controller) instanceTypes(ctx context.Context) map[string]protocol.InstanceType {
	a := &c.leaderlessJobs
	now := c.deps.Clock.Steady()
	a.mu.Lock()
	types := a.instanceTypes
	if now >= a.typesValidUntil {
		types = nil
	}
	a.mu.Unlock()
	if types != nil {
		return types
	}
	list, err := c.deps.KV.List(ctx, storage.KeyCatalog, "", persister.PendingTimeout)
	if err != nil {
		return nil
	}
	catalog, _, err := storage.ParseCatalog(list.Items)
	if err != nil || len(catalog.Types) == 0 {
		return nil
	}
	types = map[string]protocol.InstanceType{}
	for _, t := range catalog.Types {
		types[t.Name] = t
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.instanceTypes, a.typesValidUntil = types, now+instanceTypesTTL
	return types
}

// acceptWithoutLeader puts a job into the inbox, if it is certain that the job can be
// taken; otherwise the refusal stands, and a leader decides when there is one.
func (c *Controller) acceptWithoutLeader(ctx context.Context, spec *protocol.JobSpec, refused answer.Answer) answer.Answer {
	store, lease := c.deps.KV, c.elector
	if lease.UnansweredFor() >= lease.LeaseDuration() || !store.HasRequestBudget() || !store.HasWriteBudget() {
		return refused
	}
	if status, _ := checkFeasible(spec, c.deps.Settings, c.instanceTypes(ctx), c.deps.Format.Current()); status != 0 {
		return refused
	}
	arrival := cluster.PendingSubmissionTxn(cluster.PendingSubmission{
		Spec:      *spec,
		Submitted: c.deps.Clock.Wall(),
	})
	if a := c.deps.Admitter; a != nil {
		d, condition := a.DecideAlone(spec)
		if d.Verdict != admission.Admit {
			return c.deferWithoutLeader(ctx, spec.ID, d, refused)
		}
		arrival.If = append(arrival.If, condition)
	}
	share := jobMemoryLimit(c.deps.Settings) / int64(1+len(c.deps.Settings.Others))
	if c.leaderlessJobs.acceptedBytes.Add(cluster.JobMemory(spec)) > share {
		return answer.Plain(answer.ErrorResponse(http.StatusTooManyRequests, "too many jobs wait for a leader"))
	}
	readAt := c.deps.Clock.Steady()
	_, err := store.CompareAndSwap(ctx, arrival, kv.Paced, persister.PendingTimeout)
	var conflict *kv.VersionConflictError
	switch {
	case errors.As(err, &conflict):
		// It is known already: a repeat, or the leader took it after all.
		if r := c.records().poll(ctx, spec.ID); r.Status == http.StatusOK {
			return r
		}
		return refused
	case err != nil:
		return refused
	}
	c.deps.Log.Info("job accepted without a leader", "job", spec.ID, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks)
	accepted := answer.Provisional(answer.StateResponse(http.StatusCreated, protocol.JobState{ID: spec.ID, Stage: protocol.StagePending}), readAt)
	if c.gate().IsStale(accepted) {
		return c.records().poll(ctx, spec.ID) // it may be over by now
	}
	return accepted
}

// deferWithoutLeader answers for a job that is not admitted without the leader, unless the
// records tell of it.
func (c *Controller) deferWithoutLeader(ctx context.Context, id string, d admission.Decision, refused answer.Answer) answer.Answer {
	known := c.records().poll(ctx, id)
	switch {
	case known.Status == http.StatusOK:
		return known
	case known.Status == http.StatusNotFound && d.Verdict == admission.Wait:
		return admissioncontrol.WaitingAnswer(d)
	}
	return refused
}
