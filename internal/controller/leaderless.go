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

// Submissions are forwarded to the leader. A controller that reaches none may still reach
// the key-value store: it then puts a job into the pending-submission queue there, and
// the leader, or the next one, ingests it. A failover takes several seconds, and users
// would be refused for all of that time.

// instanceTypesTTL is for how long the instance types that were read are not read again.
const instanceTypesTTL = 60 * units.Second

// leaderlessJobs is what a controller needs to accept jobs without a leader.
type leaderlessJobs struct {
	acceptedBytes atomic.Int64 // memory of the jobs accepted so since this controller last reached a leader

	mu              sync.Mutex // guards the fields below
	instanceTypes   map[string]protocol.InstanceType
	typesValidUntil units.Micros // steady time
}

// instanceTypes returns the instance types that the last leader stored, by name; nil if they
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

// validInstanceTypes returns the instance types in the cache, nil if they are too old.
func (l *leaderlessJobs) validInstanceTypes(now units.Micros) map[string]protocol.InstanceType {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now >= l.typesValidUntil {
		return nil
	}
	return l.instanceTypes
}

// acceptWithoutLeader puts a job into the pending-submission queue if it is certain that the
// job can run; otherwise it returns refused, and a leader decides when there is one.
func (c *Controller) acceptWithoutLeader(ctx context.Context, spec *protocol.JobSpec, refused answer.Answer) answer.Answer {
	store := c.deps.KV
	if c.elector.UnansweredFor() >= c.elector.LeaseDuration() || !store.HasRequestBudget() || !store.HasWriteBudget() {
		return refused
	}
	if checkFeasible(spec, c.deps.Settings, c.instanceTypes(ctx), c.deps.Format.Current()) != nil {
		return refused
	}
	txn := cluster.PendingSubmissionTxn(cluster.PendingSubmission{
		Spec:      *spec,
		Submitted: c.deps.Clock.Wall(),
	})
	if admitter := c.deps.Admitter; admitter != nil {
		decision, condition := admitter.DecideIsolated(spec)
		if decision.Verdict != admission.Admit {
			return c.deferWithoutLeader(ctx, spec.ID, decision, refused)
		}
		txn.If = append(txn.If, condition)
	}
	share := jobMemoryLimit(c.deps.Settings) / int64(1+len(c.deps.Settings.Peers))
	if c.leaderlessJobs.acceptedBytes.Add(cluster.JobMemory(spec)) > share {
		return answer.WithoutEvidence(answer.ErrorResponse(http.StatusTooManyRequests, "too many jobs wait for a leader"))
	}
	return c.storePending(ctx, spec, txn, refused)
}

// storePending writes a pending submission and answers its user.
func (c *Controller) storePending(ctx context.Context, spec *protocol.JobSpec, txn protocol.Txn, refused answer.Answer) answer.Answer {
	readAt := c.deps.Clock.Steady()
	_, err := c.deps.KV.CompareAndSwap(ctx, txn, kv.Paced, persister.PendingTimeout)
	var conflict *kv.VersionConflictError
	switch {
	case errors.As(err, &conflict):
		// It is known already: a duplicate, or the leader accepted it after all.
		if a := c.records().poll(ctx, spec.ID); a.Status == http.StatusOK {
			return a
		}
		return refused
	case err != nil:
		return refused
	}
	c.deps.Log.Info("job accepted without a leader", "job", spec.ID, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks)
	accepted := answer.Provisional(answer.StateResponse(http.StatusCreated, protocol.JobState{ID: spec.ID, Stage: protocol.StagePending}), readAt)
	if c.gate().IsStale(accepted) {
		return c.records().poll(ctx, spec.ID) // it may be in a terminal state by now
	}
	return accepted
}

// deferWithoutLeader answers the submission of a job that is not admitted without the leader,
// unless the records hold that job.
func (c *Controller) deferWithoutLeader(ctx context.Context, id string, decision admission.Decision, refused answer.Answer) answer.Answer {
	known := c.records().poll(ctx, id)
	switch {
	case known.Status == http.StatusOK:
		return known
	case known.Status == http.StatusNotFound && decision.Verdict == admission.Wait:
		return admissioncontrol.WaitingAnswer(decision)
	}
	return refused
}
