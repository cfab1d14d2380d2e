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

// Followers forward submissions to the leader. A controller that reaches no leader but still
// reaches the key-value store writes the job to the pending-submission queue there, and the
// current or the next leader ingests it. Without this, submissions would be refused during a
// failover, which takes several seconds.

// instanceTypesTTL is how long the instance types read from the key-value store are cached.
const instanceTypesTTL = 60 * units.Second

// leaderlessJobs is the state that a controller needs to accept jobs without a leader. It is
// safe for concurrent use.
type leaderlessJobs struct {
	acceptedBytes atomic.Int64 // estimated memory of the jobs accepted without a leader since a leader last answered

	mu              sync.Mutex // guards the fields below
	instanceTypes   map[string]protocol.InstanceType
	typesValidUntil units.Micros // steady time
}

// instanceTypes returns the instance types that the last leader stored, by name, or nil if they
// cannot be read.
func (c *Controller) instanceTypes(ctx context.Context) map[string]protocol.InstanceType {
	cache := &c.leaderlessJobs
	now := c.deps.Clock.Steady()
	if types := cache.validInstanceTypes(now); types != nil {
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
	types := map[string]protocol.InstanceType{}
	for _, instanceType := range catalog.Types {
		types[instanceType.Name] = instanceType
	}
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cache.instanceTypes, cache.typesValidUntil = types, now+instanceTypesTTL
	return types
}

// validInstanceTypes returns the cached instance types, or nil if they have expired.
func (l *leaderlessJobs) validInstanceTypes(now units.Micros) map[string]protocol.InstanceType {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now >= l.typesValidUntil {
		return nil
	}
	return l.instanceTypes
}

// acceptWithoutLeader writes a job to the pending-submission queue if the job is known to be
// feasible and admitted, and fits this controller's share of the job memory limit. Otherwise
// the decision is left to a leader: the answer asks the user to retry, and is fallback unless
// there is a more specific one. A job that is found in the records is answered with its state.
func (c *Controller) acceptWithoutLeader(ctx context.Context, spec *protocol.JobSpec, fallback answer.Answer) answer.Answer {
	store := c.deps.KV
	if c.elector.UnansweredFor() >= c.elector.LeaseDuration() || !store.HasRequestBudget() || !store.HasWriteBudget() {
		return fallback
	}
	if checkFeasible(spec, c.deps.Settings, c.instanceTypes(ctx), c.deps.Format.Current()) != nil {
		return fallback
	}
	txn := cluster.PendingSubmissionTxn(cluster.PendingSubmission{
		Spec:      *spec,
		Submitted: c.deps.Clock.Wall(),
	})
	if admitter := c.deps.Admitter; admitter != nil {
		decision, condition := admitter.DecideIsolated(spec)
		if decision.Verdict != admission.Admit {
			return c.deferWithoutLeader(ctx, spec.ID, decision, fallback)
		}
		txn.If = append(txn.If, condition)
	}
	share := jobMemoryLimit(c.deps.Settings) / int64(1+len(c.deps.Settings.Peers))
	if c.leaderlessJobs.acceptedBytes.Add(cluster.JobMemory(spec)) > share {
		return answer.WithoutEvidence(answer.ErrorResponse(http.StatusTooManyRequests, "too many jobs wait for a leader"))
	}
	return c.storePending(ctx, spec, txn, fallback)
}

// storePending writes a pending submission and returns the answer for its user, or fallback if
// the submission could not be stored.
func (c *Controller) storePending(ctx context.Context, spec *protocol.JobSpec, txn protocol.Txn, fallback answer.Answer) answer.Answer {
	readAt := c.deps.Clock.Steady()
	_, err := c.deps.KV.CompareAndSwap(ctx, txn, kv.Paced, persister.PendingTimeout)
	var conflict *kv.VersionConflictError
	switch {
	case errors.As(err, &conflict):
		// The job is already known: a duplicate submission, or the leader has accepted it.
		if a := c.records().poll(ctx, spec.ID); a.Status == http.StatusOK {
			return a
		}
		return fallback
	case err != nil:
		return fallback
	}
	c.deps.Log.Info("job accepted without a leader", "job", spec.ID, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks)
	accepted := answer.Provisional(answer.StateResponse(http.StatusCreated, protocol.JobState{ID: spec.ID, Stage: protocol.StagePending}), readAt)
	if c.readGate().IsStale(accepted) {
		return c.records().poll(ctx, spec.ID) // the job may have reached a terminal state since
	}
	return accepted
}

// deferWithoutLeader answers the submission of a job that is not admitted without a leader:
// with the state of the job if the records hold it, with a request to wait if the admission
// plan says so, and otherwise with fallback.
func (c *Controller) deferWithoutLeader(ctx context.Context, id string, decision admission.Decision, fallback answer.Answer) answer.Answer {
	known := c.records().poll(ctx, id)
	switch {
	case known.Status == http.StatusOK:
		return known
	case known.Status == http.StatusNotFound && decision.Verdict == admission.Wait:
		return admissioncontrol.WaitingAnswer(decision)
	}
	return fallback
}
